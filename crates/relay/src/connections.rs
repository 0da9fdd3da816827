//! Callers' connections: what each one waits for, and which ones are closed.
//!
//! A caller that does not send, does not read or issues no request occupies a
//! descriptor, memory, and perhaps an endpoint. Its connection is closed after a
//! time without progress, and earlier if memory or descriptors are short: of
//! those that do not read, the one with the most unread bytes first; of those
//! without a request, the one that has been so for longest. A connection that
//! has just been accepted, or whose request runs, is never closed for that.

use crate::{blackboard::Blackboard, reply::millis};
use codes::Event;
use slog::info;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    task::Waker,
    time::Duration,
};
use tokio::{sync::Notify, task::JoinHandle};
use units::Time;

/// Interval at which connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time added to the configured limits, since a caller counts from when it sends, and a node that is
/// starved of processor time reads late.
const MARGIN: Duration = Duration::from_secs(1);
/// Time without progress after which an unread response gives way if memory or descriptors are
/// short.
const MIN_STALL: Duration = Duration::from_secs(1);
/// Age from which a connection without a request gives way to a new one. A caller sends its request
/// as soon as it is connected.
const MIN_AGE: Duration = Duration::from_millis(100);

/// Reason why a node closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No request was issued in time.
    Idle,
    /// The head of a request did not arrive in time.
    Head,
    /// The head of a request did not fit into the memory.
    HeadMemory,
    /// The caller did not read its response.
    Unread,
    /// The same, while memory was short.
    Memory,
    /// Descriptors were short.
    Descriptors,
}

impl Reason {
    const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::HeadMemory => "head_memory",
            Self::Unread => "unread",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// State of one connection.
#[derive(Debug)]
pub struct Entry {
    /// Requests whose responses are not written.
    active: Cell<u32>,
    /// Time at which the connection was accepted or its last response was written.
    idle_since: Cell<Time>,
    /// Time at which the head of the next request began.
    head_since: Cell<Option<Time>>,
    /// Time since which no byte was written although there are some to write.
    blocked_since: Cell<Option<Time>>,
    /// Whether to attempt a write although the socket has not been reported as writable.
    retry_write: Cell<bool>,
    /// Bytes of responses that are not written.
    unwritten: Cell<u64>,
    waker: RefCell<Option<Waker>>,
    /// Attempt of the last request.
    attempt: RefCell<Box<str>>,
    closed: Cell<Option<Reason>>,
    close: Notify,
}

impl Entry {
    fn new(now: Time) -> Self {
        Self {
            active: Cell::new(0),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            blocked_since: Cell::new(None),
            retry_write: Cell::new(false),
            unwritten: Cell::new(0),
            waker: RefCell::default(),
            attempt: RefCell::default(),
            closed: Cell::new(None),
            close: Notify::new(),
        }
    }

    /// Whether a request is in progress.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active.get() > 0
    }

    /// Records the beginning of a request.
    pub fn begin_request(&self) {
        self.active.set(self.active.get() + 1);
        self.head_since.set(None);
    }

    /// Records the attempt of the current request, for logs.
    pub fn set_attempt(&self, attempt: &str) {
        *self.attempt.borrow_mut() = attempt.into();
    }

    /// Records that a request has ended and its response is written.
    pub fn end_request(&self, now: Time) {
        self.active.set(self.active.get() - 1);
        if self.active.get() == 0 {
            self.idle_since.set(now);
            self.unwritten.set(0);
            self.blocked_since.set(None);
        }
    }

    /// Records bytes that were read.
    pub fn record_read(&self, now: Time) {
        if !self.is_active() && self.head_since.get().is_none() {
            self.head_since.set(Some(now));
        }
    }

    /// Records bytes that are to be written.
    pub fn add_unwritten(&self, bytes: u64) {
        self.unwritten.set(self.unwritten.get().saturating_add(bytes));
    }

    /// Records bytes that were written.
    pub fn record_written(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.unwritten.set(self.unwritten.get().saturating_sub(bytes));
        self.blocked_since.set(None);
    }

    /// Records that the socket takes no bytes; `waker` attempts a write.
    pub fn record_blocked(&self, now: Time, waker: &Waker) {
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(now));
        }
        *self.waker.borrow_mut() = Some(waker.clone());
    }

    /// Whether to attempt a write although the socket has not been reported as writable; once.
    #[must_use]
    pub fn take_retry(&self) -> bool {
        self.retry_write.take()
    }

    /// Closes the connection.
    pub fn close(&self, reason: Reason) {
        if self.closed.get().is_none() {
            self.closed.set(Some(reason));
            self.close.notify_one();
        }
    }

    /// Completes when the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    fn stalled(&self, now: Time) -> Duration {
        self.blocked_since.get().map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Reason to close the connection after times without progress.
    fn overdue(&self, now: Time, head: Duration, idle: Duration) -> Option<Reason> {
        if self.stalled(now) > idle {
            return Some(Reason::Unread);
        }
        if self.is_active() {
            return None;
        }
        match self.head_since.get() {
            Some(since) if now.since(since) > head + MARGIN => Some(Reason::Head),
            None if now.since(self.idle_since.get()) > idle + MARGIN => Some(Reason::Idle),
            _ => None,
        }
    }

    /// Order in which connections give way when descriptors are short; none for one that must not.
    fn rank(&self, now: Time) -> Option<(u8, Duration)> {
        if self.is_active() {
            let stalled = self.stalled(now);
            return (stalled >= MIN_STALL).then_some((0, stalled));
        }
        let since = self.head_since.get().unwrap_or_else(|| self.idle_since.get());
        let age = now.since(since);
        let stage = if self.head_since.get().is_some() { 1 } else { 2 };
        (age >= MIN_AGE).then_some((stage, age))
    }
}

/// Open connections of callers.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Entry>>>,
    next: Cell<u64>,
}

impl Connections {
    /// Number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Bytes of responses that are not written.
    #[must_use]
    pub fn unwritten(&self) -> u64 {
        self.open.borrow().values().map(|entry| entry.unwritten.get()).sum()
    }
}

/// Registration of a connection, removed on drop.
#[derive(Debug)]
pub struct Registration {
    board: Rc<Blackboard>,
    id: u64,
    /// State of the connection.
    pub entry: Rc<Entry>,
}

impl Registration {
    /// Registers a connection that was accepted now.
    #[must_use]
    pub fn new(board: &Rc<Blackboard>) -> Self {
        let id = board.connections.next.get();
        board.connections.next.set(id + 1);
        let entry = Rc::new(Entry::new(board.now()));
        board.connections.open.borrow_mut().insert(id, Rc::clone(&entry));
        Self { board: Rc::clone(board), id, entry }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.board.connections.open.borrow_mut().remove(&self.id);
        if let Some(reason) = self.entry.closed.get() {
            let entry = &self.entry;
            self.board.metrics.count("connection_closed", reason.name());
            info!(self.board.log, "connection closed"; Event::ConnectionClosed,
                "reason" => reason.name(), "request" => &**entry.attempt.borrow(),
                "in_progress" => entry.active.get(), "unwritten" => entry.unwritten.get(),
                "stalled_ms" => millis(entry.stalled(self.board.now())));
        }
    }
}

/// Closes connections without progress until the process exits.
pub async fn watch(board: Rc<Blackboard>) {
    let mut checked = board.now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let pause = board.now().since(checked);
        checked = board.now();
        if pause > 2 * CHECK_INTERVAL {
            // The process was frozen or starved: bytes that came meanwhile are read first.
            continue;
        }
        let limits = board.configuration.borrow().as_ref().map(|c| c.limits).unwrap_or_default();
        let now = board.now();
        for entry in board.connections.open.borrow().values() {
            if let Some(reason) = entry.overdue(now, limits.header_timeout, limits.idle_timeout) {
                entry.close(reason);
            } else if entry.blocked_since.get().is_some() {
                // The kernel reports a socket as writable only once a third of its buffer is free,
                // which takes long for a slow reader.
                entry.retry_write.set(true);
                if let Some(waker) = entry.waker.take() {
                    waker.wake();
                }
            }
        }
    }
}

/// Closes the connection with the most unread bytes among those without progress; false if there is
/// none.
pub fn reclaim_memory(board: &Blackboard) -> bool {
    let now = board.now();
    let open = board.connections.open.borrow();
    let stalled = |entry: &&Rc<Entry>| {
        entry.closed.get().is_none() && entry.unwritten.get() > 0 && entry.stalled(now) >= MIN_STALL
    };
    let largest = open.values().filter(stalled).max_by_key(|entry| entry.unwritten.get());
    largest.map(|entry| entry.close(Reason::Memory)).is_some()
}

/// Closes a connection in favour of a new one; false if none may be closed.
pub fn reclaim_descriptor(board: &Blackboard) -> bool {
    let now = board.now();
    let open = board.connections.open.borrow();
    let ranked = open.values().filter(|entry| entry.closed.get().is_none());
    let ranked = ranked.filter_map(|entry| Some((entry.rank(now)?, entry)));
    let first = ranked.max_by_key(|(rank, _)| *rank);
    first.map(|(_, entry)| entry.close(Reason::Descriptors)).is_some()
}

/// Connections of a listener that is not for callers; the oldest gives way to a new one.
#[derive(Debug)]
pub struct Recent {
    max: usize,
    open: VecDeque<JoinHandle<()>>,
}

impl Recent {
    /// No connections, and `max` at most.
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self { max: usize::try_from(max).unwrap_or(usize::MAX), open: VecDeque::new() }
    }

    /// Makes room for a connection; true if another one was closed.
    pub fn make_room(&mut self) -> bool {
        self.open.retain(|connection| !connection.is_finished());
        if self.open.len() < self.max {
            return false;
        }
        let oldest = self.open.pop_front();
        oldest.map(|connection| connection.abort()).is_some()
    }

    /// Adds the task of a connection.
    pub fn push(&mut self, connection: JoinHandle<()>) {
        self.open.push_back(connection);
    }
}

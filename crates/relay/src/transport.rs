//! TCP connections to callers and endpoints, and the detection of peers that are gone.
//!
//! A peer that does not read closes its window: the kernel holds what is to be
//! sent, and the peer acknowledges the probes of its window. It is alive, and
//! whoever waits for it has time limits of its own ([`crate::connections`], the
//! deadline of a request). A peer that is gone acknowledges nothing.
//! `TCP_USER_TIMEOUT` ends connections to both alike, so that it is set only
//! where the kernel gives no state of a connection. Otherwise the [`Monitor`]
//! makes each connection with unconfirmed data look at it, and a connection
//! whose peer is gone fails with [`ErrorKind::TimedOut`]. While nothing is
//! outstanding, TCP keepalive does the same.

pub mod acknowledgement;
mod info;

use self::acknowledgement::{Acknowledgement, Verdict};
use socket2::{SockRef, TcpKeepalive};
use std::{
    cell::{Cell, RefCell},
    io::{Error, ErrorKind, IoSlice, Result},
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, Waker},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};
use units::time::Clock;

/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Longest time for which sent data may stay unacknowledged.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval at which connections with unconfirmed data are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for the kernel to process what came while the process was frozen.
const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// Makes the kernel close a connection whose peer does not respond while nothing is outstanding.
///
/// # Errors
/// The option cannot be set.
fn enable_keepalive(stream: &TcpStream) -> Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Makes the kernel close a connection whose peer acknowledges or reads nothing.
///
/// # Errors
/// An option cannot be set.
pub fn enable_timeouts(stream: &TcpStream) -> Result<()> {
    enable_keepalive(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT))
}

/// What a connection and the monitor share.
#[derive(Debug, Default)]
struct Shared {
    /// Whether data was written that the peer is not known to have acknowledged.
    is_unconfirmed: Cell<bool>,
    /// Whether the connection is to be checked when its task next runs.
    is_due: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// Connections that are checked.
#[derive(Debug, Default)]
pub struct Monitor {
    open: RefCell<Vec<Weak<Shared>>>,
}

impl Monitor {
    /// Wakes the tasks of connections with unconfirmed data.
    fn check(&self) {
        let mut due = Vec::new();
        self.open.borrow_mut().retain(|connection| {
            let Some(connection) = connection.upgrade() else { return false };
            if connection.is_unconfirmed.get() {
                connection.is_due.set(true);
                due.extend(connection.waker.take());
            }
            true
        });
        due.into_iter().for_each(Waker::wake);
    }

    /// Checks the connections until the process exits.
    pub async fn run(&self) {
        loop {
            let begun = Instant::now();
            tokio::time::sleep(CHECK_INTERVAL).await;
            if begun.elapsed() > 2 * CHECK_INTERVAL {
                tokio::time::sleep(CATCH_UP_TIME).await;
            }
            self.check();
        }
    }
}

/// Connection that fails once its peer is gone.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    shared: Rc<Shared>,
    clock: Clock,
    acknowledgement: Acknowledgement,
}

impl Stream {
    /// Takes over a connection.
    ///
    /// # Errors
    /// A socket option cannot be set.
    pub fn new(inner: TcpStream, monitor: &Monitor, clock: Clock) -> Result<Self> {
        let shared = Rc::new(Shared::default());
        if info::read(&inner).is_ok() {
            enable_keepalive(&inner)?;
            monitor.open.borrow_mut().push(Rc::downgrade(&shared));
        } else {
            enable_timeouts(&inner)?;
        }
        let acknowledgement = Acknowledgement::default();
        Ok(Self { inner, shared, clock, acknowledgement })
    }

    /// Socket, for its options.
    #[must_use]
    pub fn socket(&self) -> SockRef<'_> {
        SockRef::from(&self.inner)
    }

    /// Checks the connection if that is due.
    ///
    /// # Errors
    /// [`ErrorKind::TimedOut`] if the peer is gone.
    fn check(&mut self, context: &Context<'_>) -> Result<()> {
        let mut waker = self.shared.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|known| known.will_wake(context.waker())) {
            *waker = Some(context.waker().clone());
        }
        drop(waker);
        if !self.shared.is_due.take() {
            return Ok(());
        }
        let state = info::read(&self.inner)?;
        match self.acknowledgement.update(state, self.clock.now()) {
            Verdict::Confirmed => self.shared.is_unconfirmed.set(false),
            Verdict::Outstanding => {}
            Verdict::Gone => {
                // The kernel would keep what it holds for the peer.
                self.socket().set_linger(Some(Duration::ZERO))?;
                return Err(Error::new(ErrorKind::TimedOut, "the peer acknowledges nothing"));
            }
        }
        Ok(())
    }

    fn record_write(&mut self, polled: &Poll<Result<usize>>) {
        if let Poll::Ready(Ok(1..)) = polled {
            self.record_sent();
        }
    }

    /// Records that data was handed to the kernel.
    pub fn record_sent(&mut self) {
        if !self.shared.is_unconfirmed.replace(true) {
            self.acknowledgement.begin(self.clock.now());
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.check(context)?;
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.check(context)?;
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.record_write(&polled);
        polled
    }
}

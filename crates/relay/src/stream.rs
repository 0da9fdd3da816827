//! A stream of events on its way to a caller.
//!
//! Whole events are passed on as they come. When the endpoint breaks off and
//! the stream may be resumed, the request goes to another endpoint with the
//! last event that the caller has, within the same answer; the beginning of an
//! event that was cut is dropped. Otherwise the answer ends as broken, never
//! as complete.

use crate::{
    admission::AcceptedRequest,
    blackboard::Blackboard,
    configuration::Kind,
    dispatcher::{self, Slot},
    events::Sequence,
    exchange,
    history::{Failure, History},
    pool::Connection,
    reply::millis,
};
use bytes::Bytes;
use codes::Event;
use http_body::Body as _;
use hyper::body::Incoming;
use sched::{backlog::Deadlines, fleet::Outcome};
use slog::info;
use std::{
    fmt,
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::time::{Instant, Sleep};
use units::Time;

/// Silence after which a resumable stream is continued elsewhere; callers leave after two seconds.
const SILENCE: Duration = Duration::from_millis(1_300);

/// Time to find another endpoint for a stream that broke off, within the callers' two seconds.
const RESUME_WITHIN: Duration = Duration::from_millis(1_200);

/// A stream ended before it was complete.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("stream broken: {0}")]
pub struct Cut(Box<str>);

/// Part of a stream that one endpoint sends.
#[derive(Debug)]
pub struct Leg {
    /// Slot at the endpoint.
    pub slot: Slot,
    /// Connection.
    pub connection: Connection,
    /// Body.
    pub body: Incoming,
    /// Time for which the endpoint keeps the connection when it is idle.
    pub keep_alive: Option<Duration>,
}

type Resuming = Pin<Box<dyn Future<Output = Result<(Leg, History), Box<str>>>>>;

enum State {
    Reading(Box<Leg>),
    Resuming(Resuming),
    Ended,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reading(_) => "Reading",
            Self::Resuming(_) => "Resuming",
            Self::Ended => "Ended",
        })
    }
}

/// Why reading stopped.
enum Stop {
    Complete,
    Broken(Box<str>),
    Silent,
    TimedOut,
}

/// Stream on its way.
#[derive(Debug)]
pub struct Relay {
    board: Rc<Blackboard>,
    accepted: Rc<AcceptedRequest>,
    history: History,
    state: State,
    sequence: Sequence,
    ahead: Option<Bytes>,
    timer: Pin<Box<Sleep>>,
    heard: Time,
    first: Option<Time>,
    events: u64,
    longest_pause: Duration,
    /// Whether silence no longer counts, since no other endpoint may be asked.
    patient: bool,
    in_progress: bool,
}

impl Relay {
    /// Stream that begins with `leg`.
    #[must_use]
    pub fn new(board: Rc<Blackboard>, accepted: Rc<AcceptedRequest>, leg: Leg) -> Self {
        let now = board.now();
        let left = accepted.deadline.since(now);
        let timer = Box::pin(tokio::time::sleep(left));
        Self {
            sequence: Sequence::new(accepted.head.resume_after),
            history: History::default(),
            state: State::Reading(Box::new(leg)),
            ahead: None,
            heard: now,
            first: None,
            events: 0,
            longest_pause: Duration::ZERO,
            patient: false,
            in_progress: false,
            timer,
            board,
            accepted,
        }
    }

    /// Takes over what became of the request before this stream, and counts it as in progress.
    pub fn take_history(&mut self, history: History) {
        self.history = history;
        self.in_progress = true;
        let count = &self.board.in_progress;
        count.set(count.get() + 1);
    }

    /// Waits for the first event.
    ///
    /// # Errors
    /// The endpoint broke off before it; nothing has reached the caller.
    pub async fn first(&mut self) -> Result<(), Failure> {
        let result = poll_fn(|context| self.poll_leg(context)).await;
        match result {
            Ok(bytes) => self.ahead = Some(bytes),
            Err(Stop::Complete) => self.complete(),
            Err(Stop::TimedOut) => return Err(Failure::TimedOut),
            Err(Stop::Silent) => return Err(Failure::Lost("silent".into())),
            Err(Stop::Broken(cause)) => {
                let address = self.fail();
                if let Some(address) = address {
                    exchange::strike_if_crashed(&self.board, &self.accepted, address).await;
                }
                return Err(Failure::Lost(cause));
            }
        }
        Ok(())
    }

    /// Ends the present leg as failed and returns the endpoint's address.
    fn fail(&mut self) -> Option<std::net::SocketAddr> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Reading(leg) => {
                let address = leg.slot.address();
                leg.slot.end(Outcome::Failed);
                Some(address)
            }
            State::Resuming(_) | State::Ended => None,
        }
    }

    /// Next events for the caller.
    pub fn poll_events(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        if let Some(bytes) = self.ahead.take() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        loop {
            let stop = match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Reading(_) => match ready!(self.poll_leg(context)) {
                    Ok(bytes) => return Poll::Ready(Some(Ok(bytes))),
                    Err(stop) => stop,
                },
                State::Resuming(resuming) => match ready!(resuming.as_mut().poll(context)) {
                    Ok((leg, history)) => {
                        self.history = history;
                        self.heard = self.board.now();
                        self.state = State::Reading(Box::new(leg));
                        continue;
                    }
                    Err(cause) => Stop::Broken(cause),
                },
            };
            match stop {
                Stop::Complete => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Stop::TimedOut => return Poll::Ready(Some(Err(self.cut("deadline".into())))),
                Stop::Silent => self.leave_silent()?,
                Stop::Broken(cause) => self.resume(cause)?,
            }
        }
    }

    /// Reads from the present endpoint until events are whole.
    fn poll_leg(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, Stop>> {
        loop {
            let State::Reading(leg) = &mut self.state else {
                return Poll::Ready(Err(Stop::Complete));
            };
            match Pin::new(&mut leg.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(piece) = frame.into_data() else { continue };
                    match self.sequence.push(piece) {
                        Ok(whole) if whole.count == 0 => {}
                        Ok(whole) => {
                            leg.slot.heard(whole.count);
                            self.note(whole.count);
                            return Poll::Ready(Ok(whole.bytes));
                        }
                        Err(broken) => {
                            return Poll::Ready(Err(Stop::Broken(broken.to_string().into())));
                        }
                    }
                }
                Poll::Ready(Some(Err(e))) => {
                    return Poll::Ready(Err(Stop::Broken(e.to_string().into())));
                }
                Poll::Ready(None) => {
                    let end = match self.sequence.finish() {
                        Ok(()) => Stop::Complete,
                        Err(torn) => Stop::Broken(torn.to_string().into()),
                    };
                    return Poll::Ready(Err(end));
                }
                Poll::Pending => return self.poll_timer(context).map(Err),
            }
        }
    }

    /// Ends the wait at the deadline, or after too long a silence of a resumable stream.
    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<Stop> {
        loop {
            let now = self.board.now();
            if now >= self.accepted.deadline {
                return Poll::Ready(Stop::TimedOut);
            }
            let resumable = self.accepted.route.kind == Kind::ResumableStream;
            let mut until = self.accepted.deadline;
            if resumable && self.first.is_some() && !self.patient {
                let silent = self.heard + SILENCE;
                if now >= silent {
                    return Poll::Ready(Stop::Silent);
                }
                until = until.min(silent);
            }
            let at = Instant::now() + until.since(now);
            // A timer that fires too early is moved on; one that is late enough is left alone.
            if self.timer.deadline() > at || self.timer.is_elapsed() {
                self.timer.as_mut().reset(at);
            }
            ready!(self.timer.as_mut().poll(context));
        }
    }

    fn note(&mut self, count: u32) {
        let now = self.board.now();
        if self.first.is_some() {
            self.longest_pause = self.longest_pause.max(now.since(self.heard));
        }
        self.heard = now;
        self.events += u64::from(count);
        if self.first.is_none() {
            self.first = Some(now);
            self.board.metrics.time("first_event", now.since(self.accepted.arrived));
        }
    }

    fn complete(&mut self) {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let State::Reading(leg) = state else { return };
        let now = self.board.now();
        let first = self.first.unwrap_or(now).since(self.accepted.arrived);
        info!(self.board.log, "answered"; Event::Answered,
            "request" => &*self.accepted.head.attempt, "endpoint" => %leg.slot.endpoint(),
            "first_ms" => millis(first),
            "longest_pause_ms" => millis(self.longest_pause),
            "total_ms" => millis(now.since(self.accepted.arrived)),
            "events" => self.events, "prompt" => self.accepted.submission.demand.prompt.get(),
            "output" => self.accepted.submission.output.get(), "runs" => self.history.runs + 1);
        self.board.metrics.count("answered", "stream");
        self.board.metrics.time("answer", now.since(self.accepted.arrived));
        let most = exchange::idle(&self.board, &self.accepted);
        self.board.pool.put(leg.connection, leg.keep_alive, most, now);
        leg.slot.end(Outcome::Completed);
    }

    fn cut(&mut self, cause: Box<str>) -> Cut {
        info!(self.board.log, "answer cut"; Event::Cut,
            "request" => &*self.accepted.head.attempt, "cause" => &*cause,
            "events" => self.events, "last" => self.sequence.last());
        self.board.metrics.count("cut", "stream");
        self.state = State::Ended;
        Cut(cause)
    }

    /// Continues a silent stream elsewhere if that is allowed; otherwise goes on waiting, since an
    /// endpoint's silence alone ends no answer.
    fn leave_silent(&mut self) -> Result<(), Cut> {
        if self.history.may_run_again(&self.accepted) {
            return self.resume("silent".into());
        }
        self.patient = true;
        Ok(())
    }

    /// Continues at another endpoint, or ends the answer as broken.
    fn resume(&mut self, cause: Box<str>) -> Result<(), Cut> {
        let State::Reading(leg) = std::mem::replace(&mut self.state, State::Ended) else {
            return Err(self.cut(cause));
        };
        let endpoint = leg.slot.endpoint().clone();
        leg.slot.end(Outcome::Failed);
        drop(leg.connection);
        drop(leg.body);
        if self.accepted.route.kind != Kind::ResumableStream {
            return Err(self.cut(cause));
        }
        let failure = Failure::Lost(cause);
        let noted = self.history.note(&self.board, &self.accepted, &endpoint, &failure);
        if let Err(refused) = noted {
            return Err(self.cut(refused.cause));
        }
        self.sequence.cut();
        info!(self.board.log, "resuming"; Event::Resumed,
            "request" => &*self.accepted.head.attempt, "from" => %endpoint,
            "after" => self.sequence.last());
        let leg = next_leg(
            Rc::clone(&self.board),
            Rc::clone(&self.accepted),
            std::mem::take(&mut self.history),
            self.sequence.last(),
        );
        self.state = State::Resuming(Box::pin(leg));
        Ok(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.in_progress {
            let count = &self.board.in_progress;
            count.set(count.get() - 1);
        }
        if let State::Reading(leg) = &self.state {
            info!(self.board.log, "caller left"; Event::CallerLeft,
                "request" => &*self.accepted.head.attempt, "endpoint" => %leg.slot.endpoint(),
                "events" => self.events);
        }
    }
}

/// Deadlines of a stream that goes on: its caller has been waiting since the last event.
fn resumption(accepted: &AcceptedRequest, now: Time) -> Deadlines {
    let latest = (now + RESUME_WITHIN).min(accepted.deadline);
    Deadlines { soft: latest, hard: latest }
}

async fn next_leg(
    board: Rc<Blackboard>,
    accepted: Rc<AcceptedRequest>,
    mut history: History,
    last: Option<u64>,
) -> Result<(Leg, History), Box<str>> {
    let submission = accepted.submission.clone().with_terms(resumption(&accepted, board.now()));
    loop {
        let slot = dispatcher::acquire_slot(&board, &submission, &history.tried).await;
        let slot = slot.map_err(|refusal| refusal.code.to_string())?;
        let endpoint = slot.endpoint().clone();
        let sent = exchange::send(&board, &accepted, slot, last).await;
        let failure = match sent {
            Ok(answered) if answered.parts.status.is_success() => {
                let keep_alive = answered.head.keep_alive;
                let exchange::Answered { slot, connection, body, .. } = answered;
                return Ok((Leg { slot, connection, body, keep_alive }, history));
            }
            Ok(answered) => {
                let status = answered.parts.status;
                answered.slot.end(Outcome::Failed);
                Failure::Lost(format!("endpoint answered {status}").into())
            }
            Err(failure) => failure,
        };
        let noted = history.note(&board, &accepted, &endpoint, &failure);
        noted.map_err(|refused| refused.cause)?;
    }
}

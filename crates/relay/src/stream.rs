//! Forwarding of an event stream to a caller.
//!
//! Complete events are forwarded as they arrive. If the endpoint fails and the
//! stream is resumable, the request is sent to another endpoint with the number
//! of the caller's last event, and the same response continues; a partially
//! received event is dropped. Otherwise the response ends with an error, never
//! as complete.
//!
//! A silent endpoint may be sound: when its memory runs out, it preempts streams
//! and reads them again. A silent stream is moved only once another endpoint has
//! room for it; until then it stays where it is.

use crate::{
    admission,
    blackboard::Blackboard,
    configuration::Kind,
    dispatcher::{self, Slot, Submission},
    events::Decoder,
    exchange,
    history::{self, Failure, History},
    pool::Connection,
    quarantine::{self, SURVIVAL_TIME, Site},
    reply::millis,
};
use bytes::Bytes;
use codes::Event;
use http::header;
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
use tokio::{
    task::spawn_local,
    time::{Instant, Sleep},
};
use units::{EndpointId, Time};

/// Silence after which another endpoint is sought for a resumable stream, as a fraction of the time
/// for which its caller waits.
const SILENCE_FRACTION: f64 = 0.65;
/// Time to find another endpoint for an interrupted stream, as a fraction of the same time.
const RESUME_FRACTION: f64 = 0.6;

/// Error for a stream that ended before it was complete.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("stream broken: {0}")]
pub struct Interrupted(Box<str>);

/// Part of a stream that comes from one endpoint.
#[derive(Debug)]
pub struct Segment {
    /// Slot at the endpoint.
    pub slot: Slot,
    /// Connection to the endpoint.
    pub connection: Connection,
    /// Response body.
    pub body: Incoming,
    /// Time for which the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the body has an end of its own; otherwise it ends with the connection.
    framed: bool,
    /// Whether it continues what another endpoint began.
    resumed: bool,
}

impl Segment {
    /// Segment that begins with a response.
    #[must_use]
    pub fn new(response: exchange::Response) -> Self {
        let exchange::Response { slot, connection, head, parts, body } = response;
        let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        let framed = framing.iter().any(|name| parts.headers.contains_key(name));
        Self { slot, connection, body, keep_alive: head.keep_alive, framed, resumed: false }
    }

    /// Continues what another endpoint began.
    #[must_use]
    pub fn resumed(mut self) -> Self {
        self.resumed = true;
        self
    }

    /// Whether the end of the body does not show that the stream is complete. An endpoint that breaks
    /// off before any event leaves the same bytes as an empty body without framing, and one that
    /// continues a stream has at least one event to add.
    fn ended_empty(&self) -> bool {
        (self.resumed || !self.framed) && !self.slot.has_response()
    }
}

/// Search for a slot at another endpoint.
struct Search(Pin<Box<dyn Future<Output = Option<Slot>>>>);

impl fmt::Debug for Search {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Search")
    }
}

type Resuming = Pin<Box<dyn Future<Output = Result<(Segment, History), Box<str>>>>>;

enum State {
    Reading(Box<Segment>),
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

/// Reason why a segment ended.
enum End {
    Complete,
    Broken(Box<str>),
    Silent,
    /// The stream is being moved to another endpoint.
    Moved,
    /// The endpoint's release is being replaced.
    Replaced,
    TimedOut,
}

/// Stream being forwarded.
#[derive(Debug)]
pub struct Relay {
    board: Rc<Blackboard>,
    accepted: Rc<admission::Request>,
    history: History,
    state: State,
    decoder: Decoder,
    pending: Option<Bytes>,
    timer: Pin<Box<Sleep>>,
    last_event: Time,
    first_event: Option<Time>,
    event_count: u64,
    longest_gap: Duration,
    /// Whether to ignore silence until the next event, because another endpoint is being sought or
    /// was not found.
    ignore_silence: bool,
    /// Search for another endpoint while this one is silent.
    search: Option<Search>,
    /// Whether the request has been recorded as one that does not crash endpoints.
    survived: bool,
}

impl Relay {
    /// Stream that begins with `segment`.
    #[must_use]
    pub fn new(board: Rc<Blackboard>, accepted: Rc<admission::Request>, segment: Segment) -> Self {
        let now = board.now();
        let time_left = accepted.deadline.since(now);
        let timer = Box::pin(tokio::time::sleep(time_left));
        Self {
            decoder: Decoder::new(accepted.head.resume_after),
            history: History::default(),
            state: State::Reading(Box::new(segment)),
            pending: None,
            last_event: now,
            first_event: None,
            event_count: 0,
            longest_gap: Duration::ZERO,
            ignore_silence: false,
            search: None,
            survived: false,
            timer,
            board,
            accepted,
        }
    }

    /// Takes over the history of the request's earlier attempts.
    pub fn take_history(&mut self, history: History) {
        self.history = history;
    }

    /// Waits for the first event.
    ///
    /// # Errors
    /// The endpoint failed before the first event; the caller has received nothing.
    pub async fn wait_first_event(&mut self) -> Result<(), Failure> {
        let result = poll_fn(|context| self.poll_segment(context)).await;
        match result {
            Ok(bytes) => self.pending = Some(bytes),
            Err(End::Complete) => self.complete(),
            Err(End::TimedOut) => return Err(Failure::TimedOut),
            Err(End::Silent | End::Moved | End::Replaced) => {
                return Err(Failure::Lost("silent".into()));
            }
            Err(End::Broken(cause)) => {
                if let Some(site) = self.fail_segment() {
                    quarantine::record_if_crashed(&self.board, &self.accepted, site).await;
                }
                return Err(Failure::Lost(cause));
            }
        }
        Ok(())
    }

    /// Ends the current segment as failed and returns its endpoint.
    fn fail_segment(&mut self) -> Option<Site> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Reading(segment) => {
                let site = Site::new(&segment.slot);
                segment.slot.release(Outcome::Failed);
                Some(site)
            }
            State::Resuming(_) | State::Ended => None,
        }
    }

    /// Next events for the caller.
    pub fn poll_events(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Interrupted>>> {
        if let Some(bytes) = self.pending.take() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        loop {
            let end = match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Reading(_) => match ready!(self.poll_reading(context)) {
                    Ok(bytes) => return Poll::Ready(Some(Ok(bytes))),
                    Err(end) => end,
                },
                State::Resuming(resuming) => match ready!(resuming.as_mut().poll(context)) {
                    Ok((segment, history)) => {
                        self.history = history;
                        self.last_event = self.board.now();
                        self.state = State::Reading(Box::new(segment));
                        continue;
                    }
                    Err(cause) => End::Broken(cause),
                },
            };
            match end {
                End::Complete => {
                    self.complete();
                    return Poll::Ready(None);
                }
                End::TimedOut => {
                    return Poll::Ready(Some(Err(self.interrupt("deadline".into()))));
                }
                End::Silent => self.handle_silence(),
                End::Moved => {}
                End::Replaced => self.leave(),
                End::Broken(cause) => self.resume(cause)?,
            }
        }
    }

    /// Reads from the current endpoint, and seeks another one while it is silent.
    fn poll_reading(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, End>> {
        let polled = self.poll_segment(context);
        if polled.is_ready() {
            if matches!(polled, Poll::Ready(Ok(_))) {
                self.search = None;
                self.ignore_silence = false;
            }
            return polled;
        }
        let Some(search) = &mut self.search else { return Poll::Pending };
        let found = ready!(search.0.as_mut().poll(context));
        self.search = None;
        let moved = found.is_some_and(|slot| self.move_to(slot));
        if moved { Poll::Ready(Err(End::Moved)) } else { Poll::Pending }
    }

    /// Reads from the current endpoint until at least one event is complete.
    fn poll_segment(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, End>> {
        loop {
            let State::Reading(segment) = &mut self.state else {
                return Poll::Ready(Err(End::Complete));
            };
            if let Some(error) = self.decoder.error() {
                return Poll::Ready(Err(End::Broken(error.to_string().into())));
            }
            match Pin::new(&mut segment.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(piece) = frame.into_data() else { continue };
                    match self.decoder.push(piece) {
                        Ok(batch) if batch.count == 0 => {}
                        Ok(batch) => {
                            segment.slot.record_events(batch.count);
                            self.record_events(batch.count);
                            return Poll::Ready(Ok(batch.bytes));
                        }
                        Err(error) => {
                            return Poll::Ready(Err(End::Broken(error.to_string().into())));
                        }
                    }
                }
                Poll::Ready(Some(Err(e))) => {
                    return Poll::Ready(Err(End::Broken(history::describe(&e))));
                }
                Poll::Ready(None) if segment.ended_empty() => {
                    return Poll::Ready(Err(End::Broken("closed before an event".into())));
                }
                Poll::Ready(None) => {
                    let end = match self.decoder.finish() {
                        Ok(()) => End::Complete,
                        Err(error) => End::Broken(error.to_string().into()),
                    };
                    return Poll::Ready(Err(end));
                }
                Poll::Pending => return self.poll_timer(context).map(Err),
            }
        }
    }

    /// Completes at the deadline, or when a resumable stream has been silent for too long.
    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<End> {
        loop {
            let now = self.board.now();
            if now >= self.accepted.deadline {
                return Poll::Ready(End::TimedOut);
            }
            let resumable = self.accepted.route.kind == Kind::ResumableStream;
            let mut until = self.accepted.deadline;
            if resumable && self.first_event.is_some() && !self.ignore_silence {
                let silent_at = self.last_event + self.accepted.patience.mul_f64(SILENCE_FRACTION);
                if now >= silent_at {
                    return Poll::Ready(End::Silent);
                }
                until = until.min(silent_at);
            }
            if let Some(leave_at) = self.leave_at() {
                if now >= leave_at {
                    return Poll::Ready(End::Replaced);
                }
                until = until.min(leave_at);
            }
            let at = Instant::now() + until.since(now);
            // The timer is moved only if it would fire too late or has fired; if it fires early,
            // this loop rearms it.
            if self.timer.deadline() > at || self.timer.is_elapsed() {
                self.timer.as_mut().reset(at);
            }
            ready!(self.timer.as_mut().poll(context));
        }
    }

    fn record_events(&mut self, count: u32) {
        let now = self.board.now();
        if self.first_event.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.last_event));
        }
        self.last_event = now;
        self.event_count += u64::from(count);
        if self.first_event.is_none() {
            self.first_event = Some(now);
            self.board.metrics.record_time("first_event", now.since(self.accepted.arrived));
        }
        if self.first_event.is_some_and(|first| now.since(first) >= SURVIVAL_TIME) {
            self.record_survival();
        }
    }

    fn record_survival(&mut self) {
        if !self.survived {
            self.survived = true;
            quarantine::record_survival(&self.board, &self.accepted);
        }
    }

    fn complete(&mut self) {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let State::Reading(segment) = state else { return };
        self.record_survival();
        let now = self.board.now();
        let first = self.first_event.unwrap_or(now).since(self.accepted.arrived);
        info!(self.board.log, "answered"; Event::Answered,
            "request" => &*self.accepted.head.attempt, "endpoint" => %segment.slot.endpoint(),
            "first_ms" => millis(first),
            "longest_pause_ms" => millis(self.longest_gap),
            "total_ms" => millis(now.since(self.accepted.arrived)),
            "events" => self.event_count, "prompt" => self.accepted.submission.size.prompt.get(),
            "output" => self.accepted.submission.max_output.get(),
            "runs" => self.history.possible_runs + 1);
        self.board.metrics.count("answered", "stream");
        self.board.metrics.record_time("answer", now.since(self.accepted.arrived));
        let max_idle = exchange::max_idle(&self.board, &self.accepted);
        self.board.pool.release(segment.connection, segment.keep_alive, max_idle, now);
        segment.slot.release(Outcome::Completed);
    }

    fn interrupt(&mut self, cause: Box<str>) -> Interrupted {
        info!(self.board.log, "answer cut"; Event::Cut,
            "request" => &*self.accepted.head.attempt, "cause" => &*cause,
            "events" => self.event_count, "last" => self.decoder.last());
        self.board.metrics.count("cut", "stream");
        self.state = State::Ended;
        Interrupted(cause)
    }

    /// Seeks another endpoint for a silent stream if the route's number of attempts and the retry
    /// budget allow it. Silence alone does not end a response.
    fn handle_silence(&mut self) {
        self.ignore_silence = true;
        let State::Reading(segment) = &self.state else { return };
        let has_retry = self.board.has_retry(&self.accepted.submission.service);
        if !has_retry || !self.history.may_run_again(&self.accepted) {
            return;
        }
        let current = segment.slot.endpoint().clone();
        info!(self.board.log, "stream silent"; Event::Resumed,
            "request" => &*self.accepted.head.attempt, "endpoint" => %current,
            "after" => self.decoder.last());
        let (board, accepted) = (Rc::clone(&self.board), Rc::clone(&self.accepted));
        let mut avoid = self.history.tried.clone();
        avoid.push(current);
        self.search = Some(Search(Box::pin(async move {
            let submission = resuming_submission(&board, &accepted);
            dispatcher::acquire_slot(&board, &submission, &avoid).await.ok()
        })));
    }

    /// Moves a silent stream to another endpoint; false if it stays.
    fn move_to(&mut self, slot: Slot) -> bool {
        let State::Reading(segment) = &self.state else { return false };
        let current = segment.slot.endpoint().clone();
        if *slot.endpoint() == current {
            return false;
        }
        let silent = Failure::Lost("silent".into());
        let recorded = self.history.record_failure(&self.board, &self.accepted, &current, &silent);
        if recorded.is_err() {
            return false;
        }
        if let State::Reading(segment) = std::mem::replace(&mut self.state, State::Ended) {
            segment.slot.release(Outcome::Failed);
        }
        self.resume_from(&current, Some(slot));
        true
    }

    /// Time at which the stream leaves its endpoint, by a rollout.
    fn leave_at(&self) -> Option<Time> {
        let State::Reading(segment) = &self.state else { return None };
        let resumable = self.accepted.route.kind == Kind::ResumableStream;
        if resumable && self.first_event.is_some() { segment.slot.leave_at() } else { None }
    }

    /// Leaves an endpoint whose release is being replaced; no attempt is charged for it.
    fn leave(&mut self) {
        self.search = None;
        let State::Reading(segment) = std::mem::replace(&mut self.state, State::Ended) else {
            return;
        };
        let endpoint = segment.slot.endpoint().clone();
        segment.slot.release(Outcome::Cancelled);
        self.history.tried.push(endpoint.clone());
        self.resume_from(&endpoint, None);
    }

    /// Continues after the last event at another endpoint, that of `slot` if there is one.
    fn resume_from(&mut self, endpoint: &EndpointId, slot: Option<Slot>) {
        self.decoder.discard_partial();
        info!(self.board.log, "resuming"; Event::Resumed,
            "request" => &*self.accepted.head.attempt, "from" => %endpoint,
            "after" => self.decoder.last());
        let segment = next_segment(
            Rc::clone(&self.board),
            Rc::clone(&self.accepted),
            std::mem::take(&mut self.history),
            self.decoder.last(),
            slot,
        );
        self.state = State::Resuming(Box::pin(segment));
    }

    /// Resumes at another endpoint, or ends the response with an error.
    fn resume(&mut self, cause: Box<str>) -> Result<(), Interrupted> {
        self.search = None;
        let State::Reading(segment) = std::mem::replace(&mut self.state, State::Ended) else {
            return Err(self.interrupt(cause));
        };
        let endpoint = segment.slot.endpoint().clone();
        if !self.survived {
            let (board, accepted) = (Rc::clone(&self.board), Rc::clone(&self.accepted));
            let site = Site::new(&segment.slot);
            spawn_local(async move {
                quarantine::record_if_crashed(&board, &accepted, site).await;
            });
        }
        segment.slot.release(Outcome::Failed);
        drop(segment.connection);
        drop(segment.body);
        if self.accepted.route.kind != Kind::ResumableStream {
            return Err(self.interrupt(cause));
        }
        let failure = Failure::Lost(cause);
        let recorded =
            self.history.record_failure(&self.board, &self.accepted, &endpoint, &failure);
        if let Err(refused) = recorded {
            return Err(self.interrupt(refused.cause));
        }
        self.resume_from(&endpoint, None);
        Ok(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let State::Reading(segment) = &self.state {
            info!(self.board.log, "caller left"; Event::CallerLeft,
                "request" => &*self.accepted.head.attempt, "endpoint" => %segment.slot.endpoint(),
                "events" => self.event_count);
        }
    }
}

/// Submission for resuming a stream, whose caller has been waiting since the last event.
fn resuming_submission(board: &Blackboard, accepted: &admission::Request) -> Submission {
    let timeout = accepted.patience.mul_f64(RESUME_FRACTION);
    let deadline = (board.now() + timeout).min(accepted.deadline);
    accepted.submission.clone().with_deadlines(Deadlines { soft: deadline, hard: deadline })
}

async fn next_segment(
    board: Rc<Blackboard>,
    accepted: Rc<admission::Request>,
    mut history: History,
    last: Option<u64>,
    mut first: Option<Slot>,
) -> Result<(Segment, History), Box<str>> {
    let submission = resuming_submission(&board, &accepted);
    loop {
        let slot = match first.take() {
            Some(slot) => slot,
            None => dispatcher::acquire_slot(&board, &submission, &history.tried)
                .await
                .map_err(|refusal| refusal.code.to_string())?,
        };
        quarantine::check_attempt(&board, &accepted).map_err(|refused| refused.cause)?;
        let endpoint = slot.endpoint().clone();
        let sent = exchange::send(&board, &accepted, slot, last).await;
        let failure = match sent {
            Ok(received) if received.parts.status.is_success() => {
                return Ok((Segment::new(received).resumed(), history));
            }
            Ok(received) => {
                let status = received.parts.status;
                received.slot.release(Outcome::Failed);
                Failure::Lost(format!("endpoint answered {status}").into())
            }
            Err(failure) => failure,
        };
        let recorded = history.record_failure(&board, &accepted, &endpoint, &failure);
        recorded.map_err(|refused| refused.cause)?;
    }
}

//! Handling of one request, from validation to response.
//!
//! A request that may be repeated is sent to another endpoint after any failure
//! before its deadline, within the route's maximum number of attempts and the
//! service's retry budget. A request that may run at most once is sent again
//! only if nothing of it was sent, or if the endpoint stated that it did not run
//! it.

use crate::{
    admission,
    blackboard::{Blackboard, Phase},
    connections::{self, Entry},
    dispatcher::{self, Slot},
    headers::Outbound,
    history::{self, Failure, History},
    limits,
    memory::Buffer,
    pool::Connection,
    progress::{self, Unwritten},
    quarantine::{self, Site},
    reply::{self, Body, RETRY_OTHER_NODE_DELAY, Refused, end_to_end, millis, response_head},
    response,
    stream::{Relay, Segment},
};
use bytes::Bytes;
use codes::{Code, Event, Executed};
use futures_util::FutureExt;
use http::{HeaderValue, StatusCode, header};
use http_body::Body as _;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use sched::{fleet::Outcome, quota::Quota};
use slog::info;
use std::{
    cell::Cell, convert::Infallible, io::ErrorKind, panic::AssertUnwindSafe, rc::Rc, time::Duration,
};
use tokio::time::Instant;
use units::{EndpointId, Tokens};

/// Largest buffered response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time for which reading a response pauses until there is memory. Endpoints abort responses that
/// stay unread for some seconds.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the memory of a connection that is closed in favour of a response to return.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest body of a response that is not forwarded, in bytes; its connection is reused after that.
const MAX_DISCARDED_BYTES: usize = 16 << 10;
/// Time limit for such a body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay before another endpoint is chosen in place of one whose release is not in use any more.
const STAGE_DELAY: Duration = Duration::from_millis(20);

/// Logs a caller that leaves before the response head; its task is dropped in that case.
struct Caller<'a> {
    board: &'a Blackboard,
    attempt: &'a str,
    answered: Cell<bool>,
}

impl Drop for Caller<'_> {
    fn drop(&mut self) {
        if !self.answered.get() {
            info!(self.board.log, "caller left"; Event::CallerLeft, "request" => self.attempt,
                "events" => 0);
        }
    }
}

/// Handles one request of a caller, on the connection of `entry` and `unwritten`.
///
/// # Errors
/// Never; the HTTP server requires a result.
pub async fn handle(
    board: Rc<Blackboard>,
    entry: Rc<Entry>,
    unwritten: Unwritten,
    request: http::Request<Incoming>,
) -> Result<http::Response<Body>, Infallible> {
    let in_progress = progress::Request::new(&board, &entry);
    let head = board.headers.decode_request(request.headers());
    let attempt: Box<str> = head.as_ref().map_or_else(|_| "".into(), |h| h.attempt.clone());
    entry.set_attempt(&attempt);
    let caller = Caller { board: &board, attempt: &attempt, answered: Cell::new(false) };
    let result = match before_end(&board, admission::check(&board, head, request), unread).await {
        Ok(accepted) => {
            let running = AssertUnwindSafe(before_end(&board, run(&board, Rc::new(accepted)), cut));
            running.catch_unwind().await.unwrap_or_else(|_| Err(failed(&board)))
        }
        Err(refused) => Err(refused),
    };
    caller.answered.set(true);
    drop(caller);
    let mut response =
        result.unwrap_or_else(|refused| reply::render_refusal(&board, &attempt, &refused));
    if board.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    entry.add_unwritten(response.body().size_hint().lower());
    let progress = progress::Response::new(in_progress, unwritten);
    Ok(response.map(|body| body.with_response(progress)))
}

/// Result of `work`; if the process ends before, that of `ending`.
async fn before_end<T>(
    board: &Blackboard,
    work: impl Future<Output = Result<T, Refused>>,
    ending: impl Fn() -> Refused,
) -> Result<T, Refused> {
    tokio::select! {
        biased;
        result = work => result,
        () = board.reached(Phase::Ending) => Err(ending()),
    }
}

/// Refusal of a request that was not read completely when the process ends.
fn unread() -> Refused {
    let refused = Refused::new(Code::Draining, "the process ends before the request was read");
    refused.with_retry_after(RETRY_OTHER_NODE_DELAY)
}

/// Failure of a request that was at an endpoint when the process ends.
fn cut() -> Refused {
    Refused::new(Code::AnswerCut, "the process ends before the response")
}

/// Failure of a request whose task met an unexpected error; it may have run.
fn failed(board: &Blackboard) -> Refused {
    board.record_panic("request");
    Refused::new(Code::AnswerCut, "unexpected error")
}

/// Runs a validated request.
async fn run(
    board: &Rc<Blackboard>,
    accepted: Rc<admission::Request>,
) -> Result<http::Response<Body>, Refused> {
    quarantine::check(board, &accepted)?;
    let cost = charge_quota(board, &accepted)?;
    board.count_request(&accepted.submission.service);
    let result = try_endpoints(board, &accepted).await;
    if let (Err(refused), Some(organisation)) = (&result, &accepted.organisation)
        && refused.code.executed() == Executed::Never
    {
        board.limiter.borrow_mut().refund(&organisation.id, cost, board.now());
    }
    result
}

/// Charges the request's tokens to its organisation's quota, unless an owner will.
fn charge_quota(board: &Blackboard, accepted: &admission::Request) -> Result<Tokens, Refused> {
    let Some(organisation) = &accepted.organisation else { return Ok(Tokens(0)) };
    if accepted.submission.cost > Tokens(0) {
        // Charged where the request is queued.
        return Ok(Tokens(0));
    }
    let cost = accepted.head.cost(organisation.default_cost);
    board.charge(&organisation.id, cost).map(|()| cost).map_err(|wait| {
        let Quota { rate, burst } = organisation.quota;
        let cause = format!(
            "{} asks for {cost}; its allotment of {rate} a second and {burst} at once is spent",
            organisation.id
        );
        Refused::new(Code::AllotmentSpent, cause).with_retry_after(wait)
    })
}

/// Response of an endpoint whose head has arrived.
#[derive(Debug)]
pub struct Response {
    /// Slot at the endpoint.
    pub slot: Slot,
    /// Connection.
    pub connection: Connection,
    /// Headers, decoded.
    pub head: response::Head,
    /// Status and headers.
    pub parts: http::response::Parts,
    /// Body.
    pub body: Incoming,
}

async fn try_endpoints(
    board: &Rc<Blackboard>,
    accepted: &Rc<admission::Request>,
) -> Result<http::Response<Body>, Refused> {
    let mut history = History::default();
    let mut submission = accepted.submission.clone();
    loop {
        let slot = dispatcher::acquire_slot(board, &submission, &history.tried).await;
        // Only the first attempt is charged.
        submission.cost = Tokens(0);
        let slot =
            slot.map_err(|refusal| history.refuse_unplaced(accepted, refusal, board.now()))?;
        quarantine::check_attempt(board, accepted)
            .map_err(|refused| history.refuse_again(refused))?;
        let endpoint = slot.endpoint().clone();
        let received = match send(board, accepted, slot, accepted.head.resume_after).await {
            Ok(received) => received,
            Err(failure) => {
                history.record_failure(board, accepted, &endpoint, &failure)?;
                continue;
            }
        };
        let result = if accepted.route.kind.is_stream() && received.parts.status.is_success() {
            forward_stream(board, accepted, received, &mut history).await
        } else {
            forward_plain(board, accepted, received, &history).await
        };
        match result {
            Ok(response) => return Ok(response),
            Err(failure) => history.record_failure(board, accepted, &endpoint, &failure)?,
        }
    }
}

/// Sends a request and waits for the response head.
///
/// # Errors
/// [`Failure`]; the slot has been released.
pub async fn send(
    board: &Rc<Blackboard>,
    accepted: &admission::Request,
    mut slot: Slot,
    resume_after: Option<u64>,
) -> Result<Response, Failure> {
    if slot.is_void() {
        slot.release(Outcome::Cancelled);
        // The node that chose the endpoint learns of the stage meanwhile.
        tokio::time::sleep(STAGE_DELAY).await;
        return Err(Failure::Unsent("its release is not in use any more".into()));
    }
    slot.record_sent(&accepted.route.name, accepted.deadline);
    let now = board.now();
    let waited = now.since(accepted.arrived);
    info!(board.log, "routed"; Event::Routed, "request" => &*accepted.head.attempt,
        "route" => &*accepted.route.name, "service" => %accepted.submission.service,
        "organisation" => %accepted.submission.organisation,
        "prompt" => accepted.submission.size.prompt.get(),
        "output" => accepted.submission.max_output.get(),
        "endpoint" => %slot.endpoint(), "expected_ms" => millis(slot.choice.expected),
        "flights" => slot.choice.in_flight, "candidates" => slot.choice.candidates,
        "waited_ms" => millis(waited), "resume_after" => resume_after,
        "owner" => slot.owner().map(|owner| owner.to_string()));
    board.metrics.record_time("queue", waited);
    let recent_only = !accepted.route.kind.is_repeatable();
    let attempt = &accepted.head.attempt;
    let connection = match board.pool.acquire(slot.address(), attempt, recent_only, now).await {
        Ok(connection) => connection,
        Err(e) => {
            let is_own_limit = e.kind() == ErrorKind::ResourceBusy;
            slot.release(if is_own_limit { Outcome::Cancelled } else { Outcome::Unreachable });
            return Err(Failure::Unsent(e.to_string().into()));
        }
    };
    if slot.is_void() {
        slot.release(Outcome::Cancelled);
        return Err(Failure::Unsent("its release is not in use any more".into()));
    }
    exchange_head(board, accepted, slot, connection, resume_after).await
}

async fn exchange_head(
    board: &Rc<Blackboard>,
    accepted: &admission::Request,
    mut slot: Slot,
    mut connection: Connection,
    resume_after: Option<u64>,
) -> Result<Response, Failure> {
    let request = endpoint_request(board, accepted, &slot, resume_after);
    let time_left = accepted.deadline.since(board.now());
    let sending = connection.sender.try_send_request(request);
    let response = match tokio::time::timeout(time_left, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut e)) => {
            let unsent = e.take_message().is_some();
            let cause = history::describe(e.error());
            return Err(record_broken_connection(
                board,
                accepted,
                slot,
                connection.reused,
                unsent,
                cause,
            )
            .await);
        }
        Err(_) => return Err(Failure::TimedOut),
    };
    let (parts, body) = response.into_parts();
    let head = board.headers.decode_response(parts.status, &parts.headers);
    let checked = check_response(accepted, parts.status, &head);
    if is_from_endpoint(&checked) {
        slot.record_load(head.load);
        limits::record_response(board, slot.endpoint(), head.limit);
        record_intent(board, slot.endpoint(), parts.status, &head);
    }
    if let Err(failure) = checked {
        slot.release(match failure {
            Failure::NotRun(StatusCode::MISDIRECTED_REQUEST) => Outcome::WrongEndpoint,
            Failure::NotRun(_) => Outcome::AtCapacity,
            _ => Outcome::Failed,
        });
        if matches!(failure, Failure::NotRun(_)) && discard(body).await {
            connection.record_unfinished(&accepted.head.attempt);
            board.pool.release(connection, head.keep_alive, max_idle(board, accepted), board.now());
        }
        return Err(failure);
    }
    Ok(Response { slot, connection, head, parts, body })
}

/// Records what a response says of further requests to its endpoint.
fn record_intent(
    board: &Blackboard,
    endpoint: &EndpointId,
    status: StatusCode,
    head: &response::Head,
) {
    let mut fleet = board.fleet.borrow_mut();
    if head.leaving && fleet.record_leaving(endpoint) {
        info!(board.log, "endpoint leaving"; Event::EndpointLeaving, "endpoint" => %endpoint,
            "reason" => "its response says so");
    }
    if let Some(wait) = head.retry_after
        && status == StatusCode::SERVICE_UNAVAILABLE
    {
        fleet.record_refusal(endpoint, wait, board.now());
        board.metrics.count("limit", "refusal");
        info!(board.log, "endpoint refuses requests"; Event::EndpointLimit, "endpoint" => %endpoint,
            "retry_after_ms" => millis(wait));
    }
}

/// Reads a body that is not forwarded; true if it ended.
async fn discard(body: Incoming) -> bool {
    let reading = Limited::new(body, MAX_DISCARDED_BYTES).collect();
    matches!(tokio::time::timeout(DISCARD_TIMEOUT, reading).await, Ok(Ok(_)))
}

/// Reads a body within the limits of one response and of the memory for all of them. While there is
/// no memory, reading pauses.
async fn read_whole(
    board: &Blackboard,
    accepted: &admission::Request,
    mut body: Incoming,
) -> Result<Buffer, Failure> {
    let lost = |cause: String| Failure::Lost(cause.into());
    let mut whole = Buffer::new(board.body_memory.reserve_for(&accepted.submission.organisation));
    // A stated length is reserved at once, so that responses that are read at the same time do not
    // wait for each other's memory.
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > MAX_RESPONSE_BYTES {
        return Err(lost(format!("response of {stated} bytes")));
    }
    reserve(board, accepted, || whole.reserve(stated)).await?;
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(|e| Failure::Lost(history::describe(&e)))?.into_data() else {
            continue;
        };
        if whole.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(lost(format!("response of more than {} bytes", whole.len())));
        }
        reserve(board, accepted, || whole.push(&chunk)).await?;
    }
    Ok(whole)
}

/// Waits until a reservation succeeds. If there is no memory within a time, connections that do not
/// read their responses are closed.
async fn reserve(
    board: &Blackboard,
    accepted: &admission::Request,
    mut attempt: impl FnMut() -> bool,
) -> Result<(), Failure> {
    if attempt() {
        return Ok(());
    }
    board.metrics.count("memory", "paused");
    let mut wait = ROOM_TIMEOUT;
    let mut until = Instant::now() + wait;
    loop {
        let mut returned = std::pin::pin!(board.body_memory.returned());
        returned.as_mut().enable();
        if attempt() {
            return Ok(());
        }
        if tokio::time::timeout_at(until, returned).await.is_ok() {
            continue;
        }
        if wait == RECLAIM_TIMEOUT || !connections::reclaim_memory(board) {
            break;
        }
        wait = RECLAIM_TIMEOUT;
        until = Instant::now() + wait;
    }
    board.metrics.count("memory", "short");
    info!(board.log, "memory short"; Event::MemoryShort, "request" => &*accepted.head.attempt,
        "organisation" => %accepted.submission.organisation, "free" => board.body_memory.free(),
        "unwritten" => board.connections.unwritten());
    Err(Failure::NoMemory)
}

/// Maximum number of idle connections to keep per endpoint of the request's service.
pub fn max_idle(board: &Blackboard, accepted: &admission::Request) -> u32 {
    board.max_connections(&accepted.submission.service)
}

/// Releases a slot whose connection broke before the response head.
async fn record_broken_connection(
    board: &Rc<Blackboard>,
    accepted: &admission::Request,
    slot: Slot,
    reused: bool,
    unsent: bool,
    cause: Box<str>,
) -> Failure {
    let site = Site::new(&slot);
    if unsent {
        // The endpoint may have closed an idle connection, which does not indicate a fault.
        slot.release(if reused { Outcome::Cancelled } else { Outcome::Unreachable });
        return Failure::Unsent(cause);
    }
    slot.release(Outcome::Failed);
    quarantine::record_if_crashed(board, accepted, site).await;
    Failure::Lost(cause)
}

/// Whether a status is one of a final response (RFC 9110, section 15). The client has read any other
/// interim responses; a switch of protocols was not asked for, and what follows it has no framing.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Checks that a response belongs to the request and may be forwarded.
fn check_response(
    accepted: &admission::Request,
    status: StatusCode,
    head: &response::Head,
) -> Result<(), Failure> {
    match &head.attempt {
        Some(attempt) if *attempt == accepted.head.attempt => {}
        Some(_) => return Err(Failure::Lost("answer to another request".into())),
        None => return Err(Failure::Lost("answer that names no request".into())),
    }
    if !is_final(status) {
        return Err(Failure::Lost(format!("status {status} of no final answer").into()));
    }
    if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::NotRun(status));
    }
    if status.is_success() && !head.signed {
        return Err(Failure::Lost("success without a signature".into()));
    }
    Ok(())
}

/// Whether a response comes from the endpoint that the request was for, and answers the request.
fn is_from_endpoint(checked: &Result<(), Failure>) -> bool {
    match checked {
        Ok(()) => true,
        Err(Failure::NotRun(status)) => *status != StatusCode::MISDIRECTED_REQUEST,
        Err(_) => false,
    }
}

fn endpoint_request(
    board: &Blackboard,
    accepted: &admission::Request,
    slot: &Slot,
    resume_after: Option<u64>,
) -> http::Request<Full<Bytes>> {
    let mut headers = end_to_end(&accepted.headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let outbound = Outbound {
        endpoint: slot.endpoint(),
        organisation: accepted.organisation.as_ref().map(|o| &o.id),
        time_left: accepted.deadline.since(board.now()),
        resume_after,
    };
    board.headers.rewrite_request(&mut headers, &outbound);
    let mut request = http::Request::new(Full::new(accepted.body.clone()));
    *request.method_mut() = accepted.method.clone();
    *request.uri_mut() = accepted.path.clone().into();
    *request.headers_mut() = headers;
    request
}

/// Whether a status tells the caller that the request was not run.
fn indicates_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Buffers a plain response and forwards it once it is complete.
async fn forward_plain(
    board: &Rc<Blackboard>,
    accepted: &Rc<admission::Request>,
    received: Response,
    history: &History,
) -> Result<http::Response<Body>, Failure> {
    let Response { mut slot, mut connection, head, parts, body } = received;
    let time_left = accepted.deadline.since(board.now());
    let reading = read_whole(board, accepted, body);
    let body = match tokio::time::timeout(time_left, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(Failure::NoMemory)) => {
            // The endpoint is not at fault.
            slot.release(Outcome::Cancelled);
            return Err(Failure::NoMemory);
        }
        Ok(Err(failure)) => {
            let site = Site::new(&slot);
            slot.release(Outcome::Failed);
            quarantine::record_if_crashed(board, accepted, site).await;
            return Err(failure);
        }
        Err(_) => return Err(Failure::TimedOut),
    };
    let now = board.now();
    if !parts.status.is_success() {
        connection.record_unfinished(&accepted.head.attempt);
    }
    board.pool.release(connection, head.keep_alive, max_idle(board, accepted), now);
    slot.record_events(1);
    let took = now.since(slot.acquired);
    if parts.status.is_success() {
        quarantine::record_survival(board, accepted);
    }
    let failed = parts.status.is_server_error();
    let endpoint = slot.endpoint().clone();
    slot.release(if failed { Outcome::Failed } else { Outcome::Completed });
    if failed && history.may_run_again(accepted) && board.try_retry(&accepted.submission.service) {
        return Err(Failure::Lost(format!("endpoint answered {}", parts.status).into()));
    }
    // Without the endpoint's statement that it did not run the request, the status may be untrue.
    if !accepted.route.kind.is_repeatable() && indicates_not_run(parts.status) {
        return Err(Failure::Lost(format!("endpoint answered {}", parts.status).into()));
    }
    info!(board.log, "answered"; Event::Answered, "request" => &*accepted.head.attempt,
        "endpoint" => %endpoint, "status" => parts.status.as_u16(), "took_ms" => millis(took),
        "total_ms" => millis(now.since(accepted.arrived)), "runs" => history.possible_runs + 1);
    board.metrics.count("answered", parts.status.as_str());
    board.metrics.record_time("answer", now.since(accepted.arrived));
    Ok(response_head(&parts).map(|()| Body::segments(body.into_segments())))
}

/// Forwards a stream once its first event has arrived.
async fn forward_stream(
    board: &Rc<Blackboard>,
    accepted: &Rc<admission::Request>,
    received: Response,
    history: &mut History,
) -> Result<http::Response<Body>, Failure> {
    let head = response_head(&received.parts);
    let segment = Segment::new(received);
    let mut relay = Relay::new(Rc::clone(board), Rc::clone(accepted), segment);
    relay.wait_first_event().await?;
    relay.take_history(std::mem::take(history));
    Ok(head.map(|()| Body::relay(relay)))
}

//! One request from its checks to its answer.
//!
//! A request that may be repeated goes to another endpoint after any failure,
//! within its route's number of attempts and the service's budget of repeats;
//! one that may run once does so only when nothing of it has left or the
//! endpoint said that it did not run it.

use crate::{
    blackboard::{Blackboard, Phase},
    desk::{self, Flight},
    headers::Outbound,
    history::{Failure, History},
    intake::{self, Intake},
    pool::Connection,
    reply::{self, Body, Refused, end_to_end, millis, respond},
    response,
    stream::Relay,
};
use bytes::Bytes;
use codes::{Code, Event, Executed};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use sched::{fleet::Outcome, quota::Quota, strike::Verdict};
use slog::info;
use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::TcpStream;
use units::Tokens;

/// Largest plain answer that is held, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// Time to tell a crashed endpoint from a broken connection.
const CRASH_PROBE: Duration = Duration::from_millis(200);

/// Counts a request in progress while it lives.
struct Progress<'a>(&'a Cell<usize>);

impl<'a> Progress<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Progress<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Notes a caller that leaves before the head of its answer: its task is dropped then.
struct Waiting<'a> {
    board: &'a Blackboard,
    attempt: &'a str,
    answered: Cell<bool>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered.get() {
            info!(self.board.log, "caller left"; Event::CallerLeft, "request" => self.attempt,
                "events" => 0);
        }
    }
}

/// Handles one request of a caller.
///
/// # Errors
/// None; the type is what the server asks for.
pub async fn handle(
    board: Rc<Blackboard>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let _progress = Progress::new(&board.in_progress);
    let head = board.headers.decode_request(request.headers());
    let attempt: Box<str> = head.as_ref().map_or_else(|_| "".into(), |h| h.attempt.clone());
    let waiting = Waiting { board: &board, attempt: &attempt, answered: Cell::new(false) };
    let result = match intake::check(&board, head, request).await {
        Ok(intake) => run(&board, Rc::new(intake)).await,
        Err(refused) => Err(refused),
    };
    waiting.answered.set(true);
    drop(waiting);
    let mut response = result.unwrap_or_else(|refused| reply::refusal(&board, &attempt, &refused));
    if board.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Runs a request that passed its checks.
async fn run(board: &Rc<Blackboard>, intake: Rc<Intake>) -> Result<Response<Body>, Refused> {
    quarantine(board, &intake)?;
    let cost = charge(board, &intake)?;
    board.count_request(&intake.wanted.service);
    let result = attempts(board, &intake).await;
    if let (Err(refused), Some(organisation)) = (&result, &intake.organisation)
        && refused.code.executed() == Executed::Never
    {
        board.meter.borrow_mut().refund(&organisation.id, cost, board.now());
    }
    result
}

fn quarantine(board: &Blackboard, intake: &Intake) -> Result<(), Refused> {
    let now = board.now();
    match board.ledger.borrow().verdict(intake.wanted.fingerprint, now) {
        Verdict::Quarantined { until } => {
            let cause = format!("endpoints crashed under {}", intake.wanted.fingerprint);
            let refused = Refused::new(Code::Crashing, cause);
            Err(refused.with_retry_after(until.since(now)))
        }
        Verdict::Clear | Verdict::Suspect => Ok(()),
    }
}

/// Takes the request's tokens from its organisation's allotment.
fn charge(board: &Blackboard, intake: &Intake) -> Result<Tokens, Refused> {
    let Some(organisation) = &intake.organisation else { return Ok(Tokens(0)) };
    let cost = intake.head.cost(organisation.default_cost);
    board.admit(organisation, cost).map(|()| cost).map_err(|wait| {
        let Quota { rate, burst } = organisation.quota;
        let cause = format!(
            "{} asks for {cost}; its allotment of {rate} a second and {burst} at once is spent",
            organisation.id
        );
        Refused::new(Code::AllotmentSpent, cause).with_retry_after(wait)
    })
}

/// Answer of an endpoint whose head has come.
#[derive(Debug)]
pub struct Answered {
    /// Slot at the endpoint.
    pub flight: Flight,
    /// Connection.
    pub connection: Connection,
    /// Headers, decoded.
    pub head: response::Head,
    /// Status and headers.
    pub parts: http::response::Parts,
    /// Body.
    pub body: Incoming,
}

async fn attempts(board: &Rc<Blackboard>, intake: &Rc<Intake>) -> Result<Response<Body>, Refused> {
    let mut history = History::default();
    loop {
        let flight = desk::place(board, &intake.wanted, &history.tried).await;
        let flight = flight.map_err(|refusal| history.turned_away(intake, refusal, board.now()))?;
        let endpoint = flight.endpoint().clone();
        let answered = match send(board, intake, flight, intake.head.resume_after).await {
            Ok(answered) => answered,
            Err(failure) => {
                history.note(board, intake, &endpoint, &failure)?;
                continue;
            }
        };
        let result = if intake.route.kind.is_stream() && answered.parts.status.is_success() {
            relay(board, intake, answered, &mut history).await
        } else {
            plain(board, intake, answered, &history).await
        };
        match result {
            Ok(response) => return Ok(response),
            Err(failure) => history.note(board, intake, &endpoint, &failure)?,
        }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// [`Failure`]; the flight has ended.
pub async fn send(
    board: &Rc<Blackboard>,
    intake: &Intake,
    flight: Flight,
    resume_after: Option<u64>,
) -> Result<Answered, Failure> {
    let now = board.now();
    let waited = now.since(intake.arrived);
    info!(board.log, "routed"; Event::Routed, "request" => &*intake.head.attempt,
        "route" => &*intake.route.name, "service" => %intake.wanted.service,
        "organisation" => %intake.wanted.organisation, "prompt" => intake.wanted.demand.prompt.get(),
        "output" => intake.wanted.output.get(),
        "endpoint" => %flight.endpoint(), "expected_ms" => millis(flight.choice.expected),
        "flights" => flight.choice.in_flight, "candidates" => flight.choice.candidates,
        "waited_ms" => millis(waited), "resume_after" => resume_after);
    board.metrics.time("queue", waited);
    let trusted = !intake.route.kind.is_repeatable();
    let connection = match board.pool.take(flight.address(), trusted, now).await {
        Ok(connection) => connection,
        Err(e) => {
            flight.end(Outcome::Unreachable);
            return Err(Failure::Unsent(e.to_string().into()));
        }
    };
    exchange(board, intake, flight, connection, resume_after).await
}

async fn exchange(
    board: &Rc<Blackboard>,
    intake: &Intake,
    flight: Flight,
    mut connection: Connection,
    resume_after: Option<u64>,
) -> Result<Answered, Failure> {
    let request = outbound(board, intake, &flight, resume_after);
    let left = intake.deadline.since(board.now());
    let sending = connection.sender.try_send_request(request);
    let response = match tokio::time::timeout(left, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut e)) => {
            let unsent = e.take_message().is_some();
            let cause: Box<str> = e.error().to_string().into();
            return Err(broken(board, intake, flight, connection.kept, unsent, cause).await);
        }
        Err(_) => return Err(Failure::TimedOut),
    };
    let (parts, body) = response.into_parts();
    let head = board.headers.decode_response(parts.status, &parts.headers);
    flight.gauge(head.load);
    if let Err(failure) = check(intake, parts.status, &head) {
        flight.end(match failure {
            Failure::NotRun(StatusCode::MISDIRECTED_REQUEST) => Outcome::WrongEndpoint,
            Failure::NotRun(_) => Outcome::AtCapacity,
            _ => Outcome::Failed,
        });
        if matches!(failure, Failure::NotRun(_)) && body.collect().await.is_ok() {
            board.pool.put(connection, head.keep_alive, idle(board, intake), board.now());
        }
        return Err(failure);
    }
    Ok(Answered { flight, connection, head, parts, body })
}

/// Idle connections that are kept to an endpoint of a request's service.
pub fn idle(board: &Blackboard, intake: &Intake) -> u32 {
    board.connections(&intake.wanted.service)
}

/// Ends a flight whose connection broke before the head of an answer.
async fn broken(
    board: &Rc<Blackboard>,
    intake: &Intake,
    flight: Flight,
    kept: bool,
    unsent: bool,
    cause: Box<str>,
) -> Failure {
    let address = flight.address();
    if unsent {
        // A kept connection may have been closed by the other side; that says nothing of it.
        flight.end(if kept { Outcome::Cancelled } else { Outcome::Unreachable });
        return Failure::Unsent(cause);
    }
    flight.end(Outcome::Failed);
    strike_if_crashed(board, intake, address).await;
    Failure::Lost(cause)
}

/// Adds a strike to a request whose endpoint refuses connections right after it broke off.
pub async fn strike_if_crashed(board: &Blackboard, intake: &Intake, address: SocketAddr) {
    board.pool.drop_address(address);
    let probe = tokio::time::timeout(CRASH_PROBE, TcpStream::connect(address)).await;
    if matches!(probe, Ok(Err(_))) {
        let fingerprint = intake.wanted.fingerprint;
        let strikes = board.ledger.borrow_mut().strike(fingerprint, board.now());
        info!(board.log, "strike"; Event::Strike, "request" => &*intake.head.attempt,
            "fingerprint" => %fingerprint, "strikes" => strikes, "address" => %address);
    }
}

/// Whether an answer belongs to the request and may be passed on.
fn check(intake: &Intake, status: StatusCode, head: &response::Head) -> Result<(), Failure> {
    if head.attempt.as_ref().is_some_and(|attempt| *attempt != intake.head.attempt) {
        return Err(Failure::Lost("answer to another request".into()));
    }
    if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::NotRun(status));
    }
    if status.is_success() && !head.signed {
        return Err(Failure::Lost("success without a signature".into()));
    }
    Ok(())
}

fn outbound(
    board: &Blackboard,
    intake: &Intake,
    flight: &Flight,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = end_to_end(&intake.headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let outbound = Outbound {
        endpoint: flight.endpoint(),
        organisation: intake.organisation.as_ref().map(|o| &o.id),
        time_left: intake.deadline.since(board.now()),
        resume_after,
    };
    board.headers.rewrite_request(&mut headers, &outbound);
    let mut request = Request::new(Full::new(intake.body.clone()));
    *request.method_mut() = intake.method.clone();
    *request.uri_mut() = intake.path.clone().into();
    *request.headers_mut() = headers;
    request
}

/// Statuses that promise that a request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Passes a plain answer on once it is whole.
async fn plain(
    board: &Rc<Blackboard>,
    intake: &Rc<Intake>,
    answered: Answered,
    history: &History,
) -> Result<Response<Body>, Failure> {
    let Answered { mut flight, connection, head, parts, body } = answered;
    let left = intake.deadline.since(board.now());
    let reading = Limited::new(body, MAX_ANSWER).collect();
    let body = match tokio::time::timeout(left, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) => {
            let address = flight.address();
            flight.end(Outcome::Failed);
            strike_if_crashed(board, intake, address).await;
            return Err(Failure::Lost(e.to_string().into()));
        }
        Err(_) => return Err(Failure::TimedOut),
    };
    let now = board.now();
    board.pool.put(connection, head.keep_alive, idle(board, intake), now);
    flight.heard(1);
    let took = now.since(flight.since);
    let failed = parts.status.is_server_error();
    let endpoint = flight.endpoint().clone();
    flight.end(if failed { Outcome::Failed } else { Outcome::Completed });
    if failed && history.may_run_again(intake) && board.may_repeat(&intake.wanted.service) {
        return Err(Failure::Lost(format!("endpoint answered {}", parts.status).into()));
    }
    if !intake.route.kind.is_repeatable() && promises_not_run(parts.status) {
        return Err(Failure::Lost(format!("endpoint answered {}", parts.status).into()));
    }
    info!(board.log, "answered"; Event::Answered, "request" => &*intake.head.attempt,
        "endpoint" => %endpoint, "status" => parts.status.as_u16(), "took_ms" => millis(took),
        "total_ms" => millis(now.since(intake.arrived)), "runs" => history.runs + 1);
    board.metrics.count("answered", parts.status.as_str());
    board.metrics.time("answer", now.since(intake.arrived));
    Ok(respond(&parts, Body::Full(Full::new(body))))
}

/// Passes a stream on, once its first event has come.
async fn relay(
    board: &Rc<Blackboard>,
    intake: &Rc<Intake>,
    answered: Answered,
    history: &mut History,
) -> Result<Response<Body>, Failure> {
    let Answered { flight, connection, head, parts, body } = answered;
    let leg = crate::stream::Leg { flight, connection, body, keep_alive: head.keep_alive };
    let mut relay = Relay::new(Rc::clone(board), Rc::clone(intake), leg);
    relay.first().await?;
    relay.take_history(std::mem::take(history));
    Ok(respond(&parts, Body::Relay(Box::new(relay))))
}

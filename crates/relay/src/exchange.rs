//! One request from its checks to its answer.
//!
//! A request that may be repeated goes to another endpoint after any failure,
//! within its route's number of attempts and the service's budget of repeats;
//! one that may run once does so only when nothing of it has left or the
//! endpoint said that it did not run it.

use crate::{
    answer,
    board::{Board, Phase},
    caller,
    catalog::{Organisation, Route},
    desk::{self, Flight, Refusal, Wanted},
    dialect::Stamp,
    pool::Connection,
    stream::Relay,
};
use bytes::Bytes;
use codes::{Code, Event};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header, response,
    uri::PathAndQuery,
};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use sched::{fleet::Outcome, line::Terms, strike::Verdict};
use slog::info;
use std::{
    cell::Cell,
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::net::TcpStream;
use units::{EndpointId, Fingerprint, OrganisationId, RequestId, ServiceId, Time, Tokens};
use xxhash_rust::xxh3::Xxh3;

/// Time that a request without a stated one is given.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// Largest plain answer that is held, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// Silence of a stream after which callers leave, at least.
const SILENCE_LEAST: Duration = Duration::from_secs(2);
/// The same, in times of the route's target for the first event.
const SILENCE_TARGETS: u32 = 4;
/// The same, in times of the route's longest pause.
const SILENCE_PAUSES: u32 = 8;
/// Part of the memory that callers' bodies may take.
const BODY_MEMORY_PART: u64 = 4;
/// Time from a dispatch to the answer beside the reading of the prompt.
const DISPATCH_LEAD: Duration = Duration::from_millis(60);
/// Reading time of a thousand prompt tokens; the engines' data sheet.
const READ_THOUSAND: Duration = Duration::from_millis(9);
/// Time after which a caller that met no room should return.
const RETRY_SOON: Duration = Duration::from_millis(300);
/// Part of the time left after which a caller is asked to return at the latest; callers do not
/// wait for longer than a third.
const RETURN_PART: u32 = 4;
/// Time after which a caller should turn to another node.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);
/// Connections that may fail before the request is refused.
const MAX_UNSENT: u32 = 6;
/// Time to tell a crashed endpoint from a broken connection.
const CRASH_PROBE: Duration = Duration::from_millis(200);
/// Organisation of requests that need no key.
const ANONYMOUS: &str = "anonymous";

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum Body {
    /// Whole.
    Full(Full<Bytes>),
    /// Passed on event by event.
    Relay(Box<Relay>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full).poll_frame(context).map_err(|e| match e {}),
            Self::Relay(relay) => relay
                .poll_events(context)
                .map(|next| next.map(|result| result.map(Frame::data).map_err(Into::into))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Relay(_) => SizeHint::default(),
        }
    }
}

/// Request that passed its checks.
#[derive(Debug)]
pub struct Intake {
    /// Caller's headers, decoded.
    pub head: caller::Head,
    /// Route.
    pub route: Rc<Route>,
    /// Organisation, unless the route is anonymous.
    pub organisation: Option<Rc<Organisation>>,
    /// When it arrived.
    pub arrived: Time,
    /// When its caller or its route gives up.
    pub deadline: Time,
    /// What the desk needs to know.
    pub wanted: Wanted,
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
}

/// Refusal or failure of our own.
#[derive(Debug)]
pub struct Refused {
    /// Result code.
    pub code: Code,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Cause, for the log.
    pub cause: Box<str>,
}

impl Refused {
    /// Refusal without a time to return.
    #[must_use]
    pub fn new(code: Code, cause: impl Into<Box<str>>) -> Self {
        Self { code, retry_after: None, cause: cause.into() }
    }

    /// States when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}

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

/// Handles one request of a caller.
///
/// # Errors
/// None; the type is what the server asks for.
pub async fn handle(
    board: Rc<Board>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let _progress = Progress::new(&board.in_progress);
    let head = board.dialect.caller(request.headers());
    let attempt: Box<str> = head.as_ref().map_or_else(|_| "".into(), |h| h.attempt.clone());
    let result = match intake(&board, head, request).await {
        Ok(intake) => run(&board, Rc::new(intake)).await,
        Err(refused) => Err(refused),
    };
    let mut response = result.unwrap_or_else(|refused| refusal(&board, &attempt, &refused));
    if board.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn refusal(board: &Board, attempt: &str, refused: &Refused) -> Response<Body> {
    let code = refused.code;
    info!(board.log, "refused"; Event::Refused, "request" => attempt, "code" => code.number(),
        "executed" => %code.executed(), "cause" => &*refused.cause,
        "retry_after_ms" => refused.retry_after.map(millis));
    board.metrics.count("refused", &code.number().to_string());
    let mut response = Response::new(Body::Full(Full::default()));
    *response.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    board.dialect.refusal(headers, attempt);
    if let Some(span) = refused.retry_after {
        let seconds = format!("{:.2}", span.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Whole milliseconds, for logs.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

async fn intake(
    board: &Rc<Board>,
    head: Result<caller::Head, Box<str>>,
    request: Request<Incoming>,
) -> Result<Intake, Refused> {
    let arrived = board.now();
    let catalog = board.catalog.borrow().clone();
    let Some(catalog) = catalog else {
        let refused = Refused::new(Code::NotReady, "no configuration yet");
        return Err(refused.with_retry_after(RETRY_SOON));
    };
    let head = head.map_err(|name| Refused::new(Code::Malformed, format!("header {name}")))?;
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let route = catalog.route(host, request.uri().path());
    let route = Rc::clone(route.ok_or_else(|| {
        let cause = format!("{host}{} in version {}", request.uri().path(), catalog.version);
        Refused::new(Code::UnknownRoute, cause)
    })?);
    let organisation = organisation(&catalog, &route, &head)?;
    if board.phase() == Phase::Closing && route.kind.is_stream() {
        let refused = Refused::new(Code::Draining, "a stream would outlive this process");
        return Err(refused.with_retry_after(RETRY_ELSEWHERE));
    }
    let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
    let deadline = arrived + route.timeout.map_or(patience, |timeout| timeout.min(patience));
    let (parts, body) = request.into_parts();
    let body = read_body(board, &catalog, body, deadline).await?;
    let fingerprint = fingerprint(organisation.as_deref(), parts.uri.path(), &body);
    let draw: u64 = rand::random();
    let service = route.backend(draw).cloned();
    let service = service.ok_or_else(|| Refused::new(Code::NoEndpoint, "route has no service"))?;
    let wanted =
        wanted(&head, &route, organisation.as_deref(), service, fingerprint, arrived, deadline);
    let path = parts.uri.path_and_query().cloned();
    Ok(Intake {
        head,
        organisation,
        arrived,
        deadline,
        wanted,
        method: parts.method,
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: parts.headers,
        body,
        route,
    })
}

fn organisation(
    catalog: &crate::Catalog,
    route: &Route,
    head: &caller::Head,
) -> Result<Option<Rc<Organisation>>, Refused> {
    let holder = head.key.as_deref().and_then(|key| catalog.holder(key)).cloned();
    if holder.is_none() && !route.anonymous {
        let cause = format!("no organisation holds the key in version {}", catalog.version);
        return Err(Refused::new(Code::UnknownKey, cause));
    }
    Ok(holder)
}

#[allow(clippy::too_many_arguments, reason = "joins what the checks found")]
fn wanted(
    head: &caller::Head,
    route: &Route,
    organisation: Option<&Organisation>,
    service: ServiceId,
    fingerprint: Fingerprint,
    arrived: Time,
    deadline: Time,
) -> Wanted {
    let demand = Wanted::demand(head);
    let thousands = u32::try_from(demand.prompt.0 / 1_000).unwrap_or(u32::MAX);
    let lead = DISPATCH_LEAD + READ_THOUSAND * thousands;
    let target = route.target.unwrap_or_else(|| deadline.since(arrived));
    let timely = arrived + target.saturating_sub(lead.min(target / 2));
    let patience = deadline.since(arrived).min(silence(route));
    let latest = arrived + patience.saturating_sub(lead.min(patience / 2));
    let anonymous = || OrganisationId::new(ANONYMOUS).expect("the name is valid");
    Wanted {
        request: RequestId::random(&mut rand::rng()),
        service,
        rank: route.rank,
        organisation: organisation.map_or_else(anonymous, |o| o.id.clone()),
        demand,
        output: head.output.unwrap_or_default(),
        pause: route.pause.filter(|_| route.kind.is_stream()),
        terms: Terms { timely, latest },
        fingerprint,
    }
}

/// Time for which a caller waits for the next event of a stream, the first one included.
fn silence(route: &Route) -> Duration {
    if !route.kind.is_stream() {
        return DEFAULT_PATIENCE;
    }
    let by_target = route.target.unwrap_or_default() * SILENCE_TARGETS;
    let by_pause = route.pause.unwrap_or_default() * SILENCE_PAUSES;
    SILENCE_LEAST.max(by_target).max(by_pause)
}

/// Reads a caller's body within the limits of size, time and memory.
async fn read_body(
    board: &Board,
    catalog: &crate::Catalog,
    body: Incoming,
    deadline: Time,
) -> Result<Bytes, Refused> {
    let limits = catalog.limits;
    let stated = body.size_hint().lower();
    if stated > limits.body.get() {
        return Err(Refused::new(Code::BodyTooLarge, format!("{stated} bytes are stated")));
    }
    if board.held.get() + stated > board.settings.memory / BODY_MEMORY_PART {
        let refused = Refused::new(Code::TooManyRequests, "memory for bodies is in use");
        return Err(refused.with_retry_after(RETRY_SOON));
    }
    let limit = usize::try_from(limits.body.get()).unwrap_or(usize::MAX);
    let reading = Limited::new(body, limit).collect();
    let time = limits.header_timeout.min(deadline.since(board.now()));
    match tokio::time::timeout(time, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Refused::new(Code::BodyTooLarge, format!("more than {limit} bytes came")))
        }
        Ok(Err(e)) => Err(Refused::new(Code::Malformed, format!("body: {e}"))),
        Err(_) => Err(Refused::new(Code::SlowSender, "the body did not arrive in time")),
    }
}

fn fingerprint(organisation: Option<&Organisation>, path: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(organisation.map_or("", |o| o.id.as_str()).as_bytes());
    hash.update(path.as_bytes());
    hash.update(body);
    Fingerprint(hash.digest())
}

/// Runs a request that passed its checks.
async fn run(board: &Rc<Board>, intake: Rc<Intake>) -> Result<Response<Body>, Refused> {
    quarantine(board, &intake)?;
    let cost = charge(board, &intake)?;
    board.count_request(&intake.wanted.service);
    let result = attempts(board, &intake).await;
    if let (Err(refused), Some(organisation)) = (&result, &intake.organisation)
        && refused.code.executed() == codes::Executed::Never
    {
        board.meter.borrow_mut().refund(&organisation.id, cost);
    }
    result
}

fn quarantine(board: &Board, intake: &Intake) -> Result<(), Refused> {
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
fn charge(board: &Board, intake: &Intake) -> Result<Tokens, Refused> {
    let Some(organisation) = &intake.organisation else { return Ok(Tokens(0)) };
    let cost = intake.head.cost(organisation.plain);
    board.admit(organisation, cost).map(|()| cost).map_err(|wait| {
        let cause = format!("{} is beyond its allotment by {cost}", organisation.id);
        Refused::new(Code::AllotmentSpent, cause).with_retry_after(wait)
    })
}

/// Why an endpoint gave no answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing left for the endpoint.
    Unsent(Box<str>),
    /// The endpoint did not run the request.
    NotRun(StatusCode),
    /// The request may have run.
    Lost(Box<str>),
    /// The time was over.
    TimedOut,
}

/// Answer of an endpoint whose head has come.
#[derive(Debug)]
pub struct Answered {
    /// Slot at the endpoint.
    pub flight: Flight,
    /// Connection.
    pub connection: Connection,
    /// Headers, decoded.
    pub head: answer::Head,
    /// Status and headers.
    pub parts: response::Parts,
    /// Body.
    pub body: Incoming,
}

/// Endpoints that a request was sent to, and what became of it there.
#[derive(Debug, Default)]
pub struct History {
    /// Endpoints that it should not go to again.
    pub tried: Vec<EndpointId>,
    /// Endpoints that it may have run at.
    pub runs: u32,
    /// Connections that could not be made.
    pub unsent: u32,
}

impl History {
    /// Notes a failure and says whether the request may go to another endpoint.
    ///
    /// # Errors
    /// What the caller is told instead.
    pub fn note(
        &mut self,
        board: &Board,
        intake: &Intake,
        endpoint: &EndpointId,
        failure: &Failure,
    ) -> Result<(), Refused> {
        info!(board.log, "attempt failed"; Event::AttemptFailed,
            "request" => &*intake.head.attempt, "endpoint" => %endpoint,
            "failure" => format!("{failure:?}"), "runs" => self.runs);
        board.metrics.count("attempt_failed", failure.name());
        self.tried.push(endpoint.clone());
        match failure {
            Failure::Unsent(cause) => {
                self.unsent += 1;
                if self.unsent >= MAX_UNSENT {
                    return Err(self.refused(Code::NoEndpoint, cause));
                }
                return Ok(());
            }
            Failure::NotRun(status) => {
                if board.may_repeat(&intake.wanted.service) {
                    return Ok(());
                }
                return Err(self.refused(Code::QueueFull, &format!("endpoint answered {status}")));
            }
            Failure::Lost(cause) => {
                let again = self.may_run_again(intake);
                self.runs += 1;
                if !again {
                    return Err(Refused::new(Code::AnswerCut, cause.clone()));
                }
            }
            Failure::TimedOut => {
                return Err(Refused::new(Code::EndpointTimeout, "no answer before the deadline"));
            }
        }
        if board.may_repeat(&intake.wanted.service) {
            Ok(())
        } else {
            Err(Refused::new(Code::AnswerCut, "the budget of repeats is used up"))
        }
    }

    /// Whether the request may run at one more endpoint, the budget of repeats aside.
    #[must_use]
    pub fn may_run_again(&self, intake: &Intake) -> bool {
        intake.route.kind.is_repeatable() && self.runs + 1 < intake.route.attempts
    }

    /// Refusal of a request that found no endpoint.
    fn turned_away(&self, intake: &Intake, refusal: Refusal, now: Time) -> Refused {
        let left = intake.deadline.since(now);
        let cause =
            format!("{} expects to wait {} ms", intake.wanted.service, millis(refusal.wait));
        let refused = self.refused(refusal.code, &cause);
        let spread = rand::random_range(0.8..1.2);
        let wait = refusal.wait.max(RETRY_SOON).min(left / RETURN_PART).mul_f64(spread);
        if self.runs > 0 { refused } else { refused.with_retry_after(wait) }
    }

    /// Refusal that promises "not run" only if that is so.
    fn refused(&self, code: Code, cause: &str) -> Refused {
        if self.runs > 0 {
            return Refused::new(Code::AnswerCut, cause);
        }
        Refused::new(code, cause).with_retry_after(RETRY_SOON)
    }
}

impl Failure {
    const fn name(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::NotRun(_) => "not_run",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed_out",
        }
    }
}

async fn attempts(board: &Rc<Board>, intake: &Rc<Intake>) -> Result<Response<Body>, Refused> {
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
    board: &Rc<Board>,
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
        "flights" => flight.choice.flights, "candidates" => flight.choice.candidates,
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
    board: &Rc<Board>,
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
    let head = board.dialect.answer(parts.status, &parts.headers);
    flight.gauge(head.gauge);
    if let Err(failure) = check(intake, parts.status, &head) {
        let not_run = matches!(failure, Failure::NotRun(_));
        flight.end(if not_run { Outcome::Full } else { Outcome::Failed });
        if not_run && body.collect().await.is_ok() {
            board.pool.put(connection, head.keep_alive, idle(board, intake), board.now());
        }
        return Err(failure);
    }
    Ok(Answered { flight, connection, head, parts, body })
}

/// Idle connections that are kept to an endpoint of a request's service.
pub fn idle(board: &Board, intake: &Intake) -> u32 {
    board.connections(&intake.wanted.service)
}

/// Ends a flight whose connection broke before the head of an answer.
async fn broken(
    board: &Rc<Board>,
    intake: &Intake,
    flight: Flight,
    kept: bool,
    unsent: bool,
    cause: Box<str>,
) -> Failure {
    let address = flight.address();
    if unsent {
        // A kept connection may have been closed by the other side; that says nothing of it.
        flight.end(if kept { Outcome::Dropped } else { Outcome::Unreachable });
        return Failure::Unsent(cause);
    }
    flight.end(Outcome::Failed);
    strike_if_crashed(board, intake, address).await;
    Failure::Lost(cause)
}

/// Adds a strike to a request whose endpoint refuses connections right after it broke off.
pub async fn strike_if_crashed(board: &Board, intake: &Intake, address: std::net::SocketAddr) {
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
fn check(intake: &Intake, status: StatusCode, head: &answer::Head) -> Result<(), Failure> {
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
    board: &Board,
    intake: &Intake,
    flight: &Flight,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = end_to_end(&intake.headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let stamp = Stamp {
        endpoint: flight.endpoint(),
        organisation: intake.organisation.as_ref().map(|o| &o.id),
        left: intake.deadline.since(board.now()),
        resume_after,
    };
    board.dialect.outbound(&mut headers, &stamp);
    let mut request = Request::new(Full::new(intake.body.clone()));
    *request.method_mut() = intake.method.clone();
    *request.uri_mut() = intake.path.clone().into();
    *request.headers_mut() = headers;
    request
}

/// Headers that concern more than one connection.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let kept =
        headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(name) && !named.contains(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Head of the answer to a caller.
fn respond(parts: &response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(&parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Statuses that promise that a request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Passes a plain answer on once it is whole.
async fn plain(
    board: &Rc<Board>,
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
    flight.end(if failed { Outcome::Failed } else { Outcome::Whole });
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
    board: &Rc<Board>,
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

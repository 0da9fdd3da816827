//! Validation of a request before it uses any endpoint's resources.

use crate::{
    blackboard::{Blackboard, Phase},
    configuration::{Configuration, Organisation, Route},
    dispatcher::Submission,
    identity,
    reply::{RETRY_DELAY, RETRY_OTHER_NODE_DELAY, Refused},
    request,
};
use bytes::Bytes;
use codes::Code;
use http::{HeaderMap, Method, Uri, header, uri::PathAndQuery};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use sched::{backlog::Deadlines, quarantine::Trait};
use std::{rc::Rc, time::Duration};
use units::{Fingerprint, OrganisationId, RequestId, ServiceId, Time, Tokens};

/// Timeout of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortest silence of a stream after which callers give up.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Same, as a multiple of the route's target latency for the first event.
const SILENCE_TARGET_FACTOR: u32 = 4;
/// Same, as a multiple of the route's target gap between events.
const SILENCE_GAP_FACTOR: u32 = 8;
/// Time from dispatch to the first response byte, excluding the prefill.
const DISPATCH_OVERHEAD: Duration = Duration::from_millis(60);
/// Prefill time for 1,000 prompt tokens, from the engines' data sheet.
const PREFILL_PER_THOUSAND: Duration = Duration::from_millis(9);
/// Organisation of requests without a key.
const ANONYMOUS: &str = "anonymous";

/// Validated request.
#[derive(Debug)]
pub struct Request {
    /// Caller's headers, decoded.
    pub head: request::Head,
    /// Route.
    pub route: Rc<Route>,
    /// Organisation that holds the key; none for anonymous requests.
    pub organisation: Option<Rc<Organisation>>,
    /// Time of arrival.
    pub arrived: Time,
    /// Time at which the caller or the route gives up.
    pub deadline: Time,
    /// Time for which the caller waits for the next event of a stream.
    pub patience: Duration,
    /// Parameters for the dispatcher.
    pub submission: Submission,
    /// What the request is recognised by if endpoints crash under it: itself, see [`identity`], and
    /// the parts of its prompt that others may share.
    pub traits: Box<[Trait]>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// Caller's headers, unchanged.
    pub headers: HeaderMap,
    /// Body, with the reservation of its memory.
    pub body: Bytes,
}

/// Validates a request and reads its body.
///
/// # Errors
/// The reason for refusal; nothing has been sent to an endpoint.
pub async fn check(
    board: &Rc<Blackboard>,
    head: Result<request::Head, Box<str>>,
    request: http::Request<Incoming>,
) -> Result<Request, Refused> {
    let arrived = board.now();
    let configuration = board.configuration.borrow().clone();
    let Some(configuration) = configuration else {
        let refused = Refused::new(Code::NotReady, "no configuration yet");
        return Err(refused.with_retry_after(RETRY_DELAY));
    };
    if let Some(version) = board.overdue.borrow().version(arrived) {
        let refused = Refused::new(Code::NotReady, format!("version {version} did not arrive yet"));
        return Err(refused.with_retry_after(RETRY_OTHER_NODE_DELAY));
    }
    let head = head.map_err(|name| Refused::new(Code::Malformed, format!("header {name}")))?;
    let host = host(request.headers(), request.uri());
    let route = configuration.route(host, request.uri().path());
    let route = Rc::clone(route.ok_or_else(|| {
        let cause = format!("{host}{} in version {}", request.uri().path(), configuration.version);
        Refused::new(Code::UnknownRoute, cause)
    })?);
    let organisation = authenticate(&configuration, &route, &head)?;
    let caller_timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let deadline =
        arrived + route.timeout.map_or(caller_timeout, |timeout| timeout.min(caller_timeout));
    check_process_end(board, &route, deadline)?;
    let (parts, body) = request.into_parts();
    let payer = organisation.as_ref().map_or_else(anonymous, |o| o.id.clone());
    let body = read_body(board, &configuration, &payer, body, deadline).await?;
    // The process may have been told to stop while the body arrived.
    check_process_end(board, &route, deadline)?;
    let sent = identity::Request {
        organisation: organisation.as_deref().map_or("", |o| o.id.as_str()),
        host: self::host(&parts.headers, &parts.uri),
        method: &parts.method,
        uri: &parts.uri,
        headers: &parts.headers,
        body: &body,
    };
    let content = sent.content();
    let shared_parts = head.shared_parts.iter().copied().map(Trait::Shared);
    let traits = sent.traits(content, &*board.headers).into_iter().chain(shared_parts).collect();
    let draw: u64 = rand::random();
    let service = route.backend(draw).cloned();
    let service = service.ok_or_else(|| Refused::new(Code::NoEndpoint, "route has no service"))?;
    let mut submission =
        submission(&head, &route, organisation.as_deref(), service, content, arrived, deadline);
    if let Some(organisation) = &organisation
        && board.uses_owner(&submission.service)
    {
        submission.cost = head.cost(organisation.default_cost);
    }
    let path = parts.uri.path_and_query().cloned();
    Ok(Request {
        head,
        traits,
        organisation,
        arrived,
        deadline,
        patience: silence_timeout(&route),
        submission,
        method: parts.method,
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: parts.headers,
        body,
        route,
    })
}

/// Host that selects the route.
fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| uri.host()).unwrap_or_default()
}

/// Refuses a request that may still run when this process exits. Streams have no length limit.
fn check_process_end(board: &Blackboard, route: &Route, deadline: Time) -> Result<(), Refused> {
    let closing = board.phase() >= Phase::Closing;
    let ends_later = board.exit_at.get().is_some_and(|end| deadline > end);
    if closing && (route.kind.is_stream() || ends_later) {
        let refused = Refused::new(Code::Draining, "the request would outlive this process");
        return Err(refused.with_retry_after(RETRY_OTHER_NODE_DELAY));
    }
    Ok(())
}

fn authenticate(
    configuration: &Configuration,
    route: &Route,
    head: &request::Head,
) -> Result<Option<Rc<Organisation>>, Refused> {
    let organisation =
        head.api_key.as_deref().and_then(|key| configuration.organisation_by_key(key)).cloned();
    if organisation.is_none() && !route.anonymous {
        let cause = format!("no organisation holds the key in version {}", configuration.version);
        return Err(Refused::new(Code::UnknownKey, cause));
    }
    Ok(organisation)
}

fn anonymous() -> OrganisationId {
    OrganisationId::new(ANONYMOUS).expect("the name is valid")
}

#[allow(clippy::too_many_arguments, reason = "combines the results of validation")]
fn submission(
    head: &request::Head,
    route: &Route,
    organisation: Option<&Organisation>,
    service: ServiceId,
    fingerprint: Fingerprint,
    arrived: Time,
    deadline: Time,
) -> Submission {
    let size = Submission::size(head);
    let thousands = u32::try_from(size.prompt.0 / 1_000).unwrap_or(u32::MAX);
    let lead_time = DISPATCH_OVERHEAD + PREFILL_PER_THOUSAND * thousands;
    let target = route.target_latency.unwrap_or_else(|| deadline.since(arrived));
    let soft_deadline = arrived + target.saturating_sub(lead_time.min(target / 2));
    let max_wait = deadline.since(arrived).min(silence_timeout(route));
    let hard_deadline = arrived + max_wait.saturating_sub(lead_time.min(max_wait / 2));
    Submission {
        request: RequestId::random(&mut rand::rng()),
        service,
        rank: route.rank,
        organisation: organisation.map_or_else(anonymous, |o| o.id.clone()),
        size,
        max_output: head.max_output.unwrap_or_default(),
        target_gap: route.target_gap.filter(|_| route.kind.is_stream()),
        deadlines: Deadlines { soft: soft_deadline, hard: hard_deadline },
        fingerprint,
        cost: Tokens(0),
        streamed: route.kind.is_stream(),
    }
}

/// Time for which a caller waits for the next event of a stream, including the first.
fn silence_timeout(route: &Route) -> Duration {
    if !route.kind.is_stream() {
        return DEFAULT_TIMEOUT;
    }
    let by_target = route.target_latency.unwrap_or_default() * SILENCE_TARGET_FACTOR;
    let by_gap = route.target_gap.unwrap_or_default() * SILENCE_GAP_FACTOR;
    MIN_SILENCE_TIMEOUT.max(by_target).max(by_gap)
}

/// Reads a caller's body within limits of size, time and memory.
async fn read_body(
    board: &Blackboard,
    configuration: &Configuration,
    organisation: &OrganisationId,
    body: Incoming,
    deadline: Time,
) -> Result<Bytes, Refused> {
    let limits = configuration.limits;
    let declared = body.size_hint().lower();
    if declared > limits.max_body.get() {
        return Err(Refused::new(Code::BodyTooLarge, format!("{declared} bytes are stated")));
    }
    let no_memory = || {
        let refused = Refused::new(Code::TooManyRequests, "memory for bodies is in use");
        refused.with_retry_after(RETRY_DELAY)
    };
    let mut reservation = board.body_memory.reserve_for(organisation);
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    if !reservation.raise(declared) {
        return Err(no_memory());
    }
    let limit = usize::try_from(limits.max_body.get()).unwrap_or(usize::MAX);
    let reading = async {
        let mut body = Limited::new(body, limit);
        let mut whole = Vec::with_capacity(declared);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| unreadable(&*e, limit))?;
            let Ok(chunk) = frame.into_data() else { continue };
            // A body in chunks states no length, so that its memory is reserved as it comes.
            let needed = whole.len() + chunk.len();
            if needed > whole.capacity() {
                let capacity = needed.max((2 * whole.capacity()).min(limit));
                if !reservation.raise(capacity) {
                    return Err(no_memory());
                }
                whole.reserve_exact(capacity - whole.len());
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole)
    };
    let time = limits.header_timeout.min(deadline.since(board.now()));
    let slow = |_| Refused::new(Code::SlowSender, "the body did not arrive in time");
    let body = tokio::time::timeout(time, reading).await.map_err(slow)??;
    Ok(reservation.attach(body))
}

/// Refusal of a request whose body cannot be read.
fn unreadable(error: &(dyn std::error::Error + 'static), limit: usize) -> Refused {
    if error.is::<LengthLimitError>() {
        Refused::new(Code::BodyTooLarge, format!("more than {limit} bytes came"))
    } else {
        Refused::new(Code::Malformed, format!("body: {error}"))
    }
}

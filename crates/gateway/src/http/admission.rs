//! Admission: checks of a request before it is queued, so that a refusal here
//! costs no endpoint anything.

use super::reply::Refused;
use crate::blackboard::Blackboard;
use codes::Code;
use guild::service;
use ntex::{
    util::{Bytes, BytesMut},
    web::{HttpRequest, types::Payload},
};
use sched::strike::{Identity, Verdict};
use std::{
    str::FromStr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use units::{IdempotencyKey, OrganisationId, Rank, RequestId, ServiceId, TierId, Time};

/// Header that names the caller's organisation.
const ORGANISATION: &str = "bamboo-organisation";
/// Header that names the tier.
const TIER: &str = "bamboo-tier";
/// Header with the time limit for the complete response, in milliseconds.
const DEADLINE_MS: &str = "bamboo-deadline-ms";
/// Header with the key that identifies repetitions of a call.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Guard that counts a request in progress until it is dropped.
#[derive(Debug)]
pub struct Progress {
    board: Arc<Blackboard>,
}

impl Progress {
    /// Counts one request.
    pub fn new(board: &Arc<Blackboard>) -> Self {
        board.in_progress.fetch_add(1, Ordering::Relaxed);
        Self { board: Arc::clone(board) }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.board.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Parsed headers of a request.
#[derive(Debug, Clone)]
pub struct Head {
    /// Id of the request.
    pub request: RequestId,
    /// When it arrived.
    pub arrived: Time,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Tier, if given.
    pub tier: Option<TierId>,
    /// Deadline of the complete response.
    pub deadline: Time,
    /// Idempotency key, if given.
    pub key: Option<IdempotencyKey>,
}

/// Request that passed every check.
#[derive(Debug, Clone)]
pub struct Request {
    /// Headers.
    pub head: Head,
    /// Service.
    pub service: ServiceId,
    /// Whether the service's streams can be resumed.
    pub resumable: bool,
    /// Rank of the tier.
    pub rank: Rank,
    /// What the request is recognised by.
    pub identity: Identity,
    /// Whether an endpoint went down earlier while it processed the same request.
    pub suspect: bool,
}

/// Parses the headers; refuses the request when the gateway is not ready.
pub fn read_head(board: &Blackboard, http: &HttpRequest) -> Result<Head, Refused> {
    let request = RequestId::random(&mut rand::rng());
    let arrived = board.now();
    if !board.is_ready() {
        return Err(not_ready(board, request));
    }
    let malformed = |detail: String| Refused::new(request, Code::Malformed, &detail);
    let organisation = parse(http, ORGANISATION).map_err(malformed)?;
    let organisation =
        organisation.ok_or_else(|| malformed(format!("header {ORGANISATION} is missing")))?;
    let tier = parse(http, TIER).map_err(malformed)?;
    let key = parse(http, IDEMPOTENCY_KEY).map_err(malformed)?;
    let timeout: Option<u64> = parse(http, DEADLINE_MS).map_err(malformed)?;
    let limits = &board.settings.limits;
    let timeout = timeout.map_or(limits.default_deadline, Duration::from_millis);
    let deadline = arrived + timeout.min(limits.max_deadline);
    Ok(Head { request, arrived, organisation, tier, deadline, key })
}

fn not_ready(board: &Blackboard, request: RequestId) -> Refused {
    match board.phase() {
        crate::blackboard::Phase::Serving => {
            Refused::new(request, Code::NotReady, "no configuration in force, or just resumed")
        }
        _ => Refused::new(request, Code::Draining, "this gateway takes no new requests"),
    }
}

/// Parses a header; `None` when it is absent.
fn parse<T: FromStr>(http: &HttpRequest, name: &str) -> Result<Option<T>, String>
where
    T::Err: std::fmt::Display,
{
    let Some(value) = http.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| format!("header {name} is not ASCII"))?;
    text.parse().map(Some).map_err(|e| format!("header {name}: {e}"))
}

/// Reads the body within the limits on its size and time.
pub async fn read_body(
    board: &Blackboard,
    request: RequestId,
    mut payload: Payload,
) -> Result<Bytes, Refused> {
    let limits = &board.settings.limits;
    let limit = usize::try_from(limits.body.get()).unwrap_or(usize::MAX);
    let reading = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let chunk =
                chunk.map_err(|e| Refused::new(request, Code::Malformed, &e.to_string()))?;
            if body.len() + chunk.len() > limit {
                let detail = format!("the limit is {limit} bytes");
                return Err(Refused::new(request, Code::BodyTooLarge, &detail));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    match tokio::time::timeout(limits.body_timeout, reading).await {
        Ok(result) => result,
        Err(_) => Err(Refused::new(request, Code::SlowSender, "the body did not arrive in time")),
    }
}

/// Reads and discards the body of a refused request, within the same limits, and returns the
/// refusal.
///
/// Closing a connection with unread data resets it, and the response may be lost.
pub async fn drain_body(board: &Blackboard, payload: Payload, refused: Refused) -> Refused {
    // An error in the body does not replace the original reason for the refusal.
    let _ = read_body(board, refused.refusal.request, payload).await;
    refused
}

/// Rank of the tier that the request names, or else of `fallback`.
pub fn tier_rank(file: &service::File, head: &Head, fallback: &TierId) -> Result<Rank, Refused> {
    let tier = head.tier.as_ref().unwrap_or(fallback);
    file.rank(tier).ok_or_else(|| {
        let tiers: Vec<&str> = file.tiers.iter().map(TierId::as_str).collect();
        let detail = format!("{tier}; allowed: {}", tiers.join(", "));
        Refused::new(head.request, Code::UnknownTier, &detail)
    })
}

/// Whether the request is suspect; refuses quarantined requests.
pub fn check_quarantine(
    board: &Blackboard,
    request: RequestId,
    identity: Identity,
) -> Result<bool, Refused> {
    let now = board.now();
    match board.strikes.lock().verdict_on(identity, now) {
        Verdict::Clear => Ok(false),
        Verdict::Suspect => Ok(true),
        Verdict::Quarantined { until } => {
            let detail = format!(
                "endpoints failed under this request; quarantined for {} s",
                until.since(now).as_secs()
            );
            Err(Refused::new(request, Code::Quarantined, &detail))
        }
    }
}

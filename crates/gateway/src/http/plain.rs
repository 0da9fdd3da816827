//! Calls to plain services.

use super::{
    Board, Engines,
    admission::{self, Head, Progress},
    exchange::{self, KeyedClaim, Running},
    reply::{REQUEST_ID, Refused, into_response, response_builder},
};
use crate::{blackboard::Blackboard, controller::claims::Call as ClaimCall};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use codes::Code;
use engine::{
    chat::fingerprint,
    client::{Call, call_fingerprint},
};
use guild::service::{File, Kind, Operation};
use ntex::{
    client::ClientResponse,
    http::header,
    util::Bytes,
    web::{HttpRequest, HttpResponse, types::Payload},
};
use sched::{Job, strike::Identity};
use std::sync::{Arc, atomic::Ordering};
use store::claim::{Key, Response};
use tokio::sync::oneshot;
use units::{RequestId, ServiceId, Tokens};

/// Header that marks a stored response to a repeated call.
const REPLAYED: &str = "bamboo-replayed";
/// Maximum size of an endpoint's response.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a response that is stored for repeated calls.
const MAX_STORED_BYTES: usize = 64 * 1024;

/// Serves `/services/{service}/{path}`.
pub async fn call(
    board: Board,
    engines: Engines,
    http: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let result = serve(board.get_ref(), engines.get_ref(), &http, payload).await;
    into_response(&board, result)
}

/// Operation of a service that a request calls.
struct Target {
    file: File,
    operation: Operation,
    path: Box<str>,
}

async fn serve(
    board: &Arc<Blackboard>,
    engines: &engine::Client,
    http: &HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, Refused> {
    let checked = admission::read_head(board, http).and_then(|head| {
        let target = find_target(board, &head, http)?;
        let key = claim_key(&head, &target)?;
        Ok((head, target, key))
    });
    let (head, target, key) = match checked {
        Ok(checked) => checked,
        Err(refused) => return Err(admission::drain_body(board, payload, refused).await),
    };
    let _progress = Progress::new(board);
    let body = admission::read_body(board, head.request, payload).await?;
    let (accepted, job) = accept(board, head, http, &target, &body)?;
    let id = accepted.head.request;
    let claim = key.map(|key| KeyedClaim::new(key, &accepted));
    if let Some(claim) = &claim
        && let Some(stored) = find_stored_response(board, id, claim).await?
    {
        return Ok(replay(id, &stored));
    }
    let call = Call {
        method: http.method().clone(),
        path: target.path.clone(),
        media_type: media_type(http).into(),
        body,
        request: id,
        idempotency_key: accepted.head.key.as_ref().map(|key| key.as_str().into()),
    };
    let (response, running) = exchange::send(board, engines, accepted, job, &call, claim).await?;
    finish(response, running, id).await
}

fn media_type(http: &HttpRequest) -> &str {
    let value = http.headers().get(header::CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn find_target(board: &Blackboard, head: &Head, http: &HttpRequest) -> Result<Target, Refused> {
    let name = http.match_info().get("service").unwrap_or_default();
    let unknown = || Refused::new(head.request, Code::UnknownService, &format!("service {name}"));
    let service = ServiceId::new(name).map_err(|_| unknown())?;
    let config = board.config.read().clone();
    let file = config.as_ref().and_then(|config| config.publication.service(&service));
    let file = file.filter(|file| file.kind == Kind::Plain).cloned().ok_or_else(unknown)?;
    let path = format!("/{}", http.match_info().get("path").unwrap_or_default());
    let operation = file.operation(http.method().as_str(), &path).cloned().ok_or_else(|| {
        let detail = format!("{} {path}", http.method());
        Refused::new(head.request, Code::UnknownOperation, &detail)
    })?;
    let query = http.query_string();
    let path = if query.is_empty() { path } else { format!("{path}?{query}") };
    Ok(Target { file, operation, path: path.into() })
}

/// Key of the claim; `None` for an idempotent operation. A non-idempotent call without an
/// idempotency key is refused.
fn claim_key(head: &Head, target: &Target) -> Result<Option<Key>, Refused> {
    if target.operation.idempotent {
        return Ok(None);
    }
    let key = head.key.clone().ok_or_else(|| {
        Refused::new(head.request, Code::MissingKey, "this operation is non-idempotent")
    })?;
    let (service, organisation) = (target.file.service.clone(), head.organisation.clone());
    Ok(Some(Key { service, organisation, key }))
}

fn accept(
    board: &Blackboard,
    head: Head,
    http: &HttpRequest,
    target: &Target,
    body: &Bytes,
) -> Result<(admission::Request, Job), Refused> {
    let file = &target.file;
    let fallback = target.operation.tier.as_ref().unwrap_or_else(|| file.fallback_tier());
    let rank = admission::tier_rank(file, &head, fallback)?;
    let organisation = head.organisation.as_str();
    let content = fingerprint(organisation, file.service.as_str(), &target.path, body);
    let request = call_fingerprint(content, http.method(), media_type(http));
    let identity = Identity { request, content };
    let suspect = admission::check_quarantine(board, head.request, identity)?;
    board.counters.accepted.fetch_add(1, Ordering::Relaxed);
    let job = Job {
        request: head.request,
        holder: board.settings.instance.clone(),
        rank,
        organisation: head.organisation.clone(),
        prompt: Tokens(0),
        output: Tokens(1),
        deadline: head.deadline,
        prefixes: Box::new([]),
        fingerprint: identity.request,
        suspect,
    };
    let service = file.service.clone();
    Ok((admission::Request { head, service, resumable: false, rank, identity, suspect }, job))
}

/// Stored response to an earlier attempt with the same key, read before the request is queued.
async fn find_stored_response(
    board: &Blackboard,
    request: RequestId,
    claim: &KeyedClaim,
) -> Result<Option<Response>, Refused> {
    let (reply, found) = oneshot::channel();
    let read = ClaimCall::Read(claim.key.clone(), reply);
    let sent = board.claims.send(read).await.is_ok();
    let unavailable = || {
        let detail = "this attempt was not run; an earlier one with the same key may have been";
        Refused::new(request, Code::ClaimUnavailable, detail)
    };
    if !sent {
        return Err(unavailable());
    }
    match found.await.map_err(|_| unavailable())? {
        None => Ok(None),
        Some(earlier) => match &earlier.response {
            Some(stored) if earlier.is_repeat_of(&claim.claim) => Ok(Some(stored.clone())),
            _ => Err(exchange::refuse_claimed(request, claim, &earlier)),
        },
    }
}

fn replay(id: RequestId, stored: &Response) -> HttpResponse {
    let body = STANDARD.decode(stored.body.as_bytes()).unwrap_or_default();
    response_builder(stored.status)
        .content_type(&*stored.media_type)
        .header(REQUEST_ID, id.to_string())
        .header(REPLAYED, "true")
        .body(body)
}

/// Reads the complete response and passes it to the caller, or refuses.
async fn finish(
    response: ClientResponse,
    mut running: Running,
    id: RequestId,
) -> Result<HttpResponse, Refused> {
    running.record_start();
    let headers = response.headers();
    let is_framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let media_type: Box<str> = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .into();
    let status = response.status().as_u16();
    let reading = response.body().limit(MAX_RESPONSE_BYTES);
    let read = tokio::select! {
        read = reading => Some(read),
        () = tokio::time::sleep(running.remaining()) => None,
        () = running.board.shutdown_deadline() => return Err(running.shut_down()),
    };
    let body = match read {
        // Without a content length or chunked encoding, a closed connection does not show that
        // the body is complete.
        Some(Ok(body)) if is_framed || status == 204 => body,
        Some(Ok(_)) => {
            return Err(running
                .interrupted("the response has no content length or chunked encoding")
                .await);
        }
        Some(Err(e)) => return Err(running.interrupted(&e.to_string()).await),
        None => return Err(running.timed_out()),
    };
    if matches!(status, 429 | 500..) {
        let detail = String::from_utf8_lossy(&body).chars().take(500).collect::<String>();
        return Err(running.endpoint_error(status, &detail));
    }
    running.store_response(stored_response(status, &media_type, &body));
    running.complete();
    Ok(response_builder(status)
        .content_type(&*media_type)
        .header(REQUEST_ID, id.to_string())
        .body(body))
}

/// Stored form of a response; a note takes the place of a large body.
fn stored_response(status: u16, media_type: &str, body: &Bytes) -> Response {
    if body.len() <= MAX_STORED_BYTES {
        return Response {
            status,
            media_type: media_type.into(),
            body: STANDARD.encode(body).into(),
        };
    }
    let note =
        STANDARD.encode(br#"{"note":"the answer was given before and was too large to keep"}"#);
    Response { status, media_type: "application/json".into(), body: note.into() }
}

//! Calls of plain services.

use super::{
    Board, Engines,
    admission::{self, AcceptedRequest, Progress, RequestHead},
    exchange::{self, Guard, Running},
    reply::{REQUEST_ID, Refused, builder, settle},
};
use crate::{blackboard::Blackboard, controller::claims::Call as ClaimCall};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use codes::Code;
use engine::{chat::fingerprint, client::Call};
use guild::service::{File, Kind, Operation};
use ntex::{
    client::ClientResponse,
    http::header,
    util::Bytes,
    web::{HttpRequest, HttpResponse, types::Payload},
};
use sched::Job;
use std::sync::{Arc, atomic::Ordering};
use store::claim::{Key, Response};
use tokio::sync::oneshot;
use units::{RequestId, ServiceId, Tokens};

/// Header of an answer that was given before.
const REPLAYED: &str = "bamboo-replayed";
/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Largest answer that is kept for repeated calls.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Serves `/services/{service}/{path}`.
pub async fn call(
    board: Board,
    engines: Engines,
    http: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let result = serve(board.get_ref(), engines.get_ref(), &http, payload).await;
    settle(&board, result)
}

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
        let target = find(board, &head, http)?;
        let key = key(&head, &target)?;
        Ok((head, target, key))
    });
    let (head, target, key) = match checked {
        Ok(checked) => checked,
        Err(refused) => return Err(admission::drain_body(board, payload, refused).await),
    };
    let _progress = Progress::new(board);
    let body = admission::read_body(board, head.request, payload).await?;
    let (accepted, bid) = accept(board, head, &target, &body)?;
    let id = accepted.head.request;
    let guard = key.map(|key| Guard::new(key, &accepted));
    if let Some(guard) = &guard
        && let Some(answer) = earlier(board, id, guard).await?
    {
        return Ok(replay(id, &answer));
    }
    let call = Call {
        method: http.method().clone(),
        path: target.path.clone(),
        media_type: media_type(http).into(),
        body,
        request: id,
        idempotency_key: accepted.head.key.as_ref().map(|key| key.as_str().into()),
    };
    let (response, running) = exchange::send(board, engines, accepted, bid, &call, guard).await?;
    finish(response, running, id).await
}

fn media_type(http: &HttpRequest) -> &str {
    let value = http.headers().get(header::CONTENT_TYPE);
    value.and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn find(board: &Blackboard, head: &RequestHead, http: &HttpRequest) -> Result<Target, Refused> {
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

/// Name of the claim; a non-idempotent call must bring a key.
fn key(head: &RequestHead, target: &Target) -> Result<Option<Key>, Refused> {
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
    head: RequestHead,
    target: &Target,
    body: &Bytes,
) -> Result<(AcceptedRequest, Job), Refused> {
    let file = &target.file;
    let fallback = target.operation.tier.as_ref().unwrap_or_else(|| file.fallback_tier());
    let rank = admission::tier_rank(file, &head, fallback)?;
    let organisation = head.organisation.as_str();
    let fingerprint = fingerprint(organisation, file.service.as_str(), &target.path, body);
    let suspect = admission::check_quarantine(board, head.request, fingerprint)?;
    board.counters.accepted.fetch_add(1, Ordering::Relaxed);
    let bid = Job {
        request: head.request,
        holder: board.settings.instance.clone(),
        rank,
        organisation: head.organisation.clone(),
        prompt: Tokens(0),
        output: Tokens(1),
        deadline: head.deadline,
        prefixes: Box::new([]),
        fingerprint,
        suspect,
    };
    let service = file.service.clone();
    Ok((AcceptedRequest { head, service, resumable: false, rank, fingerprint, suspect }, bid))
}

/// Outcome of an earlier attempt with the same key, before anything is queued.
async fn earlier(
    board: &Blackboard,
    request: RequestId,
    guard: &Guard,
) -> Result<Option<Response>, Refused> {
    let (reply, found) = oneshot::channel();
    let look = ClaimCall::Read(guard.key.clone(), reply);
    let sent = board.claims.send(look).await.is_ok();
    let unavailable = || {
        let detail = "this attempt was not run; an earlier one with the same key may have been";
        Refused::new(request, Code::ClaimUnavailable, detail)
    };
    if !sent {
        return Err(unavailable());
    }
    match found.await.map_err(|_| unavailable())? {
        None => Ok(None),
        Some(claim) => match &claim.response {
            Some(answer) if claim.fingerprint == guard.claim.fingerprint => {
                Ok(Some(answer.clone()))
            }
            _ => Err(exchange::other_claim(request, guard, &claim)),
        },
    }
}

fn replay(id: RequestId, answer: &Response) -> HttpResponse {
    let body = STANDARD.decode(answer.body.as_bytes()).unwrap_or_default();
    builder(answer.status)
        .content_type(&*answer.media_type)
        .header(REQUEST_ID, id.to_string())
        .header(REPLAYED, "true")
        .body(body)
}

/// Reads the whole answer, or refuses.
async fn finish(
    response: ClientResponse,
    mut running: Running,
    id: RequestId,
) -> Result<HttpResponse, Refused> {
    running.begun();
    let headers = response.headers();
    let framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let media_type: Box<str> = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .into();
    let status = response.status().as_u16();
    let reading = response.body().limit(MAX_ANSWER_BYTES);
    let read = tokio::select! {
        read = reading => Some(read),
        () = tokio::time::sleep(running.remaining()) => None,
        () = running.board.shutdown_deadline() => return Err(running.shut_down()),
    };
    let body = match read {
        // Without a length or chunks, an end of the connection proves nothing.
        Some(Ok(body)) if framed || status == 204 => body,
        Some(Ok(_)) => return Err(running.cut("the answer has no length").await),
        Some(Err(e)) => return Err(running.cut(&e.to_string()).await),
        None => return Err(running.timed_out()),
    };
    if matches!(status, 429 | 500..) {
        let detail = String::from_utf8_lossy(&body).chars().take(500).collect::<String>();
        return Err(running.endpoint_error(status, &detail));
    }
    running.keep(kept(status, &media_type, &body));
    running.complete();
    Ok(builder(status).content_type(&*media_type).header(REQUEST_ID, id.to_string()).body(body))
}

/// Response as it is kept; a large one is kept as a note that it was given.
fn kept(status: u16, media_type: &str, body: &Bytes) -> Response {
    if body.len() <= MAX_KEPT_BYTES {
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

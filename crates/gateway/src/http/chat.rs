//! Chat completions: requests to LLM engines.

use super::{
    Board, Engines,
    admission::{self, Progress},
    events::{Item, Reader},
    exchange,
    reply::{REQUEST_ID, Refused, into_response},
};
use crate::blackboard::Blackboard;
use codes::Code;
use engine::{
    chat::{self, Request},
    client::Call,
    merge::Merger,
};
use futures_util::stream;
use guild::service::Kind;
use ntex::{
    http::Method,
    util::Bytes,
    web::{HttpRequest, HttpResponse, types::Payload},
};
use sched::{Job, job::Prefix, strike::Identity};
use std::sync::{Arc, atomic::Ordering};
use units::RequestId;

/// Path of chat completions on engines.
const PATH: &str = "/v1/chat/completions";

/// Serves `POST /v1/chat/completions`.
pub async fn complete(
    board: Board,
    engines: Engines,
    http: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let result = serve(board.get_ref(), engines.get_ref(), &http, payload).await;
    into_response(&board, result)
}

async fn serve(
    board: &Arc<Blackboard>,
    engines: &engine::Client,
    http: &HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, Refused> {
    let head = match admission::read_head(board, http) {
        Ok(head) => head,
        Err(refused) => return Err(admission::drain_body(board, payload, refused).await),
    };
    let progress = Progress::new(board);
    let body = admission::read_body(board, head.request, payload).await?;
    let malformed = |detail: String| Refused::new(head.request, Code::Malformed, &detail);
    let request = chat::parse(&body).map_err(malformed)?;
    let upstream =
        if request.stream { body.to_vec() } else { chat::as_stream(&body).map_err(malformed)? };
    let (accepted, job) = accept(board, head, &request, &body)?;
    let call = Call {
        method: Method::POST,
        path: PATH.into(),
        media_type: "application/json".into(),
        body: upstream.into(),
        request: accepted.head.request,
        idempotency_key: None,
    };
    let id = accepted.head.request;
    let (response, running) = exchange::send(board, engines, accepted, job, &call, None).await?;
    let reader = Reader::new(response, running).await?;
    if request.stream {
        stream_response(board, reader, id, progress).await
    } else {
        collect_response(reader, id).await
    }
}

fn accept(
    board: &Blackboard,
    head: admission::Head,
    request: &Request,
    body: &[u8],
) -> Result<(admission::Request, Job), Refused> {
    let config = board.config.read().clone();
    let file =
        config.as_ref().and_then(|config| config.publication.service_for_model(&request.model));
    let file = file.filter(|file| file.kind == Kind::Model).ok_or_else(|| {
        Refused::new(head.request, Code::UnknownService, &format!("model {}", request.model))
    })?;
    let rank = admission::tier_rank(file, &head, file.fallback_tier())?;
    let service = file.service.clone();
    // Method and media type are the same for all chat requests.
    let content = chat::fingerprint(head.organisation.as_str(), service.as_str(), PATH, body);
    let identity = Identity { request: content, content };
    let suspect = admission::check_quarantine(board, head.request, identity)?;
    board.counters.accepted.fetch_add(1, Ordering::Relaxed);
    let prefixes = request.prefixes.iter();
    let job = Job {
        request: head.request,
        holder: board.settings.instance.clone(),
        rank,
        organisation: head.organisation.clone(),
        prompt: request.prompt,
        output: board.estimator.estimate(&service, rank, request.max_output),
        deadline: head.deadline,
        prefixes: prefixes.map(|(hash, tokens)| Prefix { hash: *hash, tokens: *tokens }).collect(),
        fingerprint: identity.request,
        suspect,
    };
    let resumable = file.resumable;
    Ok((admission::Request { head, service, resumable, rank, identity, suspect }, job))
}

/// Streams the response; a failure before its first event is returned as a refusal.
async fn stream_response(
    board: &Arc<Blackboard>,
    mut reader: Reader,
    id: RequestId,
    progress: Progress,
) -> Result<HttpResponse, Refused> {
    let first = match reader.next().await {
        Item::Failed(refused) => return Err(refused),
        item => item,
    };
    let state = Streaming { reader, pending: Some(first), ended: false, board: Arc::clone(board) };
    let events = stream::unfold((state, progress), |(mut state, progress)| async move {
        let item = state.next().await?;
        Some((item, (state, progress)))
    });
    Ok(HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .header(REQUEST_ID, id.to_string())
        .streaming(Box::pin(events)))
}

/// State of a response that is streamed to the caller.
struct Streaming {
    reader: Reader,
    pending: Option<Item>,
    ended: bool,
    board: Arc<Blackboard>,
}

impl Streaming {
    /// Next bytes. A failed response ends with an error event and without the final event.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.ended {
            return None;
        }
        let item = match self.pending.take() {
            Some(item) => item,
            None => self.reader.next().await,
        };
        Some(Ok(match item {
            Item::Event(event) => event.raw.into(),
            Item::Last(event) => {
                self.ended = true;
                event.raw.into()
            }
            Item::Failed(refused) => {
                self.ended = true;
                refused.record(&self.board);
                let problem = serde_json::to_string(&refused.problem()).unwrap_or_default();
                format!("event: error\ndata: {problem}\n\n").into_bytes().into()
            }
        }))
    }
}

/// Collects a streamed response; the caller gets all of it or a refusal.
async fn collect_response(mut reader: Reader, id: RequestId) -> Result<HttpResponse, Refused> {
    let mut merger = Merger::new();
    loop {
        match reader.next().await {
            Item::Event(event) => merger.push(&event.data),
            Item::Last(_) => break,
            Item::Failed(refused) => return Err(refused),
        }
    }
    Ok(HttpResponse::Ok().header(REQUEST_ID, id.to_string()).json(&merger.finish()))
}

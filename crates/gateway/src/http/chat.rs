//! Chat completions.

use super::{
    Board, Engines,
    exchange::{self},
    intake::{self, Intake, Progress},
    pump::{Pump, Step},
    reply::{REQUEST_ID, Refused, settle},
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
use sched::{Job, job::Prefix};
use std::sync::{Arc, atomic::Ordering};
use units::RequestId;

/// Path of chat completions at engines.
const PATH: &str = "/v1/chat/completions";

/// Serves `POST /v1/chat/completions`.
pub async fn complete(
    board: Board,
    engines: Engines,
    http: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let result = serve(board.get_ref(), engines.get_ref(), &http, payload).await;
    settle(&board, result)
}

async fn serve(
    board: &Arc<Blackboard>,
    engines: &engine::Client,
    http: &HttpRequest,
    payload: Payload,
) -> Result<HttpResponse, Refused> {
    let head = match intake::head(board, http) {
        Ok(head) => head,
        Err(refused) => return Err(intake::drain(board, payload, refused).await),
    };
    let progress = Progress::new(board);
    let body = intake::body(board, head.request, payload).await?;
    let malformed = |detail: String| Refused::new(head.request, Code::Malformed, &detail);
    let request = chat::parse(&body).map_err(malformed)?;
    let upstream =
        if request.stream { body.to_vec() } else { chat::as_stream(&body).map_err(malformed)? };
    let (intake, bid) = accept(board, head, &request, &body)?;
    let call = Call {
        method: Method::POST,
        path: PATH.into(),
        media_type: "application/json".into(),
        body: upstream.into(),
        request: intake.head.request,
        idempotency_key: None,
    };
    let id = intake.head.request;
    let (response, running) = exchange::send(board, engines, intake, bid, &call, None).await?;
    let pump = Pump::new(response, running).await?;
    if request.stream {
        stream_answer(board, pump, id, progress).await
    } else {
        whole_answer(pump, id).await
    }
}

fn accept(
    board: &Blackboard,
    head: intake::Head,
    request: &Request,
    body: &[u8],
) -> Result<(Intake, Job), Refused> {
    let config = board.config.read().clone();
    let file = config.as_ref().and_then(|config| config.publication.model(&request.model));
    let file = file.filter(|file| file.kind == Kind::Model).ok_or_else(|| {
        Refused::new(head.request, Code::UnknownService, &format!("model {}", request.model))
    })?;
    let rank = intake::rank(file, &head, file.fallback_tier())?;
    let service = file.service.clone();
    let fingerprint = chat::fingerprint(head.organisation.as_str(), service.as_str(), PATH, body);
    let suspect = intake::suspect(board, head.request, fingerprint)?;
    board.counters.accepted.fetch_add(1, Ordering::Relaxed);
    let prefixes = request.prefixes.iter();
    let bid = Job {
        request: head.request,
        holder: board.settings.instance.clone(),
        rank,
        organisation: head.organisation.clone(),
        prompt: request.prompt,
        output: board.estimator.expect(&service, rank, request.max_output),
        deadline: head.deadline,
        prefixes: prefixes.map(|(hash, tokens)| Prefix { hash: *hash, tokens: *tokens }).collect(),
        fingerprint,
        suspect,
    };
    let resumable = file.resumable;
    Ok((Intake { head, service, resumable, rank, fingerprint, suspect }, bid))
}

/// Streams the answer; a failure before its first event is still a plain refusal.
async fn stream_answer(
    board: &Arc<Blackboard>,
    mut pump: Pump,
    id: RequestId,
    progress: Progress,
) -> Result<HttpResponse, Refused> {
    let first = match pump.next().await {
        Step::Failed(refused) => return Err(refused),
        step => step,
    };
    let state = Streaming { pump, pending: Some(first), ended: false, board: Arc::clone(board) };
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

struct Streaming {
    pump: Pump,
    pending: Option<Step>,
    ended: bool,
    board: Arc<Blackboard>,
}

impl Streaming {
    /// Next bytes; a failed answer ends with an error event and without the closing event.
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.ended {
            return None;
        }
        let step = match self.pending.take() {
            Some(step) => step,
            None => self.pump.next().await,
        };
        Some(Ok(match step {
            Step::Event(event) => event.raw.into(),
            Step::Last(event) => {
                self.ended = true;
                event.raw.into()
            }
            Step::Failed(refused) => {
                self.ended = true;
                refused.note(&self.board);
                let problem = serde_json::to_string(&refused.problem()).unwrap_or_default();
                format!("event: error\ndata: {problem}\n\n").into_bytes().into()
            }
        }))
    }
}

/// Collects the answer; the caller gets all of it or a refusal.
async fn whole_answer(mut pump: Pump, id: RequestId) -> Result<HttpResponse, Refused> {
    let mut merger = Merger::new();
    loop {
        match pump.next().await {
            Step::Event(event) => merger.push(&event.data),
            Step::Last(_) => break,
            Step::Failed(refused) => return Err(refused),
        }
    }
    Ok(HttpResponse::Ok().header(REQUEST_ID, id.to_string()).json(&merger.finish()))
}

//! Refusals as problem documents.

use super::{Board, admission};
use codes::{Code, Event, Problem};
use ntex::{
    http::StatusCode,
    web::{HttpResponse, HttpResponseBuilder, types::Payload},
};
use rand::Rng;
use sched::lifecycle::Refusal;
use slog::info;
use std::sync::atomic::Ordering;
use units::RequestId;

use crate::blackboard::Blackboard;

/// Header that names the request in every answer.
pub const REQUEST_ID: &str = "bamboo-request-id";
/// Header that carries the result code of a refusal.
pub const RESULT_CODE: &str = "bamboo-code";

/// End of a request without a whole answer, with its detail.
#[derive(Debug, Clone)]
pub struct Refused {
    /// Request and code.
    pub refusal: Refusal,
    /// What happened to this request.
    pub detail: Box<str>,
}

impl Refused {
    /// Refusal of `request`.
    pub fn new(request: RequestId, code: Code, detail: &str) -> Self {
        Self { refusal: Refusal { request, code }, detail: detail.into() }
    }

    /// Refusal of a ticket that ended.
    pub fn of(refusal: Refusal, detail: &str) -> Self {
        Self { refusal, detail: detail.into() }
    }

    /// Problem document.
    pub fn problem(&self) -> Problem {
        Problem::new(self.refusal.code, &self.detail).with_request(self.refusal.request)
    }

    /// Logs, counts and answers the refusal.
    pub fn respond(&self, board: &Blackboard) -> HttpResponse {
        self.note(board);
        let code = self.refusal.code;
        let mut response = builder(code.status());
        response
            .content_type(Problem::MEDIA_TYPE)
            .header(REQUEST_ID, self.refusal.request.to_string())
            .header(RESULT_CODE, code.number().to_string());
        if code.retry_after_s() > 0 {
            response.header("retry-after", jittered(code.retry_after_s()).to_string());
        }
        let body = serde_json::to_vec(&self.problem()).unwrap_or_default();
        response.body(body)
    }

    /// Logs and counts the refusal.
    pub fn note(&self, board: &Blackboard) {
        let code = self.refusal.code;
        info!(board.log, "refused"; Event::Refused, "request" => %self.refusal.request,
            "code" => code.number(), "executed" => %code.executed(),
            "detail" => self.detail.to_string());
        board.metrics.count("refused", &code.number().to_string());
        board.counters.refused.fetch_add(1, Ordering::Relaxed);
    }
}

/// Response of a handler: its answer, or its refusal.
pub fn settle(board: &Blackboard, result: Result<HttpResponse, Refused>) -> HttpResponse {
    result.unwrap_or_else(|refused| refused.respond(board))
}

/// Spreads retries, so that those refused together do not return together.
fn jittered(seconds: u32) -> u32 {
    seconds + rand::rng().random_range(0..=seconds.min(5))
}

/// Response with a status given as a number.
pub fn builder(status: u16) -> HttpResponseBuilder {
    HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY))
}

/// Response to paths that are not served.
pub async fn unknown_path(board: Board, payload: Payload) -> HttpResponse {
    let request = RequestId::random(&mut rand::rng());
    let detail = "paths: POST /v1/chat/completions, /services/{service}/{path}";
    let refused = Refused::new(request, Code::UnknownOperation, detail);
    admission::drain_body(&board, payload, refused).await.respond(&board)
}

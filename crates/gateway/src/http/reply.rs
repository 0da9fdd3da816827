//! Refusals, and their responses as problem documents.

use super::{Board, admission};
use crate::blackboard::Blackboard;
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

/// Header with the request id, set in every response.
pub const REQUEST_ID: &str = "bamboo-request-id";
/// Header with the result code of a refusal.
pub const RESULT_CODE: &str = "bamboo-code";

/// End of a request without a complete response, with its detail.
#[derive(Debug, Clone)]
pub struct Refused {
    /// Request and code.
    pub refusal: Refusal,
    /// What happened to the request.
    pub detail: Box<str>,
}

impl Refused {
    /// Refusal of `request`.
    pub fn new(request: RequestId, code: Code, detail: &str) -> Self {
        Self { refusal: Refusal { request, code }, detail: detail.into() }
    }

    /// Refusal made by ending a ticket.
    pub fn of(refusal: Refusal, detail: &str) -> Self {
        Self { refusal, detail: detail.into() }
    }

    /// Problem document of the refusal.
    pub fn problem(&self) -> Problem {
        Problem::new(self.refusal.code, &self.detail).with_request(self.refusal.request)
    }

    /// Logs and counts the refusal, and builds its response.
    pub fn respond(&self, board: &Blackboard) -> HttpResponse {
        self.record(board);
        let code = self.refusal.code;
        let mut response = response_builder(code.status());
        response
            .content_type(Problem::MEDIA_TYPE)
            .header(REQUEST_ID, self.refusal.request.to_string())
            .header(RESULT_CODE, code.number().to_string());
        if code.retry_after_s() > 0 {
            response.header("retry-after", with_jitter(code.retry_after_s()).to_string());
        }
        let body = serde_json::to_vec(&self.problem()).unwrap_or_default();
        response.body(body)
    }

    /// Logs and counts the refusal.
    pub fn record(&self, board: &Blackboard) {
        let code = self.refusal.code;
        info!(board.log, "refused"; Event::Refused, "request" => %self.refusal.request,
            "code" => code.number(), "executed" => %code.executed(),
            "detail" => self.detail.to_string());
        board.metrics.count("refused", &code.number().to_string());
        board.counters.refused.fetch_add(1, Ordering::Relaxed);
    }
}

/// Response of a handler: the one it returned, or that of its refusal.
pub fn into_response(board: &Blackboard, result: Result<HttpResponse, Refused>) -> HttpResponse {
    result.unwrap_or_else(|refused| refused.respond(board))
}

/// Adds jitter to a retry delay, so that callers refused together do not retry together.
fn with_jitter(seconds: u32) -> u32 {
    seconds + rand::rng().random_range(0..=seconds.min(5))
}

/// Builder of a response with a numeric status; an invalid status becomes 502.
pub fn response_builder(status: u16) -> HttpResponseBuilder {
    HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY))
}

/// Serves unknown paths with a refusal.
pub async fn unknown_path(board: Board, payload: Payload) -> HttpResponse {
    let request = RequestId::random(&mut rand::rng());
    let detail = "paths: POST /v1/chat/completions, /services/{service}/{path}";
    let refused = Refused::new(request, Code::UnknownOperation, detail);
    admission::drain_body(&board, payload, refused).await.respond(&board)
}

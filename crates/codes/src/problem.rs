//! Problem documents (RFC 9457).

use crate::{Code, Executed};
use serde::{Deserialize, Serialize};
use units::RequestId;

/// Body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Reference to the code's row in the documentation.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// Summary of the code.
    pub title: Box<str>,
    /// HTTP status.
    pub status: u16,
    /// What happened to this request.
    pub detail: Box<str>,
    /// Result code.
    pub code: u16,
    /// Whether the request was executed.
    pub executed: Executed,
    /// Request that this answers.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request_id: Option<RequestId>,
}

impl Problem {
    /// Media type of a problem document.
    pub const MEDIA_TYPE: &'static str = "application/problem+json";

    /// Problem for `code`.
    #[must_use]
    pub fn new(code: Code, detail: &str) -> Self {
        Self {
            kind: format!("urn:bambooroad:code:{}", code.number()).into(),
            title: code.title().into(),
            status: code.status(),
            detail: detail.into(),
            code: code.number(),
            executed: code.executed(),
            request_id: None,
        }
    }

    /// Names the request that the problem answers.
    #[must_use]
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request_id = Some(request);
        self
    }
}

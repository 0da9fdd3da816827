//! Problem documents (RFC 9457).

use crate::{Code, Executed};
use serde::{Deserialize, Serialize};
use units::RequestId;

/// Body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URN of the result code, the RFC's member `type`.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// Title of the code.
    pub title: Box<str>,
    /// HTTP status.
    pub status: u16,
    /// Explanation specific to this request.
    pub detail: Box<str>,
    /// Result code.
    pub code: u16,
    /// Whether the request was executed.
    pub executed: Executed,
    /// Request that was refused.
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

    /// Adds the identifier of the refused request.
    #[must_use]
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request_id = Some(request);
        self
    }
}

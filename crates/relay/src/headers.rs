//! Port to the headers of a deployment.

use crate::{request, response};
use http::{HeaderMap, StatusCode};
use std::time::Duration;
use units::{EndpointId, OrganisationId};

/// What a node states to an endpoint beside the caller's headers.
#[derive(Debug, Clone, Copy)]
pub struct Outbound<'a> {
    /// Endpoint that is meant.
    pub endpoint: &'a EndpointId,
    /// Organisation that the request belongs to.
    pub organisation: Option<&'a OrganisationId>,
    /// Time that is left.
    pub time_left: Duration,
    /// Last event that the caller has, when a stream is continued.
    pub resume_after: Option<u64>,
}

/// Translation of headers.
pub trait Codec: std::fmt::Debug {
    /// Decodes a caller's headers.
    ///
    /// # Errors
    /// Name of the header that is missing or malformed.
    fn decode_request(&self, headers: &HeaderMap) -> Result<request::Head, Box<str>>;

    /// Turns a caller's headers into those for an endpoint: what only the system may set is
    /// removed, what it states is added.
    fn rewrite_request(&self, headers: &mut HeaderMap, outbound: &Outbound<'_>);

    /// Decodes an endpoint's headers.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> response::Head;

    /// Adds to a refusal what names the attempt that it answers.
    fn rewrite_refusal(&self, headers: &mut HeaderMap, attempt: &str);
}

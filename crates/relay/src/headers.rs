//! Translation of a deployment's headers.

use crate::{request, response};
use http::{HeaderMap, HeaderName, StatusCode};
use std::time::Duration;
use units::{EndpointId, OrganisationId};

/// Values that a node adds to a request for an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Outbound<'a> {
    /// Endpoint that the request is for.
    pub endpoint: &'a EndpointId,
    /// Organisation that the request belongs to.
    pub organisation: Option<&'a OrganisationId>,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Last event that the caller has, if a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Codec for headers.
pub trait Codec: std::fmt::Debug {
    /// Decodes a caller's headers.
    ///
    /// # Errors
    /// The name of the missing or malformed header.
    fn decode_request(&self, headers: &HeaderMap) -> Result<request::Head, Box<str>>;

    /// Turns a caller's headers into those for an endpoint: removes headers that only the system
    /// may set and adds `outbound`.
    fn rewrite_request(&self, headers: &mut HeaderMap, outbound: &Outbound<'_>);

    /// Whether a header says nothing of the request itself: callers choose it anew for each attempt,
    /// or endpoints do not receive it as the caller sent it.
    fn is_transient(&self, name: &HeaderName) -> bool;

    /// Decodes an endpoint's headers.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> response::Head;

    /// Adds the headers of a refusal that identify the refused attempt.
    fn rewrite_refusal(&self, headers: &mut HeaderMap, attempt: &str);
}

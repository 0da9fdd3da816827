//! Responses and refusals to callers.

use crate::{blackboard::Blackboard, progress, stream::Relay};
use bytes::Bytes;
use codes::{Code, Event};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header, response};
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use slog::info;
use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// Retry delay stated to callers when there is no room.
pub const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay after which a caller should retry at another node.
pub const RETRY_OTHER_NODE_DELAY: Duration = Duration::from_millis(20);

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Body of a response to a caller.
#[derive(Debug)]
pub struct Body {
    content: Content,
    /// Keeps the request in progress while the body is passed to the connection.
    response: Option<progress::Response>,
}

#[derive(Debug)]
enum Content {
    Full(Full<Bytes>),
    /// Parts of a complete body, and the number of bytes that are left.
    Segments(VecDeque<Bytes>, u64),
    Relay(Box<Relay>),
}

impl Body {
    /// Complete body.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self { content: Content::Full(Full::new(bytes)), response: None }
    }

    /// Complete body in parts, each of which is dropped once it is written.
    #[must_use]
    pub fn segments(segments: VecDeque<Bytes>) -> Self {
        let length = segments.iter().map(|part| part.len() as u64).sum();
        Self { content: Content::Segments(segments, length), response: None }
    }

    /// Stream of events.
    #[must_use]
    pub fn relay(relay: Relay) -> Self {
        Self { content: Content::Relay(Box::new(relay)), response: None }
    }

    /// Body of a request that is in progress until its bytes are written.
    #[must_use]
    pub fn with_response(mut self, response: progress::Response) -> Self {
        self.response = Some(response);
        self
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match &mut self.get_mut().content {
            Content::Full(full) => Pin::new(full).poll_frame(context).map_err(|e| match e {}),
            Content::Segments(segments, left) => {
                let next = segments.pop_front();
                *left -= next.as_ref().map_or(0, |part| part.len() as u64);
                Poll::Ready(next.map(|part| Ok(Frame::data(part))))
            }
            Content::Relay(relay) => relay
                .poll_events(context)
                .map(|next| next.map(|result| result.map(Frame::data).map_err(Into::into))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(full) => full.is_end_stream(),
            Content::Segments(segments, _) => segments.is_empty(),
            Content::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(full) => full.size_hint(),
            Content::Segments(_, left) => SizeHint::with_exact(*left),
            Content::Relay(_) => SizeHint::default(),
        }
    }
}

/// Refusal or failure that originates at this node.
#[derive(Debug)]
pub struct Refused {
    /// Result code.
    pub code: Code,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Cause, for logs.
    pub cause: Box<str>,
}

impl Refused {
    /// Refusal without a retry delay.
    #[must_use]
    pub fn new(code: Code, cause: impl Into<Box<str>>) -> Self {
        Self { code, retry_after: None, cause: cause.into() }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Logs and counts a refusal and builds its response.
pub fn render_refusal(board: &Blackboard, attempt: &str, refused: &Refused) -> Response<Body> {
    let code = refused.code;
    info!(board.log, "refused"; Event::Refused, "request" => attempt, "code" => code.number(),
        "executed" => %code.executed(), "cause" => &*refused.cause,
        "retry_after_ms" => refused.retry_after.map(millis));
    board.metrics.count("refused", &code.number().to_string());
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    board.headers.rewrite_refusal(headers, attempt);
    if let Some(delay) = refused.retry_after {
        let seconds = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Names of the headers that apply to a single connection, other than [`HOP_BY_HOP`].
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Names of the headers that do not apply to a single connection.
pub fn end_to_end_names(headers: &HeaderMap) -> impl Iterator<Item = &HeaderName> {
    let named = connection_options(headers);
    headers.keys().filter(move |name| !HOP_BY_HOP.contains(name) && !named.contains(name))
}

/// Headers without those that apply to a single connection.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let names = end_to_end_names(headers);
    let values = names.flat_map(|name| headers.get_all(name).iter().map(move |v| (name, v)));
    values.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Head of the response to a caller, with the endpoint's status and headers.
#[must_use]
pub fn response_head(parts: &response::Parts) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end(&parts.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Duration in whole ms, for logs.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

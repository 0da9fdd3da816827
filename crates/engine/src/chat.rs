//! Chat completion requests.

use serde::Deserialize;
use serde_json::Value;
use units::{Fingerprint, PrefixHash, Tokens};
use xxhash_rust::xxh3::Xxh3;

/// Estimated bytes of text per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes between the first boundaries at which prefixes are hashed.
const PREFIX_BYTES: usize = 1024;
/// Maximum number of prefixes; after half of them, the distance between boundaries doubles each
/// time.
const MAX_PREFIXES: usize = 12;

#[derive(Debug, Deserialize)]
struct Body {
    model: Box<str>,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: Box<str>,
    #[serde(default)]
    content: Value,
}

/// Properties of a request that scheduling needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Requested model or service.
    pub model: Box<str>,
    /// Estimated prompt length.
    pub prompt: Tokens,
    /// Limit on the response length, if the caller sets one.
    pub max_output: Option<Tokens>,
    /// Whether the caller requests a stream.
    pub stream: bool,
    /// Hashes of prompt prefixes with their estimated lengths, shortest first.
    pub prefixes: Vec<(PrefixHash, Tokens)>,
}

/// Parses a chat completion request.
///
/// # Errors
/// Text for the caller that says why the body is invalid.
pub fn parse(body: &[u8]) -> Result<Request, String> {
    let parsed: Body = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if parsed.messages.is_empty() {
        return Err("`messages` is empty".into());
    }
    let mut text = Vec::with_capacity(body.len());
    for message in &parsed.messages {
        text.extend_from_slice(message.role.as_bytes());
        text.push(b'\n');
        append_text(&message.content, &mut text);
        text.push(b'\n');
    }
    let max_output = parsed.max_completion_tokens.or(parsed.max_tokens).map(Tokens);
    Ok(Request {
        model: parsed.model,
        prompt: estimated_tokens(text.len()),
        max_output,
        stream: parsed.stream,
        prefixes: prefixes(&text),
    })
}

fn append_text(content: &Value, text: &mut Vec<u8>) {
    match content {
        Value::String(part) => text.extend_from_slice(part.as_bytes()),
        other => text.extend_from_slice(other.to_string().as_bytes()),
    }
}

fn estimated_tokens(bytes: usize) -> Tokens {
    Tokens(u64::try_from(bytes).unwrap_or(u64::MAX).div_ceil(BYTES_PER_TOKEN))
}

fn prefixes(text: &[u8]) -> Vec<(PrefixHash, Tokens)> {
    let mut prefixes = Vec::new();
    let mut hasher = Xxh3::new();
    let mut start = 0;
    let mut step = PREFIX_BYTES;
    while start + step <= text.len() && prefixes.len() < MAX_PREFIXES {
        hasher.update(&text[start..start + step]);
        start += step;
        prefixes.push((PrefixHash(hasher.digest()), estimated_tokens(start)));
        if prefixes.len() >= MAX_PREFIXES / 2 {
            step *= 2;
        }
    }
    prefixes
}

/// Hash of a request's content; equal for repetitions of the same request. All builds must agree on it.
#[must_use]
pub fn fingerprint(organisation: &str, service: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for part in [organisation.as_bytes(), service.as_bytes(), path.as_bytes(), body] {
        hasher.update(part);
        hasher.update(&[0]);
    }
    Fingerprint(hasher.digest())
}

/// The same request, changed to ask for a stream that ends with usage statistics.
///
/// # Errors
/// The body is not a JSON object.
pub fn as_stream(body: &[u8]) -> Result<Vec<u8>, String> {
    let mut value: Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let object = value.as_object_mut().ok_or("the body is not an object")?;
    object.insert("stream".into(), Value::Bool(true));
    object.insert("stream_options".into(), serde_json::json!({"include_usage": true}));
    serde_json::to_vec(&value).map_err(|e| e.to_string())
}

//! Requests shared by tests, and checks of their responses.

use crate::{Client, Cluster, Response};
use ntex::http::Method;
use serde_json::{Value, json};
use std::{
    future::Future,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of bookings.
pub const BOOKINGS_PATH: &str = "/services/bookdesk/bookings";

/// Body of a chat completion; the stand-in engine repeats `mark` in every token.
#[must_use]
pub fn chat_body(mark: &str, output: u32) -> String {
    chat_body_with(&format!("<<{mark}>> please quote for moss scraping"), output)
}

/// Body of a chat completion with this message.
#[must_use]
pub fn chat_body_with(content: &str, output: u32) -> String {
    json!({"model": "vaani-7b", "stream": true, "max_tokens": output,
        "messages": [{"role": "user", "content": content}]})
    .to_string()
}

/// Sends a chat completion; `None` if there was no response.
pub async fn send_chat(client: &Client, gateway: SocketAddr, body: &str) -> Option<Response> {
    let headers = [("bamboo-organisation", "surat"), ("content-type", "application/json")];
    client.call(Method::POST, gateway, CHAT_PATH, &headers, body).await.ok()
}

/// Sends a booking with an idempotency key; `None` if there was no response.
pub async fn send_booking(client: &Client, gateway: SocketAddr, key: &str) -> Option<Response> {
    let headers = [("bamboo-organisation", "surat"), ("idempotency-key", key)];
    let body = format!("{{\"house\":\"{key}\"}}");
    client.call(Method::POST, gateway, BOOKINGS_PATH, &headers, &body).await.ok()
}

/// Whether a streamed response for `mark` is complete: every token once, in order, then the final
/// event.
#[must_use]
pub fn is_complete(response: &Response, mark: &str, output: u32) -> bool {
    let mut rest = response.body.as_str();
    for index in 1..=output {
        match rest.find(&format!("\"{mark}:{index} \"")) {
            Some(at) => rest = &rest[at + 1..],
            None => return false,
        }
    }
    response.status == 200
        && response.body.matches(&format!("\"{mark}:")).count() == output as usize
        && response.body.trim_end().ends_with("data: [DONE]")
}

/// Number of runs of a marked request or idempotency key, over all endpoints.
#[must_use]
pub fn run_count(stats: &Value, name: &str) -> u64 {
    let endpoints = stats.as_object().into_iter().flatten();
    endpoints.filter_map(|(_, endpoint)| endpoint["runs"][name].as_u64()).sum()
}

/// Waits until `check` returns true.
///
/// # Panics
/// `check` does not return true within `limit`.
pub async fn eventually<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    check: impl Fn() -> F,
) {
    let until = Instant::now() + limit;
    while !check().await {
        assert!(Instant::now() < until, "{what}: not within {limit:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Log lines of all gateways with one of these event names, for messages of failed assertions.
#[must_use]
pub fn log_lines(cluster: &Cluster, names: &[&str]) -> String {
    let wanted = |line: &&String| names.iter().any(|n| line.contains(&format!("\"name\":\"{n}\"")));
    let lines = cluster.gateways.iter().flat_map(|gateway| gateway.process.lines());
    let lines: Vec<String> = lines.collect();
    lines.iter().filter(wanted).map(String::as_str).collect::<Vec<_>>().join("\n")
}

//! Requests that tests share, and checks of their answers.

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

/// Body of a chat completion whose answer repeats `mark`.
#[must_use]
pub fn chat_body(mark: &str, output: u32) -> String {
    chat_body_with(&format!("<<{mark}>> please quote for moss scraping"), output)
}

/// Body of a chat completion with this content.
#[must_use]
pub fn chat_body_with(content: &str, output: u32) -> String {
    json!({"model": "vaani-7b", "stream": true, "max_tokens": output,
        "messages": [{"role": "user", "content": content}]})
    .to_string()
}

/// Sends a chat completion.
pub async fn send_chat(client: &Client, gateway: SocketAddr, body: &str) -> Option<Response> {
    let headers = [("bamboo-organisation", "surat"), ("content-type", "application/json")];
    client.call(Method::POST, gateway, CHAT_PATH, &headers, body).await.ok()
}

/// Sends a booking.
pub async fn send_booking(client: &Client, gateway: SocketAddr, key: &str) -> Option<Response> {
    let headers = [("bamboo-organisation", "surat"), ("idempotency-key", key)];
    let body = format!("{{\"house\":\"{key}\"}}");
    client.call(Method::POST, gateway, BOOKINGS_PATH, &headers, &body).await.ok()
}

/// Whether a streamed answer to `mark` is whole: every token in order, then the closing event.
#[must_use]
pub fn is_complete(answer: &Response, mark: &str, output: u32) -> bool {
    let mut rest = answer.body.as_str();
    for index in 1..=output {
        match rest.find(&format!("\"{mark}:{index} \"")) {
            Some(at) => rest = &rest[at + 1..],
            None => return false,
        }
    }
    answer.status == 200
        && answer.body.matches(&format!("\"{mark}:")).count() == output as usize
        && answer.body.trim_end().ends_with("data: [DONE]")
}

/// Sum over all endpoints of how often requests of this name ran.
#[must_use]
pub fn run_count(stats: &Value, name: &str) -> u64 {
    let endpoints = stats.as_object().into_iter().flatten();
    endpoints.filter_map(|(_, endpoint)| endpoint["runs"][name].as_u64()).sum()
}

/// Waits until `check` holds.
///
/// # Panics
/// The check does not hold in time.
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

/// Log lines of every gateway with one of these event names, for messages of failed checks.
#[must_use]
pub fn log_lines(cluster: &Cluster, names: &[&str]) -> String {
    let wanted = |line: &&String| names.iter().any(|n| line.contains(&format!("\"name\":\"{n}\"")));
    let lines = cluster.gateways.iter().flat_map(|gateway| gateway.process.lines());
    let lines: Vec<String> = lines.collect();
    lines.iter().filter(wanted).map(String::as_str).collect::<Vec<_>>().join("\n")
}

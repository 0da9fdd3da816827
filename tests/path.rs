//! Streamed, buffered and non-idempotent requests end to end, through real processes.
//!
//! Guards against incomplete streams, wrongly assembled buffered responses, and
//! a repeated booking that is not answered from the recorded outcome.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{Client, Cluster, Topology};
use ntex::http::Method;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

fn chat(mark: &str, output: u32, stream: bool) -> String {
    let content = format!("<<{mark}>> please quote for moss scraping");
    json!({"model": "vaani-7b", "stream": stream, "max_tokens": output,
        "messages": [{"role": "user", "content": content}]})
    .to_string()
}

#[ntex::test]
async fn streamed_plain_and_booked() {
    let cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let client = Client::new().await.unwrap();
    let headers = [("bamboo-organisation", "surat"), ("bamboo-tier", "booking")];
    let address = cluster.gateways[0].callers;

    let streamed =
        client.call(Method::POST, address, CHAT, &headers, &chat("a1", 12, true)).await.unwrap();
    assert_eq!(streamed.status, 200, "{}", streamed.body);
    assert!(streamed.body.contains("a1:12 "), "{}", streamed.body);
    assert!(streamed.body.trim_end().ends_with("data: [DONE]"), "{}", streamed.body);

    let plain =
        client.call(Method::POST, address, CHAT, &headers, &chat("b2", 5, false)).await.unwrap();
    let response = plain.json();
    assert_eq!(response["choices"][0]["message"]["content"], "b2:1 b2:2 b2:3 b2:4 b2:5 ");
    assert_eq!(response["usage"]["completion_tokens"], 5);

    let booking = [("bamboo-organisation", "surat"), ("idempotency-key", "house-7")];
    let path = "/services/bookdesk/bookings";
    let first = client.call(Method::POST, address, path, &booking, "{\"house\":7}").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.body);
    assert!(!first.replayed);
    let other = cluster.gateways[1].callers;
    let mut again =
        client.call(Method::POST, other, path, &booking, "{\"house\":7}").await.unwrap();
    for _ in 0..20 {
        // The outcome of the first attempt is unknown until it is recorded.
        if again.code != Some(3002) {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        again = client.call(Method::POST, other, path, &booking, "{\"house\":7}").await.unwrap();
    }
    assert!(again.replayed, "{}", again.body);
    assert_eq!(again.body, first.body);
    let reused = client.call(Method::POST, other, path, &booking, "{\"house\":8}").await.unwrap();
    assert_eq!(reused.code, Some(3003));
    // The same text in another format is another request, and must not get the stored response.
    let typed = [&booking[..], &[("content-type", "text/csv")]].concat();
    let reused = client.call(Method::POST, other, path, &typed, "{\"house\":7}").await.unwrap();
    assert_eq!(reused.code, Some(3003), "{}", reused.body);
    cluster.gateways[0].process.wait_for_line("\"name\":\"Routed\"").unwrap();
}

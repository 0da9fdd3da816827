//! Invalid requests are refused with their result code and reach no endpoint.
//!
//! Guards against a wrong code, a refusal without detail or request id, a body
//! that arrives too slowly and is not refused, and an endpoint that receives an
//! invalid request. Also covers a service without a live endpoint.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{
    Client, Cluster, Topology,
    request::{BOOKINGS_PATH, CHAT_PATH, chat_body},
};
use ntex::http::Method;
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Invalid request with the expected result code.
struct Case {
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    code: u16,
}

fn case(
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: impl Into<String>,
    code: u16,
) -> Case {
    Case { path, headers, body: body.into(), code }
}

/// Header of a valid organisation.
const ORGANISATION: &[(&str, &str)] = &[("bamboo-organisation", "surat")];

#[ntex::test]
async fn each_kind_of_bad_input() {
    let topology = Topology::new(1).with_limits("body = 20000\nbody_timeout_ms = 500");
    let cluster = Cluster::start(topology).await.unwrap();
    let client = Client::new().await.unwrap();
    let unknown_tier = &[("bamboo-organisation", "surat"), ("bamboo-tier", "gold")];
    let bad_deadline = &[("bamboo-organisation", "surat"), ("bamboo-deadline-ms", "soon")];
    let bad_organisation = &[("bamboo-organisation", "a b")];
    let passed = &[("bamboo-organisation", "surat"), ("bamboo-deadline-ms", "0")];
    let cases = [
        case(CHAT_PATH, ORGANISATION, "{\"model\":", 1001),
        case(CHAT_PATH, ORGANISATION, "{\"model\":\"vaani-7b\",\"messages\":[]}", 1001),
        case(CHAT_PATH, &[], chat_body("a", 1), 1001),
        case(CHAT_PATH, bad_organisation, chat_body("a", 1), 1001),
        case(CHAT_PATH, bad_deadline, chat_body("a", 1), 1001),
        case(CHAT_PATH, ORGANISATION, "x".repeat(30_000), 1002),
        case(CHAT_PATH, ORGANISATION, chat_body("a", 1).replace("vaani-7b", "gpt"), 1003),
        case(CHAT_PATH, ORGANISATION, chat_body("a", 1).replace("vaani-7b", "bookdesk"), 1003),
        case("/services/nobody/x", ORGANISATION, "{}", 1003),
        case(CHAT_PATH, unknown_tier, chat_body("a", 1), 1004),
        case(BOOKINGS_PATH, ORGANISATION, "{}", 1005),
        case("/services/bookdesk/payments", ORGANISATION, "{}", 1006),
        case("/elsewhere", ORGANISATION, "{}", 1006),
        case(CHAT_PATH, passed, chat_body("a", 1), 2002),
    ];
    for case in cases {
        let response = client
            .call(Method::POST, cluster.gateways[0].callers, case.path, case.headers, &case.body)
            .await
            .unwrap();
        let problem = response.json();
        assert_eq!(response.code, Some(case.code), "{}: {response:?}", case.path);
        assert_eq!(problem["code"], case.code);
        assert_eq!(problem["executed"], "never");
        assert!(problem["request_id"].is_string());
        assert!(problem["detail"].as_str().is_some_and(|detail| !detail.is_empty()));
    }
    assert_slow_sender(cluster.gateways[0].callers);
    let stats = cluster.stats(&client).await.unwrap();
    for (name, endpoint) in stats.as_object().unwrap() {
        assert_eq!(endpoint["requests"], 0, "{name} received a request");
    }
}

/// Asserts that a body that does not arrive in time is refused.
fn assert_slow_sender(gateway: std::net::SocketAddr) {
    let mut stream = TcpStream::connect(gateway).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let head = format!(
        "POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\nbamboo-organisation: surat\r\ncontent-length: 500\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut response = vec![0; 4096];
    let read = stream.read(&mut response).unwrap();
    let response = String::from_utf8_lossy(&response[..read]).into_owned();
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("1007"), "{response}");
}

#[ntex::test]
async fn no_live_endpoint() {
    let cluster = Cluster::start(Topology::new(1)).await.unwrap();
    let client = Client::new().await.unwrap();
    drop(cluster.endpoints);
    let headers = [("bamboo-organisation", "surat"), ("bamboo-deadline-ms", "3000")];
    let response = client
        .call(Method::POST, cluster.gateways[0].callers, CHAT_PATH, &headers, &chat_body("a", 1))
        .await
        .unwrap();
    assert!(matches!(response.code, Some(4001 | 2002)), "{response:?}");
    assert_eq!(response.json()["executed"], "never");
}

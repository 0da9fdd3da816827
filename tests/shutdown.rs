//! A graceful shutdown finishes every response in progress.
//!
//! Guards against streams cut by the first signal, requests accepted while
//! draining, and, after a second signal that ends the process early, responses
//! that look complete or end without an error.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{
    Client, Cluster, Signal, Topology,
    request::{self, chat_body, is_complete, send_chat},
};
use std::time::Duration;

/// Longest wait for a condition or the end of a process.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Limits with a backlog bound that the offered load does not reach, so that no request is shed.
const LONG_HORIZON: &str = "horizon_ms = 600000";

async fn slow_down(cluster: &Cluster, client: &Client, factor: f64) {
    for n in 1..=12 {
        let name = format!("vaani-{n:02}");
        cluster.control_endpoint(client, &name, &format!("{{\"slow\": {factor}}}")).await.unwrap();
    }
}

#[ntex::test]
async fn every_stream_in_progress_is_finished() {
    let mut cluster = Cluster::start(Topology::new(2).with_limits(LONG_HORIZON)).await.unwrap();
    let client = Client::new().await.unwrap();
    slow_down(&cluster, &client, 6.0).await;
    let gateway = cluster.gateways[0].callers;
    let streams: Vec<_> = (0..150)
        .map(|i| {
            let client = client.clone();
            ntex::rt::spawn(async move {
                let mark = format!("s{i}");
                let response = send_chat(&client, gateway, &chat_body(&mark, 30)).await;
                response.is_some_and(|response| is_complete(&response, &mark, 30))
            })
        })
        .collect();
    let operators = cluster.gateways[0].operators;
    let busy = async || {
        let status = client.get(operators, "/status").await.unwrap().json();
        status["in_progress"].as_u64().unwrap_or(0) >= 150
    };
    request::eventually("all requests are accepted", TIMEOUT, busy).await;
    cluster.gateways[0].process.signal(Signal::Terminate).unwrap();
    cluster.gateways[0].process.wait_for_line("\"name\":\"Draining\"").unwrap();
    assert_eq!(client.get(operators, "/ready").await.unwrap().status, 503);
    let refused = send_chat(&client, gateway, &chat_body("late", 1)).await.unwrap();
    assert_eq!(refused.code, Some(2003), "{refused:?}");
    assert_eq!(refused.json()["executed"], "never");
    for (index, stream) in streams.into_iter().enumerate() {
        assert!(stream.await.unwrap(), "stream {index} was cut");
    }
    assert_eq!(cluster.gateways[0].process.wait(TIMEOUT).unwrap(), Some(0));
    cluster.gateways[1].process.wait_for_line("\"name\":\"MemberLeft\"").unwrap();
}

#[ntex::test]
async fn a_second_signal_ends_with_the_truth() {
    let mut cluster = Cluster::start(Topology::new(1)).await.unwrap();
    let client = Client::new().await.unwrap();
    slow_down(&cluster, &client, 30.0).await;
    let gateway = cluster.gateways[0].callers;
    let streams: Vec<_> = (0..200)
        .map(|i| {
            let client = client.clone();
            let body = chat_body(&format!("s{i}"), 400);
            ntex::rt::spawn(async move { send_chat(&client, gateway, &body).await })
        })
        .collect();
    let operators = cluster.gateways[0].operators;
    let busy = async || {
        let status = client.get(operators, "/status").await.unwrap().json();
        status["in_progress"].as_u64().unwrap_or(0) >= 100
    };
    request::eventually("at least 100 requests are in progress", TIMEOUT, busy).await;
    let process = &cluster.gateways[0].process;
    process.signal(Signal::Terminate).unwrap();
    process.wait_for_line("\"name\":\"Draining\"").unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    process.signal(Signal::Terminate).unwrap();
    assert_eq!(cluster.gateways[0].process.wait(TIMEOUT).unwrap(), Some(0));
    let mut codes = std::collections::BTreeMap::<u64, u32>::new();
    for stream in streams {
        let response = stream.await.unwrap().expect("a caller got no response");
        assert!(!response.body.contains("[DONE]"), "a truncated response ends as if complete");
        let problem = response.body.lines().rev().find_map(|line| {
            let line = line.strip_prefix("data: ").unwrap_or(line);
            serde_json::from_str::<serde_json::Value>(line).ok()
        });
        let problem = problem.expect("a response does not end with a problem document");
        *codes.entry(problem["code"].as_u64().unwrap_or(0)).or_default() += 1;
    }
    let allowed = [2001, 2003, 4005];
    assert!(codes.keys().all(|code| allowed.contains(code)), "{codes:?}");
    assert!(codes.contains_key(&4005), "{codes:?}");
}

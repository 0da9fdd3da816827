//! Non-idempotent requests run at most once.
//!
//! A booking would run twice if two gateways dispatched the same idempotency
//! key, or if a retry were dispatched after a gateway died at any point between
//! the claim and the recorded outcome. During a store outage no claim can be
//! recorded, so bookings must be refused, but nothing else. Claims made
//! together must share store writes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{
    Client, Cluster, Signal, Topology,
    request::{self, eventually, run_count, send_booking},
};
use std::time::Duration;

/// Longest wait for a condition or the end of a process.
const TIMEOUT: Duration = Duration::from_secs(20);

#[ntex::test]
async fn one_key_through_many_gateways_runs_once() {
    let cluster = Cluster::start(Topology::new(3)).await.unwrap();
    let client = Client::new().await.unwrap();
    for round in 0..5 {
        let key = format!("house-{round}");
        let calls = (0..9).map(|i| send_booking(&client, cluster.gateways[i % 3].callers, &key));
        let responses = futures_util::future::join_all(calls).await;
        let done = responses.iter().flatten().filter(|response| response.status == 200).count();
        assert!(done >= 1, "{responses:?}");
        for response in responses.iter().flatten().filter(|response| response.status != 200) {
            assert_eq!(response.code, Some(3002), "{response:?}");
            assert_eq!(response.json()["executed"], "unknown");
        }
        assert_eq!(run_count(&cluster.stats(&client).await.unwrap(), &key), 1);
    }
}

#[ntex::test]
async fn a_gateway_that_dies_leaves_its_booking_in_doubt() {
    let mut cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let client = Client::new().await.unwrap();
    for n in 1..=3 {
        cluster
            .control_endpoint(&client, &format!("bookdesk-{n}"), "{\"slow\": 60.0}")
            .await
            .unwrap();
    }
    let gateway = cluster.gateways[0].callers;
    let first = {
        let client = client.clone();
        ntex::rt::spawn(async move { send_booking(&client, gateway, "roof-1").await })
    };
    let ran = async || run_count(&cluster.stats(&client).await.unwrap(), "roof-1") == 1;
    eventually("the booking has run", TIMEOUT, ran).await;
    cluster.gateways[0].process.signal(Signal::Kill).unwrap();
    assert!(first.await.unwrap().is_none(), "the caller sees a broken connection");
    cluster.gateways[0].process.wait(TIMEOUT).unwrap();
    for _ in 0..3 {
        let again = send_booking(&client, cluster.gateways[1].callers, "roof-1").await.unwrap();
        assert_eq!(again.code, Some(3002), "{again:?}");
        assert_eq!(again.json()["executed"], "unknown");
    }
    assert_eq!(run_count(&cluster.stats(&client).await.unwrap(), "roof-1"), 1);
}

#[ntex::test]
async fn a_gateway_that_dies_at_any_point_lets_no_booking_run_twice() {
    let mut cluster = Cluster::start(Topology::new(1)).await.unwrap();
    let client = Client::new().await.unwrap();
    cluster.control_platform(&client, "{\"slow_ms\": 60}").await.unwrap();
    for round in 0..6u64 {
        let victim = cluster.add_gateway().unwrap();
        cluster.control_platform(&client, "{}").await.unwrap();
        let operators = cluster.gateways[victim].operators;
        let ready = async || client.get(operators, "/ready").await.is_ok_and(|a| a.status == 200);
        eventually("the gateway is ready", TIMEOUT, ready).await;
        cluster.control_platform(&client, "{\"slow_ms\": 60}").await.unwrap();
        let key = format!("roof-{round}");
        let gateway = cluster.gateways[victim].callers;
        let (first_key, first_client) = (key.clone(), client.clone());
        let first =
            ntex::rt::spawn(async move { send_booking(&first_client, gateway, &first_key).await });
        // Kills the gateway before, during and after the claim and the dispatch.
        tokio::time::sleep(Duration::from_millis(round * 40)).await;
        cluster.gateways[victim].process.signal(Signal::Kill).unwrap();
        let _ = first.await;
        cluster.gateways[victim].process.wait(TIMEOUT).unwrap();
        let again = send_booking(&client, cluster.gateways[0].callers, &key).await.unwrap();
        let count = run_count(&cluster.stats(&client).await.unwrap(), &key);
        assert!(count <= 1, "{key} ran {count} times");
        match again.code {
            None => assert_eq!((again.status, count), (200, 1), "{again:?}"),
            Some(code) => assert_eq!(code, 3002, "{again:?}"),
        }
    }
}

#[ntex::test]
async fn an_outage_refuses_bookings_and_nothing_else() {
    let cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let client = Client::new().await.unwrap();
    cluster.control_platform(&client, "{\"outage\": true}").await.unwrap();
    let refused = send_booking(&client, cluster.gateways[0].callers, "roof-2").await.unwrap();
    assert_eq!(refused.code, Some(3001), "{refused:?}");
    assert_eq!(refused.json()["executed"], "never");
    assert_eq!(run_count(&cluster.stats(&client).await.unwrap(), "roof-2"), 0);
    let asked =
        request::send_chat(&client, cluster.gateways[1].callers, &request::chat_body("z", 3)).await;
    assert!(request::is_complete(&asked.unwrap(), "z", 3));
    cluster.control_platform(&client, "{}").await.unwrap();
    let done = async || {
        send_booking(&client, cluster.gateways[1].callers, "roof-2")
            .await
            .is_some_and(|a| a.status == 200)
    };
    eventually("the booking runs after the outage", TIMEOUT, done).await;
    assert_eq!(run_count(&cluster.stats(&client).await.unwrap(), "roof-2"), 1);
}

#[ntex::test]
async fn an_answer_lost_after_the_claim_is_read_back() {
    let cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let client = Client::new().await.unwrap();
    for round in 0..4 {
        cluster.control_platform(&client, "{\"lose_answers\": 1}").await.unwrap();
        let key = format!("roof-{round}");
        let response = send_booking(&client, cluster.gateways[0].callers, &key).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(run_count(&cluster.stats(&client).await.unwrap(), &key), 1);
    }
}

#[ntex::test]
async fn claims_of_one_moment_share_writes() {
    let cluster = Cluster::start(Topology::new(1)).await.unwrap();
    let client = Client::new().await.unwrap();
    let writes = async || {
        let response = client.get(cluster.platform_address, "/counters").await.unwrap();
        response.json()["writes"].as_u64().unwrap()
    };
    let before = writes().await;
    let keys: Vec<String> = (0..40).map(|i| format!("roof-{i}")).collect();
    let calls = keys.iter().map(|key| send_booking(&client, cluster.gateways[0].callers, key));
    let responses = futures_util::future::join_all(calls).await;
    assert!(responses.iter().flatten().all(|response| response.status == 200));
    tokio::time::sleep(Duration::from_secs(1)).await;
    // Each booking needs one write for its outcome; claims share writes.
    let spent = writes().await - before;
    assert!(spent < 80, "{spent} writes for 40 bookings");
}

//! An accepted configuration takes effect on every gateway and is never rolled back.
//!
//! Guards against two concurrent publishers that commit the same version, a lost
//! store response that makes a publication appear twice, a publication lost
//! because store and directory fail right after accepting it, a gateway that
//! starts during a store outage and serves without a configuration, and an
//! older document that arrives late and replaces a newer one.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{
    Client, Cluster, Signal, Topology,
    request::{self, eventually},
};
use serde_json::Value;
use std::time::Duration;

/// Longest time until an accepted configuration is in force on every gateway.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);

async fn version(cluster: &Cluster, client: &Client, gateway: usize) -> u64 {
    let status = cluster.status(client, gateway).await.unwrap_or(Value::Null);
    status["version"].as_u64().unwrap_or(0)
}

async fn all_reached(cluster: &Cluster, client: &Client, wanted: u64) -> bool {
    for index in 0..cluster.gateways.len() {
        if version(cluster, client, index).await < wanted {
            return false;
        }
    }
    true
}

#[ntex::test]
async fn racing_publishers_get_one_winner_each_version() {
    let cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let table = cluster.platform_address.to_string();
    let services = cluster.topology.services.to_str().unwrap().to_owned();
    for base in 1..4u64 {
        let results: Vec<(i32, String)> = std::thread::scope(|scope| {
            let publish = |author: String| {
                let arguments = [
                    "publish",
                    "--table",
                    &table,
                    "--author",
                    &author,
                    "--base",
                    &base.to_string(),
                    &services,
                ]
                .map(str::to_owned);
                let cluster = &cluster;
                scope.spawn(move || {
                    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
                    cluster.run_cli(&arguments).unwrap()
                })
            };
            let threads: Vec<_> = (0..4).map(|i| publish(format!("op-{i}"))).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let won: Vec<_> = results.iter().filter(|(code, _)| *code == 0).collect();
        assert_eq!(won.len(), 1, "{results:?}");
        for (code, output) in results.iter().filter(|(code, _)| *code != 0) {
            assert_eq!(*code, 1, "{output}");
            assert!(output.contains(&format!("version {} by op-", base + 1)), "{output}");
        }
    }
}

#[ntex::test]
async fn a_lost_answer_is_read_back_and_not_published_twice() {
    let cluster = Cluster::start(Topology::new(1)).await.unwrap();
    let client = Client::new().await.unwrap();
    cluster.control_platform(&client, "{\"lose_answers\": 1}").await.unwrap();
    let output = cluster.publish(&["--author", "lost"]).unwrap();
    assert!(output.contains("version 2 is accepted"), "{output}");
    let table = cluster.platform_address.to_string();
    let (code, log) = cluster.run_cli(&["--json", "log", "--table", &table]).unwrap();
    assert_eq!(code, 0);
    let heads: Value = serde_json::from_str(&log).unwrap();
    assert_eq!(heads.as_array().unwrap().len(), 2, "{log}");
    assert_eq!(heads[0]["author"], "lost");
}

#[ntex::test]
async fn an_outage_right_after_acceptance_does_not_stop_a_publication() {
    let cluster = Cluster::start(Topology::new(4)).await.unwrap();
    let client = Client::new().await.unwrap();
    cluster.publish(&[]).unwrap();
    cluster
        .control_platform(&client, "{\"outage\": true, \"directory_outage\": true}")
        .await
        .unwrap();
    eventually("in force everywhere", IN_FORCE_TIMEOUT, async || {
        all_reached(&cluster, &client, 2).await
    })
    .await;
}

#[ntex::test]
async fn a_cold_gateway_learns_from_peers_while_the_store_is_down() {
    let mut cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let client = Client::new().await.unwrap();
    cluster.publish(&[]).unwrap();
    eventually("in force", IN_FORCE_TIMEOUT, async || all_reached(&cluster, &client, 2).await)
        .await;
    cluster.control_platform(&client, "{\"outage\": true}").await.unwrap();
    let cold = cluster.add_gateway().unwrap();
    let operators = cluster.gateways[cold].operators;
    let ready = async || client.get(operators, "/ready").await.is_ok_and(|a| a.status == 200);
    eventually("the cold gateway is ready", TIMEOUT, ready).await;
    assert_eq!(version(&cluster, &client, cold).await, 2);
    let callers = cluster.gateways[cold].callers;
    let served = async || {
        let response = request::send_chat(&client, callers, &request::chat_body("cold", 3)).await;
        response.is_some_and(|response| request::is_complete(&response, "cold", 3))
    };
    eventually("the cold gateway serves", TIMEOUT, served).await;
}

#[ntex::test]
async fn a_gateway_without_store_and_peers_is_not_ready() {
    let mut cluster = Cluster::start_without_gateways(Topology::new(1)).unwrap();
    let client = Client::new().await.unwrap();
    cluster
        .control_platform(&client, "{\"outage\": true, \"directory_outage\": true}")
        .await
        .unwrap();
    let cold = cluster.add_gateway().unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ready = client.get(cluster.gateways[cold].operators, "/ready").await.unwrap();
    assert_eq!(ready.status, 503);
    let callers = cluster.gateways[cold].callers;
    let refused = request::send_chat(&client, callers, &request::chat_body("x", 1)).await.unwrap();
    assert_eq!(refused.code, Some(2004));
}

#[ntex::test]
async fn a_paused_gateway_catches_up_and_nothing_reverts() {
    let cluster = Cluster::start(Topology::new(3)).await.unwrap();
    let client = Client::new().await.unwrap();
    cluster.gateways[2].process.signal(Signal::Stop).unwrap();
    cluster.publish(&[]).unwrap();
    cluster.publish(&[]).unwrap();
    for index in 0..2 {
        let in_force = async || version(&cluster, &client, index).await == 3;
        eventually("in force on the running gateways", IN_FORCE_TIMEOUT, in_force).await;
    }
    cluster.gateways[2].process.signal(Signal::Continue).unwrap();
    eventually("in force on the resumed gateway", IN_FORCE_TIMEOUT, async || {
        all_reached(&cluster, &client, 3).await
    })
    .await;
    for _ in 0..20 {
        assert!(all_reached(&cluster, &client, 3).await, "a version reverted");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // An older document that arrives late is ignored.
    let bytes = serde_json::json!({"version": 1, "author": "late", "services": []}).to_string();
    client.post(cluster.gateways[0].operators, "/publication", &bytes).await.unwrap();
    cluster.gateways[0].process.wait_for_line("\"name\":\"ConfigIgnored\"").unwrap();
    assert!(all_reached(&cluster, &client, 3).await);
}

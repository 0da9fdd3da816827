//! Endpoints move between services on the orders of a single lease holder.
//!
//! Guards against a donor service that loses its last endpoint, an order to an
//! endpoint that still runs requests, and an order from a gateway that lost the
//! lease while it was paused, whose fencing number is older than one already
//! followed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{
    Client, Cluster, Signal, Topology,
    request::{self, eventually},
};
use ntex::http::Method;
use serde_json::{Value, json};
use std::{cell::Cell, fmt::Write as _, rc::Rc, time::Duration};

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(150);

fn topology(folder: &std::path::Path, gateways: usize) -> Topology {
    let mut fleet = String::new();
    for (service, count) in [("busy", 1), ("idle", 3)] {
        let file = format!(
            "service = \"{service}\"\nkind = \"model\"\ntiers = [\"only\"]\n\
             checks_fencing = true\nmovable = true\n"
        );
        std::fs::create_dir_all(folder.join("services")).unwrap();
        std::fs::write(folder.join(format!("services/{service}.bamboo.toml")), file).unwrap();
        for n in 1..=count {
            let _ = write!(
                fleet,
                "[[endpoint]]\nid = \"{service}-{n}\"\nservice = \"{service}\"\nzone = \"adajan\"\n\
                 region = \"tapi-west\"\nstep_us = 20000\nbatch = 4\nload_ms = 500\n"
            );
        }
    }
    let topology = Topology::new(gateways).with_fleet(folder, &fleet).unwrap();
    let location = ("adajan".to_owned(), "tapi-west".to_owned());
    let services = folder.join("services");
    Topology { services, locations: vec![location], ..topology.with_limits("horizon_ms = 20000") }
}

/// Offers more load than the endpoint of the `busy` service can serve, until the returned flag is
/// set.
fn offer(cluster: &Cluster, client: &Client, gateway: usize) -> Rc<Cell<bool>> {
    let stop = Rc::new(Cell::new(false));
    let body = json!({"model": "busy", "stream": true, "max_tokens": 30,
        "messages": [{"role": "user", "content": "<<p>> more"}]});
    for worker in 0..40 {
        let (client, stop) = (client.clone(), Rc::clone(&stop));
        let body = body.to_string().replace("<<p>>", &format!("<<p{worker}>>"));
        let address = cluster.gateways[gateway].callers;
        ntex::rt::spawn(async move {
            while !stop.get() {
                let headers = [("bamboo-organisation", "surat")];
                let _ =
                    client.call(Method::POST, address, request::CHAT_PATH, &headers, &body).await;
            }
        });
    }
    stop
}

fn orders(stats: &Value) -> Vec<(u64, String)> {
    let endpoints = stats.as_object().into_iter().flatten();
    let lists = endpoints.filter_map(|(_, endpoint)| endpoint["orders"].as_array());
    let order = |order: &Value| (order[0].as_u64().unwrap(), order[1].as_str().unwrap().to_owned());
    lists.flatten().map(order).collect()
}

async fn serving(cluster: &Cluster, client: &Client, service: &str) -> usize {
    let status = cluster.status(client, 0).await.unwrap();
    let endpoints = status["endpoints"].as_array().unwrap();
    endpoints.iter().filter(|e| e["service"] == service && e["leaving"] == false).count()
}

#[ntex::test]
async fn demand_moves_endpoints_and_a_donor_keeps_one() {
    let folder = tempfile::TempDir::new().unwrap();
    let cluster = Cluster::start(topology(folder.path(), 3)).await.unwrap();
    let client = Client::new().await.unwrap();
    let stop = offer(&cluster, &client, 0);
    let moved = async || serving(&cluster, &client, "busy").await == 3;
    eventually("two endpoints move", TIMEOUT, moved).await;
    tokio::time::sleep(Duration::from_secs(12)).await;
    assert_eq!(
        serving(&cluster, &client, "idle").await,
        1,
        "a service was left without an endpoint"
    );
    let stats = cluster.stats(&client).await.unwrap();
    let given = orders(&stats);
    assert_eq!(given.len(), 2, "{given:?}");
    assert!(given.iter().all(|(_, service)| service == "busy"));
    for (name, endpoint) in stats.as_object().unwrap() {
        assert_eq!(endpoint["orders_while_running"], 0, "{name} was ordered while it ran requests");
    }
    assert!(!request::log_lines(&cluster, &["Placement"]).is_empty());
    stop.set(true);
}

#[ntex::test]
async fn a_frozen_holder_gives_no_order_when_it_thaws() {
    let folder = tempfile::TempDir::new().unwrap();
    let cluster = Cluster::start(topology(folder.path(), 4)).await.unwrap();
    let client = Client::new().await.unwrap();
    let holds = |gateway: &harness::Gateway| {
        gateway.process.lines().iter().any(|line| line.contains("lease taken"))
    };
    let taken = async || cluster.gateways.iter().any(holds);
    eventually("a gateway takes the lease", TIMEOUT, taken).await;
    let holder = cluster.gateways.iter().position(holds).unwrap();
    let offered = usize::from(holder == 0);
    let stop = offer(&cluster, &client, offered);
    let planned = async || request::log_lines(&cluster, &["Placement"]).contains("\"to\":\"busy\"");
    eventually("an order is planned", TIMEOUT, planned).await;
    // Pauses the holder after the endpoint is marked and before the order is sent.
    cluster.gateways[holder].process.signal(Signal::Stop).unwrap();
    let others = || cluster.gateways.iter().enumerate().filter(|(index, _)| *index != holder);
    let succeeded = async || others().any(|(_, gateway)| holds(gateway));
    eventually("another gateway takes the lease", TIMEOUT, succeeded).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    cluster.gateways[holder].process.signal(Signal::Continue).unwrap();
    tokio::time::sleep(Duration::from_secs(8)).await;
    let stats = cluster.stats(&client).await.unwrap();
    for (name, endpoint) in stats.as_object().unwrap() {
        let fences: Vec<u64> = endpoint["orders"]
            .as_array()
            .unwrap()
            .iter()
            .map(|order| order[0].as_u64().unwrap())
            .collect();
        assert!(fences.windows(2).all(|pair| pair[0] <= pair[1]), "{name}: {fences:?}");
    }
    let status = cluster.status(&client, offered).await.unwrap();
    assert_eq!(status["ready"], true);
    stop.set(true);
}

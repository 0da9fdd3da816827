//! A request that crashes its endpoint brings down at most two endpoints.
//!
//! Retries on other endpoints would crash one after the other. The request must
//! be quarantined instead; requests that ran beside it on the crashed endpoints
//! must not be. Sound calls that resemble it must neither clear it nor be held
//! back.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{
    Client, Cluster, Topology,
    request::{self, chat_body, chat_body_with, eventually, is_complete, send_chat},
};
use ntex::http::Method;
use std::{net::SocketAddr, time::Duration};

/// Endpoints, each in a process of its own.
const ENDPOINT_COUNT: usize = 8;

#[ntex::test]
async fn two_endpoints_at_most() {
    let isolated = (1..=ENDPOINT_COUNT).map(|n| format!("vaani-{n:02}")).collect();
    let mut cluster = Cluster::start(Topology { isolated, ..Topology::new(3) }).await.unwrap();
    let client = Client::new().await.unwrap();
    let poison = chat_body_with("crash-engine <<p>>", 4);
    let healthy: Vec<String> = (0..40).map(|i| chat_body(&format!("h{i}"), 40)).collect();
    let mut quarantined = 0;
    for round in 0..6 {
        let addresses: Vec<_> = cluster.gateways.iter().map(|gateway| gateway.callers).collect();
        let sent = healthy.iter().enumerate();
        let nearby = sent.map(|(i, body)| send_chat(&client, addresses[(i + round) % 3], body));
        let poisoned = send_chat(&client, addresses[round % 3], &poison);
        let nearby = futures_util::future::join_all(nearby);
        let (poisoned, _) = futures_util::future::join(poisoned, nearby).await;
        let response = poisoned.expect("the poison request got no response");
        let problem = response.json();
        match response.code {
            Some(4002) => assert_eq!(problem["executed"], "unknown", "{response:?}"),
            Some(3004) => {
                assert_eq!(problem["executed"], "never", "{response:?}");
                quarantined += 1;
            }
            _ => panic!("{response:?}"),
        }
    }
    let log = request::log_lines(&cluster, &["Cut", "Strike", "Quarantine"]);
    let down = |process: &mut harness::Process| process.wait(Duration::ZERO).is_ok();
    let crashed = cluster.endpoints.iter_mut().filter_map(|p| down(p).then_some(())).count();
    assert!(crashed <= 2, "{crashed} endpoints crashed:\n{log}");
    assert!(quarantined >= 4, "quarantined {quarantined} times:\n{log}");
    // Requests that ran on the crashed endpoints are not quarantined.
    for (index, body) in healthy.iter().enumerate() {
        let mark = format!("h{index}");
        let served = async || {
            let response =
                send_chat(&client, cluster.gateways[index % 3].callers, body).await.unwrap();
            assert_ne!(response.code, Some(3004), "a healthy request is quarantined: {response:?}");
            is_complete(&response, &mark, 40)
        };
        eventually("a healthy request is served", Duration::from_secs(20), served).await;
    }
}

/// Sound calls with the same organisation, path and body cleared the strikes of the deadly one.
#[ntex::test]
async fn a_call_with_a_media_type_of_its_own_brings_down_two_endpoints_at_most() {
    const SLOTS_PATH: &str = "/services/bookdesk/slots";
    let isolated = (1..=3).map(|n| format!("bookdesk-{n}")).collect();
    let mut cluster = Cluster::start(Topology { isolated, ..Topology::new(3) }).await.unwrap();
    let client = Client::new().await.unwrap();
    let call = async |gateway: SocketAddr, media_type: &str| {
        let headers = [("bamboo-organisation", "surat"), ("content-type", media_type)];
        client.call(Method::GET, gateway, SLOTS_PATH, &headers, "7").await.unwrap()
    };
    let gateways: Vec<_> = cluster.gateways.iter().map(|gateway| gateway.callers).collect();
    let mut codes = Vec::new();
    for round in 0..5 {
        codes.push(call(gateways[round % 3], "application/crash-engine").await.code);
        for gateway in &gateways {
            let served = async || {
                let response = call(*gateway, "application/json").await;
                assert_ne!(response.code, Some(3004), "a sound call is quarantined: {response:?}");
                response.status == 200
            };
            eventually("a sound call is served", Duration::from_secs(20), served).await;
        }
    }
    let log = request::log_lines(&cluster, &["Cut", "Strike", "Quarantine"]);
    let down = |process: &mut harness::Process| process.wait(Duration::ZERO).is_ok();
    let crashed = cluster.endpoints.iter_mut().filter_map(|p| down(p).then_some(())).count();
    assert!(crashed <= 2, "{crashed} endpoints crashed, {codes:?}:\n{log}");
    assert_eq!(codes[2..], [Some(3004); 3], "{codes:?}:\n{log}");
}

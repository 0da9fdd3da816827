//! Requests under load survive killed, paused and disconnected processes.
//!
//! Guards against requests lost, mixed up or truncated without an error when
//! the gateways that own cells die or pause, when endpoints crash or drop their
//! connections, and when store and directory fail. Also guards against a gateway
//! that stops when its log output is no longer read, processes that use
//! io_uring, and requests that keep running after their caller disconnected.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{
    Client, Cluster, Signal, Topology,
    request::{self, chat_body, is_complete, send_chat},
};
use load::{Mix, Outcome, Plan, Verdict, drive};
use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Duration of the offered load.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Time from the start of the load to the failure.
const FAILURE_AFTER: Duration = Duration::from_secs(2);
/// Offered load, in requests per second.
const REQUESTS_PER_S: f64 = 40.0;

/// Offers load to the first `gateways` gateways.
async fn offer(cluster: &Cluster, gateways: usize, seed: u64) -> Vec<Outcome> {
    let mix = Mix::roofcare();
    let plan = Plan::new(seed).with_steady(LOAD_DURATION, REQUESTS_PER_S).build(&mix);
    let addresses: Vec<_> =
        cluster.gateways.iter().take(gateways).map(|gateway| gateway.callers).collect();
    drive(&plan, &addresses, &mix).await.unwrap()
}

fn count(outcomes: &[Outcome], verdict: impl Fn(&Verdict) -> bool) -> usize {
    outcomes.iter().filter(|outcome| verdict(&outcome.verdict)).count()
}

/// Asserts that every request completed or was refused: none was lost, mixed up, truncated or
/// failed after dispatch; and that more than half completed.
fn assert_unharmed(outcomes: &[Outcome]) {
    let bad: Vec<_> = outcomes
        .iter()
        .filter(|o| !matches!(o.verdict, Verdict::Complete | Verdict::Refused(_)))
        .map(|o| (o.request.at, o.verdict.clone()))
        .collect();
    assert!(bad.is_empty(), "{bad:?}");
    let completed = count(outcomes, |v| *v == Verdict::Complete);
    assert!(completed * 2 > outcomes.len(), "{completed} of {} requests completed", outcomes.len());
}

#[ntex::test]
async fn two_owners_die() {
    let cluster = Cluster::start(Topology::new(5)).await.unwrap();
    let failure = async {
        tokio::time::sleep(FAILURE_AFTER).await;
        cluster.gateways[3].process.signal(Signal::Kill).unwrap();
        cluster.gateways[4].process.signal(Signal::Kill).unwrap();
    };
    let (outcomes, ()) = tokio::join!(offer(&cluster, 3, 11), failure);
    assert_unharmed(&outcomes);
}

#[ntex::test]
async fn two_owners_freeze_and_thaw() {
    let cluster = Cluster::start(Topology::new(5)).await.unwrap();
    let failure = async {
        tokio::time::sleep(FAILURE_AFTER).await;
        cluster.gateways[3].process.signal(Signal::Stop).unwrap();
        cluster.gateways[4].process.signal(Signal::Stop).unwrap();
        tokio::time::sleep(Duration::from_secs(4)).await;
        cluster.gateways[3].process.signal(Signal::Continue).unwrap();
        cluster.gateways[4].process.signal(Signal::Continue).unwrap();
    };
    let (outcomes, ()) = tokio::join!(offer(&cluster, 3, 12), failure);
    assert_unharmed(&outcomes);
    let client = Client::new().await.unwrap();
    let healed = async || {
        let status = cluster.status(&client, 3).await.unwrap();
        let members = status["members"].as_array().unwrap();
        members.iter().filter(|member| member["state"] == "Alive").count() == 5
    };
    request::eventually("all members are alive again", Duration::from_secs(20), healed).await;
}

#[ntex::test]
async fn an_endpoint_crashes() {
    let cluster = Cluster::start(Topology::new(3)).await.unwrap();
    let client = Client::new().await.unwrap();
    let failure = async {
        tokio::time::sleep(FAILURE_AFTER).await;
        cluster.control_endpoint(&client, "vaani-01", "{\"crash\": true}").await.unwrap();
        cluster.control_endpoint(&client, "vaani-05", "{\"crash\": true}").await.unwrap();
    };
    let (outcomes, ()) = tokio::join!(offer(&cluster, 3, 13), failure);
    let silent =
        count(&outcomes, |v| matches!(v, Verdict::Truncated | Verdict::Mismatched | Verdict::Lost));
    assert_eq!(silent, 0);
    let others: Vec<_> = outcomes
        .iter()
        .filter(|o| matches!(o.verdict, Verdict::Failed(code) if code != 4002))
        .map(|o| (o.request.at, o.verdict.clone()))
        .collect();
    assert!(others.is_empty(), "requests failed with a code other than 4002: {others:?}");
    let failed = count(&outcomes, |v| matches!(v, Verdict::Failed(_)));
    assert!(failed > 0, "no request was in flight at the crash");
}

#[ntex::test]
async fn a_cut_stream_is_resumed_where_it_runs() {
    let cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let client = Client::new().await.unwrap();
    let gateway = cluster.gateways[0].callers;
    let streams: Vec<_> = (0..20)
        .map(|i| {
            let client = client.clone();
            ntex::rt::spawn(async move {
                let mark = format!("r{i}");
                let response = send_chat(&client, gateway, &chat_body(&mark, 120)).await.unwrap();
                assert!(is_complete(&response, &mark, 120), "{}", response.body);
            })
        })
        .collect();
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for n in 1..=12 {
            cluster
                .control_endpoint(&client, &format!("vaani-{n:02}"), "{\"cut\": true}")
                .await
                .unwrap();
        }
    }
    for stream in streams {
        stream.await.unwrap();
    }
    cluster.gateways[0].process.wait_for_line("\"name\":\"Resumed\"").unwrap();
    let stats = cluster.stats(&client).await.unwrap();
    let endpoints = stats.as_object().unwrap();
    let twice = endpoints
        .values()
        .flat_map(|endpoint| endpoint["runs"].as_object().unwrap().values())
        .filter(|runs| runs.as_u64() > Some(1))
        .count();
    assert_eq!(twice, 0, "a request was dispatched twice");
}

#[ntex::test]
async fn a_store_outage_does_not_disturb_idempotent_work() {
    let cluster = Cluster::start(Topology::new(3)).await.unwrap();
    let client = Client::new().await.unwrap();
    let down = "{\"outage\": true, \"directory_outage\": true}";
    cluster.control_platform(&client, down).await.unwrap();
    let outcomes = offer(&cluster, 3, 14).await;
    assert_unharmed(&outcomes);
}

#[ntex::test]
async fn no_process_opens_a_ring() {
    let cluster = Cluster::start(Topology::new(1)).await.unwrap();
    let ids = [cluster.gateways[0].process.id(), cluster.platform.id(), cluster.endpoints[0].id()];
    for id in ids {
        for entry in std::fs::read_dir(format!("/proc/{id}/fd")).unwrap() {
            let target = std::fs::read_link(entry.unwrap().path()).unwrap_or_default();
            assert!(!target.to_string_lossy().contains("io_uring"), "{target:?}");
        }
    }
}

#[ntex::test]
async fn a_gateway_whose_log_nobody_reads_goes_on() {
    let mut cluster = Cluster::start(Topology::new(1)).await.unwrap();
    let client = Client::new().await.unwrap();
    cluster.gateways[0].process.stop_reading();
    for round in 0..20 {
        let mark = format!("l{round}");
        let response =
            send_chat(&client, cluster.gateways[0].callers, &chat_body(&mark, 4)).await.unwrap();
        assert!(is_complete(&response, &mark, 4), "{response:?}");
    }
    cluster.gateways[0].process.signal(Signal::Terminate).unwrap();
    assert_eq!(cluster.gateways[0].process.wait(Duration::from_secs(20)).unwrap(), Some(0));
}

/// Sends a request on a raw socket and closes the connection after `read` bytes of the response.
fn leave_early(gateway: std::net::SocketAddr, body: &str, read: usize) {
    let mut stream = TcpStream::connect(gateway).unwrap();
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: x\r\nbamboo-organisation: surat\r\ncontent-length: {}\r\n\r\n",
        request::CHAT_PATH,
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    let mut response = vec![0; read];
    stream.read_exact(&mut response).unwrap();
}

#[ntex::test]
async fn a_caller_that_goes_away_costs_its_endpoint_nothing_more() {
    let cluster = Cluster::start(Topology::new(1)).await.unwrap();
    let client = Client::new().await.unwrap();
    leave_early(cluster.gateways[0].callers, &chat_body("gone", 2000), 600);
    let cancelled = async || {
        let stats = cluster.stats(&client).await.unwrap();
        stats.as_object().unwrap().values().any(|e| e["cancelled"].as_u64() > Some(0))
    };
    request::eventually("the endpoint cancels the request", Duration::from_secs(20), cancelled)
        .await;
    let status = cluster.status(&client, 0).await.unwrap();
    assert_eq!(status["desk"]["in_use"], 0, "{status}");
    assert_eq!(status["in_progress"], 0, "{status}");
}

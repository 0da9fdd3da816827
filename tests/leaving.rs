//! A leaving endpoint receives no new work after three seconds.
//!
//! Guards against gateways that miss the change when the directory announces it,
//! when an operator does so while store and directory are down, or when the
//! gateway itself was paused. Also guards against a directory listing that lifts
//! an operator's drain.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{
    Client, Cluster, Signal, Topology,
    request::{self, chat_body, send_chat},
};
use std::{cell::Cell, rc::Rc, time::Duration};

/// Longest time until a leaving endpoint receives no new work.
const GRACE: Duration = Duration::from_secs(3);
/// Delay of the directory, as set in [`Topology::new`].
const DIRECTORY_LAG: Duration = Duration::from_millis(300);
/// Time after the grace in which no request may arrive.
const QUIET: Duration = Duration::from_secs(3);

/// Endpoint that leaves.
const LEAVING_ENDPOINT: &str = "vaani-01";

/// Offers short requests to every gateway until the returned flag is set.
fn offer(cluster: &Cluster, client: &Client) -> Rc<Cell<bool>> {
    let stop = Rc::new(Cell::new(false));
    for gateway in &cluster.gateways {
        for worker in 0..4 {
            let (client, stop, address) = (client.clone(), Rc::clone(&stop), gateway.callers);
            ntex::rt::spawn(async move {
                let mut count = 0;
                while !stop.get() {
                    count += 1;
                    let _ =
                        send_chat(&client, address, &chat_body(&format!("w{worker}n{count}"), 8))
                            .await;
                }
            });
        }
    }
    stop
}

async fn requests(cluster: &Cluster, client: &Client) -> u64 {
    let stats = cluster.stats(client).await.unwrap();
    stats[LEAVING_ENDPOINT]["requests"].as_u64().unwrap()
}

async fn assert_quiet(cluster: &Cluster, client: &Client) {
    let before = requests(cluster, client).await;
    let completed = cluster.status(client, 0).await.unwrap()["whole"].as_u64().unwrap();
    tokio::time::sleep(QUIET).await;
    assert_eq!(requests(cluster, client).await, before, "a leaving endpoint got new work");
    let now = cluster.status(client, 0).await.unwrap()["whole"].as_u64().unwrap();
    assert!(now > completed, "the other endpoints completed no request");
}

#[ntex::test]
async fn the_list_says_so() {
    let cluster = Cluster::start(Topology::new(3)).await.unwrap();
    let client = Client::new().await.unwrap();
    let stop = offer(&cluster, &client);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(requests(&cluster, &client).await > 0);
    cluster.control_endpoint(&client, LEAVING_ENDPOINT, "{\"leaving\": true}").await.unwrap();
    tokio::time::sleep(DIRECTORY_LAG + GRACE).await;
    assert_quiet(&cluster, &client).await;
    stop.set(true);
}

#[ntex::test]
async fn an_operator_says_so_while_store_and_list_are_down() {
    let cluster = Cluster::start(Topology::new(3)).await.unwrap();
    let client = Client::new().await.unwrap();
    let stop = offer(&cluster, &client);
    let down = "{\"outage\": true, \"directory_outage\": true}";
    cluster.control_platform(&client, down).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let gateway = cluster.gateways[2].operators.to_string();
    let (code, output) =
        cluster.run_cli(&["drain", "--gateway", &gateway, LEAVING_ENDPOINT]).unwrap();
    assert_eq!(code, 0, "{output}");
    tokio::time::sleep(GRACE).await;
    assert_quiet(&cluster, &client).await;
    stop.set(true);
}

#[ntex::test]
async fn a_gateway_that_was_paused_refreshes_before_it_sends() {
    let cluster = Cluster::start(Topology::new(3)).await.unwrap();
    let client = Client::new().await.unwrap();
    let stop = offer(&cluster, &client);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let paused = &cluster.gateways[2];
    paused.process.signal(Signal::Stop).unwrap();
    cluster.control_endpoint(&client, LEAVING_ENDPOINT, "{\"leaving\": true}").await.unwrap();
    tokio::time::sleep(DIRECTORY_LAG + GRACE).await;
    let before = requests(&cluster, &client).await;
    paused.process.signal(Signal::Continue).unwrap();
    tokio::time::sleep(QUIET).await;
    assert_eq!(
        requests(&cluster, &client).await,
        before,
        "a resumed gateway sent work to a leaving endpoint"
    );
    paused.process.wait_for_line("\"name\":\"Stalled\"").unwrap();
    stop.set(true);
}

#[ntex::test]
async fn a_list_does_not_lift_an_operators_drain() {
    let cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let client = Client::new().await.unwrap();
    let stop = offer(&cluster, &client);
    let directory = cluster.platform_address.to_string();
    let (code, output) =
        cluster.run_cli(&["drain", "--directory", &directory, LEAVING_ENDPOINT]).unwrap();
    assert_eq!(code, 0, "{output}");
    // Longer than the 10 s after which a listing lifts the leaving mark of the directory itself.
    tokio::time::sleep(Duration::from_secs(14)).await;
    assert_quiet(&cluster, &client).await;
    let before = requests(&cluster, &client).await;
    let undo = ["drain", "--undo", "--directory", &directory, LEAVING_ENDPOINT];
    let (code, output) = cluster.run_cli(&undo).unwrap();
    assert_eq!(code, 0, "{output}");
    let back = async || requests(&cluster, &client).await > before;
    request::eventually("the endpoint gets work again", Duration::from_secs(20), back).await;
    stop.set(true);
}

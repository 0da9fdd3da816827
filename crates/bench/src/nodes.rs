//! Control traffic, CPU time and memory of idle gateways, by cluster size.

use crate::table::{Bound, Table};
use anyhow::{Context, Result};
use harness::{Client, Cluster, Profile, Signal, Topology};
use serde_json::json;
use std::time::{Duration, Instant};

/// Time over which idle gateways are measured.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Time before the measurement, in which the members discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Interval at which the status of a gateway is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time until a publication is in force everywhere, in seconds.
const MAX_PUBLICATION_S: f64 = 7.0;

/// idle gateways: messages, bytes, CPU time, memory; time until a publication reaches all
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "nodes")]
pub struct Options {
    /// cluster sizes in gateways, separated by commas
    #[argh(option, default = "\"7,15,30,60\".into()")]
    counts: String,
    /// publications per cluster size
    #[argh(option, default = "5")]
    publications: u64,
    /// gateways to freeze during a second series of publications
    #[argh(option, default = "2")]
    frozen: usize,
}

/// Runs the benchmark.
pub async fn run(options: &Options) -> Result<()> {
    let mut table = Table::default();
    for count in options.counts.split(',') {
        run_size(count.parse()?, options, &mut table).await?;
    }
    table.print();
    Ok(())
}

async fn run_size(count: usize, options: &Options, table: &mut Table) -> Result<()> {
    let topology = Topology { profile: Profile::Release, ..Topology::new(count) };
    let cluster = Cluster::start(topology).await?;
    let client = Client::new().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = sample(&cluster, &client).await?;
    tokio::time::sleep(IDLE_TIME).await;
    let after = sample(&cluster, &client).await?;
    let name = |figure: &str| format!("{count:>3} gateways: {figure}");
    for (b, a) in before.iter().zip(&after) {
        let elapsed = a.at.duration_since(b.at).as_secs_f64();
        let rate = |x: f64, y: f64| (y - x) / elapsed;
        let cpu = 100.0 * rate(b.cpu, a.cpu);
        table.add(&name("processor, % of a core"), Bound::AtMost(2.1), cpu);
        table.add(&name("memory, MB"), Bound::AtMost(32.0), a.memory / 1e6);
        let sent = rate(b.sent, a.sent) / 1000.0;
        let received = rate(b.received, a.received) / 1000.0;
        table.add(&name("UDP payload sent, KB/s"), Bound::None, sent);
        table.add(&name("UDP payload received, KB/s"), Bound::None, received);
        table.add(&name("UDP payload both ways, KB/s"), Bound::AtMost(23.0), sent + received);
        table.add(&name("frames sent a second"), Bound::None, rate(b.frames, a.frames));
        table.add(&name("connections"), Bound::None, a.connections);
    }
    let all: Vec<usize> = (0..count).collect();
    for _ in 0..options.publications {
        let seconds = publish(&cluster, &client, &all).await?.as_secs_f64();
        table.add(&name("publication to all, s"), Bound::AtMost(MAX_PUBLICATION_S), seconds);
    }
    // Freezes the gateways that were started last, since the operators' command publishes through
    // the first ones.
    let (running, frozen) = all.split_at(count.saturating_sub(options.frozen));
    for index in frozen {
        cluster.gateways[*index].process.signal(Signal::Stop)?;
    }
    for _ in 0..options.publications {
        let seconds = publish(&cluster, &client, running).await?.as_secs_f64();
        let figure = format!("publication to all but {} frozen, s", options.frozen);
        table.add(&name(&figure), Bound::AtMost(MAX_PUBLICATION_S), seconds);
    }
    let detection = time_to_detect_dead(&cluster, &client, running.len()).await?;
    table.add(&name("frozen members noticed dead after, s"), Bound::None, detection.as_secs_f64());
    for index in frozen {
        cluster.gateways[*index].process.signal(Signal::Continue)?;
    }
    let started = Instant::now();
    wait_for_version(&cluster, &client, frozen, version(&cluster, &client, 0).await?).await?;
    let seconds = started.elapsed().as_secs_f64();
    table.add(
        &name("thawed members caught up after, s"),
        Bound::AtMost(MAX_PUBLICATION_S),
        seconds,
    );
    println!("{}", json!({"gateways": count, "done": true}));
    Ok(())
}

/// Time until the first gateway considers at most `alive` members alive; gives up after a minute.
async fn time_to_detect_dead(cluster: &Cluster, client: &Client, alive: usize) -> Result<Duration> {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(60) {
        let status = cluster.status(client, 0).await?;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        if members.iter().filter(|member| member["state"] == "Alive").count() <= alive {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

async fn version(cluster: &Cluster, client: &Client, gateway: usize) -> Result<u64> {
    Ok(cluster.status(client, gateway).await?["version"].as_u64().unwrap_or(0))
}

async fn wait_for_version(
    cluster: &Cluster,
    client: &Client,
    gateways: &[usize],
    wanted: u64,
) -> Result<()> {
    for index in gateways {
        while version(cluster, client, *index).await? < wanted {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

struct Sample {
    at: Instant,
    cpu: f64,
    memory: f64,
    sent: f64,
    received: f64,
    frames: f64,
    connections: f64,
}

async fn sample(cluster: &Cluster, client: &Client) -> Result<Vec<Sample>> {
    let mut samples = Vec::new();
    for (index, gateway) in cluster.gateways.iter().enumerate() {
        let status = cluster.status(client, index).await?;
        let link = |key: &str| status["link"][key].as_f64().unwrap_or(0.0);
        #[allow(clippy::cast_precision_loss, reason = "bytes are far below 2^52")]
        samples.push(Sample {
            at: Instant::now(),
            cpu: gateway.process.cpu_time()?.as_secs_f64(),
            memory: gateway.process.resident_bytes()? as f64,
            sent: link("udp_sent"),
            received: link("udp_received"),
            frames: link("frames_sent"),
            connections: link("connections"),
        });
    }
    Ok(samples)
}

/// Time from the acceptance of a publication until it is in force at all `gateways`.
async fn publish(cluster: &Cluster, client: &Client, gateways: &[usize]) -> Result<Duration> {
    let output = cluster.publish(&[])?;
    let started = Instant::now();
    let word =
        output.split_whitespace().nth(1).context("the output of the command names no version")?;
    wait_for_version(cluster, client, gateways, word.parse()?).await?;
    Ok(started.elapsed())
}

//! Control traffic, processor time and memory of gateways at rest, by their number.

use crate::table::{Bound, Table};
use anyhow::{Context, Result};
use harness::{Client, Cluster, Profile, Signal, Topology};
use serde_json::json;
use std::time::{Duration, Instant};

/// Time that is measured at rest.
const REST: Duration = Duration::from_secs(20);
/// Time before measuring, in which members meet.
const SETTLE: Duration = Duration::from_secs(5);
/// Interval at which versions are looked at.
const STEP: Duration = Duration::from_millis(20);
/// Time for a publication to be in force everywhere.
const IN_FORCE: f64 = 7.0;

/// gateways at rest: messages, bytes, processor time, memory; time of a publication to all
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "nodes")]
pub struct Options {
    /// numbers of gateways, separated by commas
    #[argh(option, default = "\"7,15,30,60\".into()")]
    counts: String,
    /// publications of each number
    #[argh(option, default = "5")]
    publications: u64,
    /// gateways that are frozen during a second set of publications
    #[argh(option, default = "2")]
    frozen: usize,
}

/// Runs the measurement.
pub async fn run(options: &Options) -> Result<()> {
    let mut table = Table::default();
    for count in options.counts.split(',') {
        one(count.parse()?, options, &mut table).await?;
    }
    table.print();
    Ok(())
}

async fn one(count: usize, options: &Options, table: &mut Table) -> Result<()> {
    let shape = Topology { profile: Profile::Release, ..Topology::new(count) };
    let guild = Cluster::start(shape).await?;
    let client = Client::new().await?;
    tokio::time::sleep(SETTLE).await;
    let before = sample(&guild, &client).await?;
    tokio::time::sleep(REST).await;
    let after = sample(&guild, &client).await?;
    let name = |figure: &str| format!("{count:>3} gateways: {figure}");
    for (b, a) in before.iter().zip(&after) {
        let span = a.at.duration_since(b.at).as_secs_f64();
        let rate = |x: f64, y: f64| (y - x) / span;
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
        let seconds = publish(&guild, &client, &all).await?.as_secs_f64();
        table.add(&name("publication to all, s"), Bound::AtMost(IN_FORCE), seconds);
    }
    // The last ones started are frozen; the first ones are told by the operators' command.
    let (running, frozen) = all.split_at(count.saturating_sub(options.frozen));
    for index in frozen {
        guild.gateways[*index].process.signal(Signal::Stop)?;
    }
    for _ in 0..options.publications {
        let seconds = publish(&guild, &client, running).await?.as_secs_f64();
        let figure = format!("publication to all but {} frozen, s", options.frozen);
        table.add(&name(&figure), Bound::AtMost(IN_FORCE), seconds);
    }
    let dead = deaths(&guild, &client, running.len()).await?;
    table.add(&name("frozen members noticed dead after, s"), Bound::None, dead.as_secs_f64());
    for index in frozen {
        guild.gateways[*index].process.signal(Signal::Continue)?;
    }
    let started = Instant::now();
    wait_version(&guild, &client, frozen, version(&guild, &client, 0).await?).await?;
    let seconds = started.elapsed().as_secs_f64();
    table.add(&name("thawed members caught up after, s"), Bound::AtMost(IN_FORCE), seconds);
    println!("{}", json!({"gateways": count, "done": true}));
    Ok(())
}

/// Time until the first gateway counts only `alive` members as alive; at most a minute.
async fn deaths(guild: &Cluster, client: &Client, alive: usize) -> Result<Duration> {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(60) {
        let status = guild.status(client, 0).await?;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        if members.iter().filter(|member| member["state"] == "Alive").count() <= alive {
            break;
        }
        tokio::time::sleep(STEP).await;
    }
    Ok(started.elapsed())
}

async fn version(guild: &Cluster, client: &Client, gateway: usize) -> Result<u64> {
    Ok(guild.status(client, gateway).await?["version"].as_u64().unwrap_or(0))
}

async fn wait_version(
    guild: &Cluster,
    client: &Client,
    gateways: &[usize],
    wanted: u64,
) -> Result<()> {
    for index in gateways {
        while version(guild, client, *index).await? < wanted {
            tokio::time::sleep(STEP).await;
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

async fn sample(guild: &Cluster, client: &Client) -> Result<Vec<Sample>> {
    let mut samples = Vec::new();
    for (index, gateway) in guild.gateways.iter().enumerate() {
        let status = guild.status(client, index).await?;
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

/// Time from the acceptance of a publication until it is in force at these gateways.
async fn publish(guild: &Cluster, client: &Client, gateways: &[usize]) -> Result<Duration> {
    let output = guild.publish(&[])?;
    let started = Instant::now();
    let word = output.split_whitespace().nth(1).context("the publication has no version")?;
    wait_version(guild, client, gateways, word.parse()?).await?;
    Ok(started.elapsed())
}

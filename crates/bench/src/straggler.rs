//! Latency while one endpoint is ten times slower for five seconds.

use crate::{
    capacity::measure_capacity,
    deployment::Deployment,
    table::{Bound, Table},
};
use anyhow::Result;
use harness::{Client, Cluster};
use load::{Outcome, Plan, drive, report::first_token_percentiles};
use serde_json::json;
use std::time::Duration;

/// Time before the slowdown.
const BEFORE: Duration = Duration::from_secs(8);
/// Duration of the slowdown.
const SLOW: Duration = Duration::from_secs(5);
/// Time after the slowdown.
const AFTER: Duration = Duration::from_secs(3);
/// Load as a fraction of the measured capacity.
const LOAD: f64 = 0.7;

/// one endpoint of twelve is ten times slower for five seconds
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "straggler")]
pub struct Options {
    /// deployment: roofcare or saddlewright
    #[argh(option, default = "\"roofcare\".into()")]
    deployment: String,
    /// policies, separated by commas
    #[argh(option, default = "\"permits,least-reported,two-choices\".into()")]
    policies: String,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "5")]
    seeds: u64,
    /// print the log lines of the slowest responses
    #[argh(switch)]
    explain: bool,
}

/// Runs the benchmark.
pub async fn run(options: &Options) -> Result<()> {
    let deployment = Deployment::named(&options.deployment)?;
    let nominal_fraction = measure_capacity(&deployment).await?.nominal_fraction;
    let mut table = Table::default();
    for seed in options.seed..options.seed + options.seeds {
        let mut permits_p99 = None;
        for policy in options.policies.split(',') {
            let steady =
                run_policy(&deployment, policy, (seed, nominal_fraction), options, false).await?;
            let slow =
                run_policy(&deployment, policy, (seed, nominal_fraction), options, true).await?;
            println!(
                "{}",
                json!({"policy": policy, "seed": seed, "calm_p99_ms": steady,
                "slow_p99_ms": slow})
            );
            let bound = if policy == "permits" { Bound::AtMost(1.5) } else { Bound::None };
            table.add(&format!("{policy}: p99 slow / calm"), bound, slow / steady);
            table.add(&format!("{policy}: p99 calm, ms"), Bound::None, steady);
            table.add(&format!("{policy}: p99 slow, ms"), Bound::None, slow);
            match (policy, permits_p99) {
                ("permits", _) => permits_p99 = Some(slow),
                ("least-reported", Some(permits_p99)) => {
                    table.add(
                        "permits / least-reported p99",
                        Bound::AtMost(0.5),
                        permits_p99 / slow,
                    );
                }
                _ => {}
            }
        }
    }
    table.print();
    Ok(())
}

/// 99th percentile of the time to the first token, in ms, of requests sent during the slowdown.
async fn run_policy(
    deployment: &Deployment,
    policy: &str,
    (seed, nominal_fraction): (u64, f64),
    options: &Options,
    slow: bool,
) -> Result<f64> {
    let cluster = deployment.start(policy).await?;
    let rate = deployment.nominal_rate() * nominal_fraction * LOAD;
    let plan = Plan::new(seed).with_steady(BEFORE + SLOW + AFTER, rate).build(&deployment.mix);
    let gateways: Vec<_> = cluster.gateways.iter().map(|gateway| gateway.callers).collect();
    let slow_endpoint = deployment.engines[0].id.clone();
    let (outcomes, slowdown) = tokio::join!(
        drive(&plan, &gateways, &deployment.mix),
        slow_down(&cluster, &slow_endpoint, slow)
    );
    slowdown?;
    let outcomes: Vec<Outcome> = outcomes?;
    let sent_in_slowdown = |o: &&Outcome| o.request.at >= BEFORE && o.request.at < BEFORE + SLOW;
    if options.explain {
        explain(&cluster, outcomes.iter().filter(sent_in_slowdown).collect());
    }
    Ok(first_token_percentiles(outcomes.iter().filter(sent_in_slowdown)).p99)
}

/// Prints what the gateways logged about the slowest responses.
fn explain(cluster: &Cluster, mut outcomes: Vec<&Outcome>) {
    const SHOWN: usize = 8;
    outcomes.retain(|outcome| outcome.request.stream);
    outcomes.sort_by_key(|outcome| std::cmp::Reverse(outcome.first_token));
    let lines: Vec<String> =
        cluster.gateways.iter().flat_map(|gateway| gateway.process.lines()).collect();
    for outcome in outcomes.iter().take(SHOWN) {
        let request = &outcome.request;
        println!("{:?} at {:?}, prompt {}", outcome.first_token, request.at, request.prompt);
        let own = |line: &&String| line.contains(&*outcome.request_id);
        lines.iter().filter(own).for_each(|line| println!("    {line}"));
    }
    let windows = |line: &&String| line.contains("window changed");
    lines.iter().filter(windows).for_each(|line| println!("  {line}"));
}

async fn slow_down(cluster: &Cluster, endpoint: &str, slow: bool) -> Result<()> {
    if !slow {
        return Ok(());
    }
    let client = Client::new().await?;
    tokio::time::sleep(BEFORE + Duration::from_millis(200)).await;
    cluster.control_endpoint(&client, endpoint, "{\"slow\": 10.0}").await?;
    tokio::time::sleep(SLOW).await;
    cluster.control_endpoint(&client, endpoint, "{\"slow\": 1.0}").await
}

//! One endpoint becomes ten times slower for five seconds.

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

/// Time before the slow-down.
const BEFORE: Duration = Duration::from_secs(8);
/// Length of the slow-down.
const SLOW: Duration = Duration::from_secs(5);
/// Time after it.
const AFTER: Duration = Duration::from_secs(3);
/// Load as part of the measured capacity.
const LOAD: f64 = 0.7;

/// one endpoint in twelve ten times slower for five seconds
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
    /// print the log lines of the slowest answers
    #[argh(switch)]
    explain: bool,
}

/// Runs the measurement.
pub async fn run(options: &Options) -> Result<()> {
    let deployment = Deployment::named(&options.deployment)?;
    let part = measure_capacity(&deployment).await?.part;
    let mut table = Table::default();
    for seed in options.seed..options.seed + options.seeds {
        let mut own = None;
        for policy in options.policies.split(',') {
            let calm = one(&deployment, policy, (seed, part), options, false).await?;
            let slow = one(&deployment, policy, (seed, part), options, true).await?;
            println!(
                "{}",
                json!({"policy": policy, "seed": seed, "calm_p99_ms": calm,
                "slow_p99_ms": slow})
            );
            let bound = if policy == "permits" { Bound::AtMost(1.5) } else { Bound::None };
            table.add(&format!("{policy}: p99 slow / calm"), bound, slow / calm);
            table.add(&format!("{policy}: p99 calm, ms"), Bound::None, calm);
            table.add(&format!("{policy}: p99 slow, ms"), Bound::None, slow);
            match (policy, own) {
                ("permits", _) => own = Some(slow),
                ("least-reported", Some(own)) => {
                    table.add("permits / least-reported p99", Bound::AtMost(0.5), own / slow);
                }
                _ => {}
            }
        }
    }
    table.print();
    Ok(())
}

/// 99th percentile of the time to the first token of what was offered in the slow span.
async fn one(
    deployment: &Deployment,
    policy: &str,
    (seed, part): (u64, f64),
    options: &Options,
    slow: bool,
) -> Result<f64> {
    let guild = deployment.start(policy).await?;
    let rate = deployment.nominal_rate() * part * LOAD;
    let plan = Plan::new(seed).with_steady(BEFORE + SLOW + AFTER, rate).build(&deployment.mix);
    let gateways: Vec<_> = guild.gateways.iter().map(|gateway| gateway.callers).collect();
    let victim = deployment.engines[0].id.clone();
    let (outcomes, disturbed) =
        tokio::join!(drive(&plan, &gateways, &deployment.mix), disturb(&guild, &victim, slow));
    disturbed?;
    let outcomes: Vec<Outcome> = outcomes?;
    let within = |o: &&Outcome| o.request.at >= BEFORE && o.request.at < BEFORE + SLOW;
    if options.explain {
        explain(&guild, outcomes.iter().filter(within).collect());
    }
    Ok(first_token_percentiles(outcomes.iter().filter(within)).p99)
}

/// Prints what the gateways logged about the slowest answers.
fn explain(guild: &Cluster, mut outcomes: Vec<&Outcome>) {
    const SHOWN: usize = 8;
    outcomes.retain(|outcome| outcome.request.stream);
    outcomes.sort_by_key(|outcome| std::cmp::Reverse(outcome.first_token));
    let lines: Vec<String> =
        guild.gateways.iter().flat_map(|gateway| gateway.process.lines()).collect();
    for outcome in outcomes.iter().take(SHOWN) {
        let request = &outcome.request;
        println!("{:?} at {:?}, prompt {}", outcome.first_token, request.at, request.prompt);
        let own = |line: &&String| line.contains(&*outcome.request_id);
        lines.iter().filter(own).for_each(|line| println!("    {line}"));
    }
    let windows = |line: &&String| line.contains("window changed");
    lines.iter().filter(windows).for_each(|line| println!("  {line}"));
}

async fn disturb(guild: &Cluster, victim: &str, slow: bool) -> Result<()> {
    if !slow {
        return Ok(());
    }
    let client = Client::new().await?;
    tokio::time::sleep(BEFORE + Duration::from_millis(200)).await;
    guild.control_endpoint(&client, victim, "{\"slow\": 10.0}").await?;
    tokio::time::sleep(SLOW).await;
    guild.control_endpoint(&client, victim, "{\"slow\": 1.0}").await
}

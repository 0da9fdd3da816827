//! Fairness among backlogged organisations whose demands differ by a factor of 20.

use crate::{
    deployment::Deployment,
    table::{Bound, Table},
};
use anyhow::Result;
use load::{
    Outcome, Plan, Verdict, drive,
    report::{jain, work},
};
use serde_json::json;
use std::time::Duration;

/// Duration of a run.
const DURATION: Duration = Duration::from_secs(22);
/// Time before shares are counted.
const WARMUP: Duration = Duration::from_secs(5);
/// Window over which one index is computed.
const WINDOW: Duration = Duration::from_secs(5);
/// Time between the starts of two windows.
const STEP: Duration = Duration::from_millis(1000);
/// Demand as a multiple of capacity, high enough to keep the smallest organisation backlogged.
const LOAD: f64 = 7.0;
/// Demand of the largest organisation relative to each of the others.
const SKEW: f64 = 20.0;

/// Jain's fairness index of the work done for backlogged organisations
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "fair")]
pub struct Options {
    /// deployment: roofcare or saddlewright
    #[argh(option, default = "\"roofcare\".into()")]
    deployment: String,
    /// policies, separated by commas
    #[argh(option, default = "\"permits,least-reported\".into()")]
    policies: String,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "5")]
    seeds: u64,
}

/// Runs the benchmark.
pub async fn run(options: &Options) -> Result<()> {
    let mut deployment = Deployment::named(&options.deployment)?;
    let tier = deployment.mix.tiers[1].name;
    deployment.mix = deployment.mix.with_skew(SKEW).with_only(tier);
    let mut table = Table::default();
    for seed in options.seed..options.seed + options.seeds {
        for policy in options.policies.split(',') {
            let (lowest, overall) = run_policy(&deployment, policy, seed).await?;
            println!(
                "{}",
                json!({"policy": policy, "seed": seed, "lowest": lowest, "whole": overall})
            );
            let bound = if policy == "permits" { Bound::AtLeast(0.98) } else { Bound::None };
            table.add(&format!("{policy}: lowest index over any 5 s"), bound, lowest);
            table.add(&format!("{policy}: index over the run"), Bound::None, overall);
        }
    }
    table.print();
    Ok(())
}

/// Lowest fairness index over any window, and the index over the run after its warm-up.
async fn run_policy(deployment: &Deployment, policy: &str, seed: u64) -> Result<(f64, f64)> {
    let cluster = deployment.start(policy).await?;
    let rate = deployment.nominal_rate() * LOAD;
    let plan = Plan::new(seed).with_steady(DURATION, rate).build(&deployment.mix);
    let gateways: Vec<_> = cluster.gateways.iter().map(|gateway| gateway.callers).collect();
    let outcomes = drive(&plan, &gateways, &deployment.mix).await?;
    let organisations = deployment.mix.organisations.len();
    let mut lowest: f64 = 1.0;
    let mut start = WARMUP;
    while start + WINDOW <= DURATION {
        lowest = lowest.min(fairness_index(&outcomes, organisations, start, start + WINDOW));
        start += STEP;
    }
    Ok((lowest, fairness_index(&outcomes, organisations, WARMUP, DURATION)))
}

/// Fairness index of the work of responses that ended in a window.
fn fairness_index(
    outcomes: &[Outcome],
    organisations: usize,
    start: Duration,
    end: Duration,
) -> f64 {
    let mut shares = vec![0; organisations];
    for outcome in outcomes.iter().filter(|o| o.verdict == Verdict::Complete) {
        let ended = outcome.request.at + outcome.total;
        if ended >= start && ended < end {
            shares[outcome.request.organisation] += work(outcome);
        }
    }
    jain(&shares)
}

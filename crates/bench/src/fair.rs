//! Shares of backlogged organisations whose demands differ twentyfold.

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

/// Length of a run.
const SPAN: Duration = Duration::from_secs(22);
/// Time before shares are counted.
const WARM: Duration = Duration::from_secs(5);
/// Window of one index.
const WINDOW: Duration = Duration::from_secs(5);
/// Step between windows.
const STEP: Duration = Duration::from_millis(1000);
/// Demand as multiple of capacity: enough for the smallest organisation to be backlogged.
const LOAD: f64 = 7.0;
/// Demand of the largest organisation, the others' being one.
const SKEW: f64 = 20.0;

/// Jain's index of work done among backlogged organisations
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

/// Runs the measurement.
pub async fn run(options: &Options) -> Result<()> {
    let mut deployment = Deployment::named(&options.deployment)?;
    let tier = deployment.mix.tiers[1].name;
    deployment.mix = deployment.mix.with_skew(SKEW).with_only(tier);
    let mut table = Table::default();
    for seed in options.seed..options.seed + options.seeds {
        for policy in options.policies.split(',') {
            let (lowest, whole) = one(&deployment, policy, seed).await?;
            println!(
                "{}",
                json!({"policy": policy, "seed": seed, "lowest": lowest, "whole": whole})
            );
            let bound = if policy == "permits" { Bound::AtLeast(0.98) } else { Bound::None };
            table.add(&format!("{policy}: lowest index over any 5 s"), bound, lowest);
            table.add(&format!("{policy}: index over the run"), Bound::None, whole);
        }
    }
    table.print();
    Ok(())
}

async fn one(deployment: &Deployment, policy: &str, seed: u64) -> Result<(f64, f64)> {
    let guild = deployment.start(policy).await?;
    let rate = deployment.nominal_rate() * LOAD;
    let plan = Plan::new(seed).with_steady(SPAN, rate).build(&deployment.mix);
    let gateways: Vec<_> = guild.gateways.iter().map(|gateway| gateway.callers).collect();
    let outcomes = drive(&plan, &gateways, &deployment.mix).await?;
    let organisations = deployment.mix.organisations.len();
    let mut lowest: f64 = 1.0;
    let mut start = WARM;
    while start + WINDOW <= SPAN {
        lowest = lowest.min(index(&outcomes, organisations, start, start + WINDOW));
        start += STEP;
    }
    Ok((lowest, index(&outcomes, organisations, WARM, SPAN)))
}

/// Index of the work of answers that ended in a window.
fn index(outcomes: &[Outcome], organisations: usize, start: Duration, end: Duration) -> f64 {
    let mut shares = vec![0; organisations];
    for outcome in outcomes.iter().filter(|o| o.verdict == Verdict::Complete) {
        let ended = outcome.request.at + outcome.total;
        if ended >= start && ended < end {
            shares[outcome.request.organisation] += work(outcome);
        }
    }
    jain(&shares)
}

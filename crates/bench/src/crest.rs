//! Goodput, shedding and recovery during and after a peak of demand.

use crate::{
    capacity::{Capacity, measure_capacity},
    deployment::Deployment,
    table::{Bound, Table},
};
use anyhow::Result;
use harness::Client;
use load::{Outcome, Plan, Report, Verdict, drive, report::first_token_percentiles};
use serde_json::json;
use std::time::Duration;

/// Time before the peak.
const BEFORE: Duration = Duration::from_secs(6);
/// Duration of the peak.
const PEAK: Duration = Duration::from_secs(10);
/// Time after the peak.
const AFTER: Duration = Duration::from_secs(8);
/// Time after the peak within which latency must be normal again.
const RECOVERY: Duration = Duration::from_secs(2);
/// Load outside the peak, as a fraction of capacity.
const STEADY_LOAD: f64 = 0.5;
/// Load during the peak, as a multiple of capacity.
const PEAK_LOAD: f64 = 3.0;

/// load of three times the capacity for ten seconds
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "crest")]
pub struct Options {
    /// deployment: roofcare or saddlewright
    #[argh(option, default = "\"roofcare\".into()")]
    deployment: String,
    /// policies, separated by commas
    #[argh(option, default = "\"permits,least-reported,two-choices,round-robin,random\".into()")]
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
    let deployment = Deployment::named(&options.deployment)?;
    let capacity = measure_capacity(&deployment).await?;
    let mut table = Table::default();
    for seed in options.seed..options.seed + options.seeds {
        for policy in options.policies.split(',') {
            run_policy(&deployment, policy, seed, capacity, &mut table).await?;
        }
    }
    if let (Some(permits), Some(baseline)) = (
        table.median("permits: goodput / capacity"),
        table.median("least-reported: goodput / capacity"),
    ) {
        let ratio = permits / baseline;
        table.add("permits / least-reported goodput (medians)", Bound::AtLeast(1.3), ratio);
    }
    table.print();
    Ok(())
}

async fn run_policy(
    deployment: &Deployment,
    policy: &str,
    seed: u64,
    capacity: Capacity,
    table: &mut Table,
) -> Result<()> {
    let cluster = deployment.start(policy).await?;
    let rate = deployment.nominal_rate() * capacity.nominal_fraction;
    let plan = Plan::new(seed)
        .with_steady(BEFORE, rate * STEADY_LOAD)
        .with_burst(PEAK, rate * PEAK_LOAD)
        .with_steady(AFTER, rate * STEADY_LOAD)
        .build(&deployment.mix);
    let gateways: Vec<_> = cluster.gateways.iter().map(|gateway| gateway.callers).collect();
    let outcomes = drive(&plan, &gateways, &deployment.mix).await?;
    let client = Client::new().await?;
    let waste = wasted_prefill(&cluster.stats(&client).await?);
    let figures = Figures::new(deployment, &outcomes, capacity.cost_ms, waste);
    println!(
        "{}",
        json!({"policy": policy, "seed": seed, "figures": figures.json(),
        "report": Report::new(&deployment.mix, &outcomes)})
    );
    figures.add_to(policy, table);
    Ok(())
}

/// Fraction of the prefill work that was wasted.
fn wasted_prefill(stats: &serde_json::Value) -> f64 {
    let sum = |key: &str| -> f64 {
        let endpoints = stats.as_object().into_iter().flatten();
        endpoints.filter_map(|(_, endpoint)| endpoint[key].as_f64()).sum()
    };
    sum("prefill_wasted") / sum("prefill").max(1.0)
}

struct Figures {
    top_tier: f64,
    goodput: f64,
    before_p99: f64,
    after_p99: f64,
    waste: f64,
    broken: f64,
    top_tier_shed: f64,
}

impl Figures {
    fn new(deployment: &Deployment, outcomes: &[Outcome], capacity: f64, waste: f64) -> Self {
        let sent_in_peak = |o: &&Outcome| o.request.at >= BEFORE && o.request.at < BEFORE + PEAK;
        let good = |o: &&Outcome| {
            o.verdict == Verdict::Complete
                && o.total <= deployment.mix.tiers[o.request.tier].deadline
        };
        let in_peak: Vec<&Outcome> = outcomes.iter().filter(sent_in_peak).collect();
        let top: Vec<&&Outcome> = in_peak.iter().filter(|o| o.request.tier == 0).collect();
        let top_good = top.iter().filter(|o| good(o)).count();
        // Work served during the peak: all that ended in it, even if sent before it.
        let served: f64 = outcomes
            .iter()
            .filter(good)
            .filter(|o| {
                let end = o.request.at + o.total;
                end >= BEFORE && end < BEFORE + PEAK
            })
            .map(|o| deployment.cost_ms(&o.request))
            .sum();
        let after = BEFORE + PEAK + RECOVERY;
        #[allow(clippy::cast_precision_loss, reason = "counts are small")]
        Self {
            top_tier: top_good as f64 / top.len().max(1) as f64,
            goodput: served / (capacity * PEAK.as_secs_f64()),
            before_p99: first_token_percentiles(
                outcomes.iter().filter(|o| o.request.at >= BEFORE / 3 && o.request.at < BEFORE),
            )
            .p99,
            after_p99: first_token_percentiles(outcomes.iter().filter(|o| o.request.at >= after))
                .p99,
            waste,
            broken: Report::new(&deployment.mix, outcomes).broken as f64,
            top_tier_shed: top_tier_shed(outcomes) as f64,
        }
    }

    fn json(&self) -> serde_json::Value {
        json!({"top_tier": self.top_tier, "goodput": self.goodput, "before_p99_ms": self.before_p99,
            "after_p99_ms": self.after_p99, "waste": self.waste, "broken": self.broken,
            "top_tier_shed": self.top_tier_shed})
    }

    fn add_to(&self, policy: &str, table: &mut Table) {
        let bounded = policy == "permits";
        let bound = |bound: Bound| if bounded { bound } else { Bound::None };
        let name = |figure: &str| format!("{policy}: {figure}");
        table.add(&name("goodput / capacity"), bound(Bound::AtLeast(0.9)), self.goodput);
        table.add(&name("top tier goodput"), bound(Bound::AtLeast(0.99)), self.top_tier);
        table.add(&name("wasted prefill"), bound(Bound::AtMost(0.02)), self.waste);
        table.add(&name("answers lost, crossed or cut"), bound(Bound::AtMost(0.0)), self.broken);
        table.add(&name("top tier shed for room"), bound(Bound::AtMost(0.0)), self.top_tier_shed);
        table.add(&name("p99 first token before, ms"), Bound::None, self.before_p99);
        table.add(&name("p99 first token 2 s after, ms"), Bound::None, self.after_p99);
        let ratio = self.after_p99 / self.before_p99.max(0.1);
        table.add(&name("p99 after / before"), bound(Bound::AtMost(1.25)), ratio);
    }
}

/// Number of requests of the top tier that were shed because the queue was full, result code 2001.
fn top_tier_shed(outcomes: &[Outcome]) -> usize {
    let shed = |o: &&Outcome| o.request.tier == 0 && o.verdict == Verdict::Refused(2001);
    outcomes.iter().filter(shed).count()
}

//! Service at the crest of a demand swing.

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

/// Time before the crest.
const BEFORE: Duration = Duration::from_secs(6);
/// Length of the crest.
const CREST: Duration = Duration::from_secs(10);
/// Time after the crest.
const AFTER: Duration = Duration::from_secs(8);
/// Time after the crest within which latency must be normal again.
const RECOVERY: Duration = Duration::from_secs(2);
/// Load outside the crest, as part of capacity.
const CALM_LOAD: f64 = 0.5;
/// Load in the crest, as multiple of capacity.
const CREST_LOAD: f64 = 3.0;

/// demand of three times the capacity for ten seconds
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

/// Runs the measurement.
pub async fn run(options: &Options) -> Result<()> {
    let deployment = Deployment::named(&options.deployment)?;
    let capacity = measure_capacity(&deployment).await?;
    let mut table = Table::default();
    for seed in options.seed..options.seed + options.seeds {
        for policy in options.policies.split(',') {
            one(&deployment, policy, seed, capacity, &mut table).await?;
        }
    }
    if let (Some(own), Some(baseline)) = (
        table.median("permits: goodput / capacity"),
        table.median("least-reported: goodput / capacity"),
    ) {
        let ratio = own / baseline;
        table.add("permits / least-reported goodput (medians)", Bound::AtLeast(1.3), ratio);
    }
    table.print();
    Ok(())
}

async fn one(
    deployment: &Deployment,
    policy: &str,
    seed: u64,
    capacity: Capacity,
    table: &mut Table,
) -> Result<()> {
    let guild = deployment.start(policy).await?;
    let rate = deployment.nominal_rate() * capacity.part;
    let plan = Plan::new(seed)
        .with_steady(BEFORE, rate * CALM_LOAD)
        .with_burst(CREST, rate * CREST_LOAD)
        .with_steady(AFTER, rate * CALM_LOAD)
        .build(&deployment.mix);
    let gateways: Vec<_> = guild.gateways.iter().map(|gateway| gateway.callers).collect();
    let outcomes = drive(&plan, &gateways, &deployment.mix).await?;
    let client = Client::new().await?;
    let waste = wasted(&guild.stats(&client).await?);
    let figures = Figures::new(deployment, &outcomes, capacity.cost_ms, waste);
    println!(
        "{}",
        json!({"policy": policy, "seed": seed, "figures": figures.json(),
        "report": Report::new(&deployment.mix, &outcomes)})
    );
    figures.enter(policy, table);
    Ok(())
}

fn wasted(stats: &serde_json::Value) -> f64 {
    let sum = |key: &str| -> f64 {
        let endpoints = stats.as_object().into_iter().flatten();
        endpoints.filter_map(|(_, endpoint)| endpoint[key].as_f64()).sum()
    };
    sum("prefill_wasted") / sum("prefill").max(1.0)
}

struct Figures {
    top: f64,
    goodput: f64,
    before_p99: f64,
    after_p99: f64,
    waste: f64,
    broken: f64,
    inversions: f64,
}

impl Figures {
    fn new(deployment: &Deployment, outcomes: &[Outcome], capacity: f64, waste: f64) -> Self {
        let within = |o: &&Outcome| o.request.at >= BEFORE && o.request.at < BEFORE + CREST;
        let good = |o: &&Outcome| {
            o.verdict == Verdict::Complete
                && o.total <= deployment.mix.tiers[o.request.tier].deadline
        };
        let crest: Vec<&Outcome> = outcomes.iter().filter(within).collect();
        let top: Vec<&&Outcome> = crest.iter().filter(|o| o.request.tier == 0).collect();
        let top_good = top.iter().filter(|o| good(o)).count();
        // Service within the crest: what ended in it, whenever it was offered.
        let served: f64 = outcomes
            .iter()
            .filter(good)
            .filter(|o| {
                let end = o.request.at + o.total;
                end >= BEFORE && end < BEFORE + CREST
            })
            .map(|o| deployment.cost_ms(&o.request))
            .sum();
        let after = BEFORE + CREST + RECOVERY;
        #[allow(clippy::cast_precision_loss, reason = "counts are small")]
        Self {
            top: top_good as f64 / top.len().max(1) as f64,
            goodput: served / (capacity * CREST.as_secs_f64()),
            before_p99: first_token_percentiles(
                outcomes.iter().filter(|o| o.request.at >= BEFORE / 3 && o.request.at < BEFORE),
            )
            .p99,
            after_p99: first_token_percentiles(outcomes.iter().filter(|o| o.request.at >= after))
                .p99,
            waste,
            broken: Report::new(&deployment.mix, outcomes).broken as f64,
            inversions: inversions(outcomes) as f64,
        }
    }

    fn json(&self) -> serde_json::Value {
        json!({"top_tier": self.top, "goodput": self.goodput, "before_p99_ms": self.before_p99,
            "after_p99_ms": self.after_p99, "waste": self.waste, "broken": self.broken,
            "top_tier_shed": self.inversions})
    }

    fn enter(&self, policy: &str, table: &mut Table) {
        let own = policy == "permits";
        let bound = |bound: Bound| if own { bound } else { Bound::None };
        let name = |figure: &str| format!("{policy}: {figure}");
        table.add(&name("goodput / capacity"), bound(Bound::AtLeast(0.9)), self.goodput);
        table.add(&name("top tier goodput"), bound(Bound::AtLeast(0.99)), self.top);
        table.add(&name("wasted prefill"), bound(Bound::AtMost(0.02)), self.waste);
        table.add(&name("answers lost, crossed or cut"), bound(Bound::AtMost(0.0)), self.broken);
        table.add(&name("top tier shed for room"), bound(Bound::AtMost(0.0)), self.inversions);
        table.add(&name("p99 first token before, ms"), Bound::None, self.before_p99);
        table.add(&name("p99 first token 2 s after, ms"), Bound::None, self.after_p99);
        let ratio = self.after_p99 / self.before_p99.max(0.1);
        table.add(&name("p99 after / before"), bound(Bound::AtMost(1.25)), ratio);
    }
}

/// Requests of the top tier that were shed for want of room.
fn inversions(outcomes: &[Outcome]) -> usize {
    let shed = |o: &&Outcome| o.request.tier == 0 && o.verdict == Verdict::Refused(2001);
    outcomes.iter().filter(shed).count()
}

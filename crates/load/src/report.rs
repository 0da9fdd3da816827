//! Statistics of one run.

use crate::{
    drive::{Outcome, Verdict},
    mix::Mix,
};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};
use units::{Tokens, Work};

/// Highest value that a histogram records, in microseconds.
const MAX_US: u64 = 600_000_000;

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Number of values.
    pub count: u64,
}

/// Statistics of one tier.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TierReport {
    /// Requests sent.
    pub offered: u64,
    /// Complete responses within the deadline.
    pub good: u64,
    /// Complete responses after the deadline.
    pub late: u64,
    /// Refused requests, which never ran, by result code.
    pub refused: BTreeMap<u16, u64>,
    /// Errors reported after the request was dispatched, by result code.
    pub failed: BTreeMap<u16, u64>,
    /// Truncated responses without an error.
    pub cut: u64,
    /// Responses with content that does not belong to the request.
    pub crossed: u64,
    /// Requests without a response.
    pub lost: u64,
    /// Work of the responses counted in `good`.
    pub good_work: u64,
    /// Work of all requests sent.
    pub offered_work: u64,
    /// Time to the first token of complete streamed responses.
    pub first_ms: Percentiles,
}

/// Statistics of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Statistics by tier.
    pub tiers: BTreeMap<String, TierReport>,
    /// Time to the first token of complete streamed responses in all tiers.
    pub first_ms: Percentiles,
    /// Time between consecutive tokens.
    pub gap_ms: Percentiles,
    /// Work of complete responses by organisation.
    pub shares: BTreeMap<String, u64>,
    /// Requests in `cut`, `crossed` or `lost` of all tiers.
    pub broken: u64,
}

/// Work of a request, computed from its planned token counts.
#[must_use]
pub fn work(outcome: &Outcome) -> u64 {
    Work::of(Tokens(outcome.request.prompt), Tokens(outcome.request.output)).get()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_US);
    histogram.saturating_record(micros.max(1));
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    #[allow(clippy::cast_precision_loss, reason = "microseconds are far below 2^52")]
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99), count: histogram.len() }
}

/// Percentiles of the time to the first token over the complete streamed responses in `outcomes`.
#[must_use]
pub fn first_token_percentiles<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Percentiles {
    let mut first = histogram();
    for outcome in outcomes.filter(|o| o.request.stream && o.verdict == Verdict::Complete) {
        record(&mut first, outcome.first_token);
    }
    percentiles(&first)
}

impl Report {
    /// Summarises the outcomes of a run.
    #[must_use]
    pub fn new(mix: &Mix, outcomes: &[Outcome]) -> Self {
        let mut report = Self::default();
        let mut gaps = histogram();
        for outcome in outcomes {
            outcome.gaps.iter().for_each(|gap| record(&mut gaps, *gap));
            report.add(mix, outcome);
        }
        for (index, tier) in mix.tiers.iter().enumerate() {
            let of_tier = outcomes.iter().filter(|outcome| outcome.request.tier == index);
            let entry = report.tiers.entry(tier.name.into()).or_default();
            entry.first_ms = first_token_percentiles(of_tier);
        }
        report.first_ms = first_token_percentiles(outcomes.iter());
        report.gap_ms = percentiles(&gaps);
        report
    }

    fn add(&mut self, mix: &Mix, outcome: &Outcome) {
        let spec = &mix.tiers[outcome.request.tier];
        let work = work(outcome);
        let tier = self.tiers.entry(spec.name.into()).or_default();
        tier.offered += 1;
        tier.offered_work += work;
        match &outcome.verdict {
            Verdict::Complete if outcome.total <= spec.deadline => {
                tier.good += 1;
                tier.good_work += work;
            }
            Verdict::Complete => tier.late += 1,
            Verdict::Refused(code) => *tier.refused.entry(*code).or_default() += 1,
            Verdict::Failed(code) => *tier.failed.entry(*code).or_default() += 1,
            Verdict::Truncated => tier.cut += 1,
            Verdict::Mismatched => tier.crossed += 1,
            Verdict::Lost => tier.lost += 1,
        }
        if matches!(outcome.verdict, Verdict::Truncated | Verdict::Mismatched | Verdict::Lost) {
            self.broken += 1;
        }
        if outcome.verdict == Verdict::Complete {
            let name = mix.organisations[outcome.request.organisation].0;
            *self.shares.entry(name.into()).or_default() += work;
        }
    }

    /// Complete responses within the deadline, over all tiers.
    #[must_use]
    pub fn good(&self) -> u64 {
        self.tiers.values().map(|tier| tier.good).sum()
    }

    /// Work of the responses counted by [`Report::good`].
    #[must_use]
    pub fn good_work(&self) -> u64 {
        self.tiers.values().map(|tier| tier.good_work).sum()
    }
}

/// Jain's fairness index: 1 when all shares are equal or zero.
#[must_use]
#[allow(clippy::cast_precision_loss, reason = "work is far below 2^52")]
pub fn jain(shares: &[u64]) -> f64 {
    let sum: f64 = shares.iter().map(|share| *share as f64).sum();
    let squares: f64 = shares.iter().map(|share| (*share as f64).powi(2)).sum();
    if squares <= 0.0 { 1.0 } else { sum * sum / (shares.len() as f64 * squares) }
}

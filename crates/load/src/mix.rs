//! Workload mixes of the two example deployments.

use std::{ops::Range, time::Duration};

/// Requests of one tier.
#[derive(Debug, Clone)]
pub struct Tier {
    /// Name.
    pub name: &'static str,
    /// Share of all requests, as a fraction.
    pub share: f64,
    /// Prompt tokens besides the shared prefix.
    pub prompt: Range<f64>,
    /// Output tokens.
    pub output: Range<f64>,
    /// Tokens of the prompt prefix that requests of one organisation share.
    pub shared_prefix: u64,
    /// Deadline of the complete response.
    pub deadline: Duration,
}

/// Workload mix of one deployment.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Model.
    pub model: &'static str,
    /// Tiers, highest priority first.
    pub tiers: Vec<Tier>,
    /// Organisations with their shares of all requests, as fractions.
    pub organisations: Vec<(&'static str, f64)>,
}

impl Mix {
    /// Looks up a mix by the name of its deployment.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "roofcare" => Some(Self::roofcare()),
            "saddlewright" => Some(Self::saddlewright()),
            _ => None,
        }
    }

    /// Roofcare: slot checks for bookings, quotes and long work plans.
    #[must_use]
    pub fn roofcare() -> Self {
        Self {
            model: "vaani-7b",
            tiers: vec![
                tier("booking", 0.15, 60.0..200.0, 8.0..24.0, 250, 5),
                tier("quote", 0.55, 60.0..500.0, 16.0..64.0, 250, 10),
                tier("plan", 0.30, 500.0..6000.0, 64.0..400.0, 1000, 30),
            ],
            organisations: vec![
                ("adajan-homes", 0.40),
                ("rander-homes", 0.33),
                ("naroda-homes", 0.15),
                ("katargam", 0.08),
                ("udhna", 0.04),
            ],
        }
    }

    /// Saddlewright: bookings, answers to riders, visit reports and summaries of horse histories.
    #[must_use]
    pub fn saddlewright() -> Self {
        Self {
            model: "saddle-13b",
            tiers: vec![
                tier("booking", 0.20, 60.0..250.0, 8.0..32.0, 250, 5),
                tier("answer", 0.45, 60.0..400.0, 24.0..96.0, 250, 10),
                tier("report", 0.20, 300.0..2500.0, 96.0..320.0, 500, 30),
                tier("summary", 0.15, 1000.0..7000.0, 48.0..200.0, 1000, 40),
            ],
            organisations: vec![
                ("cascade", 0.38),
                ("puget-fit", 0.34),
                ("salem-tack", 0.16),
                ("barnwise", 0.08),
                ("ridgeline", 0.04),
            ],
        }
    }

    /// Gives all organisations an equal share of requests, except the first, which gets `factor`
    /// times as much.
    #[must_use]
    pub fn with_skew(mut self, factor: f64) -> Self {
        for (index, organisation) in self.organisations.iter_mut().enumerate() {
            organisation.1 = if index == 0 { factor } else { 1.0 };
        }
        self
    }

    /// Keeps one tier only, so that priorities do not affect the shares.
    #[must_use]
    pub fn with_only(mut self, name: &str) -> Self {
        self.tiers.retain(|tier| tier.name == name);
        self
    }
}

fn tier(
    name: &'static str,
    share: f64,
    prompt: Range<f64>,
    output: Range<f64>,
    shared_prefix: u64,
    deadline_s: u64,
) -> Tier {
    let deadline = Duration::from_secs(deadline_s);
    Tier { name, share, prompt, output, shared_prefix, deadline }
}

//! Offers fixed by a seed.

use crate::mix::Mix;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{ops::Range, time::Duration};

/// Bytes of text that stand for one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Shared beginnings of each organisation and tier.
const BEGINNINGS: u64 = 3;

/// One request of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// When it is sent, from the start.
    pub at: Duration,
    /// Organisation's position in the mix.
    pub organisation: usize,
    /// Tier's position in the mix.
    pub tier: usize,
    /// Text that the answer repeats.
    pub marker: String,
    /// Prompt tokens, the shared beginning included.
    pub prompt: u64,
    /// Answer tokens.
    pub output: u64,
    /// Which shared beginning it uses.
    pub prefix: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Number that spreads requests over gateways.
    pub gateway_index: usize,
}

/// Plan under construction: spans of even rates, one after the other.
#[derive(Debug, Clone)]
pub struct Plan {
    seed: u64,
    spans: Vec<(Duration, f64)>,
}

impl Plan {
    /// Plan without offers.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { seed, spans: Vec::new() }
    }

    /// Adds a span of an even rate in requests a second.
    #[must_use]
    pub fn with_steady(mut self, span: Duration, rate: f64) -> Self {
        self.spans.push((span, rate));
        self
    }

    /// Adds a span whose rate differs.
    #[must_use]
    pub fn with_burst(self, span: Duration, rate: f64) -> Self {
        self.with_steady(span, rate)
    }

    /// Offers in the order of their times; arrivals are random.
    #[must_use]
    pub fn build(&self, mix: &Mix) -> Vec<Request> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        let mut start = 0.0;
        for (span, rate) in &self.spans {
            let end = start + span.as_secs_f64();
            let mut at = start + gap(&mut rng, *rate);
            while at < end {
                requests.push(request(&mut rng, mix, at, requests.len()));
                at += gap(&mut rng, *rate);
            }
            start = end;
        }
        requests
    }
}

fn gap(rng: &mut Pcg64Mcg, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate.max(1e-9)
}

fn request(rng: &mut Pcg64Mcg, mix: &Mix, at: f64, number: usize) -> Request {
    let tier = pick(rng, mix.tiers.iter().map(|tier| tier.share));
    let organisation = pick(rng, mix.organisations.iter().map(|(_, share)| *share));
    let spec = &mix.tiers[tier];
    Request {
        at: Duration::from_secs_f64(at),
        organisation,
        tier,
        marker: format!("m{number}x{:06x}", rng.random_range(0..0x0100_0000)),
        prompt: spec.shared_prefix + log_uniform(rng, &spec.prompt),
        output: log_uniform(rng, &spec.output),
        prefix: rng.random_range(0..BEGINNINGS),
        stream: rng.random_bool(0.8),
        gateway_index: rng.random_range(0..usize::from(u16::MAX)),
    }
}

fn pick(rng: &mut Pcg64Mcg, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = shares.clone().sum();
    let mut rest = rng.random::<f64>() * total;
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        rest -= share;
        if rest < 0.0 {
            break;
        }
    }
    last
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn log_uniform(rng: &mut Pcg64Mcg, range: &Range<f64>) -> u64 {
    let (low, high) = (range.start.ln(), range.end.ln());
    (low + (high - low) * rng.random::<f64>()).exp() as u64
}

impl Request {
    /// Body of the request.
    #[must_use]
    pub fn body(&self, mix: &Mix) -> String {
        let shared = mix.tiers[self.tier].shared_prefix * BYTES_PER_TOKEN;
        let own = self.prompt * BYTES_PER_TOKEN - shared;
        let beginning = filler(
            &format!("beginning {} {} {} ", self.organisation, self.tier, self.prefix),
            shared,
        );
        let own = filler(&format!("<<{}>> ", self.marker), own);
        serde_json::json!({
            "model": mix.model,
            "stream": self.stream,
            "max_tokens": self.output,
            "messages": [
                {"role": "system", "content": beginning},
                {"role": "user", "content": own},
            ],
        })
        .to_string()
    }
}

/// Text of `bytes` bytes that repeats `word`.
fn filler(word: &str, bytes: u64) -> String {
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX).max(word.len());
    word.chars().cycle().take(bytes).collect()
}

//! Plans of requests, fixed by a seed.

use crate::mix::Mix;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{ops::Range, time::Duration};

/// Bytes of text per prompt token.
const BYTES_PER_TOKEN: u64 = 4;
/// Distinct shared prefixes per organisation and tier.
const PREFIXES: u64 = 3;

/// Planned request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Send time since the start of the plan.
    pub at: Duration,
    /// Index of the organisation in the mix.
    pub organisation: usize,
    /// Index of the tier in the mix.
    pub tier: usize,
    /// Text that each token of the response repeats.
    pub marker: String,
    /// Prompt tokens, including the shared prefix.
    pub prompt: u64,
    /// Output tokens.
    pub output: u64,
    /// Index of its shared prefix.
    pub prefix: u64,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Selects the gateway, modulo the number of gateways.
    pub gateway_index: usize,
}

/// Builder of a plan: consecutive phases, each with a constant mean rate.
#[derive(Debug, Clone)]
pub struct Plan {
    seed: u64,
    phases: Vec<(Duration, f64)>,
}

impl Plan {
    /// Creates a plan without requests.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { seed, phases: Vec::new() }
    }

    /// Adds a phase with a mean rate in requests per second.
    #[must_use]
    pub fn with_steady(mut self, duration: Duration, rate: f64) -> Self {
        self.phases.push((duration, rate));
        self
    }

    /// Adds a phase whose rate differs from the steady one.
    #[must_use]
    pub fn with_burst(self, duration: Duration, rate: f64) -> Self {
        self.with_steady(duration, rate)
    }

    /// Requests in the order of their send times, which form a Poisson process within each phase.
    #[must_use]
    pub fn build(&self, mix: &Mix) -> Vec<Request> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        let mut start = 0.0;
        for (duration, rate) in &self.phases {
            let end = start + duration.as_secs_f64();
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
        prefix: rng.random_range(0..PREFIXES),
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
        let prefix = filler(
            &format!("beginning {} {} {} ", self.organisation, self.tier, self.prefix),
            shared,
        );
        let own = filler(&format!("<<{}>> ", self.marker), own);
        serde_json::json!({
            "model": mix.model,
            "stream": self.stream,
            "max_tokens": self.output,
            "messages": [
                {"role": "system", "content": prefix},
                {"role": "user", "content": own},
            ],
        })
        .to_string()
    }
}

/// Repeats `word` up to `bytes` bytes, at least once in full.
fn filler(word: &str, bytes: u64) -> String {
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX).max(word.len());
    word.chars().cycle().take(bytes).collect()
}

//! Estimates of answer lengths, learned for each service and tier.

use parking_lot::Mutex;
use std::collections::HashMap;
use units::{Rank, ServiceId, Tokens};

/// Answer length that is assumed before any was seen.
const INITIAL_TOKENS: f64 = 96.0;
/// Weight of a new observation.
const WEIGHT: f64 = 0.05;

/// Mean answer lengths.
#[derive(Debug, Default)]
pub struct Estimator {
    means: Mutex<HashMap<(ServiceId, Rank), f64>>,
}

impl Estimator {
    /// Expected answer length, never more than the caller allows.
    #[must_use]
    pub fn expect(&self, service: &ServiceId, rank: Rank, limit: Option<Tokens>) -> Tokens {
        let means = self.means.lock();
        let mean = means.get(&(service.clone(), rank)).copied().unwrap_or(INITIAL_TOKENS);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let mean = Tokens(mean.clamp(1.0, 1e6) as u64);
        // Callers that set a limit mostly use it up, so the limit is the estimate.
        limit.unwrap_or(mean)
    }

    /// Learns from a whole answer.
    pub fn learn(&self, service: &ServiceId, rank: Rank, output: Tokens) {
        let mut means = self.means.lock();
        let mean = means.entry((service.clone(), rank)).or_insert(INITIAL_TOKENS);
        #[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
        let seen = output.0 as f64;
        *mean += WEIGHT * (seen - *mean);
    }
}

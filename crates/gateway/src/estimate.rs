//! Estimates of response lengths per service and tier, from completed responses.

use parking_lot::Mutex;
use std::collections::HashMap;
use units::{Rank, ServiceId, Tokens};

/// Estimate before the first observation.
const INITIAL_TOKENS: f64 = 96.0;
/// Weight of a new observation in the moving average.
const WEIGHT: f64 = 0.05;

/// Moving averages of response lengths.
#[derive(Debug, Default)]
pub struct Estimator {
    means: Mutex<HashMap<(ServiceId, Rank), f64>>,
}

impl Estimator {
    /// Expected response length: the caller's limit, or the moving average without one.
    #[must_use]
    pub fn estimate(&self, service: &ServiceId, rank: Rank, limit: Option<Tokens>) -> Tokens {
        let means = self.means.lock();
        let mean = means.get(&(service.clone(), rank)).copied().unwrap_or(INITIAL_TOKENS);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let mean = Tokens(mean.clamp(1.0, 1e6) as u64);
        // Most callers that set a limit use it up, so the limit is the estimate.
        limit.unwrap_or(mean)
    }

    /// Adds the length of a completed response to the average.
    pub fn observe(&self, service: &ServiceId, rank: Rank, output: Tokens) {
        let mut means = self.means.lock();
        let mean = means.entry((service.clone(), rank)).or_insert(INITIAL_TOKENS);
        #[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
        let observed = output.0 as f64;
        *mean += WEIGHT * (observed - *mean);
    }
}

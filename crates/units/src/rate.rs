//! Rates of requests.

use crate::common;
use std::{fmt, str::FromStr};

/// Steps of a rate within one request per second.
const STEPS: f64 = 1_000.0;
/// Largest rate, in requests per second.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Reason why a text is not a rate.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected a number of requests per second from 0 to {MAX_PER_SECOND}")]
pub struct InvalidRate;

common! {
    /// Rate in thousandths of a request per second.
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct RequestRate(pub u32);
}

impl RequestRate {
    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / STEPS
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second: f64 = text.trim().parse().map_err(|_| InvalidRate)?;
        if !(0.0..=MAX_PER_SECOND).contains(&per_second) {
            return Err(InvalidRate);
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "in range")]
        let steps = (per_second * STEPS).round() as u32;
        Ok(Self(steps))
    }
}

//! Headers of a caller's request.

use std::time::Duration;
use units::{Fingerprint, Tokens};

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Head {
    /// Identifier of the attempt, chosen by the caller.
    pub attempt: Box<str>,
    /// Secret that identifies the organisation.
    pub api_key: Option<Box<str>>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Length of the prompt.
    pub prompt: Option<Tokens>,
    /// Maximum output.
    pub max_output: Option<Tokens>,
    /// Caller's estimate of the output; accurate in the median, but often far off.
    pub output_estimate: Option<Tokens>,
    /// Last event that the caller has, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Box<[Fingerprint]>,
}

/// Divisor of the maximum output for requests without an estimate; in the data sheets, the mean
/// output is a tenth of the maximum.
const DEFAULT_OUTPUT_DIVISOR: u64 = 10;

impl Head {
    /// Expected output.
    #[must_use]
    pub fn expected_output(&self) -> Tokens {
        let max_output = self.max_output.unwrap_or_default();
        self.output_estimate.map_or(Tokens(max_output.0 / DEFAULT_OUTPUT_DIVISOR), |estimate| {
            estimate.min(max_output)
        })
    }

    /// Tokens that are charged to the organisation's quota.
    #[must_use]
    pub fn cost(&self, default_cost: Tokens) -> Tokens {
        match (self.prompt, self.max_output) {
            (None, None) => default_cost,
            (prompt, output) => {
                let (prompt, output) = (prompt.unwrap_or_default(), output.unwrap_or_default());
                Tokens(prompt.0.saturating_add(output.0))
            }
        }
    }
}

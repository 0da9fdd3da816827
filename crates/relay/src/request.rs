//! What a caller's request says of itself.

use std::time::Duration;
use units::Tokens;

/// Headers of a caller's request, decoded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Head {
    /// Identifier of this attempt, chosen by the caller.
    pub attempt: Box<str>,
    /// Secret that names the organisation.
    pub api_key: Option<Box<str>>,
    /// Time for which the caller will wait.
    pub timeout: Option<Duration>,
    /// Prompt length.
    pub prompt: Option<Tokens>,
    /// Longest answer.
    pub max_output: Option<Tokens>,
    /// Caller's estimate of the answer's length; right at the median, often far off.
    pub output_estimate: Option<Tokens>,
    /// Last event that the caller has, when it continues a stream.
    pub resume_after: Option<u64>,
}

/// Usual part of the longest answer that is used; the sheets' means are a tenth of their maxima.
const DEFAULT_OUTPUT_DIVISOR: u64 = 10;

impl Head {
    /// Expected length of the answer.
    #[must_use]
    pub fn expected_output(&self) -> Tokens {
        let max_output = self.max_output.unwrap_or_default();
        self.output_estimate.map_or(Tokens(max_output.0 / DEFAULT_OUTPUT_DIVISOR), |estimate| {
            estimate.min(max_output)
        })
    }

    /// Tokens that the request counts against its organisation's allotment.
    #[must_use]
    pub fn cost(&self, default_cost: Tokens) -> Tokens {
        match (self.prompt, self.max_output) {
            (None, None) => default_cost,
            (prompt, output) => Tokens(prompt.unwrap_or_default().0 + output.unwrap_or_default().0),
        }
    }
}

//! Numbers with a unit.

use crate::macros::number;

number! {
    /// Size in bytes.
    Bytes(u64), " B";
    /// Count of model tokens.
    Tokens(u64), " tokens";
    /// Rate in model tokens per second.
    TokensPerSecond(u64), " tokens/s";
    /// Scheduling cost, in generated-token equivalents.
    Work(u64), " work";
    /// Version of a configuration or of a row; a larger one is newer.
    Version(u64), "";
    /// Number of a permit, the right to send one request to an endpoint; unique per owner.
    Permit(u64), "";
    /// Position of a tier in the order of priority; zero is the highest.
    Rank(u8), "";
}

impl Work {
    /// Prompt tokens that cost as much engine time as one generated token.
    const PROMPT_TOKENS_PER_UNIT: u64 = 10;

    /// Cost of a request with `prompt` tokens to prefill and `output` tokens to generate.
    #[must_use]
    pub const fn of(prompt: Tokens, output: Tokens) -> Self {
        Self((prompt.0 / Self::PROMPT_TOKENS_PER_UNIT).saturating_add(output.0).saturating_add(1))
    }
}

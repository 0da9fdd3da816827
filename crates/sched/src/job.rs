//! What holders and owners tell each other about a request.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use units::{
    EndpointId, Fingerprint, InstanceId, OrganisationId, Permit, PrefixHash, Rank, RequestId, Time,
    Tokens, Work,
};

/// Short descriptor of a waiting request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Request that waits.
    pub request: RequestId,
    /// Gateway that holds it.
    pub holder: InstanceId,
    /// Tier, zero being the highest.
    pub rank: Rank,
    /// Member that offered it.
    pub organisation: OrganisationId,
    /// Prompt length, estimated.
    pub prompt: Tokens,
    /// Answer length, estimated.
    pub output: Tokens,
    /// Latest time of the whole answer, on the clock of the process that reads it.
    pub deadline: Time,
    /// Hashes of the prompt's beginnings, shortest first, with their lengths.
    pub prefixes: Box<[Prefix]>,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Whether an endpoint failed under the same request before.
    pub suspect: bool,
}

/// Beginning of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Hash of the beginning.
    pub hash: PrefixHash,
    /// Length of the beginning.
    pub tokens: Tokens,
}

impl Job {
    /// Estimated cost.
    #[must_use]
    pub const fn work(&self) -> Work {
        Work::of(self.prompt, self.output)
    }
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Earliest expected end of the answer.
    EarliestEnd,
    /// A cached prefix made its end the earliest.
    CachedPrefix,
    /// The only endpoint with room.
    OnlyRoom,
    /// Chosen by a baseline policy.
    Baseline,
}

/// Endpoint that was considered and not chosen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUp {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Expected time to the end of the answer.
    pub expected: Duration,
}

/// Right to send one request to one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Request that may be sent.
    pub request: RequestId,
    /// Gateway that holds it.
    pub holder: InstanceId,
    /// Number of the grant at its owner.
    pub permit: Permit,
    /// Endpoint to send it to.
    pub endpoint: EndpointId,
    /// Why this endpoint.
    pub reason: Reason,
    /// Next best endpoints.
    pub runners_up: Box<[RunnerUp]>,
}

/// Refusal of a job by an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shed {
    /// Request that is refused.
    pub request: RequestId,
    /// Gateway that holds it.
    pub holder: InstanceId,
    /// Result code.
    pub code: codes::Code,
}

/// How the use of a permit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Whole answer.
    Completed {
        /// Tokens generated.
        output: Tokens,
        /// Mean time between tokens, in microseconds; zero when unknown.
        gap_us: u32,
    },
    /// Cancelled by the caller or at its deadline.
    Cancelled,
    /// The connection ended before the answer was whole.
    Interrupted,
    /// No connection could be made.
    Unreachable,
    /// The endpoint said that it is leaving or takes no work.
    Declined,
    /// The grant was not needed.
    Returned,
}

//! Messages between holders and owners about a request.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use units::{
    EndpointId, Fingerprint, InstanceId, OrganisationId, Permit, PrefixHash, Rank, RequestId, Time,
    Tokens, Work,
};

/// Waiting request, as far as scheduling needs it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Waiting request.
    pub request: RequestId,
    /// Gateway that holds it.
    pub holder: InstanceId,
    /// Tier; 0 is the highest.
    pub rank: Rank,
    /// Organisation that sent it.
    pub organisation: OrganisationId,
    /// Estimated prompt length.
    pub prompt: Tokens,
    /// Estimated response length.
    pub output: Tokens,
    /// Time by which the response must be complete, on the local process's clock.
    pub deadline: Time,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: Box<[Prefix]>,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Whether an endpoint failed earlier while it ran the same request.
    pub suspect: bool,
}

/// Prefix of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Hash.
    pub hash: PrefixHash,
    /// Length.
    pub tokens: Tokens,
}

impl Job {
    /// Estimated cost.
    #[must_use]
    pub const fn work(&self) -> Work {
        Work::of(self.prompt, self.output)
    }
}

/// Why an endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Earliest expected completion.
    EarliestEnd,
    /// Earliest expected completion, with a longer cached prefix than the runner-up.
    CachedPrefix,
    /// The only endpoint with capacity.
    OnlyRoom,
    /// Selected by a baseline policy.
    Baseline,
}

/// Endpoint that was considered but not selected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUp {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Expected time to completion.
    pub expected: Duration,
}

/// Permission to dispatch one request to one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Request that may be dispatched.
    pub request: RequestId,
    /// Gateway that holds it.
    pub holder: InstanceId,
    /// Permit that the owner issued.
    pub permit: Permit,
    /// Endpoint to dispatch it to.
    pub endpoint: EndpointId,
    /// Why this endpoint was selected.
    pub reason: Reason,
    /// Next best endpoints, best first.
    pub runners_up: Box<[RunnerUp]>,
}

/// Rejection of a job by an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shed {
    /// Rejected request.
    pub request: RequestId,
    /// Gateway that holds it.
    pub holder: InstanceId,
    /// Result code.
    pub code: codes::Code,
}

/// Why a permit is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The response is complete.
    Completed {
        /// Tokens generated.
        output: Tokens,
        /// Mean time between tokens, in µs; 0 when unknown.
        gap_us: u32,
    },
    /// Cancelled by the caller or at the deadline.
    Cancelled,
    /// The connection closed before the response was complete.
    Interrupted,
    /// No connection could be established.
    Unreachable,
    /// The endpoint reported that it is leaving or accepts no work.
    Declined,
    /// The grant was not needed.
    Returned,
}

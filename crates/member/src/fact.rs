//! Short-lived facts that every gateway should know at once.

use serde::{Deserialize, Serialize};
use units::{EndpointId, Fingerprint};

/// Fact flooded to all members; each kind carries what orders it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// An endpoint is leaving, or is back.
    Leaving {
        /// Endpoint.
        endpoint: EndpointId,
        /// Whether it is leaving.
        leaving: bool,
        /// Wall-clock time of the observation in milliseconds; the newest wins.
        stamp_ms: u64,
    },
    /// Strikes against a request.
    Strike {
        /// Request.
        fingerprint: Fingerprint,
        /// Strikes so far.
        strikes: u8,
        /// Age of the last strike in milliseconds.
        age_ms: u64,
    },
    /// A suspect was answered whole.
    Cleared {
        /// Request.
        fingerprint: Fingerprint,
    },
}

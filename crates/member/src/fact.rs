//! Short-lived facts that are flooded to all gateways.

use serde::{Deserialize, Serialize};
use units::{EndpointId, Fingerprint};

/// Source of a report that an endpoint is leaving; later variants override earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// The platform's directory or the endpoint itself; a later directory listing may revoke it.
    Platform,
    /// The placement controller, while it carries out an order.
    Placement,
    /// An operator; only an operator can revoke it.
    Operator,
}

/// Fact flooded to all members; each variant carries what is needed to order conflicting reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// An endpoint is leaving, or is back.
    Leaving {
        /// Endpoint.
        endpoint: EndpointId,
        /// Whether it is leaving.
        leaving: bool,
        /// Source of the report.
        source: Source,
        /// Wall-clock time of the observation in milliseconds; the newest wins.
        timestamp_ms: u64,
    },
    /// Strikes recorded against a request after endpoints failed while running it.
    Strike {
        /// Request.
        fingerprint: Fingerprint,
        /// Number of strikes so far.
        strikes: u8,
        /// Age of the last strike in milliseconds.
        age_ms: u64,
    },
    /// A suspected request received a complete response, so its strikes are dropped.
    Cleared {
        /// Request.
        fingerprint: Fingerprint,
    },
}

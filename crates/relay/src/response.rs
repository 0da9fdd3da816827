//! What an endpoint's answer says of itself.

use sched::fleet::LoadReport;
use std::time::Duration;

/// Headers of an endpoint's answer, decoded.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Head {
    /// Attempt that it answers.
    pub attempt: Option<Box<str>>,
    /// Whether it carries the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Load at the endpoint.
    pub load: Option<LoadReport>,
    /// Time for which the endpoint keeps the connection when it is idle.
    pub keep_alive: Option<Duration>,
}

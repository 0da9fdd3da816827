//! Headers of an endpoint's response.

use sched::fleet::Load;
use std::time::Duration;
use units::RequestRate;

/// What a response says of the requests that its endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Limit {
    /// The endpoint does not limit them.
    #[default]
    None,
    /// It limits them to a rate.
    Rate(RequestRate),
    /// The rate cannot be parsed, so that it is not known whether there is a limit.
    Malformed,
}

/// Decoded headers of an endpoint's response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Head {
    /// Attempt that the response belongs to.
    pub attempt: Option<Box<str>>,
    /// Whether the response is signed by the endpoint.
    pub signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Load that the endpoint reports.
    pub load: Option<Load>,
    /// Requests that the endpoint takes from all nodes together.
    pub limit: Limit,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
    /// Time for which an endpoint that turns a request away wants none of this node.
    pub retry_after: Option<Duration>,
    /// Time for which the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

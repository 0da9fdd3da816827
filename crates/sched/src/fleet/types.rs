//! Types of the fleet's interface: endpoints, requests and reports.

use super::cohort::Cohort;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use units::{EndpointId, RequestRate, ServiceId, Time, Tokens};

/// Distance of an endpoint from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    CrossRegion,
}

impl Distance {
    /// Cost of the distance, in ms; the link to other regions is also narrow and billed.
    pub(super) const fn ms(self) -> f64 {
        match self {
            Self::SameZone => 0.0,
            Self::SameRegion => 4.0,
            Self::CrossRegion => 45.0,
        }
    }
}

/// Load that an endpoint reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests queued inside the endpoint.
    pub waiting: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Present duration of work relative to the usual one.
    pub slowdown: f64,
}

/// Limit that an endpoint named in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests that it takes from all nodes together; none without a limit.
    pub rate: Option<RequestRate>,
    /// When it responded.
    pub at: Time,
}

/// Requests of a node in flight at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of requests without a first response.
    pub pending_prefill: Tokens,
}

/// Size of a request, as known before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Prompt length.
    pub prompt: Tokens,
    /// Expected length of the response.
    pub output: Tokens,
}

/// Requirements of a request for an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Requested service.
    pub service: &'a ServiceId,
    /// Size of the request.
    pub size: Size,
    /// Endpoints to avoid, since it was sent to them before.
    pub avoid: &'a [EndpointId],
    /// Limit of this node's connections to one endpoint.
    pub max_connections: u32,
    /// Target for the gap between events of the endpoint's streams.
    pub target_gap: Option<Duration>,
    /// Whether the response is a stream.
    pub streamed: bool,
    /// Cohort of the request; it matters only while the service has a rollout.
    pub cohort: Cohort,
}

/// Selected endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Start time of its process, in Unix milliseconds.
    pub born: Option<u64>,
    /// Expected time to a first response, including penalties.
    pub expected: Duration,
    /// Requests in flight at the endpoint, including the peers' requests.
    pub in_flight: u32,
    /// Number of endpoints with capacity.
    pub candidates: usize,
}

/// End of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The response is complete.
    Completed,
    /// The endpoint failed the request.
    Failed,
    /// The endpoint had no capacity and did not run the request.
    AtCapacity,
    /// Another endpoint is at the address and did not run the request.
    WrongEndpoint,
    /// No connection could be established.
    Unreachable,
    /// Ended by this node or the caller.
    Cancelled,
}

/// Slots of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Free slots.
    pub free: u32,
    /// Free slots in the node's availability zone.
    pub free_in_zone: u32,
    /// Slots in the node's availability zone.
    pub slots_in_zone: u32,
    /// All slots.
    pub slots: u32,
}

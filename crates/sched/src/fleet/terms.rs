//! What is said of endpoints and requests.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use units::{EndpointId, ServiceId, Tokens, ZoneId};

/// Where an endpoint stands, seen from this node.
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
    /// Time that the distance adds, in ms; other regions also cost a narrow, paid link.
    pub(super) const fn ms(self) -> f64 {
        match self {
            Self::SameZone => 0.0,
            Self::SameRegion => 4.0,
            Self::CrossRegion => 45.0,
        }
    }
}

/// Endpoint as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Endpoint.
    pub id: EndpointId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address that it serves at.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Start of its present lifetime, in Unix milliseconds.
    pub born: Option<u64>,
}

/// Load that an endpoint reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Duration of work at this moment, 1 being usual.
    pub slowdown: f64,
}

/// What a node has in flight at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests.
    pub in_flight: u32,
    /// Prompt tokens that have no first answer yet.
    pub pending_prefill: Tokens,
}

/// Size of a request, as far as it is known before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Prompt length.
    pub prompt: Tokens,
    /// Expected length of the answer.
    pub output: Tokens,
}

/// Request in search of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Size.
    pub size: Size,
    /// Endpoints that it was sent to before.
    pub avoid: &'a [EndpointId],
    /// Connections that this node may have to one endpoint.
    pub max_connections: u32,
    /// Longest pause of streams at the endpoint that is in time.
    pub target_gap: Option<Duration>,
}

/// Endpoint that was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected time to a first answer.
    pub expected: Duration,
    /// Requests in flight there, peers' included.
    pub in_flight: u32,
    /// Endpoints that had room.
    pub candidates: usize,
}

/// End of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered whole.
    Completed,
    /// The endpoint failed the request.
    Failed,
    /// The endpoint had no room and did not run it.
    AtCapacity,
    /// Another endpoint is at the address, and did not run it.
    WrongEndpoint,
    /// No connection could be made.
    Unreachable,
    /// Ended by this node or its caller.
    Cancelled,
}

/// Slots of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots without a request.
    pub free: u32,
    /// All slots.
    pub slots: u32,
}

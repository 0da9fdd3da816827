//! Assignment of endpoints to cells, and of cells to owners.

use std::fmt;
use units::{EndpointId, InstanceId, RegionId, ServiceId, ZoneId, score};

/// Average number of endpoints of a cell, at most.
pub const CELL_ENDPOINTS: usize = 24;

units::common! {
    /// Group of endpoints of one service in one region.
    pub struct CellId {
        /// Service of the endpoints.
        pub service: ServiceId,
        /// Region of the endpoints.
        pub region: RegionId,
        /// Index among the cells of that service and region.
        pub shard: u16,
    }

    /// Live gateway, a candidate for ownership.
    pub struct Member {
        /// Gateway.
        pub instance: InstanceId,
        /// Its region.
        pub region: RegionId,
    }

    /// Live endpoint, to be assigned to a cell.
    pub struct Backend {
        /// Endpoint.
        pub endpoint: EndpointId,
        /// Service that it runs.
        pub service: ServiceId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its region.
        pub region: RegionId,
    }
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.region, self.shard)
    }
}

/// Number of cells for `endpoints` endpoints of one service and region.
#[must_use]
pub fn shard_count(endpoints: usize) -> u16 {
    u16::try_from(endpoints.div_ceil(CELL_ENDPOINTS).max(1)).unwrap_or(u16::MAX)
}

/// Index of an endpoint's cell among `shards` cells.
#[must_use]
pub fn shard_of(endpoint: &EndpointId, shards: u16) -> u16 {
    let best = (0..shards).max_by_key(|shard| score(&shard.to_string(), endpoint.as_str()));
    best.unwrap_or(0)
}

/// Members in order of ownership of `cell`: those of its region first, then by rendezvous hash.
#[must_use]
pub fn owners<'a>(cell: &CellId, members: &'a [Member]) -> Vec<&'a Member> {
    let key = cell.to_string();
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_cached_key(|member| {
        let cross_region = member.region != cell.region;
        (cross_region, std::cmp::Reverse(score(member.instance.as_str(), &key)))
    });
    ranked
}

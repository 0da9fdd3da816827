//! Checked settings of a node.

use sched::{budget::Bound, fleet::Distance};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use units::{InstanceId, RegionId, ZoneId};

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Regions of all availability zones.
    pub regions: HashMap<ZoneId, RegionId>,
    /// Addresses to serve at.
    pub listen: Listen,
    /// Bound on repeated sends to a service, over all nodes.
    pub repeats: Bound,
    /// Time from the signal to stop to the end of the process.
    pub grace: Duration,
    /// Memory that the process may use, in bytes.
    pub memory: u64,
    /// Descriptors that the process may open.
    pub descriptors: u32,
}

/// Addresses to serve at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// Readiness.
    pub readiness: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// Other nodes, by datagrams.
    pub peers: SocketAddr,
}

impl Settings {
    /// Distance to an availability zone; unknown zones are far.
    #[must_use]
    pub fn distance(&self, zone: &ZoneId) -> Distance {
        if *zone == self.zone {
            return Distance::SameZone;
        }
        match (self.regions.get(zone), self.regions.get(&self.zone)) {
            (Some(theirs), Some(ours)) if theirs == ours => Distance::SameRegion,
            _ => Distance::CrossRegion,
        }
    }
}

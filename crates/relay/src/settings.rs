//! Validated settings of a node.

use sched::{budget::Bound, fleet::Distance, rollout};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};
use units::{InstanceId, RegionId, ZoneId};

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Region of each availability zone.
    pub regions: HashMap<ZoneId, RegionId>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Retry budget of a service, for all nodes together.
    pub repeats: Bound,
    /// Time from the stop signal until the process must exit.
    pub grace: Duration,
    /// Time after which a new configuration must be in force at every node.
    pub apply_time: Duration,
    /// Time after which no node sends requests to an endpoint that is leaving or gone.
    pub drain_time: Duration,
    /// Bounds of rollouts, if the deployment has them.
    pub rollout: Option<rollout::Bounds>,
    /// Whether the speed and concurrency of endpoints are learned, see [`sched::capacity`].
    pub learning: bool,
    /// Processor time, in hundredths of a core.
    pub processor: u32,
    /// Memory limit of the process, in bytes.
    pub memory: u64,
    /// Limit of open file descriptors.
    pub descriptors: u32,
}

/// Settings that may change while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Retry budget of a service, for all nodes together.
    pub repeats: Bound,
    /// Time from the stop signal until the process must exit.
    pub grace: Duration,
    /// Time after which a new configuration must be in force at every node.
    pub apply_time: Duration,
    /// Time after which no node sends requests to an endpoint that is leaving or gone.
    pub drain_time: Duration,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// Datagrams from other nodes.
    pub peers: SocketAddr,
}

/// Result of reading the settings again.
#[derive(Debug, Clone, PartialEq)]
pub struct Reread {
    /// Settings of the node.
    pub settings: Settings,
    /// Whether anything else has changed since the start.
    pub others_changed: bool,
}

impl Settings {
    /// Settings that may change while the process runs.
    #[must_use]
    pub const fn bounds(&self) -> Bounds {
        let Self { repeats, grace, apply_time, drain_time, .. } = *self;
        Bounds { repeats, grace, apply_time, drain_time }
    }

    /// Whether other settings differ in more than their bounds.
    #[must_use]
    pub fn needs_restart(&self, other: &Self) -> bool {
        let Bounds { repeats, grace, apply_time, drain_time } = self.bounds();
        let other = Self { repeats, grace, apply_time, drain_time, ..other.clone() };
        *self != other
    }

    /// Number of regions.
    #[must_use]
    pub fn region_count(&self) -> usize {
        self.regions.values().collect::<HashSet<_>>().len().max(1)
    }

    /// Distance to an availability zone; an unknown zone counts as another region.
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

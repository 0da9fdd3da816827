//! The other nodes, as far as this one hears them.
//!
//! A few nodes, found by rendezvous hashing over those that are heard, read
//! the store for all; see [`crate::watch`].

use crate::digest::{Digest, Waiting, short_hash};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use units::{InstanceId, ServiceId, Time, Version, ZoneId};

/// Shortest interval between two digests: a tenth of the time for which a stream holds its slot.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval for each other node: the budget of datagrams that a node receives is 70 a second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(14);
/// Longest interval at which a node that follows the store tells all others, well within
/// [`HEARD`]; they are few.
const MAX_READER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without a digest after which a node is not heard.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same for a node that tells this one seldom, in intervals.
const LIVENESS_INTERVALS: u32 = 3;
/// Time without a digest after which a node is no longer counted on.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Other nodes up to which all are told as often as those near.
const SMALL_PEER_COUNT: usize = 16;
/// Nodes that follow the store for all, at least and at most: each costs the store two calls a
/// second. With four among 100 nodes, a node learned of a configuration too late.
const READER_RANGE: (usize, usize) = (4, 8);
/// Nodes for each of them, in between.
const NODES_PER_READER: usize = 12;
/// Key of the readers' rendezvous.
const READER_KEY: &str = "store readers";

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    same_zone: bool,
    demand: u32,
    waiting: Box<[Waiting]>,
    configuration: Version,
    is_reader: bool,
    store_returned: bool,
    incarnation: u64,
    sequence: u64,
    last_digest: Option<Time>,
    known_since: Time,
}

impl Peer {
    fn last_seen(&self) -> Time {
        self.last_digest.unwrap_or(self.known_since)
    }
}

/// What other nodes have seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observed {
    /// Newest configuration in force.
    pub configuration: Version,
    /// Whether the store came back so recently that entries may be missing.
    pub store_returned: bool,
}

/// Intervals between two digests of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// To those near.
    pub zone: Duration,
    /// To all.
    pub all: Duration,
}

fn interval(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_NODE * nodes)
}

/// Nodes that follow the store among so many.
fn reader_count(nodes: usize) -> usize {
    (nodes / NODES_PER_READER).clamp(READER_RANGE.0, READER_RANGE.1)
}

/// This node's part of the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    /// Among the nodes of its availability zone.
    pub zone: f64,
    /// Among all nodes.
    pub all: f64,
}

/// Other nodes.
#[derive(Debug, Default)]
pub struct Roster {
    instance: Option<InstanceId>,
    peers: HashMap<InstanceId, Peer>,
    /// Secret of the datagrams.
    pub secret: Option<Box<[u8]>>,
}

impl Roster {
    /// Roster of a node that knows no other.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self { instance: Some(instance), ..Self::default() }
    }

    /// Whether another node is known, and the secret to speak with it.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.secret.is_some() && !self.peers.is_empty()
    }

    /// Nodes that are counted on, this one included.
    #[must_use]
    pub fn node_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Other nodes that are heard.
    #[must_use]
    pub fn live_count(&self, now: Time) -> usize {
        self.live_peers(now).count()
    }

    /// Whether a node is heard.
    #[must_use]
    pub fn is_live(&self, id: &InstanceId, now: Time) -> bool {
        self.live_peers(now).any(|(known, _)| known == id)
    }

    /// Part of the nodes counted on that are heard, this one included.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "node counts are small")]
    pub fn live_fraction(&self, now: Time) -> f64 {
        (self.live_count(now) + 1) as f64 / self.node_count() as f64
    }

    /// Notes a node's address; true when it is news.
    pub fn upsert(&mut self, id: &InstanceId, address: SocketAddr, now: Time) -> bool {
        if let Some(peer) = self.peers.get_mut(id) {
            let moved = peer.address != address;
            peer.address = address;
            return moved;
        }
        let peer = Peer {
            address,
            same_zone: false,
            demand: 0,
            waiting: Box::default(),
            configuration: Version(0),
            is_reader: false,
            store_returned: false,
            incarnation: 0,
            sequence: 0,
            last_digest: None,
            known_since: now,
        };
        self.peers.insert(id.clone(), peer);
        true
    }

    /// Whether a digest is newer than what was heard of its node; notes it if so.
    pub fn accept(&mut self, digest: &Digest, from: SocketAddr, zone: &ZoneId, now: Time) -> bool {
        self.upsert(&digest.from, from, now);
        let Some(peer) = self.peers.get_mut(&digest.from) else { return false };
        // After a silence, a smaller lifetime is a new one under a clock that was set back.
        let silent = peer.last_digest.is_some_and(|at| now.since(at) > LIVENESS_TIMEOUT * 2);
        let set_back = silent && digest.incarnation < peer.incarnation;
        if (digest.incarnation, digest.sequence) <= (peer.incarnation, peer.sequence) && !set_back {
            return false;
        }
        peer.incarnation = digest.incarnation;
        peer.sequence = digest.sequence;
        peer.last_digest = Some(now);
        peer.same_zone = digest.zone == *zone;
        peer.demand = digest.demand;
        peer.waiting.clone_from(&digest.waiting);
        peer.configuration = digest.configuration;
        peer.is_reader = digest.directory.is_some();
        peer.store_returned = digest.store_returned;
        true
    }

    /// Intervals of this node's digests.
    #[must_use]
    pub fn intervals(&self, now: Time) -> Intervals {
        let all = interval(self.node_count());
        let all = if self.is_reader(now) { all.min(MAX_READER_INTERVAL) } else { all };
        let zone = interval(self.zone_node_count());
        Intervals { zone, all: all.max(zone) }
    }

    /// Time without a digest after which a node is not heard that tells this one seldom.
    #[must_use]
    pub fn liveness_timeout(&self) -> Duration {
        LIVENESS_TIMEOUT.max(interval(self.node_count()) * LIVENESS_INTERVALS)
    }

    fn live_peers(&self, now: Time) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let timeout = self.liveness_timeout();
        let is_live = move |peer: &Peer| {
            let limit = if peer.same_zone || peer.is_reader { LIVENESS_TIMEOUT } else { timeout };
            peer.last_digest.is_some_and(|at| now.since(at) < limit)
        };
        self.peers.iter().filter(move |(_, peer)| is_live(peer))
    }

    /// Newest that the other nodes have seen.
    #[must_use]
    pub fn observed(&self, now: Time) -> Observed {
        let mut observed = Observed::default();
        for (_, peer) in self.live_peers(now) {
            observed.configuration = observed.configuration.max(peer.configuration);
            observed.store_returned |= peer.store_returned;
        }
        observed
    }

    /// Whether this node is one of those that follow the store.
    #[must_use]
    pub fn is_reader(&self, now: Time) -> bool {
        let score = |id: &InstanceId| units::score(id.as_str(), READER_KEY);
        let Some(instance) = &self.instance else { return true };
        let mine = score(instance);
        self.live_peers(now).filter(|(id, _)| score(id) > mine).count()
            < reader_count(self.node_count())
    }

    /// What waits for a service at the other nodes, in sum.
    #[must_use]
    pub fn waiting(&self, service: &ServiceId, now: Time) -> Waiting {
        let service = short_hash(service.as_str());
        let peers = self.live_peers(now).flat_map(|(_, peer)| &peer.waiting);
        let of = peers.filter(|waiting| waiting.service == service);
        of.fold(Waiting { service, requests: 0, shortfall: 0 }, |sum, waiting| Waiting {
            requests: sum.requests + waiting.requests,
            shortfall: sum.shortfall + waiting.shortfall,
            ..sum
        })
    }

    /// Part of the demand of all nodes that is this node's: in its zone, and in all.
    #[must_use]
    pub fn demand_shares(&self, demand: u32, now: Time) -> Shares {
        let mine = f64::from(demand.max(1));
        let mut zone = mine;
        let mut all = mine;
        for (_, peer) in self.live_peers(now) {
            let theirs = f64::from(peer.demand.max(1));
            all += theirs;
            if peer.same_zone {
                zone += theirs;
            }
        }
        Shares { zone: mine / zone, all: mine / all }
    }

    /// Whether every node is told as often as those near.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.peers.len() <= SMALL_PEER_COUNT
    }

    /// Removes a node that leaves.
    pub fn remove(&mut self, id: &InstanceId) {
        self.peers.remove(id);
    }

    /// Removes the nodes that have been silent for too long.
    pub fn remove_silent(&mut self, now: Time) -> Vec<InstanceId> {
        let silent =
            self.peers.iter().filter(|(_, peer)| now.since(peer.last_seen()) > FORGET_AFTER);
        let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.peers.remove(id);
        }
        silent
    }

    /// Addresses of those that are near, or of all.
    #[must_use]
    pub fn addresses(&self, all: bool) -> Vec<SocketAddr> {
        let recipients = self.peers.values().filter(|peer| all || peer.same_zone);
        recipients.map(|peer| peer.address).collect()
    }

    /// Nodes that are told often, this one included.
    #[must_use]
    pub fn zone_node_count(&self) -> usize {
        let near = self.peers.values().filter(|peer| peer.same_zone).count();
        1 + if self.is_small() { self.peers.len() } else { near }
    }
}

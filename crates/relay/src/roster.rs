//! The other nodes, as far as this one hears them.
//!
//! A few nodes, found by rendezvous hashing over those that are heard, read
//! the store for all; see [`crate::watch`].

use crate::digest::{Digest, Waiting, tag};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use units::{InstanceId, ServiceId, Time, Version, ZoneId};

/// Shortest interval between two digests: a tenth of the time for which a stream holds its slot.
const INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Interval for each other node: the budget of datagrams that a node receives is 70 a second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(14);
/// Longest interval at which a node that follows the store tells all others, well within
/// [`HEARD`]; they are few.
const READER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without a digest after which a node is not heard.
const HEARD: Duration = Duration::from_millis(2_500);
/// The same for a node that tells this one seldom, in intervals.
const HEARD_INTERVALS: u32 = 3;
/// Time without a digest after which a node is no longer counted on.
const FORGET: Duration = Duration::from_secs(30);
/// Other nodes up to which all are told as often as those near.
const SMALL: usize = 16;
/// Nodes that follow the store for all, at least and at most: each costs the store two calls a
/// second. With four among 100 nodes, a node learned of a configuration too late.
const READERS: (usize, usize) = (4, 8);
/// Nodes for each of them, in between.
const NODES_PER_READER: usize = 12;
/// Key of the readers' rendezvous.
const READER_KEY: &str = "store readers";

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    near: bool,
    demand: u32,
    waiting: Box<[Waiting]>,
    configuration: Version,
    reads: bool,
    returned: bool,
    lifetime: u64,
    number: u64,
    heard: Option<Time>,
    known_since: Time,
}

impl Peer {
    fn last(&self) -> Time {
        self.heard.unwrap_or(self.known_since)
    }
}

/// What other nodes have seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Told {
    /// Newest configuration in force.
    pub configuration: Version,
    /// Whether the store came back so recently that entries may be missing.
    pub returned: bool,
}

/// Intervals between two digests of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// To those near.
    pub near: Duration,
    /// To all.
    pub all: Duration,
}

fn interval(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    INTERVAL_MIN.max(INTERVAL_PER_NODE * nodes)
}

/// Nodes that follow the store among so many.
fn readers(nodes: usize) -> usize {
    (nodes / NODES_PER_READER).clamp(READERS.0, READERS.1)
}

/// This node's part of the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Parts {
    /// Among the nodes of its availability zone.
    pub near: f64,
    /// Among all nodes.
    pub all: f64,
}

/// Other nodes.
#[derive(Debug, Default)]
pub struct Roster {
    me: Option<InstanceId>,
    peers: HashMap<InstanceId, Peer>,
    /// Secret of the datagrams.
    pub secret: Option<Box<[u8]>>,
}

impl Roster {
    /// Roster of a node that knows no other.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self { me: Some(me), ..Self::default() }
    }

    /// Whether another node is known, and the secret to speak with it.
    #[must_use]
    pub fn is_introduced(&self) -> bool {
        self.secret.is_some() && !self.peers.is_empty()
    }

    /// Nodes that are counted on, this one included.
    #[must_use]
    pub fn known(&self) -> usize {
        self.peers.len() + 1
    }

    /// Other nodes that are heard.
    #[must_use]
    pub fn heard(&self, now: Time) -> usize {
        self.heard_peers(now).count()
    }

    /// Whether a node is heard.
    #[must_use]
    pub fn is_heard(&self, id: &InstanceId, now: Time) -> bool {
        self.heard_peers(now).any(|(known, _)| known == id)
    }

    /// Part of the nodes counted on that are heard, this one included.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "node counts are small")]
    pub fn heard_share(&self, now: Time) -> f64 {
        (self.heard(now) + 1) as f64 / self.known() as f64
    }

    /// Notes a node's address; true when it is news.
    pub fn meet(&mut self, id: &InstanceId, address: SocketAddr, now: Time) -> bool {
        if let Some(peer) = self.peers.get_mut(id) {
            let moved = peer.address != address;
            peer.address = address;
            return moved;
        }
        let peer = Peer {
            address,
            near: false,
            demand: 0,
            waiting: Box::default(),
            configuration: Version(0),
            reads: false,
            returned: false,
            lifetime: 0,
            number: 0,
            heard: None,
            known_since: now,
        };
        self.peers.insert(id.clone(), peer);
        true
    }

    /// Whether a digest is newer than what was heard of its node; notes it if so.
    pub fn accept(&mut self, digest: &Digest, from: SocketAddr, zone: &ZoneId, now: Time) -> bool {
        self.meet(&digest.from, from, now);
        let Some(peer) = self.peers.get_mut(&digest.from) else { return false };
        // After a silence, a smaller lifetime is a new one under a clock that was set back.
        let silent = peer.heard.is_some_and(|at| now.since(at) > HEARD * 2);
        let set_back = silent && digest.lifetime < peer.lifetime;
        if (digest.lifetime, digest.number) <= (peer.lifetime, peer.number) && !set_back {
            return false;
        }
        peer.lifetime = digest.lifetime;
        peer.number = digest.number;
        peer.heard = Some(now);
        peer.near = digest.zone == *zone;
        peer.demand = digest.demand;
        peer.waiting.clone_from(&digest.waiting);
        peer.configuration = digest.configuration;
        peer.reads = digest.directory.is_some();
        peer.returned = digest.returned;
        true
    }

    /// Intervals of this node's digests.
    #[must_use]
    pub fn intervals(&self, now: Time) -> Intervals {
        let all = interval(self.known());
        let all = if self.reads(now) { all.min(READER_INTERVAL) } else { all };
        let near = interval(self.near());
        Intervals { near, all: all.max(near) }
    }

    /// Time without a digest after which a node is not heard that tells this one seldom.
    #[must_use]
    pub fn horizon(&self) -> Duration {
        HEARD.max(interval(self.known()) * HEARD_INTERVALS)
    }

    fn heard_peers(&self, now: Time) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let horizon = self.horizon();
        let heard = move |peer: &Peer| {
            let limit = if peer.near || peer.reads { HEARD } else { horizon };
            peer.heard.is_some_and(|at| now.since(at) < limit)
        };
        self.peers.iter().filter(move |(_, peer)| heard(peer))
    }

    /// Newest that the other nodes have seen.
    #[must_use]
    pub fn told(&self, now: Time) -> Told {
        let mut told = Told::default();
        for (_, peer) in self.heard_peers(now) {
            told.configuration = told.configuration.max(peer.configuration);
            told.returned |= peer.returned;
        }
        told
    }

    /// Whether this node is one of those that follow the store.
    #[must_use]
    pub fn reads(&self, now: Time) -> bool {
        let score = |id: &InstanceId| units::score(id.as_str(), READER_KEY);
        let Some(me) = &self.me else { return true };
        let mine = score(me);
        self.heard_peers(now).filter(|(id, _)| score(id) > mine).count() < readers(self.known())
    }

    /// What waits for a service at the other nodes, in sum.
    #[must_use]
    pub fn waiting(&self, service: &ServiceId, now: Time) -> Waiting {
        let service = tag(service.as_str());
        let peers = self.heard_peers(now).flat_map(|(_, peer)| &peer.waiting);
        let of = peers.filter(|waiting| waiting.service == service);
        of.fold(Waiting { service, requests: 0, missing: 0 }, |sum, waiting| Waiting {
            requests: sum.requests + waiting.requests,
            missing: sum.missing + waiting.missing,
            ..sum
        })
    }

    /// Part of the demand of all nodes that is this node's: in its zone, and in all.
    #[must_use]
    pub fn parts(&self, demand: u32, now: Time) -> Parts {
        let mine = f64::from(demand.max(1));
        let mut near = mine;
        let mut all = mine;
        for (_, peer) in self.heard_peers(now) {
            let theirs = f64::from(peer.demand.max(1));
            all += theirs;
            if peer.near {
                near += theirs;
            }
        }
        Parts { near: mine / near, all: mine / all }
    }

    /// Whether every node is told as often as those near.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.peers.len() <= SMALL
    }

    /// Removes a node that leaves.
    pub fn remove(&mut self, id: &InstanceId) {
        self.peers.remove(id);
    }

    /// Removes the nodes that have been silent for too long.
    pub fn forget(&mut self, now: Time) -> Vec<InstanceId> {
        let silent = self.peers.iter().filter(|(_, peer)| now.since(peer.last()) > FORGET);
        let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.peers.remove(id);
        }
        silent
    }

    /// Addresses of those that are near, or of all.
    #[must_use]
    pub fn addresses(&self, all: bool) -> Vec<SocketAddr> {
        let told = self.peers.values().filter(|peer| all || peer.near);
        told.map(|peer| peer.address).collect()
    }

    /// Nodes that are told often, this one included.
    #[must_use]
    pub fn near(&self) -> usize {
        let near = self.peers.values().filter(|peer| peer.near).count();
        1 + if self.is_small() { self.peers.len() } else { near }
    }
}

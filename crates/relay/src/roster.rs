//! Other nodes of the cluster, as known from their digests.
//!
//! A few nodes, chosen by rendezvous hashing over the live ones, read the store
//! on behalf of all; see [`crate::watch`].

use crate::{
    digest::{Digest, Waiting, short_hash},
    transfer::Kind,
    waits::Waits,
};
use rand::seq::{IndexedRandom, IteratorRandom};
use sched::fleet::Distance;
use std::{cmp::Reverse, collections::HashMap, net::SocketAddr, time::Duration};
use units::{InstanceId, ServiceId, Time, Version};

/// Shortest interval between digests: a tenth of the time for which a stream holds its slot.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Digest interval per node of the cluster; bounds what a node receives to about 70 datagrams per
/// second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(14);
/// Time without a digest after which a node is not live.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Same for nodes outside the zone, in digest intervals.
const LIVENESS_INTERVALS: u32 = 3;
/// Time without a digest after which a node no longer counts as part of the cluster.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Largest number of other nodes at which all of them receive digests at the interval of the zone.
const SMALL_PEER_COUNT: usize = 16;
/// Minimum and maximum number of nodes that read the store; each makes two calls per second. With
/// four readers among 100 nodes, new configurations reached a node too late.
const READER_RANGE: (usize, usize) = (4, 8);
/// Minimum number of nodes of one region that read the store, so that one may be frozen.
const MIN_REGION_READERS: usize = 2;
/// Time for which a node that is known only from its row counts as a candidate for reading the
/// store. All nodes may start at the same time.
const PRESUMED_LIVE: Duration = Duration::from_millis(1_500);
/// Time for which a node that did not respond is passed over as owner.
const SUSPICION_TIME: Duration = Duration::from_secs(2);
/// Number of nodes per reader between these limits.
const NODES_PER_READER: usize = 12;
/// Number of nodes that collect the counts of a rollout: its coordinator and the standby.
const COORDINATORS: usize = 2;
/// Key for choosing the readers by rendezvous hashing.
const READER_KEY: &str = "store readers";

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Distance of its zone; unknown for an older row without a zone.
    distance: Option<Distance>,
    demand: u32,
    waiting: Box<[Waiting]>,
    configuration: Version,
    directory_head: Version,
    is_reader: bool,
    owner_weight: u32,
    owned: Box<[u32]>,
    suspected_until: Time,
    store_lost: bool,
    incarnation: u64,
    sequence: u64,
    last_digest: Option<Time>,
    known_since: Time,
}

impl Peer {
    fn last_seen(&self) -> Time {
        self.last_digest.unwrap_or(self.known_since)
    }

    fn is_same_zone(&self) -> bool {
        self.distance == Some(Distance::SameZone)
    }

    fn is_same_region(&self) -> bool {
        matches!(self.distance, Some(Distance::SameZone | Distance::SameRegion))
    }

    /// Version of a document that it has.
    fn version(&self, kind: Kind) -> Version {
        match kind {
            Kind::Configuration => self.configuration,
            Kind::Directory => self.directory_head,
        }
    }
}

/// Intervals between a node's digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// To nodes in the same availability zone.
    pub zone: Duration,
    /// To all nodes.
    pub all: Duration,
}

fn interval(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_NODE * nodes)
}

/// Number of nodes of one region that read the store.
fn readers_per_region(nodes: usize, regions: usize) -> usize {
    let all = (nodes / NODES_PER_READER).clamp(READER_RANGE.0, READER_RANGE.1);
    all.div_ceil(regions).max(MIN_REGION_READERS)
}

/// This node's share of the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    /// Among the nodes of its availability zone.
    pub zone: f64,
    /// Among all nodes.
    pub all: f64,
}

/// Node that gives out the slots of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    This,
    /// Another node, at an address.
    Peer(InstanceId, SocketAddr),
}

/// Known other nodes.
#[derive(Debug, Default)]
pub struct Roster {
    instance: Option<InstanceId>,
    regions: usize,
    owner_weight: u32,
    waits: Waits,
    peers: HashMap<InstanceId, Peer>,
    /// Secret that authenticates datagrams.
    pub secret: Option<Box<[u8]>>,
}

impl Roster {
    /// Roster without other nodes.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self { instance: Some(instance), ..Self::default() }
    }

    /// Sets the number of regions, each of which has readers of its own.
    #[must_use]
    pub fn with_regions(mut self, regions: usize) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the times after which readers are replaced.
    #[must_use]
    pub fn with_waits(mut self, waits: Waits) -> Self {
        self.set_waits(waits);
        self
    }

    /// Changes the times after which readers are replaced.
    pub fn set_waits(&mut self, waits: Waits) {
        self.waits = waits;
    }

    /// Whether another node and the secret for exchanging digests are known.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.secret.is_some() && !self.peers.is_empty()
    }

    /// Number of nodes in the cluster, including this one.
    #[must_use]
    pub fn node_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Number of other nodes that are live.
    #[must_use]
    pub fn live_count(&self, now: Time) -> usize {
        self.live_peers(now).count()
    }

    /// Whether a node is live.
    #[must_use]
    pub fn is_live(&self, id: &InstanceId, now: Time) -> bool {
        self.live_peers(now).any(|(known, _)| known == id)
    }

    /// Fraction of the cluster's nodes that are live, including this one.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "node counts are small")]
    pub fn live_fraction(&self, now: Time) -> f64 {
        (self.live_count(now) + 1) as f64 / self.node_count() as f64
    }

    /// Adds a node or updates its address; returns whether anything changed.
    pub fn upsert(
        &mut self,
        id: &InstanceId,
        address: SocketAddr,
        distance: Option<Distance>,
        now: Time,
    ) -> bool {
        if let Some(peer) = self.peers.get_mut(id) {
            let moved = peer.address != address;
            peer.address = address;
            peer.distance = distance.or(peer.distance);
            return moved;
        }
        let peer = Peer {
            address,
            distance,
            demand: 0,
            waiting: Box::default(),
            configuration: Version(0),
            directory_head: Version(0),
            is_reader: false,
            owner_weight: 0,
            owned: Box::default(),
            suspected_until: Time::ZERO,
            store_lost: false,
            incarnation: 0,
            sequence: 0,
            last_digest: None,
            known_since: now,
        };
        self.peers.insert(id.clone(), peer);
        true
    }

    /// Whether a node has lost the store, as far as it has said.
    #[must_use]
    pub fn has_lost_store(&self, id: &InstanceId) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.store_lost)
    }

    /// Incarnation of a node's process, once it has been heard.
    #[must_use]
    pub fn incarnation(&self, id: &InstanceId) -> Option<u64> {
        let peer = self.peers.get(id)?;
        peer.last_digest.map(|_| peer.incarnation)
    }

    /// Records a digest and returns true if it is newer than the last one from its node.
    pub fn accept(
        &mut self,
        digest: &Digest,
        from: SocketAddr,
        distance: Distance,
        now: Time,
    ) -> bool {
        self.upsert(&digest.from, from, Some(distance), now);
        let Some(peer) = self.peers.get_mut(&digest.from) else { return false };
        // After a long silence, a smaller incarnation belongs to a restart with the clock set back.
        let silent = peer.last_digest.is_some_and(|at| now.since(at) > LIVENESS_TIMEOUT * 2);
        let set_back = silent && digest.incarnation < peer.incarnation;
        if (digest.incarnation, digest.sequence) <= (peer.incarnation, peer.sequence) && !set_back {
            return false;
        }
        peer.incarnation = digest.incarnation;
        peer.sequence = digest.sequence;
        peer.last_digest = Some(now);
        peer.demand = digest.demand;
        peer.waiting.clone_from(&digest.waiting);
        peer.configuration = digest.configuration;
        peer.directory_head = digest.directory_head;
        peer.is_reader = digest.directory.is_some();
        peer.owner_weight = digest.owner_weight;
        peer.owned.clone_from(&digest.owned);
        peer.store_lost = digest.store_lost;
        true
    }

    /// Intervals of this node's digests; `is_prominent` tells whether it reads the store or gives
    /// out slots for others.
    #[must_use]
    pub fn intervals(&self, is_prominent: bool) -> Intervals {
        let all = interval(self.node_count());
        let all = if is_prominent { all.min(self.waits.reader_digest) } else { all };
        let zone = interval(self.zone_node_count());
        Intervals { zone, all: all.max(zone) }
    }

    /// Time without a digest after which a node outside the zone is not live.
    #[must_use]
    pub fn liveness_timeout(&self) -> Duration {
        LIVENESS_TIMEOUT.max(interval(self.node_count()) * LIVENESS_INTERVALS)
    }

    fn live_peers(&self, now: Time) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| self.is_peer_live(peer, now))
    }

    fn is_peer_live(&self, peer: &Peer, now: Time) -> bool {
        self.is_heard(peer, LIVENESS_TIMEOUT, now)
    }

    /// Whether a peer that often sends digests has sent one within `timeout`, or another one within
    /// its longer interval.
    fn is_heard(&self, peer: &Peer, timeout: Duration, now: Time) -> bool {
        let is_frequent =
            self.is_small() || peer.is_same_zone() || peer.is_reader || !peer.owned.is_empty();
        let limit = if is_frequent { timeout } else { self.liveness_timeout() };
        peer.last_digest.is_some_and(|at| now.since(at) < limit)
    }

    /// Whether a node that follows the store is heard, or may be among those that are only known from
    /// their rows yet.
    fn hears_reader(&self, now: Time) -> bool {
        let timeout = self.waits.readers_absence;
        self.peers.values().any(|peer| match peer.last_digest {
            Some(at) => peer.is_reader && !peer.store_lost && now.since(at) < timeout,
            None => now.since(peer.known_since) < timeout,
        })
    }

    /// Newest configuration in force at any of the other live nodes.
    #[must_use]
    pub fn newest_configuration(&self, now: Time) -> Version {
        let versions = self.live_peers(now).map(|(_, peer)| peer.configuration);
        versions.max().unwrap_or(Version(0))
    }

    /// Whether this node reads the store for the others.
    ///
    /// The readers of a region are its first nodes by rendezvous hashing. Those that have lost the
    /// store keep trying, and the next nodes that have not lost it read in their place. Nodes may
    /// disagree on which ones are live, so that one that hears no reader at all reads, too.
    /// `store_lost` tells whether this node has lost it.
    #[must_use]
    pub fn is_reader(&self, store_lost: bool, now: Time) -> bool {
        let score = |id: &InstanceId| units::score(id.as_str(), READER_KEY);
        let Some(instance) = &self.instance else { return true };
        let mine = score(instance);
        let readers = readers_per_region(self.node_count(), self.regions.max(1));
        let ahead = |counts: &dyn Fn(&Peer) -> bool| {
            let region = self.peers.iter().filter(|(_, peer)| peer.is_same_region());
            region.filter(|(id, peer)| counts(peer) && score(id) > mine).count()
        };
        let is_candidate = |peer: &Peer| {
            let unheard = peer.last_digest.is_none();
            self.is_heard(peer, self.waits.reader_silence, now)
                || unheard && now.since(peer.known_since) < PRESUMED_LIVE
        };
        ahead(&is_candidate) < readers
            || !store_lost
                && (ahead(&|peer| is_candidate(peer) && !peer.store_lost) < readers
                    || !self.hears_reader(now))
    }

    /// Number of live nodes that come before this one for a key, by rendezvous hashing.
    #[must_use]
    pub fn rank(&self, key: &str, now: Time) -> u32 {
        let score = |id: &InstanceId| units::score(id.as_str(), key);
        let mine = self.instance.as_ref().map(score);
        let ahead = self.live_peers(now).filter(|(id, _)| Some(score(id)) > mine);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    /// Live nodes.
    #[must_use]
    pub fn live_nodes(&self, now: Time) -> Vec<InstanceId> {
        self.live_peers(now).map(|(id, _)| id.clone()).collect()
    }

    /// First two of the live nodes that read the store, by rendezvous hashing for a key; those that
    /// have lost the store come last. None stands for this node; `this` tells whether it has lost the
    /// store, if it is a reader.
    #[must_use]
    pub fn coordinators(
        &self,
        key: &str,
        this: Option<bool>,
        now: Time,
    ) -> Vec<Option<SocketAddr>> {
        let rank = |lost: bool, id: &InstanceId| (lost, Reverse(units::score(id.as_str(), key)));
        let readers = self.live_peers(now).filter(|(_, peer)| peer.is_reader);
        let readers = readers.map(|(id, peer)| (rank(peer.store_lost, id), Some(peer.address)));
        let this = this.zip(self.instance.as_ref()).map(|(lost, id)| (rank(lost, id), None));
        let mut nodes: Vec<_> = readers.chain(this).collect();
        nodes.sort_unstable_by_key(|(rank, _)| *rank);
        nodes.into_iter().take(COORDINATORS).map(|(_, address)| address).collect()
    }

    /// Sets this node's preference as an owner of cells; 0 if it cannot be one.
    pub fn set_owner_weight(&mut self, weight: u32) {
        self.owner_weight = weight;
    }

    /// Node that gives out a service's slots in this zone: a large one, then by rendezvous hashing
    /// over the live ones. This node, if no other is fit.
    #[must_use]
    pub fn owner(&self, service: &ServiceId, now: Time) -> Owner {
        let rank =
            |weight: u32, id: &InstanceId| (weight, units::score(id.as_str(), service.as_str()));
        let fit = self.peers.iter().filter(|(_, peer)| {
            peer.is_same_zone()
                && peer.owner_weight > 0
                && now >= peer.suspected_until
                && self.is_peer_live(peer, now)
        });
        let best = fit.max_by_key(|(id, peer)| rank(peer.owner_weight, id));
        let mine = self.instance.as_ref().map(|id| rank(self.owner_weight, id));
        match best {
            Some((id, peer)) if mine < Some(rank(peer.owner_weight, id)) => {
                Owner::Peer(id.clone(), peer.address)
            }
            _ => Owner::This,
        }
    }

    /// Passes over a node as owner for a while.
    pub fn suspect(&mut self, id: &InstanceId, now: Time) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.suspected_until = now + SUSPICION_TIME;
        }
    }

    /// Number of other nodes that say to give out a service's slots in this zone.
    #[must_use]
    pub fn owners_beside(&self, service: &ServiceId, now: Time) -> u32 {
        let service = short_hash(service.as_str());
        let owners = self
            .live_peers(now)
            .filter(|(_, peer)| peer.is_same_zone() && peer.owned.contains(&service));
        u32::try_from(owners.count()).unwrap_or(u32::MAX)
    }

    /// Addresses of the nodes that give out a service's slots in other zones.
    #[must_use]
    pub fn other_owners(&self, service: &ServiceId, now: Time) -> Vec<SocketAddr> {
        let service = short_hash(service.as_str());
        let others = self.live_peers(now).filter(|(_, peer)| !peer.is_same_zone());
        let owners = others.filter(|(_, peer)| peer.owned.contains(&service));
        owners.map(|(_, peer)| peer.address).collect()
    }

    /// Distance of the node at an address.
    #[must_use]
    pub fn distance_of(&self, address: SocketAddr) -> Option<Distance> {
        self.peers.values().find(|peer| peer.address == address)?.distance
    }

    /// Live node that has a document of at least a version, or that reads the store if none is
    /// given; not one of `tried`. Nodes of the same region come first.
    #[must_use]
    pub fn source(
        &self,
        kind: Kind,
        min_version: Option<Version>,
        tried: &[SocketAddr],
        now: Time,
    ) -> Option<SocketAddr> {
        let has_document = |peer: &Peer| match min_version {
            Some(version) => peer.version(kind) >= version,
            None => peer.version(kind) > Version(0) && peer.is_reader && !peer.store_lost,
        };
        let sources = self
            .live_peers(now)
            .filter(|(_, peer)| has_document(peer) && !tried.contains(&peer.address));
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            sources.map(|(_, peer)| peer).partition(|peer| peer.is_same_region());
        let candidates = if near.is_empty() { far } else { near };
        candidates.choose(&mut rand::rng()).map(|peer| peer.address)
    }

    /// Total of the requests waiting for a service at other nodes.
    #[must_use]
    pub fn waiting(&self, service: &ServiceId, now: Time) -> Waiting {
        let service = short_hash(service.as_str());
        let peers = self.live_peers(now).flat_map(|(_, peer)| &peer.waiting);
        let for_service = peers.filter(|waiting| waiting.service == service);
        for_service.fold(Waiting { service, requests: 0, shortfall: 0 }, |sum, waiting| Waiting {
            requests: sum.requests.saturating_add(waiting.requests),
            shortfall: sum.shortfall.saturating_add(waiting.shortfall),
            ..sum
        })
    }

    /// This node's share of the total demand, within its zone and among all nodes.
    #[must_use]
    pub fn demand_shares(&self, demand: u32, now: Time) -> Shares {
        let mine = f64::from(demand.max(1));
        let mut zone = mine;
        let mut all = mine;
        for (_, peer) in self.live_peers(now) {
            let theirs = f64::from(peer.demand.max(1));
            all += theirs;
            if peer.is_same_zone() {
                zone += theirs;
            }
        }
        Shares { zone: mine / zone, all: mine / all }
    }

    /// Whether all nodes receive digests at the interval of the zone.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.peers.len() <= SMALL_PEER_COUNT
    }

    /// Removes a node that is leaving.
    pub fn remove(&mut self, id: &InstanceId) {
        self.peers.remove(id);
    }

    /// Removes nodes that have been silent for too long and returns them.
    pub fn remove_silent(&mut self, now: Time) -> Vec<InstanceId> {
        let silent =
            self.peers.iter().filter(|(_, peer)| now.since(peer.last_seen()) > FORGET_AFTER);
        let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.peers.remove(id);
        }
        silent
    }

    /// Addresses of the nodes in the zone, or of all.
    #[must_use]
    pub fn addresses(&self, all: bool) -> Vec<SocketAddr> {
        let recipients = self.peers.values().filter(|peer| all || peer.is_same_zone());
        recipients.map(|peer| peer.address).collect()
    }

    /// Addresses of `count` nodes at random, or of all if they are fewer.
    #[must_use]
    pub fn sample(&self, count: usize) -> Vec<SocketAddr> {
        let peers = self.peers.values().choose_multiple(&mut rand::rng(), count);
        peers.into_iter().map(|peer| peer.address).collect()
    }

    /// Number of nodes that exchange digests at the interval of the zone, including this one.
    #[must_use]
    pub fn zone_node_count(&self) -> usize {
        let in_zone = self.peers.values().filter(|peer| peer.is_same_zone()).count();
        1 + if self.is_small() { self.peers.len() } else { in_zone }
    }
}

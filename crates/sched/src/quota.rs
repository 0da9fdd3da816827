//! Quotas of organisations, enforced by all nodes together.
//!
//! An organisation may send many times its usual load, spread over all nodes.
//! Each node keeps a token bucket for the whole cluster. It takes from the
//! bucket what it admits itself, at once, and what its peers admitted, when
//! their next digest reports it. Many nodes could empty the bucket several times
//! over before they learn of each other. When the bucket is low, a node
//! therefore spends only its own part of the rate, which follows its part of the
//! organisation's demand.
//!
//! While some known peers are unreachable, a node uses only its partition's
//! share of the rate, so that all partitions together stay within the quota.

use std::{collections::HashMap, time::Duration};
use units::{InstanceId, OrganisationId, Time, Tokens, time::duration};

/// Quota of an organisation over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Tokens per second; 0 means no limit.
    pub rate: Tokens,
    /// Size of the bucket.
    pub burst: Tokens,
}

/// Longest wait reported while a node is limited to its own part, in seconds; beyond any caller's
/// timeout.
const MAX_WAIT_S: f64 = 60.0;
/// Half-life of an organisation's recorded demand, in seconds; covers several requests per node.
const DEMAND_HALF_LIFE_S: f64 = 2.0;
/// Half of the least time for which a new bucket is limited to the node's own part; five of the
/// shortest digest intervals.
const MIN_LEARNING: Duration = Duration::from_millis(500);
/// Fraction of the burst reserved per second of lag, for admissions that peers have not reported.
const RESERVE_PER_S: f64 = 0.65;
/// Least fraction of the burst that is used; enough for the largest request of the data sheets.
const MIN_BURST: f64 = 0.3;
/// Fraction of the burst, per second of lag, below which a node spends only its own part.
const LOW_LEVEL_PER_S: f64 = 0.5;
/// Upper bound of the same fraction.
const MAX_LOW_LEVEL: f64 = 0.5;
/// Fraction of the rate that is split evenly, for demand that has not been observed yet.
const EQUAL_FRACTION: f64 = 0.2;

#[derive(Debug)]
struct Bucket {
    /// Tokens left to all nodes, as far as this one knows.
    level: f64,
    /// Tokens left to this node while the bucket is low.
    own: f64,
    /// This node's part of the rate.
    part: f64,
    at: Time,
    admitted: u64,
    requested: u64,
    recent: Demand,
    /// When the bucket was created; what peers admitted before is not known.
    created_at: Time,
    /// When the totals last changed.
    changed_at: Time,
    peers: HashMap<InstanceId, Peer>,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    total: Total,
    requested: Demand,
}

/// Sum that decays with [`DEMAND_HALF_LIFE_S`].
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    sum: f64,
    at: Time,
}

impl Demand {
    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * 0.5f64.powf(age / DEMAND_HALF_LIFE_S)
    }

    fn plus(self, tokens: u64, now: Time) -> Self {
        Self { sum: self.at(now) + to_f64(Tokens(tokens)), at: now }
    }
}

/// Tokens that a node has admitted since its process started, less refunds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Total {
    /// Number of the process's lifetime; grows with each restart.
    pub lifetime: u64,
    /// Tokens admitted.
    pub admitted: u64,
    /// Tokens requested, admitted or not.
    pub requested: u64,
}

/// Rate limiter with a bucket for each organisation.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: HashMap<OrganisationId, Bucket>,
    lag: Duration,
    nodes: usize,
}

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn to_f64(tokens: Tokens) -> f64 {
    tokens.0 as f64
}

impl Bucket {
    fn refill(&mut self, quota: Quota, share: f64, now: Time) {
        let gained = now.since(self.at).as_secs_f64() * to_f64(quota.rate) * share;
        let burst = to_f64(quota.burst).max(1.0);
        self.level = (self.level + gained).min(burst);
        self.own = (self.own + gained * self.part).min(burst * self.part);
        self.at = now;
    }
}

impl Limiter {
    /// Limiter whose buckets are full.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time after which peers learn what this node admits.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.set_lag(lag);
        self
    }

    /// Sets the time after which peers learn what this node admits.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Sets the number of nodes. A node that has just started does not know what the others
    /// admitted, and begins with an equal part.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Quota without the reserve for admissions that peers have not reported yet.
    fn usable(&self, quota: Quota) -> Quota {
        let reserve = (self.lag.as_secs_f64() * RESERVE_PER_S).min(1.0 - MIN_BURST);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a token count"
        )]
        let burst = (to_f64(quota.burst) * (1.0 - reserve)) as u64;
        Quota { burst: Tokens(burst), ..quota }
    }

    /// Takes `cost` from the organisation's bucket.
    ///
    /// `share` is the fraction of the known nodes that are reachable, including this one.
    ///
    /// # Errors
    /// The time after which the bucket will hold enough tokens.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        quota: Quota,
        share: f64,
        cost: Tokens,
        now: Time,
    ) -> Result<(), Duration> {
        if quota.rate.0 == 0 {
            return Ok(());
        }
        let low_level = (self.lag.as_secs_f64() * LOW_LEVEL_PER_S).min(MAX_LOW_LEVEL);
        let learning = self.lag.max(MIN_LEARNING) * 2;
        let quota = self.usable(quota);
        let bucket = self.bucket(organisation, quota, now);
        bucket.refill(quota, share, now);
        bucket.requested = bucket.requested.saturating_add(cost.0);
        bucket.changed_at = now;
        bucket.recent = bucket.recent.plus(cost.0, now);
        // A request larger than the burst is admitted when the bucket is full.
        let needed = to_f64(cost).min(to_f64(quota.burst));
        if bucket.level < needed {
            let missing = needed - bucket.level;
            return Err(duration(missing / (to_f64(quota.rate) * share)));
        }
        let is_learning = now.since(bucket.created_at) < learning;
        if bucket.own <= 0.0 && (is_learning || bucket.level < low_level * to_f64(quota.burst)) {
            let missing = to_f64(cost) - bucket.own;
            let rate = to_f64(quota.rate) * share * bucket.part;
            return Err(duration((missing / rate).min(MAX_WAIT_S)));
        }
        bucket.level -= to_f64(cost);
        bucket.own -= to_f64(cost);
        bucket.admitted = bucket.admitted.saturating_add(cost.0);
        Ok(())
    }

    /// Refunds a request that was not run.
    pub fn refund(&mut self, organisation: &OrganisationId, cost: Tokens, now: Time) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level += to_f64(cost);
            bucket.own += to_f64(cost);
            bucket.admitted = bucket.admitted.saturating_sub(cost.0);
            bucket.changed_at = now;
        }
    }

    /// Applies the total that a peer reports.
    pub fn record_peer_total(
        &mut self,
        peer: &InstanceId,
        organisation: &OrganisationId,
        quota: Quota,
        total: Total,
        now: Time,
    ) {
        let bucket = self.bucket(organisation, quota, now);
        // A peer's first total may be old, so it is not charged; a new lifetime starts at zero.
        let known = bucket.peers.get(peer).copied();
        let before = match known.map(|last| last.total) {
            None => total,
            Some(before) if before.lifetime == total.lifetime => before,
            Some(_) => Total { admitted: 0, requested: 0, ..total },
        };
        let recent = known.map(|last| last.requested).unwrap_or_default();
        let requested = recent.plus(total.requested.saturating_sub(before.requested), now);
        bucket.peers.insert(peer.clone(), Peer { total, requested });
        bucket.level -= to_f64(Tokens(total.admitted)) - to_f64(Tokens(before.admitted));
    }

    /// Part of a node if all nodes have equal parts.
    #[allow(clippy::cast_precision_loss, reason = "node counts are small")]
    fn equal_part(&self) -> f64 {
        1.0 / self.nodes.max(1) as f64
    }

    /// Updates this node's part of every rate.
    #[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    pub fn rebalance(&mut self, now: Time) {
        let equal_part = self.equal_part();
        for bucket in self.buckets.values_mut() {
            let own_demand = bucket.recent.at(now);
            let peer_demand: f64 = bucket.peers.values().map(|peer| peer.requested.at(now)).sum();
            let by_demand =
                if own_demand > 0.0 { own_demand / (own_demand + peer_demand) } else { 0.0 };
            bucket.part = (1.0 - EQUAL_FRACTION) * by_demand + EQUAL_FRACTION * equal_part;
        }
    }

    /// Forgets a peer and its demand.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        for bucket in self.buckets.values_mut() {
            bucket.peers.remove(peer);
        }
    }

    /// Tokens admitted, less refunds, and tokens requested at this node since its start, of the
    /// organisations whose totals have changed after `after`.
    pub fn totals(&self, after: Time) -> impl Iterator<Item = (&OrganisationId, u64, u64)> {
        let changed = self.buckets.iter().filter(move |(_, bucket)| bucket.changed_at > after);
        changed.map(|(id, bucket)| (id, bucket.admitted, bucket.requested))
    }

    fn bucket(&mut self, organisation: &OrganisationId, quota: Quota, now: Time) -> &mut Bucket {
        let part = self.equal_part();
        self.buckets.entry(organisation.clone()).or_insert_with(|| Bucket {
            level: to_f64(quota.burst),
            own: to_f64(quota.burst) * part,
            part,
            at: now,
            admitted: 0,
            requested: 0,
            recent: Demand::default(),
            created_at: now,
            changed_at: Time::ZERO,
            peers: HashMap::new(),
        })
    }
}

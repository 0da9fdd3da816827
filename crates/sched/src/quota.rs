//! Allotments of organisations, kept by all nodes together.
//!
//! Load pattern: one organisation sends many times its usual, spread over all
//! nodes. Each node keeps a token bucket for the whole guild, takes from it
//! what it admits itself at once, and what its peers admitted when their next
//! digest says so. Many nodes would empty a bucket several times over before
//! they heard of each other, so below half of its level a node spends only its
//! part of the rate, which follows its part of what the organisation asks.
//!
//! While peers that are known cannot be heard, a node uses
//! only its group's share of the rate: parted groups together then stay
//! within the quota.

use std::{collections::HashMap, time::Duration};
use units::{InstanceId, OrganisationId, Time, Tokens};

/// Quota of an organisation over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Tokens a second; zero for no limit.
    pub rate: Tokens,
    /// Tokens that may be used at once beyond the rate.
    pub burst: Tokens,
}

/// Longest time that a refusal states, beyond any caller's patience.
const LONGEST_WAIT_S: f64 = 60.0;
/// Time in which what an organisation asked for loses half of its weight: some requests a node.
const DEMAND_HALF_LIFE_S: f64 = 2.0;
/// Half of the time for which a node that has just started keeps to its own part, at least: five
/// of the shortest intervals of digests.
const LEARNING_LEAST: Duration = Duration::from_millis(500);
/// Part of the burst that is kept back for each second of lag, for what peers have not told yet.
const KEPT_BACK: f64 = 0.65;
/// Part of the burst that is used at least, enough for the largest request of the sheets.
const LEAST_BURST: f64 = 0.3;
/// Part of the burst, for each second of lag, below which a node spends only its own part.
const SCARCE: f64 = 0.5;
/// The same at any lag, at most.
const SCARCE_MOST: f64 = 0.5;
/// Part of the rate that is parted evenly, for demand that has not been seen yet.
const EVEN: f64 = 0.2;

#[derive(Debug)]
struct Bucket {
    /// Tokens left to all nodes, as far as this one knows.
    level: f64,
    /// Tokens left to this node while there are few.
    own: f64,
    /// This node's part of the rate.
    part: f64,
    at: Time,
    admitted: u64,
    requested: u64,
    recent: Recent,
    /// When the first request came; what peers admitted before is not known.
    since: Time,
    /// When its totals changed last.
    changed: Time,
    heard: HashMap<InstanceId, Heard>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    total: Total,
    requested: Recent,
}

/// Sum that is forgotten by half in [`DEMAND_HALF_LIFE_S`].
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    sum: f64,
    at: Time,
}

impl Recent {
    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * 0.5f64.powf(age / DEMAND_HALF_LIFE_S)
    }

    fn plus(self, tokens: u64, now: Time) -> Self {
        Self { sum: self.at(now) + float(Tokens(tokens)), at: now }
    }
}

/// Tokens that a node has admitted in one lifetime of its process, less what it gave back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Total {
    /// Lifetime; a later one is larger.
    pub lifetime: u64,
    /// Tokens admitted.
    pub admitted: u64,
    /// Tokens asked for, admitted or not.
    pub requested: u64,
}

/// Buckets of all organisations.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: HashMap<OrganisationId, Bucket>,
    lag: Duration,
    nodes: usize,
}

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn float(tokens: Tokens) -> f64 {
    tokens.0 as f64
}

impl Bucket {
    fn refill(&mut self, quota: Quota, share: f64, now: Time) {
        let gained = now.since(self.at).as_secs_f64() * float(quota.rate) * share;
        let burst = float(quota.burst).max(1.0);
        self.level = (self.level + gained).min(burst);
        self.own = (self.own + gained * self.part).min(burst * self.part);
        self.at = now;
    }
}

impl Limiter {
    /// Limiter with full buckets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// States the time after which peers hear what this node admits.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.set_lag(lag);
        self
    }

    /// States the same anew.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// States how many nodes are counted on. One that has just started knows nothing of what the
    /// others admitted, and begins with an even part.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Burst that is used: what peers have not heard of yet is kept back.
    fn usable(&self, quota: Quota) -> Quota {
        let kept = (self.lag.as_secs_f64() * KEPT_BACK).min(1.0 - LEAST_BURST);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a token count"
        )]
        let burst = (float(quota.burst) * (1.0 - kept)) as u64;
        Quota { burst: Tokens(burst), ..quota }
    }

    /// Takes `cost` from the organisation's bucket.
    ///
    /// `share` is the part of the known nodes that can be heard, this one included.
    ///
    /// # Errors
    /// The time after which the bucket will hold enough.
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
        let scarce = (self.lag.as_secs_f64() * SCARCE).min(SCARCE_MOST);
        let learning = self.lag.max(LEARNING_LEAST) * 2;
        let quota = self.usable(quota);
        let bucket = self.bucket(organisation, quota, now);
        bucket.refill(quota, share, now);
        bucket.requested += cost.0;
        bucket.changed = now;
        bucket.recent = bucket.recent.plus(cost.0, now);
        // A request larger than the burst passes when the bucket is full.
        let needed = float(cost).min(float(quota.burst));
        if bucket.level < needed {
            let missing = needed - bucket.level;
            return Err(Duration::from_secs_f64(missing / (float(quota.rate) * share)));
        }
        let unknown = now.since(bucket.since) < learning;
        if bucket.own <= 0.0 && (unknown || bucket.level < scarce * float(quota.burst)) {
            let missing = float(cost) - bucket.own;
            let rate = float(quota.rate) * share * bucket.part;
            return Err(Duration::from_secs_f64((missing / rate).min(LONGEST_WAIT_S)));
        }
        bucket.level -= float(cost);
        bucket.own -= float(cost);
        bucket.admitted += cost.0;
        Ok(())
    }

    /// Gives back what a request took that was not run.
    pub fn refund(&mut self, organisation: &OrganisationId, cost: Tokens, now: Time) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level += float(cost);
            bucket.own += float(cost);
            bucket.admitted = bucket.admitted.saturating_sub(cost.0);
            bucket.changed = now;
        }
    }

    /// Takes over the total that a peer states.
    pub fn record_peer_total(
        &mut self,
        peer: &InstanceId,
        organisation: &OrganisationId,
        quota: Quota,
        total: Total,
        now: Time,
    ) {
        let bucket = self.bucket(organisation, quota, now);
        // The first total of a peer does not say when it was spent; a new lifetime begins at zero.
        let known = bucket.heard.get(peer).copied();
        let before = match known.map(|heard| heard.total) {
            None => total,
            Some(before) if before.lifetime == total.lifetime => before,
            Some(_) => Total { admitted: 0, requested: 0, ..total },
        };
        let recent = known.map(|heard| heard.requested).unwrap_or_default();
        let requested = recent.plus(total.requested.saturating_sub(before.requested), now);
        bucket.heard.insert(peer.clone(), Heard { total, requested });
        bucket.level -= float(Tokens(total.admitted)) - float(Tokens(before.admitted));
    }

    /// Part of a node where all have the same.
    #[allow(clippy::cast_precision_loss, reason = "node counts are small")]
    fn even(&self) -> f64 {
        1.0 / self.nodes.max(1) as f64
    }

    /// Takes this node's part of every rate anew.
    #[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    pub fn rebalance(&mut self, now: Time) {
        let even = self.even();
        for bucket in self.buckets.values_mut() {
            let mine = bucket.recent.at(now);
            let theirs: f64 = bucket.heard.values().map(|heard| heard.requested.at(now)).sum();
            let by_demand = if mine > 0.0 { mine / (mine + theirs) } else { 0.0 };
            bucket.part = (1.0 - EVEN) * by_demand + EVEN * even;
        }
    }

    /// Forgets what a peer asked for.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        for bucket in self.buckets.values_mut() {
            bucket.heard.remove(peer);
        }
    }

    /// Tokens admitted and asked for at this node since its start, less what it gave back, of the
    /// organisations for which that has changed after a moment.
    pub fn totals(&self, after: Time) -> impl Iterator<Item = (&OrganisationId, u64, u64)> {
        let changed = self.buckets.iter().filter(move |(_, bucket)| bucket.changed > after);
        changed.map(|(id, bucket)| (id, bucket.admitted, bucket.requested))
    }

    fn bucket(&mut self, organisation: &OrganisationId, quota: Quota, now: Time) -> &mut Bucket {
        let part = self.even();
        self.buckets.entry(organisation.clone()).or_insert_with(|| Bucket {
            level: float(quota.burst),
            own: float(quota.burst) * part,
            part,
            at: now,
            admitted: 0,
            requested: 0,
            recent: Recent::default(),
            since: now,
            changed: Time::ZERO,
            heard: HashMap::new(),
        })
    }
}

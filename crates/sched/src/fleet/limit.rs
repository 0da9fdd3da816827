//! Limit on the requests that an endpoint takes from all nodes together.
//!
//! Load: endpoints in need name a few requests a second, while hundreds arrive at
//! many nodes. A node has a token bucket for its share of the rate. In a small
//! cluster, a few nodes have equal shares of each endpoint, so few that their
//! buckets together hold little more than the rate; other nodes send nothing
//! there. In a large one, the node that gives out the endpoint's slots has the
//! whole rate; while several do, because not all nodes agree who is live, they
//! have equal shares.

use std::time::Duration;
use units::{RequestRate, Time};

/// Number of nodes that share an endpoint's limit, besides one for each request per second.
const MIN_SHARERS: f64 = 4.0;
/// Least rate that is used, in requests per second: some response must tell that a limit has ended.
const MIN_RATE: f64 = 0.1;
/// Time for which a bucket gathers tokens above one, so that none is lost between two dispatches.
const GATHER_TIME: Duration = Duration::from_millis(100);

/// Share of a node in the limit of an endpoint: that of the node of `rank` among `nodes`.
#[must_use]
pub fn share(rate: RequestRate, rank: u32, nodes: u32) -> f64 {
    let sharers = (MIN_SHARERS + rate.per_second().floor()).min(f64::from(nodes.max(1)));
    if f64::from(rank) < sharers { 1.0 / sharers } else { 0.0 }
}

/// Token bucket for this node's share of an endpoint's limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    pub(super) rate: RequestRate,
    /// Share of this node, from 0 to 1.
    share: f64,
    tokens: f64,
    at: Time,
}

impl Bucket {
    /// Empty bucket.
    pub(super) fn new(rate: RequestRate, now: Time) -> Self {
        Self { rate, share: 0.0, tokens: 0.0, at: now }
    }

    fn tokens(&self, now: Time) -> f64 {
        let rate = self.rate.per_second().max(MIN_RATE) * self.share;
        let most = 1.0 + rate * GATHER_TIME.as_secs_f64();
        (self.tokens + rate * now.since(self.at).as_secs_f64()).min(most)
    }

    /// Whether a request may be sent.
    pub(super) fn has_token(&self, now: Time) -> bool {
        self.share > 0.0 && self.tokens(now) >= 1.0
    }

    /// Records a request that is being sent.
    pub(super) fn take(&mut self, now: Time) {
        self.tokens = (self.tokens(now) - 1.0).max(0.0);
        self.at = now;
    }

    /// Sets this node's share, and the rate if it has changed.
    pub(super) fn set(&mut self, rate: RequestRate, share: f64, now: Time) {
        self.tokens = self.tokens(now);
        self.at = now;
        (self.rate, self.share) = (rate, share);
    }

    pub(super) fn share(&self) -> f64 {
        self.share
    }
}

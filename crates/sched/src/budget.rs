//! Retry budget of a service.
//!
//! When many endpoints fail at once, retrying every request would double the
//! load on the remaining ones. Over all nodes, the retries in a window are
//! limited to a ratio of its requests plus a fixed burst. Each node takes an
//! equal part of the burst and counts its own requests, so the nodes exchange
//! no messages.

use std::{collections::VecDeque, time::Duration};
use units::Time;

/// Buckets in a window; a request expires with its bucket, up to a tenth of the window early.
const BUCKETS: u32 = 10;
/// Fraction of the bound that is used; counts near a window's edge are inexact.
const MARGIN: f64 = 0.8;

/// Limit of retries over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub burst: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Bound {
    /// Whether the bound ever allows a retry.
    #[must_use]
    pub fn has_retries(&self) -> bool {
        self.ratio > 0.0 || MARGIN * self.burst >= 1.0
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    start: Time,
    requests: u32,
    retries: u32,
}

/// Budget of one service at one node.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Budget within a bound.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self { bound, buckets: VecDeque::new() }
    }

    /// Changes the bound; what was counted stays.
    pub fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time) {
        self.current(now).requests += 1;
    }

    /// Whether a request may be retried; counts the retry if so. `nodes` share the bound.
    pub fn try_retry(&mut self, nodes: usize, now: Time) -> bool {
        let has_retry = self.has_retry(nodes, now);
        if has_retry {
            self.current(now).retries += 1;
        }
        has_retry
    }

    /// Whether a request may be retried. `nodes` share the bound.
    pub fn has_retry(&mut self, nodes: usize, now: Time) -> bool {
        self.current(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        #[allow(clippy::cast_precision_loss, reason = "node counts are small")]
        let burst = self.bound.burst / nodes.max(1) as f64;
        let allowed = MARGIN * (self.bound.ratio * f64::from(requests) + burst);
        f64::from(retries) + 1.0 <= allowed
    }

    fn current(&mut self, now: Time) -> &mut Bucket {
        let length = self.bound.window / BUCKETS;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > self.bound.window)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.start) >= length) {
            self.buckets.push_back(Bucket { start: now, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}

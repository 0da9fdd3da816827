//! Counts of responses by route and release, as nodes report them.
//!
//! Failures: lost, late and reordered reports. Counts are cumulative, so any
//! later report replaces an earlier one. A report grows with the number of
//! routes only: the candidate's endpoints are split into a few groups by hash,
//! which is enough to tell a fault of one endpoint from one of the release.

use super::{OrderId, Stage};
use crate::fleet::Cohort;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use units::{EndpointId, score};

/// Buckets of a histogram, two for each doubling from 1 ms; the last one begins at 46 s.
const BUCKETS: usize = 32;
/// Groups of the candidate's endpoints. Three loaded endpoints share one group in 0.4 % of rollouts,
/// two of them in 18 %.
const GROUPS: u64 = 16;
/// Key for the groups.
const GROUP_KEY: &str = "rollout group";
/// Largest number of routes that are counted apart.
const MAX_ROUTES: usize = 64;
/// Route that stands for all routes beyond the largest number of routes.
pub const OTHER_ROUTE: u32 = u32::MAX;

/// Coarse histogram of latencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "Trimmed", into = "Trimmed")]
pub struct Histogram([u32; BUCKETS]);

/// Histogram without the empty buckets at its ends.
#[derive(Serialize, Deserialize)]
struct Trimmed(u8, Box<[u32]>);

impl From<Histogram> for Trimmed {
    fn from(Histogram(counts): Histogram) -> Self {
        let first = counts.iter().position(|count| *count > 0).unwrap_or(0);
        let end = counts.iter().rposition(|count| *count > 0).map_or(first, |last| last + 1);
        Self(u8::try_from(first).unwrap_or(0), counts[first..end].into())
    }
}

impl From<Trimmed> for Histogram {
    /// Counts beyond the last bucket are added to it.
    fn from(Trimmed(first, counts): Trimmed) -> Self {
        let mut histogram = Self::default();
        for (index, count) in (usize::from(first)..).zip(counts) {
            let bucket = &mut histogram.0[index.min(BUCKETS - 1)];
            *bucket = bucket.saturating_add(count);
        }
        histogram
    }
}

impl Histogram {
    /// Counts a latency.
    pub fn record(&mut self, latency: Duration) {
        let bucket = &mut self.0[bucket_of(latency)];
        *bucket = bucket.saturating_add(1);
    }

    /// Number of latencies.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0.iter().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Number of latencies in `bucket` and later ones.
    #[must_use]
    pub fn count_from(&self, bucket: usize) -> u32 {
        self.0.iter().skip(bucket).fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Bucket that holds the quantile `q`; none without latencies.
    #[must_use]
    pub fn quantile_bucket(&self, q: f64) -> Option<usize> {
        let rank = f64::from(self.total()) * q.clamp(0.0, 1.0);
        let mut sum = 0.0;
        for (bucket, count) in self.0.iter().enumerate().filter(|(_, count)| **count > 0) {
            sum += f64::from(*count);
            if sum >= rank {
                return Some(bucket);
            }
        }
        None
    }

    /// Upper bound of the bucket that holds the quantile `q`, for logs.
    #[must_use]
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        let bucket = u32::try_from(self.quantile_bucket(q)?).ok()?;
        Some(units::time::duration(2f64.powf(f64::from(bucket + 1) / 2.0) / 1_000.0))
    }

    fn subtract(&mut self, other: &Self) {
        for (rest, count) in self.0.iter_mut().zip(other.0) {
            *rest = rest.saturating_sub(count);
        }
    }

    fn add(&mut self, other: &Self) {
        for (sum, count) in self.0.iter_mut().zip(other.0) {
            *sum = sum.saturating_add(count);
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a bucket number, rounded down and clamped"
)]
fn bucket_of(latency: Duration) -> usize {
    let ms = latency.as_secs_f64() * 1_000.0;
    ((2.0 * ms.max(1.0).log2()) as usize).min(BUCKETS - 1)
}

/// Responses of one release on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Responses, including failures.
    pub answers: u32,
    /// Failures among them.
    pub failures: u32,
    /// Latencies of the others.
    pub latency: Histogram,
    /// Ages of the requests in flight; not cumulative.
    pub pending: Histogram,
}

impl Tally {
    /// Counts a response.
    pub fn record(&mut self, failed: bool, latency: Option<Duration>) {
        self.answers = self.answers.saturating_add(1);
        if failed {
            self.failures = self.failures.saturating_add(1);
        } else if let Some(latency) = latency {
            self.latency.record(latency);
        }
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        self.latency.add(&other.latency);
        self.pending.add(&other.pending);
    }

    /// Takes earlier responses out.
    fn subtract(&mut self, other: &Self) {
        self.answers = self.answers.saturating_sub(other.answers);
        self.failures = self.failures.saturating_sub(other.failures);
        self.latency.subtract(&other.latency);
    }
}

/// Responses on one route.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Route {
    /// Of the stable release.
    pub stable: Tally,
    /// Of the candidate, by group of its endpoints.
    pub candidate: BTreeMap<u8, Tally>,
}

impl Route {
    /// Responses of the candidate at all its endpoints.
    #[must_use]
    pub fn candidate(&self) -> Tally {
        let mut sum = Tally::default();
        self.candidate.values().for_each(|tally| sum.add(tally));
        sum
    }

    /// Takes earlier responses of the candidate out. Those of the stable release stay.
    pub(super) fn subtract_candidate(&mut self, earlier: &Self) {
        for (group, tally) in &earlier.candidate {
            self.candidate.entry(*group).or_default().subtract(tally);
        }
    }

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &Self) {
        self.stable.add(&other.stable);
        for (group, tally) in &other.candidate {
            self.candidate.entry(*group).or_default().add(tally);
        }
    }
}

/// Response to be counted.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// Endpoint that gave it.
    pub endpoint: &'a EndpointId,
    /// Release of the endpoint, as of the dispatch: `Candidate`, or any other for the stable one.
    pub cohort: Cohort,
    /// Whether it is a failure.
    pub failed: bool,
    /// Time from the dispatch to the first event of a stream or to the end of a plain call; none
    /// if the response says nothing about it.
    pub latency: Option<Duration>,
}

/// Request in flight.
#[derive(Debug, Clone, Copy)]
pub struct Pending<'a> {
    /// Its route.
    pub route: u32,
    /// Endpoint to which it was sent.
    pub endpoint: &'a EndpointId,
    /// Release of the endpoint, as of the dispatch.
    pub cohort: Cohort,
    /// Time since the dispatch, until the first event of a stream; zero after that.
    pub age: Duration,
}

/// Cumulative counts of one node since it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Order to which the counts belong.
    pub order: OrderId,
    /// Number of the report; a node numbers them upwards.
    pub sequence: u32,
    /// Stage that was announced to the node or that it has read; not changed if it stops on its own.
    pub stage: Stage,
    /// Requests of the node in flight at endpoints of the stable release.
    pub running_at_stable: u32,
    /// Counts by route, as a short hash.
    pub routes: BTreeMap<u32, Route>,
}

impl Report {
    /// Report without counts.
    #[must_use]
    pub const fn new(order: OrderId) -> Self {
        Self {
            order,
            sequence: 0,
            stage: Stage::Canary,
            running_at_stable: 0,
            routes: BTreeMap::new(),
        }
    }

    /// Counts a response on a route.
    pub fn record(&mut self, route: u32, answer: &Answer<'_>) {
        self.tally(route, answer.cohort, answer.endpoint).record(answer.failed, answer.latency);
    }

    /// Replaces the ages of the requests in flight and the number of those at stable endpoints.
    pub fn set_pending<'a>(&mut self, requests: impl IntoIterator<Item = Pending<'a>>) {
        self.clear_pending();
        for request in requests {
            if request.cohort != Cohort::Candidate {
                self.running_at_stable = self.running_at_stable.saturating_add(1);
            }
            let tally = self.tally(request.route, request.cohort, request.endpoint);
            tally.pending.record(request.age);
        }
    }

    /// Removes all requests in flight.
    pub(super) fn clear_pending(&mut self) {
        self.running_at_stable = 0;
        for route in self.routes.values_mut() {
            route.stable.pending = Histogram::default();
            route.candidate.values_mut().for_each(|tally| tally.pending = Histogram::default());
        }
    }

    fn tally(&mut self, route: u32, cohort: Cohort, endpoint: &EndpointId) -> &mut Tally {
        let is_known = self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES;
        let route = if is_known { route } else { OTHER_ROUTE };
        let counts = self.routes.entry(route).or_default();
        match cohort {
            Cohort::Candidate => counts.candidate.entry(group(endpoint)).or_default(),
            Cohort::Any | Cohort::Stable => &mut counts.stable,
        }
    }
}

/// Group of an endpoint. Nodes must agree on it.
fn group(endpoint: &EndpointId) -> u8 {
    u8::try_from(score(endpoint.as_str(), GROUP_KEY) % GROUPS).unwrap_or(0)
}

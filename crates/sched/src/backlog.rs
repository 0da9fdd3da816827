//! Waiting requests of one service at one node.
//!
//! Each request has a soft and a hard deadline ([`Deadlines`]). During a burst
//! of a few seconds, the endpoints receive twice the load that they can serve.
//! Requests before their soft deadline (*on time*) are then served before
//! requests past it (*late*), whatever their tiers: serving late requests first
//! would delay the on-time ones until the whole burst is late. Within either
//! group the order is by tier, fair share and deadline ([`crate::fair`]). Late
//! requests get the remaining capacity and are dropped at their hard deadline.
//!
//! The remaining capacity is known only over all nodes: a node without on-time
//! requests would spend a slot on a late one while an on-time request waits at
//! another node. While other nodes have many of these
//! ([`Backlog::drops_late`]), late requests are dropped at once and the slots
//! are left to the other nodes.
//!
//! A caller that gets no response for a while disconnects, and a request that
//! is dropped after waiting has cost its caller that time. The backlog therefore
//! estimates the wait of a new request, and a request that would wait beyond its
//! deadline is rejected on arrival.

use crate::{
    Job,
    fair::{Queue, TIERS},
};
use std::{collections::HashMap, time::Duration};
use units::{Rank, RequestId, Time, time::duration};

/// Half-life of the measured rates, in seconds; shorter than the shortest burst.
const RATE_HALF_LIFE_S: f64 = 1.0;
/// Fraction of the service rate assumed for a tier while higher tiers use all of it, since bursts
/// end. The replay in `tests/line.rs` passes with 0 to 0.3.
const MIN_RATE_FRACTION: f64 = 0.3;
/// On-time requests waiting at other nodes, as a fraction of all slots, above which late ones are
/// dropped: the number of slots that one allocation step hands out.
const DROP_THRESHOLD: f64 = 0.05;
/// Least reported wait while late requests are dropped; such bursts last for some seconds.
const MIN_OVERLOAD_WAIT: Duration = Duration::from_secs(2);
/// Wait that is always accepted, so that a service rate measured under light load does not reject
/// the beginning of a burst.
const ACCEPTED_WAIT: Duration = Duration::from_millis(150);
/// Longest reported wait, beyond any caller's timeout.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Times until which a request may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadlines {
    /// Latest dispatch for an on-time response.
    pub soft: Time,
    /// Latest dispatch for a response that the caller still waits for.
    pub hard: Time,
}

/// Rate of work, averaged exponentially with [`RATE_HALF_LIFE_S`].
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    sum: f64,
    at: Time,
}

impl Rate {
    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * 0.5f64.powf(age / RATE_HALF_LIFE_S)
    }

    fn add(&mut self, work: f64, now: Time) {
        self.sum = self.at(now) + work;
        self.at = now;
    }

    /// Work per second.
    fn rate(&self, now: Time) -> f64 {
        self.at(now) * std::f64::consts::LN_2 / RATE_HALF_LIFE_S
    }
}

/// Waiting requests of a service, on-time ones before late ones.
#[derive(Debug, Default)]
pub struct Backlog {
    on_time: Queue,
    late: Queue,
    deadlines: HashMap<RequestId, Deadlines>,
    arrived: [Rate; TIERS],
    served: Rate,
    drops_late: bool,
}

#[allow(clippy::cast_precision_loss, reason = "work is far below 2^52")]
fn work(job: &Job) -> f64 {
    job.work().0 as f64
}

impl Backlog {
    /// Empty backlog.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Number of waiting requests before their soft deadline.
    #[must_use]
    pub fn on_time(&self) -> usize {
        self.on_time.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Counts an arriving request, whether it will wait or be rejected.
    pub fn record_arrival(&mut self, job: &Job, now: Time) {
        let tier = usize::from(job.rank.0).min(TIERS - 1);
        self.arrived[tier].add(work(job), now);
    }

    /// Estimated wait of a new request of a tier.
    ///
    /// The requests of its own and of higher tiers are ahead of it; they are served at the service
    /// rate less the arrival rate of higher tiers.
    #[must_use]
    pub fn expected_wait(&self, rank: Rank, now: Time) -> Duration {
        let least = if self.drops_late { MIN_OVERLOAD_WAIT } else { Duration::ZERO };
        self.wait_behind(rank, now).max(least)
    }

    #[allow(clippy::cast_precision_loss, reason = "work is far below 2^52")]
    fn wait_behind(&self, rank: Rank, now: Time) -> Duration {
        let ahead =
            (self.on_time.work_at_or_above(rank).0 + self.late.work_at_or_above(rank).0) as f64;
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        let tier = usize::from(rank.0).min(TIERS - 1);
        let above: f64 = self.arrived[..tier].iter().map(|arrivals| arrivals.rate(now)).sum();
        let rate = self.served.rate(now);
        let left = (rate - above).max(rate * MIN_RATE_FRACTION);
        let longest = MAX_WAIT.as_secs_f64();
        if left * longest <= ahead {
            return MAX_WAIT;
        }
        duration(ahead / left)
    }

    /// Expected wait of a new request, if that exceeds what its deadlines allow.
    #[must_use]
    pub fn excessive_wait(&self, rank: Rank, deadlines: Deadlines, now: Time) -> Option<Duration> {
        let wait = self.wait_behind(rank, now);
        let end = if self.drops_late { deadlines.soft } else { deadlines.hard };
        let allowed = end.since(now).max(ACCEPTED_WAIT);
        (wait > allowed).then(|| self.expected_wait(rank, now))
    }

    /// Adds a request.
    pub fn push(&mut self, mut job: Job, deadlines: Deadlines, now: Time) {
        let request = job.request;
        let queue = if now <= deadlines.soft {
            job.deadline = deadlines.soft;
            &mut self.on_time
        } else {
            job.deadline = deadlines.hard;
            &mut self.late
        };
        queue.push(job);
        self.deadlines.insert(request, deadlines);
    }

    /// Sets the number of on-time requests waiting at other nodes, and of all slots of the service.
    pub fn set_on_time_elsewhere(&mut self, waiting: u32, slots: u32) {
        self.drops_late = f64::from(waiting) > DROP_THRESHOLD * f64::from(slots);
    }

    /// Whether late requests are dropped in favour of on-time ones at other nodes.
    #[must_use]
    pub const fn drops_late(&self) -> bool {
        self.drops_late
    }

    /// Removes and returns the first request for which `place` finds an endpoint.
    pub fn next<T>(
        &mut self,
        now: Time,
        mut place: impl FnMut(&Job) -> Option<T>,
    ) -> Option<(Job, T)> {
        let queues = [Some(&mut self.on_time), Some(&mut self.late).filter(|_| !self.drops_late)];
        for queue in queues.into_iter().flatten() {
            let found = queue.heads().find_map(|job| place(job).map(|at| (job.request, at)));
            if let Some((request, at)) = found {
                self.deadlines.remove(&request);
                let job = queue.serve(request)?;
                self.served.add(work(&job), now);
                return Some((job, at));
            }
        }
        None
    }

    /// Removes a request.
    pub fn remove(&mut self, request: RequestId) -> Option<Job> {
        self.deadlines.remove(&request)?;
        self.on_time.remove(request).or_else(|| self.late.remove(request))
    }

    /// Moves requests past their soft deadline to the late ones.
    pub fn demote(&mut self, now: Time) {
        for request in self.on_time.expired(now) {
            let Some(mut job) = self.on_time.remove(request) else { continue };
            if let Some(deadlines) = self.deadlines.get(&request) {
                job.deadline = deadlines.hard;
            }
            self.late.push(job);
        }
    }

    /// Removes and returns the requests past their hard deadline, or all late ones while
    /// [`Self::drops_late`] holds.
    pub fn expire(&mut self, now: Time) -> Vec<Job> {
        if self.drops_late {
            let dropped = self.late.retain(|_| false);
            for job in &dropped {
                self.deadlines.remove(&job.request);
            }
            return dropped;
        }
        let expired = self.late.expired(now);
        expired.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Request to shed first when the backlog is too long: a late one if there is any, then the
    /// lowest tier and the latest deadline.
    #[must_use]
    pub fn victim(&self) -> Option<&Job> {
        self.late.victim().or_else(|| self.on_time.victim())
    }
}

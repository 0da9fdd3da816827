//! Waiting requests of one service at one node.
//!
//! Load pattern: a burst of a few seconds asks for twice what the endpoints
//! give. A request that can still be answered in time goes before one that
//! cannot, whatever their tiers: serving the late ones first would make the
//! timely ones late as well, and the whole burst with them. Within each of
//! the two groups the order is by tier, fair turn and deadline
//! ([`crate::fair`]). Late requests are served from what is left, and given up
//! when their answer could not be whole before their deadline.
//!
//! What is left is known only over all nodes: a node without a timely request
//! would spend a slot on a late one while a timely one waits elsewhere. While
//! that is so ([`Backlog::defers_late`]), late requests are given up at once, and the
//! slot is left to the others.
//!
//! A caller that hears nothing for a while leaves, and a request that was
//! given up while it waited has cost its caller that time. So the backlog states
//! the wait that a new request must expect, and a request that would wait for
//! longer than its caller does is turned away when it arrives.

use crate::{
    Job,
    fair::{Queue, TIERS},
};
use std::{collections::HashMap, time::Duration};
use units::{Rank, RequestId, Time};

/// Time in which what the backlog has seen loses half of its weight: a part of the shortest burst.
const PACE_HALF_LIFE_S: f64 = 1.0;
/// Part of the pace that a tier may count on while higher tiers take all of it: bursts end. The
/// replay in `tests/line.rs` holds for 0 to 0.3.
const HOPE: f64 = 0.3;
/// Timely requests that wait at other nodes, as a part of all slots, from which on late ones give
/// way: what one step of dealing gives out.
const YIELD: f64 = 0.05;
/// Least wait that is told while late requests give way: such bursts last for some seconds.
const PRESSURE: Duration = Duration::from_secs(2);
/// Wait that is never taken for too long, so that a pace measured in calm does not turn away the
/// beginning of a burst.
const LEAST_WAIT: Duration = Duration::from_millis(150);
/// Longest wait that is told, beyond any caller's patience.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Times that decide how long a request may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadlines {
    /// Latest dispatch for an answer in time.
    pub soft: Time,
    /// Latest dispatch for an answer that its caller still waits for.
    pub hard: Time,
}

/// Work a second, forgotten by half in [`PACE_HALF_LIFE_S`].
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    sum: f64,
    at: Time,
}

impl Pace {
    fn at(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * 0.5f64.powf(age / PACE_HALF_LIFE_S)
    }

    fn add(&mut self, work: f64, now: Time) {
        self.sum = self.at(now) + work;
        self.at = now;
    }

    /// Work a second.
    fn rate(&self, now: Time) -> f64 {
        self.at(now) * std::f64::consts::LN_2 / PACE_HALF_LIFE_S
    }
}

/// Backlog of waiting requests.
#[derive(Debug, Default)]
pub struct Backlog {
    on_time: Queue,
    late: Queue,
    deadlines: HashMap<RequestId, Deadlines>,
    arrived: [Pace; TIERS],
    served: Pace,
    defers_late: bool,
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

    /// Requests waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Requests waiting that can still be answered in time.
    #[must_use]
    pub fn on_time(&self) -> usize {
        self.on_time.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Notes a request that arrives, whether it will wait or not.
    pub fn record_arrival(&mut self, job: &Job, now: Time) {
        let tier = usize::from(job.rank.0).min(TIERS - 1);
        self.arrived[tier].add(work(job), now);
    }

    /// Wait that a new request of a tier must expect.
    ///
    /// Ahead of it are the requests of its own and higher tiers; it is served by what the pace of
    /// the backlog leaves beside the arrivals of higher tiers.
    #[must_use]
    pub fn expected_wait(&self, rank: Rank, now: Time) -> Duration {
        let least = if self.defers_late { PRESSURE } else { Duration::ZERO };
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
        let above: f64 = self.arrived[..tier].iter().map(|pace| pace.rate(now)).sum();
        let pace = self.served.rate(now);
        let left = (pace - above).max(pace * HOPE);
        let longest = LONGEST_WAIT.as_secs_f64();
        if left * longest <= ahead {
            return LONGEST_WAIT;
        }
        Duration::from_secs_f64(ahead / left)
    }

    /// Whether a new request would wait for longer than its deadlines allow; the expected wait if so.
    #[must_use]
    pub fn excessive_wait(&self, rank: Rank, deadlines: Deadlines, now: Time) -> Option<Duration> {
        let wait = self.wait_behind(rank, now);
        let end = if self.defers_late { deadlines.soft } else { deadlines.hard };
        let allowed = end.since(now).max(LEAST_WAIT);
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

    /// Notes the timely requests that wait at other nodes, and all slots of the service.
    pub fn set_on_time_elsewhere(&mut self, waiting: u32, slots: u32) {
        self.defers_late = f64::from(waiting) > YIELD * f64::from(slots);
    }

    /// Whether late requests give way to timely ones at other nodes.
    #[must_use]
    pub const fn defers_late(&self) -> bool {
        self.defers_late
    }

    /// Takes out the first request that `place` finds an endpoint for.
    pub fn next<T>(
        &mut self,
        now: Time,
        mut place: impl FnMut(&Job) -> Option<T>,
    ) -> Option<(Job, T)> {
        let queues = [Some(&mut self.on_time), Some(&mut self.late).filter(|_| !self.defers_late)];
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

    /// Takes a request out.
    pub fn remove(&mut self, request: RequestId) -> Option<Job> {
        self.deadlines.remove(&request)?;
        self.on_time.remove(request).or_else(|| self.late.remove(request))
    }

    /// Moves requests that cannot be answered in time any more behind the others.
    pub fn demote(&mut self, now: Time) {
        for request in self.on_time.expired(now) {
            let Some(mut job) = self.on_time.remove(request) else { continue };
            if let Some(deadlines) = self.deadlines.get(&request) {
                job.deadline = deadlines.hard;
            }
            self.late.push(job);
        }
    }

    /// Takes out the requests whose callers would not wait for the answer any more, and all late
    /// ones while they give way.
    pub fn expire(&mut self, now: Time) -> Vec<Job> {
        if self.defers_late {
            let given_up = self.late.retain(|_| false);
            for job in &given_up {
                self.deadlines.remove(&job.request);
            }
            return given_up;
        }
        let expired = self.late.expired(now);
        expired.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Request to refuse first when the backlog is too long: lowest tier, latest deadline.
    #[must_use]
    pub fn victim(&self) -> Option<&Job> {
        self.late.victim().or_else(|| self.on_time.victim())
    }
}

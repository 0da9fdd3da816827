//! Counts of this node's responses by release.
//!
//! Failure: a bad release while the coordinator or the network is away. The node
//! stops using it by itself once its own counts show an excess of bad responses.

use super::{
    apply_policy, is_enabled,
    orders::{Entry, Running},
};
use crate::blackboard::Blackboard;
use codes::Event;
use sched::{
    fleet::{Cohort, Fleet, Outcome},
    rollout::{Answer, Stage, must_stop},
};
use slog::warn;
use std::{rc::Rc, time::Duration};
use units::{EndpointId, ServiceId, Time};

/// Time before the limit of an order at which resumable streams leave endpoints of the old release.
const STREAM_MARGIN: Duration = Duration::from_secs(1);
/// Number of gaps between events that count towards the latency of a stream, so that a release which
/// only generates slowly is noticed.
const COUNTED_GAPS: u32 = 16;

/// Request at an endpoint of a deployment with rollouts; counts as running until it is dropped.
#[derive(Debug)]
pub struct Ticket {
    board: Rc<Blackboard>,
    number: u64,
}

impl Ticket {
    /// Ticket of a request that is dispatched now; none without rollouts.
    #[must_use]
    pub fn new(
        board: &Rc<Blackboard>,
        fleet: &Fleet,
        service: &ServiceId,
        endpoint: &EndpointId,
    ) -> Option<Self> {
        if !is_enabled(board) {
            return None;
        }
        let release = fleet.listing(endpoint).and_then(|listing| listing.release.clone());
        let mut rollouts = board.rollouts.borrow_mut();
        let order = rollouts.get(service).map(|entry| entry.order.id);
        let number = rollouts.start(Running {
            service: service.clone(),
            endpoint: endpoint.clone(),
            release,
            order,
            since: board.now(),
            route: None,
            has_response: false,
        });
        Some(Self { board: Rc::clone(board), number })
    }

    /// Records that this node sends the request, which is of a route.
    pub fn record_sent(&self, route: u32) {
        if let Some(running) = self.board.rollouts.borrow_mut().running_mut(self.number) {
            running.route = Some(route);
        }
    }

    /// Records the first event, or the end of a plain call.
    pub fn record_response(&self) {
        if let Some(running) = self.board.rollouts.borrow_mut().running_mut(self.number) {
            running.has_response = true;
        }
    }

    /// Value for the request and the rollout of its service.
    fn with_entry<T>(&self, value: impl FnOnce(&Running, &Entry) -> Option<T>) -> Option<T> {
        let rollouts = self.board.rollouts.borrow();
        let running = rollouts.running(self.number)?;
        value(running, rollouts.get(&running.service)?)
    }

    /// Whether the request must not be sent to its endpoint any more, since the stage has changed
    /// between the choice and now.
    #[must_use]
    pub fn is_void(&self) -> bool {
        let is_void = self.with_entry(|running, entry| {
            let cohort = running.cohort(&entry.order.to);
            Some(match entry.effective_stage() {
                Stage::Completed => cohort == Cohort::Stable,
                Stage::Reverted => cohort == Cohort::Candidate,
                Stage::Canary | Stage::Shift => false,
            })
        });
        is_void == Some(true)
    }

    /// Time at which a resumable stream leaves its endpoint, if that has another release than the one
    /// that new requests use.
    #[must_use]
    pub fn leave_at(&self) -> Option<Time> {
        self.with_entry(|running, entry| {
            let is_stable = running.cohort(&entry.order.to) == Cohort::Stable;
            let leaves = is_stable && entry.effective_stage() == Stage::Shift;
            leaves.then(|| entry.time_at(entry.order.limit.saturating_sub(STREAM_MARGIN)))
        })
    }

    /// Counts the response.
    pub fn record(&self, response: &Response) {
        let Some((failed, latency)) = response.assess() else { return };
        let mut rollouts = self.board.rollouts.borrow_mut();
        let Some(running) = rollouts.running(self.number).cloned() else { return };
        let (Some(route), service) = (running.route, &running.service) else { return };
        let Some(entry) = rollouts.get_mut(service) else { return };
        if entry.stage.is_final() || running.order != Some(entry.order.id) {
            return;
        }
        let cohort = running.cohort(&entry.order.to);
        let answer = Answer { endpoint: &running.endpoint, cohort, failed, latency };
        entry.counts.record(route, &answer);
        entry.recent.record(route, &answer);
        drop(rollouts);
        let cohort = if cohort == Cohort::Candidate { "candidate" } else { "stable" };
        let kind = if failed { "failed" } else { "served" };
        self.board.metrics.count("rollout_answer", &format!("{cohort}_{kind}"));
        if failed {
            stop_if_bad(&self.board, service);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.board.rollouts.borrow_mut().finish(self.number);
    }
}

/// Stops using the candidate of a service if this node's own counts show an excess of bad responses.
pub fn stop_if_bad(board: &Blackboard, service: &ServiceId) {
    let mut rollouts = board.rollouts.borrow_mut();
    let entry = rollouts.get_mut(service);
    let Some(entry) = entry.filter(|entry| !entry.stopped && !entry.stage.is_final()) else {
        return;
    };
    let Some(fault) = must_stop(&entry.recent) else { return };
    entry.stopped = true;
    warn!(board.log, "node stopped using a release"; Event::RolloutStopped,
        "service" => %service, "order" => %entry.order.id, "to" => %entry.order.to,
        "stage" => %entry.stage, "fault" => %fault,
        "age_ms" => crate::reply::millis(entry.age(board.now())));
    drop(rollouts);
    board.metrics.count("rollout", "stopped");
    apply_policy(board, service);
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    /// Outcome.
    pub outcome: Outcome,
    /// Whether the request's deadline passed while it was there.
    pub timed_out: bool,
    /// Time to the first event, or to the end of a plain call.
    pub first: Duration,
    /// Mean gap between the events of a stream.
    pub gap: Option<Duration>,
}

impl Response {
    /// Whether the response is a failure, and its latency; none if it says nothing about its release.
    fn assess(&self) -> Option<(bool, Option<Duration>)> {
        match self.outcome {
            Outcome::Completed => {
                Some((false, Some(self.first + self.gap.unwrap_or_default() * COUNTED_GAPS)))
            }
            // A release whose endpoints all refuse connections would otherwise be completed without a
            // response.
            Outcome::Failed | Outcome::Unreachable => Some((true, None)),
            Outcome::Cancelled if self.timed_out => Some((true, None)),
            // Endpoints that are full or replaced, and callers that leave, give no response.
            Outcome::Cancelled | Outcome::AtCapacity | Outcome::WrongEndpoint => None,
        }
    }
}

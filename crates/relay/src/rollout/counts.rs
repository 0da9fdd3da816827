//! Counts of this node's responses by release.
//!
//! Failure: a bad release while the coordinator or the network is away. The node
//! stops using it by itself once its own counts show an excess of bad responses.

use super::{apply_policy, is_enabled};
use crate::blackboard::Blackboard;
use codes::Event;
use sched::{
    fleet::{Cohort, Outcome},
    rollout::{Answer, OrderId, Stage, must_stop},
};
use slog::warn;
use std::{rc::Rc, time::Duration};
use units::{EndpointId, Release, ServiceId, Time};

/// Time before the limit of an order at which resumable streams leave endpoints of the old release.
const STREAM_MARGIN: Duration = Duration::from_secs(1);
/// Number of gaps between events that count towards the latency of a stream, so that a release which
/// only generates slowly is noticed.
const COUNTED_GAPS: u32 = 16;

/// Request at an endpoint of a deployment with rollouts; counts as running until it is dropped.
#[derive(Debug)]
pub struct Ticket {
    board: Rc<Blackboard>,
    service: ServiceId,
    endpoint: EndpointId,
    release: Option<Release>,
    /// Order that was known when the request was dispatched.
    order: Option<OrderId>,
    cohort: Cohort,
}

impl Ticket {
    /// Ticket of a request that is dispatched now; none without rollouts.
    #[must_use]
    pub fn new(
        board: &Rc<Blackboard>,
        fleet: &sched::fleet::Fleet,
        service: &ServiceId,
        endpoint: &EndpointId,
    ) -> Option<Self> {
        if !is_enabled(board) {
            return None;
        }
        let release = fleet.listing(endpoint).and_then(|listing| listing.release.clone());
        let mut rollouts = board.rollouts.borrow_mut();
        let order = rollouts.get(service).map(|entry| entry.order.id);
        let running = rollouts.running.entry(service.clone()).or_default();
        *running.entry(release.clone()).or_default() += 1;
        drop(rollouts);
        Some(Self {
            board: Rc::clone(board),
            service: service.clone(),
            endpoint: endpoint.clone(),
            release,
            order,
            cohort: fleet.cohort(endpoint),
        })
    }

    /// Whether the request must not be sent to its endpoint any more, since the stage has changed
    /// between the choice and now.
    #[must_use]
    pub fn is_void(&self) -> bool {
        let rollouts = self.board.rollouts.borrow();
        rollouts.get(&self.service).is_some_and(|entry| {
            let is_candidate = self.release.as_ref() == Some(&entry.order.to);
            match entry.effective_stage() {
                Stage::Completed => !is_candidate,
                Stage::Reverted => is_candidate,
                Stage::Canary | Stage::Shift => false,
            }
        })
    }

    /// Time at which a resumable stream leaves its endpoint, if that has another release than the one
    /// that new requests use.
    #[must_use]
    pub fn leave_at(&self) -> Option<Time> {
        let rollouts = self.board.rollouts.borrow();
        let entry = rollouts.get(&self.service)?;
        let is_stable = self.release.as_ref() != Some(&entry.order.to);
        let leaves = is_stable && entry.effective_stage() == Stage::Shift;
        leaves.then(|| entry.time_at(entry.order.limit.saturating_sub(STREAM_MARGIN)))
    }

    /// Counts the response of a route.
    pub fn record(&self, route: u32, response: &Response) {
        let Some((failed, latency)) = response.assess() else { return };
        let answer = Answer { endpoint: &self.endpoint, cohort: self.cohort, failed, latency };
        let mut rollouts = self.board.rollouts.borrow_mut();
        let Some(entry) = rollouts.get_mut(&self.service) else { return };
        if entry.stage.is_final() || self.order != Some(entry.order.id) {
            return;
        }
        entry.counts.record(route, &answer);
        entry.recent.record(route, &answer);
        let fault = if entry.stopped { None } else { must_stop(&entry.recent) };
        entry.stopped |= fault.is_some();
        let (order, to, stage) = (entry.order.id, entry.order.to.clone(), entry.stage);
        drop(rollouts);
        let cohort = if self.cohort == Cohort::Candidate { "candidate" } else { "stable" };
        let kind = if failed { "failed" } else { "served" };
        self.board.metrics.count("rollout_answer", &format!("{cohort}_{kind}"));
        if let Some(fault) = fault {
            warn!(self.board.log, "node stopped using a release"; Event::RolloutStopped,
                "service" => %self.service, "order" => %order, "to" => %to, "stage" => %stage,
                "fault" => %fault);
            self.board.metrics.count("rollout", "stopped");
            apply_policy(&self.board, &self.service);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut rollouts = self.board.rollouts.borrow_mut();
        let Some(running) = rollouts.running.get_mut(&self.service) else { return };
        if let Some(count) = running.get_mut(&self.release) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                running.remove(&self.release);
            }
        }
        if running.is_empty() {
            rollouts.running.remove(&self.service);
        }
    }
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
            Outcome::Failed => Some((true, None)),
            Outcome::Cancelled if self.timed_out => Some((true, None)),
            // Endpoints that are full, gone or replaced give no response.
            Outcome::Cancelled
            | Outcome::Unreachable
            | Outcome::AtCapacity
            | Outcome::WrongEndpoint => None,
        }
    }
}

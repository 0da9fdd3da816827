//! Budget of repeated sends to a service.
//!
//! Load pattern: many endpoints fail at once and every request would be sent
//! again, which doubles the load on those that are left. Over all nodes,
//! repeats are limited to a ratio of the requests of a window plus a fixed
//! number. Each node holds its part of the fixed number and counts its own
//! requests, so that no message is needed.

use std::{collections::VecDeque, time::Duration};
use units::Time;

/// Parts into which a window is divided; a request counts for a tenth of a window too long at most.
const STEPS: u32 = 10;
/// Part of the bound that is used; requests near the edge of a window count in either.
const MARGIN: f64 = 0.8;

/// Bound over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window beside those.
    pub burst: f64,
    /// Window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    start: Time,
    requests: u32,
    repeats: u32,
}

/// Budget of one service at one node.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    steps: VecDeque<Step>,
}

impl Budget {
    /// Budget within a bound.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self { bound, steps: VecDeque::new() }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time) {
        self.step(now).requests += 1;
    }

    /// Whether a request may be sent once more; counts it if so. `nodes` share the bound.
    pub fn try_retry(&mut self, nodes: usize, now: Time) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        #[allow(clippy::cast_precision_loss, reason = "node counts are small")]
        let part = self.bound.burst / nodes.max(1) as f64;
        let allowed = MARGIN * (self.bound.ratio * f64::from(requests) + part);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    fn step(&mut self, now: Time) -> &mut Step {
        let length = self.bound.window / STEPS;
        while self.steps.front().is_some_and(|step| now.since(step.start) > self.bound.window) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| now.since(step.start) >= length) {
            self.steps.push_back(Step { start: now, ..Step::default() });
        }
        self.steps.back_mut().expect("a step was just added")
    }
}

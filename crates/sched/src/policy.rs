//! Baseline policies: each gateway selects an endpoint on its own, without queueing.
//!
//! They serve as a comparison for scheduling by permits, and can be selected in
//! the settings.

use rand::Rng;
use serde::{Deserialize, Serialize};
use units::{EndpointId, Time};

/// How endpoints are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Late binding, by permits of the cells' owners.
    #[default]
    Permits,
    /// Any endpoint.
    Random,
    /// Endpoints in rotation.
    RoundRobin,
    /// Endpoint with the least load in its latest report.
    LeastReported,
    /// Of two random endpoints, the one with the lower sum of reported and own load.
    TwoChoices,
}

/// Endpoint that a baseline policy may select.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Requests running and waiting, by its latest report.
    pub reported: u32,
    /// Time of that report.
    pub reported_at: Time,
    /// Requests that this gateway has in flight there.
    pub own: u32,
}

/// Selector of endpoints by a baseline policy.
#[derive(Debug, Default)]
pub struct Selector {
    last_index: usize,
}

impl Selector {
    /// Index of the selected candidate.
    pub fn select(
        &mut self,
        policy: Policy,
        candidates: &[Candidate],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let any = rng.random_range(0..candidates.len());
        Some(match policy {
            Policy::Permits | Policy::Random => any,
            Policy::RoundRobin => {
                self.last_index = (self.last_index + 1) % candidates.len();
                self.last_index
            }
            Policy::LeastReported => least_reported(candidates, any),
            Policy::TwoChoices => {
                let other = rng.random_range(0..candidates.len());
                let load = |index: usize| candidates[index].reported + candidates[index].own;
                if load(any) <= load(other) { any } else { other }
            }
        })
    }
}

/// Index of the least reported load; of equal ones, the first from `start`.
fn least_reported(candidates: &[Candidate], start: usize) -> usize {
    let count = candidates.len();
    (0..count)
        .map(|step| (start + step) % count)
        .min_by_key(|index| candidates[*index].reported)
        .unwrap_or(start)
}

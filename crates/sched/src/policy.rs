//! Baseline policies: each gateway decides alone and sends at once.
//!
//! They are what the permits are compared with, and stay selectable.

use rand::Rng;
use serde::{Deserialize, Serialize};
use units::{EndpointId, Time};

/// How endpoints are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Late binding by permits of the cells' owners.
    #[default]
    Permits,
    /// Any endpoint.
    Random,
    /// Endpoints in turn.
    RoundRobin,
    /// Endpoint with the least load in its newest report.
    LeastReported,
    /// Of two random endpoints, the one with less reported and own load.
    TwoChoices,
}

/// Endpoint as a baseline sees it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Requests running and waiting in its newest report.
    pub reported: u32,
    /// Time of that report.
    pub reported_at: Time,
    /// Requests that this gateway has in flight there.
    pub own: u32,
}

/// Baseline chooser with its turn counter.
#[derive(Debug, Default)]
pub struct Selector {
    turn: usize,
}

impl Selector {
    /// Position of the chosen candidate.
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
                self.turn = (self.turn + 1) % candidates.len();
                self.turn
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

/// Least reported load; ties are broken from a random start.
fn least_reported(candidates: &[Candidate], start: usize) -> usize {
    let count = candidates.len();
    (0..count)
        .map(|step| (start + step) % count)
        .min_by_key(|index| candidates[*index].reported)
        .unwrap_or(start)
}

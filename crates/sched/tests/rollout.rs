//! Rollouts: listings with a release, the fleet's choice, the evaluation and the coordinator.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod rollout {
    pub mod coordinator;
    pub mod fleet;
    pub mod judge;
    pub mod listing;
    pub mod replay;
    pub mod support;
}

//! Seeds that once failed, each with its cause.

use crate::plan::{Size, Worker};
use std::time::Duration;

/// Seed that is run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Case {
    /// Seed.
    pub seed: u64,
    /// Size of the run in which it failed.
    pub size: Size,
    /// Rule that was violated, and why.
    pub cause: &'static str,
}

const fn default_size(seconds: u64) -> Size {
    let duration = Duration::from_secs(seconds);
    Size { nodes: 5, workers: 8, callers: 30, duration, workers_do: Worker::Fail }
}

/// All cases.
pub const CASES: &[Case] = &[
    Case {
        seed: 1,
        size: default_size(12),
        cause: "RECOVER: a restarted node found every slot in use, because freed slots stayed \
                allocated to the nodes that had held them",
    },
    Case { seed: 12, size: default_size(20), cause: "RECOVER: same cause as seed 1" },
];

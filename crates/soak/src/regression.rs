//! Seeds that once broke a promise, each with its cause.

use crate::plan::Size;
use std::time::Duration;

/// Seed that is played again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Case {
    /// Seed.
    pub seed: u64,
    /// Size of the run in which it failed.
    pub size: Size,
    /// What had broken, and why.
    pub cause: &'static str,
}

const fn usual(seconds: u64) -> Size {
    Size { nodes: 5, workers: 8, callers: 30, length: Duration::from_secs(seconds) }
}

/// All of them.
pub const CASES: &[Case] = &[
    Case {
        seed: 1,
        size: usual(12),
        cause: "RECOVER: a node that came back found every slot in use; freed slots stayed with \
                the nodes that had held them",
    },
    Case { seed: 12, size: usual(20), cause: "RECOVER: as seed 1" },
];

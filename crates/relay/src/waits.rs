//! Waits between the store's confirmation of a change and the decisions of a node.
//!
//! A change must be in force at a node within the bounds of the settings. What a
//! node waits for on the way, on its own or for another node that may have
//! failed, is a share of these bounds, so that the sums stay within them; the
//! tests of this module add them up. Where a bound leaves more time than is of
//! use, a wait has a fixed maximum.
//!
//! | until the decision at a node | waits |
//! |---|---|
//! | a reader | `reader_interval` |
//! | another node; a datagram is lost | and `reader_digest` |
//! | another node that missed changes; nodes that have the directory do not send it | `reader_interval`, `directory_interval`, `store_fallback`, a read |
//! | the readers are gone or frozen | `readers_absence`, `role_check`, a read |
//! | the readers are cut off from the store, without a reset | `reader_interval`, `endpoints_hold`, `store_answer`, a read |
//! | all have lost the store, and it is back | the delay after a failed call, a read; bounds hold from `stable_ms` on |
//!
//! A request that is just being sent adds the time for a connection.

use std::time::Duration;

/// Bounds below this are treated like it: they leave less time than answers of the store take.
const MIN_BOUND: Duration = Duration::from_secs(1);

/// Share of a bound, in thousandths, and the maximum in ms.
#[derive(Debug, Clone, Copy)]
struct Share(u32, u64);

impl Share {
    fn of(self, bound: Duration) -> Duration {
        (bound * self.0 / 1_000).min(Duration::from_millis(self.1))
    }
}

/// Interval at which a reader asks for changes of endpoints, whose heartbeats change rows all the
/// time.
const READER_INTERVAL: Share = Share(280, 700);
/// Time for which the store holds back an answer without changes of endpoints.
const ENDPOINTS_HOLD: Share = Share(120, 1_000);
/// Same, for the configuration.
const CONFIGURATION_HOLD: Share = Share(800, 2_000);
/// Time for an answer of the store in addition. Answers take 5 ms.
const STORE_ANSWER: Share = Share(280, 800);
/// Shortest interval between whole directories from other nodes, so that several changes that were
/// missed come in one.
const DIRECTORY_INTERVAL: Share = Share(160, 1_200);
/// Time for which a node asks other nodes for a document before it reads the store.
const STORE_FALLBACK: Share = Share(280, 1_200);
/// Longest interval between the digests of a reader.
const READER_DIGEST: Share = Share(250, 1_000);
/// Time without a digest after which a reader is replaced.
const READER_SILENCE: Share = Share(440, 2_500);
/// Time without a digest of any reader after which a node follows the store itself. Those that
/// replace the readers are heard before.
const READERS_ABSENCE: Share = Share(600, 3_500);
/// Interval at which a node that is not a reader checks whether it has become one.
const ROLE_CHECK: Share = Share(100, 500);
/// Part of the time for applying a configuration that remains when requests are refused. Other nodes
/// announce a version some time after the store has confirmed it.
const OVERDUE_MARGIN: Share = Share(240, 1_000);

/// Waits of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waits {
    /// Time within which a configuration must be in force.
    pub apply: Duration,
    /// Interval at which a reader asks for changes of endpoints.
    pub reader_interval: Duration,
    /// Time for which the store holds back an answer without changes of endpoints.
    pub endpoints_hold: Duration,
    /// Same, for the configuration.
    pub configuration_hold: Duration,
    /// Time for an answer of the store in addition.
    pub store_answer: Duration,
    /// Shortest interval between whole directories from other nodes.
    pub directory_interval: Duration,
    /// Time for which a node asks other nodes for a document before it reads the store.
    pub store_fallback: Duration,
    /// Longest interval between the digests of a reader.
    pub reader_digest: Duration,
    /// Time without a digest after which a reader is replaced.
    pub reader_silence: Duration,
    /// Time without a digest of any reader after which a node follows the store itself.
    pub readers_absence: Duration,
    /// Interval at which a node that is not a reader checks whether it has become one.
    pub role_check: Duration,
    /// Time after the announcement of a configuration from which on requests are refused without it.
    pub overdue: Duration,
}

impl Default for Waits {
    /// Waits for the bounds of large deployments.
    fn default() -> Self {
        Self::new(Duration::from_secs(4), Duration::from_secs(4))
    }
}

impl Waits {
    /// Waits for the bounds on changes of the configuration and of endpoints.
    #[must_use]
    pub fn new(apply: Duration, drain: Duration) -> Self {
        let apply = apply.max(MIN_BOUND);
        let both = apply.min(drain).max(MIN_BOUND);
        Self {
            apply,
            reader_interval: READER_INTERVAL.of(both),
            endpoints_hold: ENDPOINTS_HOLD.of(both),
            configuration_hold: CONFIGURATION_HOLD.of(apply),
            store_answer: STORE_ANSWER.of(both),
            directory_interval: DIRECTORY_INTERVAL.of(both),
            store_fallback: STORE_FALLBACK.of(both),
            reader_digest: READER_DIGEST.of(both),
            reader_silence: READER_SILENCE.of(both),
            readers_absence: READERS_ABSENCE.of(both),
            role_check: ROLE_CHECK.of(both),
            overdue: apply - OVERDUE_MARGIN.of(apply),
        }
    }
}

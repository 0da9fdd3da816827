//! Waits between the store's confirmation of a change and the decisions of a node.
//!
//! A change must be in force at a node within the bounds of the settings. What a
//! node waits for on the way, on its own or for another node that may have
//! failed, is a share of these bounds, so that the sums of [`Waits::chains`] stay
//! within them. Where a bound leaves more time than is of use, a wait has a fixed
//! maximum.

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
const DIRECTORY_INTERVAL: Share = Share(200, 1_200);
/// Time for which a node asks other nodes for a document before it reads the store.
const STORE_FALLBACK: Share = Share(300, 1_200);
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
    /// Time after the announcement of a configuration from which on requests are refused without it.
    pub overdue: Duration,
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
            overdue: apply - OVERDUE_MARGIN.of(apply),
        }
    }
}

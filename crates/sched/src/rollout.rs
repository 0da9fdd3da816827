//! Rollouts: traffic of a service moves to a new release, or stays where it is.
//!
//! Failures: a release whose responses fail or are several times slower, from
//! the start or later, only under load or on one route only; reports and
//! announcements that are lost, late or out of order; a coordinator that stops
//! between its decision and its write; two coordinators at once.
//!
//! Each node samples a few requests for the new release, the *candidate*, and
//! counts responses by route and release ([`Report`]). The coordinator of the
//! service collects the reports in a [`Rollout`], which compares the candidate
//! with the old release, the *stable* one ([`Judge`]), and proposes the next
//! [`Stage`]. [`must_stop`] lets a node stop on its own counts.

mod coordinator;
mod judge;
mod tally;

pub use coordinator::{Rollout, Waiting};
pub use judge::{Fault, Judge, Kind, Verdict, must_stop};
pub use tally::{Answer, Histogram, OTHER_ROUTE, Pending, Report, Route, Tally};

use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};
use units::{Release, ServiceId};

/// Longest time limit of an order, in seconds: a day.
const MAX_LIMIT_S: f64 = 86_400.0;
/// Part of the permitted share that is sampled in `Canary`; the rest is left for the time that it
/// takes to detect a bad release during the shift.
const SAMPLED_PART: f64 = 0.5;

/// Probability with which a request is sampled for the candidate, from the permitted share.
#[must_use]
pub fn sample_probability(share: f64) -> f64 {
    if share.is_finite() { (share * SAMPLED_PART).clamp(0.0, 1.0) } else { 0.0 }
}

/// Bounds of what a bad release may get.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Largest share of the requests of its service.
    pub share: f64,
    /// Requests that it may get in addition.
    pub burst: u32,
    /// Time after its 50th bad response from which it gets none.
    pub rollback: Duration,
}

units::common! {
    /// Order, by the store's version of its row.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct OrderId(pub u64);
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why an order cannot be executed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InvalidLimit(pub f64);

impl fmt::Display for InvalidLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a time limit of {} s; more than 0 and at most {MAX_LIMIT_S} are allowed", self.0)
    }
}

impl std::error::Error for InvalidLimit {}

/// Order of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Store version of its row.
    pub id: OrderId,
    /// Service whose traffic moves.
    pub service: ServiceId,
    /// Release to which it moves.
    pub to: Release,
    /// Time limit, from the order.
    pub limit: Duration,
}

impl Order {
    /// Order with a time limit in seconds.
    ///
    /// # Errors
    /// The limit is not positive, not finite or longer than a day.
    pub fn new(
        id: OrderId,
        service: ServiceId,
        to: Release,
        limit_s: f64,
    ) -> Result<Self, InvalidLimit> {
        if !(limit_s > 0.0 && limit_s <= MAX_LIMIT_S) {
            return Err(InvalidLimit(limit_s));
        }
        Ok(Self { id, service, to, limit: Duration::from_secs_f64(limit_s) })
    }
}

units::common! {
    /// Stage of a rollout, in order of precedence between two announcements of the same order.
    ///
    /// `Completed` is announced only after the store holds it, which is final.
    #[derive(Copy, Default)]
    pub enum Stage {
        /// A sample of the requests uses the candidate.
        #[default]
        Canary,
        /// New requests use the candidate only.
        Shift,
        /// Requests use the stable release only.
        Reverted,
        /// The store holds the end: requests use the candidate only.
        Completed,
    }
}

impl Stage {
    /// Stage that takes precedence.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        self.max(other)
    }

    /// Whether no other decision follows.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Reverted | Self::Completed)
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Canary => "canary",
            Self::Shift => "shift",
            Self::Reverted => "reverted",
            Self::Completed => "completed",
        })
    }
}

/// Listed endpoints of a service that are not leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Listed {
    /// Of other releases.
    pub stable: u32,
    /// Of the candidate.
    pub candidate: u32,
}

/// Change of stage.
///
/// `Shift` and `Reverted` are in force when they are returned, and are announced before they are
/// written. `Completed` is a proposal: it is written first, and is in force once the store holds
/// it ([`Rollout::adopt`]). Until then it is proposed again at each step.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// New stage.
    pub stage: Stage,
    /// Its reason.
    pub reason: Reason,
}

/// Reason of a change of stage.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// The candidate is as good as the stable release so far, and it is time for the shift.
    Healthy,
    /// Nothing is in flight at endpoints of the stable release.
    Drained,
    /// The time limit is close, and this many requests are still in flight there.
    Late {
        /// Requests in flight at stable endpoints.
        running: u32,
    },
    /// Only the candidate is listed.
    OnlyRelease,
    /// The candidate is worse than the stable release.
    Bad(Fault),
    /// The candidate had too few responses for a verdict in time.
    TooFewAnswers {
        /// Its responses.
        answers: u32,
        /// Its listed endpoints.
        endpoints: u32,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Healthy => f.write_str("the candidate is as good as the stable release"),
            Self::Drained => f.write_str("nothing is in flight at the stable release"),
            Self::Late { running } => {
                write!(f, "the time limit is close, {running} in flight at the stable release")
            }
            Self::OnlyRelease => f.write_str("only the candidate is listed"),
            Self::Bad(fault) => fault.fmt(f),
            Self::TooFewAnswers { answers, endpoints } => write!(
                f,
                "too few responses for a verdict: {answers} from {endpoints} listed endpoints"
            ),
        }
    }
}

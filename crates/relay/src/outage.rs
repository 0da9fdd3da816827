//! Outages of the store, as the calls of one node show them.
//!
//! Several tasks call the store. A call that fails says something about the time
//! from its start on only: one that began before an outage and ends after it, when
//! another call has succeeded since, is no sign of a second outage.
//!
//! Endpoints' entries may expire while they cannot be written. They are back
//! within `REAPPEARANCE_TIME` of the store's return, so that an entry that
//! disappears in that time may stay in use until its end.

use std::time::Duration;
use units::Time;

/// Time after the store's return in which expired entries may reappear.
pub const REAPPEARANCE_TIME: Duration = Duration::from_millis(2_200);
/// Time after a failed call for which the store counts as lost. After that it is not known.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// What the calls of this node show.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    answered: Option<Time>,
    /// Time at which a call last failed, unless one has been answered since.
    failed: Option<Time>,
    recovered_until: Option<Time>,
}

impl Outage {
    /// Records an answer; true if the store was lost before.
    pub fn succeed(&mut self, now: Time) -> bool {
        let was_away = self.failed.take().is_some();
        if was_away {
            self.recovered_until = Some(now + REAPPEARANCE_TIME);
        }
        self.answered = Some(now);
        was_away
    }

    /// Records that the store has come back from an older copy, in which entries are missing.
    pub fn restore(&mut self, now: Time) {
        self.recovered_until = Some(now + REAPPEARANCE_TIME);
    }

    /// Records a call that began at `started` and failed; true if the store was not lost before.
    pub fn fail(&mut self, started: Time, now: Time) -> bool {
        if self.answered.is_some_and(|answered| answered > started) {
            return false;
        }
        let was_lost = self.is_lost(now);
        self.failed = Some(now);
        !was_lost
    }

    /// Whether calls fail now.
    #[must_use]
    pub fn is_lost(&self, now: Time) -> bool {
        self.failed.is_some_and(|failed| now.since(failed) < RETRY_INTERVAL)
    }

    /// Time until which entries may reappear, if the store has returned.
    #[must_use]
    pub fn recovery_end(&self, now: Time) -> Option<Time> {
        self.recovered_until.filter(|until| now < *until)
    }
}

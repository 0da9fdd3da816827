//! Leases with fencing numbers.
//!
//! The row names the holder, a fencing number that rises with each new holder,
//! and a beat that the holder raises when it renews. No clock is shared: an
//! observer takes the lease over only after it has itself seen the same beat
//! for longer than the lease's length, and a holder stops giving orders once
//! its last confirmed renewal is older than the length less a margin. A holder
//! that was paused sees that on waking, before it gives another order.

use crate::table::{Commit, Row, Table, Transaction};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use units::{InstanceId, Time};

/// Length of a lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Part of the length that the holder leaves unused.
pub const SAFETY_MARGIN: Duration = Duration::from_secs(2);

/// Row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Holder.
    pub holder: InstanceId,
    /// Rises with each new holder; orders carry it.
    pub fence: u64,
    /// Rises with each renewal.
    pub beat: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    lease: Lease,
    since: Time,
}

/// One gateway's view of a lease.
#[derive(Debug)]
pub struct Elector {
    me: InstanceId,
    key: Box<str>,
    seen: Option<Seen>,
    confirmed: Option<(Lease, Time)>,
}

impl Elector {
    /// View of the lease in row `key`.
    #[must_use]
    pub fn new(me: InstanceId, key: &str) -> Self {
        Self { me, key: key.into(), seen: None, confirmed: None }
    }

    /// Fencing number while orders may be given.
    #[must_use]
    pub fn fence(&self, now: Time) -> Option<u64> {
        let (lease, renewed) = self.confirmed.as_ref()?;
        (now.since(*renewed) < LEASE_DURATION - SAFETY_MARGIN).then_some(lease.fence)
    }

    /// Renews, takes over or observes; `now` reads the clock.
    pub async fn step(&mut self, table: &Table, now: impl Fn() -> Time) {
        let started = now();
        let Ok(row) = table.get(&self.key).await else {
            return;
        };
        let found = row.as_ref().and_then(decode);
        let Some(next) = self.next_lease(found.as_ref(), started, now()) else {
            return;
        };
        let Ok(value) = serde_json::to_string(&next) else {
            return;
        };
        let version = row.map(|row| row.version);
        let transaction = Transaction::new().with_put(&self.key, version, &value);
        if table.transact(&transaction).await == Commit::Done {
            self.confirm(next, started);
        }
    }

    /// Notes that the row was written; the renewal counts from `started`, before the row was read.
    pub fn confirm(&mut self, lease: Lease, started: Time) {
        self.confirmed = Some((lease, started));
    }

    /// Row to write, if any, after a read that began at `started` and ended at `ended` found this.
    ///
    /// A lease that others hold is watched from the end of the read that first showed it, and has
    /// expired only when a read that began long enough after that shows it unchanged. Either way
    /// the uncertain time counts for the holder.
    pub fn next_lease(
        &mut self,
        found: Option<&Lease>,
        started: Time,
        ended: Time,
    ) -> Option<Lease> {
        let Some(lease) = found else {
            return Some(Lease { holder: self.me.clone(), fence: 1, beat: 1 });
        };
        let own = self.confirmed.as_ref().is_some_and(|(c, _)| c.fence == lease.fence);
        if own && lease.holder == self.me {
            return Some(Lease { beat: lease.beat + 1, ..lease.clone() });
        }
        self.confirmed = None;
        let same = self.seen.as_ref().filter(|seen| seen.lease == *lease);
        let Some(seen) = same else {
            self.seen = Some(Seen { lease: lease.clone(), since: ended });
            return None;
        };
        let expired = started.since(seen.since) > LEASE_DURATION;
        expired.then(|| Lease {
            holder: self.me.clone(),
            fence: lease.fence + 1,
            beat: lease.beat + 1,
        })
    }
}

fn decode(row: &Row) -> Option<Lease> {
    serde_json::from_str(&row.value).ok()
}

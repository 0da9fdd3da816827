//! Leases with fencing numbers.
//!
//! The row contains the holder, a fencing number that increases with each new
//! holder, and a beat that the holder increments on each renewal. Clocks need
//! not agree: an observer takes over the lease only after it has seen the row
//! unchanged for longer than the lease duration on its own clock, and a holder
//! stops giving orders once its last confirmed renewal is older than the
//! duration minus a safety margin. A holder that was paused detects this when
//! it resumes, before it gives another order.

use crate::table::{Commit, Row, Table, Transaction};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use units::{InstanceId, Time};

/// Duration of a lease.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Final part of the lease duration in which the holder gives no more orders.
pub const SAFETY_MARGIN: Duration = Duration::from_secs(2);

/// Row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Holder.
    pub holder: InstanceId,
    /// Fencing number, which increases with each new holder; orders carry it.
    pub fence: u64,
    /// Counter that increases with each renewal.
    pub beat: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Observation {
    lease: Lease,
    since: Time,
}

/// Acquires, renews and observes a lease on behalf of one gateway.
#[derive(Debug)]
pub struct Elector {
    instance: InstanceId,
    key: Box<str>,
    observed: Option<Observation>,
    confirmed: Option<(Lease, Time)>,
}

impl Elector {
    /// Elector for the lease in row `key`.
    #[must_use]
    pub fn new(instance: InstanceId, key: &str) -> Self {
        Self { instance, key: key.into(), observed: None, confirmed: None }
    }

    /// Fencing number, while this gateway may give orders.
    #[must_use]
    pub fn fence(&self, now: Time) -> Option<u64> {
        let (lease, renewed) = self.confirmed.as_ref()?;
        (now.since(*renewed) < LEASE_DURATION - SAFETY_MARGIN).then_some(lease.fence)
    }

    /// Renews, takes over or observes the lease; `now` reads the clock.
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

    /// Records a confirmed write of the row; the renewal counts from `started`, before the row was
    /// read.
    pub fn confirm(&mut self, lease: Lease, started: Time) {
        self.confirmed = Some((lease, started));
    }

    /// Row to write, if any, after a read from `started` to `ended` that returned `found`.
    ///
    /// A lease that is not its own is timed from the end of the read that first returned it. It has
    /// expired only when a read that began long enough after that returns it unchanged. Both
    /// choices count the uncertain time in favour of the holder.
    pub fn next_lease(
        &mut self,
        found: Option<&Lease>,
        started: Time,
        ended: Time,
    ) -> Option<Lease> {
        let Some(lease) = found else {
            return Some(Lease { holder: self.instance.clone(), fence: 1, beat: 1 });
        };
        let own = self.confirmed.as_ref().is_some_and(|(c, _)| c.fence == lease.fence);
        if own && lease.holder == self.instance {
            return Some(Lease { beat: lease.beat + 1, ..lease.clone() });
        }
        self.confirmed = None;
        let same = self.observed.as_ref().filter(|observed| observed.lease == *lease);
        let Some(observed) = same else {
            self.observed = Some(Observation { lease: lease.clone(), since: ended });
            return None;
        };
        let expired = started.since(observed.since) > LEASE_DURATION;
        expired.then(|| Lease {
            holder: self.instance.clone(),
            fence: lease.fence + 1,
            beat: lease.beat + 1,
        })
    }
}

fn decode(row: &Row) -> Option<Lease> {
    serde_json::from_str(&row.value).ok()
}

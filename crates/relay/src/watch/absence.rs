//! Entries of endpoints that have disappeared from the store.
//!
//! Most of them are removed from use at once. After an outage, or after the
//! store's return from a copy, they stay in use until they must be back, see
//! [`crate::outage`].

use crate::{blackboard::Blackboard, directory, dispatcher};
use codes::Event;
use slog::info;
use std::{collections::BTreeMap, future::Future, rc::Rc};
use units::{EndpointId, Time, Version};

/// Entry that is no longer in the store.
#[derive(Debug)]
struct Absence {
    since: Time,
    /// Time until which it may reappear and stays in use.
    until: Time,
    version: Version,
}

/// Entries that are no longer in the store and still in use.
#[derive(Debug, Default)]
pub struct Missing {
    entries: BTreeMap<EndpointId, Absence>,
}

impl Missing {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds entries, with the version at which each was found missing.
    pub fn add(&mut self, board: &Blackboard, absent: Vec<(EndpointId, Version)>) {
        let now = board.now();
        let until = removal_time(board, now);
        for (id, version) in absent {
            let is_new = !self.entries.contains_key(&id);
            if is_new && until > now && board.fleet.borrow().address(&id).is_some() {
                info!(board.log, "endpoint missing"; Event::EndpointLeaving, "endpoint" => %id,
                    "reason" => "the store was away", "version" => version.get(),
                    "in_use_ms" => crate::reply::millis(until.since(now)));
            }
            self.entries.entry(id).or_insert(Absence { since: now, until, version });
        }
    }

    /// Removes the entries from use that cannot reappear any more.
    pub fn release(&mut self, board: &Blackboard) {
        let now = board.now();
        self.entries.retain(|id, absence| {
            if is_listed_again(board, id, absence.since) {
                return false;
            }
            let is_gone = now >= absence.until;
            if is_gone {
                directory::remove(board, id, absence.version);
            }
            !is_gone
        });
    }

    /// Waits for `work`, and removes entries meanwhile as soon as they cannot reappear.
    pub async fn release_during<T>(
        &mut self,
        board: &Rc<Blackboard>,
        work: impl Future<Output = T>,
    ) -> T {
        let mut work = std::pin::pin!(work);
        loop {
            let due = self.entries.values().map(|absence| absence.until).min();
            let Some(due) = due else { return work.await };
            let delay = due.since(board.now());
            match tokio::time::timeout(delay, work.as_mut()).await {
                Ok(result) => return result,
                Err(_) => {
                    self.release(board);
                    dispatcher::dispatch_all(board);
                    super::notify_peers(board);
                }
            }
        }
    }
}

/// Time from which on an entry that is missing now is not in use any more.
fn removal_time(board: &Blackboard, now: Time) -> Time {
    board.outage.borrow().recovery_end(now).unwrap_or(now)
}

/// Whether a missing entry has been listed again since.
fn is_listed_again(board: &Blackboard, id: &EndpointId, since: Time) -> bool {
    board.fleet.borrow().listed_at(id).is_some_and(|at| at > since)
}

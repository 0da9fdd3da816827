//! Changes of the directory of endpoints, as nodes pass them on.
//!
//! Load pattern: hundreds of nodes that each read a directory of thousands of
//! entries after every change fill their own links with it. Here the few nodes
//! that follow the store tell the others what has changed.
//!
//! The store numbers all its changes. A node's *head* is the version up to
//! which it knows the directory. Those that follow the store tell an
//! [`Excerpt`]: their head, a *base*, and every change that they noted since
//! the base. Whoever knows the directory up to the base knows it up to the
//! head after taking over the changes; whoever does not has a gap and reads
//! the directory whole.
//!
//! A node that follows the store in steps does not see what changes and changes
//! back within a step. Another one may have told the state in between, which
//! the first would never correct. So an excerpt states the fingerprint of the
//! teller's directory as well, and whoever arrives at the same head with
//! another one for some time has a gap too.
//!
//! Invariants:
//! * an entry is never replaced by an older version of it;
//! * the head only grows, and only over changes that were taken over.

use sched::fleet::Listing;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use units::{EndpointId, Time, Version};

/// Time for which a change is told: several tellings, so that some may be lost.
const CHANGE_TTL: Duration = Duration::from_secs(5);
/// Changes that are told at once: a change takes some 80 bytes, a datagram holds 8 KB.
const MAX_CHANGES: usize = 64;
/// Time for which a fingerprint may differ before it counts as a gap. Tellers that have heard of
/// changes which they have not read yet differ until they have, so two of their intervals are enough.
const DIVERGENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the version of a removed entry is kept, so that no older news brings it back.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Change of one endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Endpoint.
    pub id: EndpointId,
    /// Version of the entry.
    pub version: Version,
    /// Its entry; none when it was removed.
    pub listing: Option<Listing>,
}

/// What a node tells of the directory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version after which all changes are told.
    pub base: Version,
    /// Version up to which the teller knows the directory.
    pub head: Version,
    /// Fingerprint of the directory at the head.
    pub fingerprint: u64,
    /// Changes.
    pub changes: Box<[Change]>,
}

#[derive(Debug, Clone, Copy, Default)]
struct EntryState {
    version: Version,
    /// Hash of the entry; zero when there is none.
    hash: u64,
    removed: Option<Time>,
}

#[derive(Debug)]
struct Record {
    change: Change,
    at: Time,
    /// Head when it was noted.
    head: Version,
}

fn hash(listing: &Listing) -> u64 {
    units::score(listing.id.as_str(), &format!("{listing:?}"))
}

/// Versions that a node knows, and changes that it tells.
#[derive(Debug, Default)]
pub struct Journal {
    head: Version,
    base: Version,
    entries: BTreeMap<EndpointId, EntryState>,
    recent: VecDeque<Record>,
    /// Hashes of all entries, combined.
    fingerprint: u64,
    /// Largest base that was told and is not known here.
    required_base: Version,
    /// Since when nobody tells of a directory like this one.
    diverged_since: Option<Time>,
    /// Changes noted since the start.
    change_count: u64,
    last_advance: Time,
}

impl Journal {
    /// Journal of a node that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Version up to which the directory is known.
    #[must_use]
    pub const fn head(&self) -> Version {
        self.head
    }

    /// Notes that the store was followed up to a version. While removals are held back, the
    /// directory is not known up to it, and the head stays.
    pub fn advance(&mut self, head: Version, deferred_removals: usize) {
        if deferred_removals > 0 && self.head != Version(0) {
            return;
        }
        if self.head == Version(0) {
            // What came with the first reading is no change to anyone.
            self.base = head;
            self.recent.clear();
        }
        self.head = self.head.max(head);
        self.diverged_since = None;
    }

    /// Changes noted since the start.
    #[must_use]
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Whether a version of an entry is newer than what is known of it.
    #[must_use]
    pub fn is_newer(&self, id: &EndpointId, version: Version) -> bool {
        self.entries.get(id).is_none_or(|known| version > known.version)
    }

    /// Notes a version of an entry that says the same as the one before.
    pub fn touch(&mut self, id: &EndpointId, version: Version) {
        self.entries.entry(id.clone()).or_default().version = version;
    }

    /// Notes a change that was taken over.
    pub fn record(&mut self, change: Change, now: Time) {
        let removed = change.listing.is_none().then_some(now);
        let hash = change.listing.as_ref().map_or(0, hash);
        let state = EntryState { version: change.version, hash, removed };
        let before = self.entries.insert(change.id.clone(), state).unwrap_or_default();
        self.fingerprint ^= before.hash ^ hash;
        self.change_count += 1;
        self.recent.push_back(Record { change, at: now, head: self.head });
        self.prune(now);
    }

    /// Changes that are kept, for telling them or against older news.
    #[must_use]
    pub fn retained(&self) -> usize {
        self.recent.len() + self.entries.len()
    }

    /// Drops what is not told any more; on nodes that tell nothing as well.
    fn prune(&mut self, now: Time) {
        while let Some(oldest) = self.recent.front()
            && (now.since(oldest.at) > CHANGE_TTL || self.recent.len() > MAX_CHANGES)
        {
            // The change may have come after the head of its time.
            self.base = self.base.max(oldest.head).max(oldest.change.version);
            self.recent.pop_front();
        }
        let old =
            |known: &EntryState| known.removed.is_some_and(|at| now.since(at) > TOMBSTONE_TTL);
        self.entries.retain(|_, known| !old(known));
    }

    /// What is told of the directory.
    pub fn delta(&mut self, now: Time) -> Delta {
        self.prune(now);
        let changes = self.recent.iter().map(|record| record.change.clone()).collect();
        let (head, fingerprint) = (self.head, self.fingerprint);
        Delta { base: self.base.min(head), head, fingerprint, changes }
    }

    /// Whether the changes of an excerpt follow on what is known here.
    fn applies(&self, delta: &Delta) -> bool {
        self.head != Version(0) && delta.base <= self.head && delta.head >= self.head
    }

    /// Changes of an excerpt that are to be taken over. What the teller believes at its head goes
    /// before what is believed here at the same head or an earlier one: a removal may have been held
    /// back, and is told after its version.
    #[must_use]
    pub fn unknown_changes(&self, delta: &Delta) -> Vec<Change> {
        if !self.applies(delta) {
            return Vec::new();
        }
        let is_new = |change: &&Change| self.is_newer(&change.id, change.version);
        delta.changes.iter().filter(is_new).cloned().collect()
    }

    /// Notes what another node told, once its news were taken over.
    pub fn merge(&mut self, delta: &Delta, now: Time) {
        if delta.head > self.head {
            self.last_advance = now;
        }
        if delta.head < self.head {
            return;
        }
        if !self.applies(delta) {
            self.required_base = self.required_base.max(delta.base);
        } else if delta.fingerprint == self.fingerprint {
            self.head = delta.head;
            self.diverged_since = None;
        } else {
            self.diverged_since.get_or_insert(now);
        }
    }

    /// When another node last told of a version that was new here.
    #[must_use]
    pub const fn last_advance(&self) -> Time {
        self.last_advance
    }

    /// Whether another node told of changes that follow on ones that are not known here.
    #[must_use]
    pub fn has_gap(&self, now: Time) -> bool {
        let diverged =
            self.diverged_since.is_some_and(|since| now.since(since) >= DIVERGENCE_TIMEOUT);
        diverged || self.required_base > self.head
    }
}

//! Replication of changes to the endpoint directory between nodes.
//!
//! If each of hundreds of nodes reread a directory of thousands of entries
//! after every change, the reads would saturate the nodes' own links. Instead,
//! the few nodes that follow the store send the changes to the others.
//!
//! The store numbers all changes. A node's *head* is the version up to which it
//! knows the directory. A node that follows the store sends a [`Delta`]: its
//! head, a *base*, and all changes that it recorded since the base. A node that
//! knows the directory up to the base knows it up to the head once it has
//! applied the changes. Any other node has a gap and rereads the whole
//! directory.
//!
//! A node that polls the store does not see a change that is reverted within
//! one polling interval. Another node may have sent the intermediate state,
//! which the first node would never correct. A delta therefore includes a
//! fingerprint of the sender's directory, and a node that has reached the same
//! head with a different fingerprint for some time has a gap, too.
//!
//! Invariants:
//! * an entry is never replaced by an older version of it;
//! * the head only increases, and only over changes that were applied.

use sched::fleet::{Fleet, Listing};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use units::{EndpointId, Time, Version};

/// Time for which a change is included in deltas; several are sent in this time, so some may be
/// lost.
const CHANGE_TTL: Duration = Duration::from_secs(5);
/// Maximum number of changes per delta; a change takes about 80 bytes, a datagram holds 8 KB.
const MAX_CHANGES: usize = 64;
/// Time for which fingerprints may differ before this counts as a gap. Senders that have received
/// changes before reading them from the store differ until they catch up, so two of their polling
/// intervals are enough.
const DIVERGENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the version of a removed entry is kept, so that an older change does not restore
/// it.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Change to one endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Endpoint.
    pub id: EndpointId,
    /// Version of the entry.
    pub version: Version,
    /// New entry; none if it was removed.
    pub listing: Option<Listing>,
}

/// Changes to the directory as sent to other nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version since which all changes are included.
    pub base: Version,
    /// Version up to which the sender knows the directory.
    pub head: Version,
    /// Fingerprint of the directory at the head.
    pub fingerprint: u64,
    /// Changes.
    pub changes: Box<[Change]>,
}

/// Whole directory as sent to a node that has a gap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version up to which the sender knows the directory.
    pub head: Version,
    /// Entries with their versions.
    pub entries: Box<[(Version, Listing)]>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    version: Version,
    /// Hash of the entry; zero if it was removed.
    hash: u64,
    removed: Option<Time>,
}

#[derive(Debug)]
struct Record {
    change: Change,
    at: Time,
    /// Head at the time of recording.
    head: Version,
}

fn hash(listing: &Listing) -> u64 {
    units::score(listing.id.as_str(), &format!("{listing:?}"))
}

/// Known entry versions and recent changes.
#[derive(Debug, Default)]
pub struct Journal {
    head: Version,
    base: Version,
    entries: BTreeMap<EndpointId, Entry>,
    recent: VecDeque<Record>,
    /// XOR of the hashes of all entries.
    fingerprint: u64,
    /// Highest base of the received deltas that could not be applied.
    required_base: Version,
    /// Time since which received fingerprints differ from the local one.
    diverged_since: Option<Time>,
    /// Number of changes recorded since the start.
    change_count: u64,
    last_advance: Time,
}

impl Journal {
    /// Empty journal.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Version up to which the directory is known.
    #[must_use]
    pub const fn head(&self) -> Version {
        self.head
    }

    /// Advances the head to a version read from the store. While removals are deferred, the
    /// directory is not known up to that version and the head stays.
    pub fn advance(&mut self, head: Version, deferred_removals: usize) {
        if deferred_removals > 0 && self.head != Version(0) {
            return;
        }
        if self.head == Version(0) {
            // Entries of the first read are not changes.
            self.base = head;
            self.recent.clear();
        }
        self.head = self.head.max(head);
        self.diverged_since = None;
    }

    /// Number of changes recorded since the start.
    #[must_use]
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Whether a version of an entry is newer than the known one.
    #[must_use]
    pub fn is_newer(&self, id: &EndpointId, version: Version) -> bool {
        self.entries.get(id).is_none_or(|known| version > known.version)
    }

    /// Whether an entry was removed a short time ago.
    #[must_use]
    pub fn is_removed(&self, id: &EndpointId) -> bool {
        self.entries.get(id).is_some_and(|known| known.removed.is_some())
    }

    /// Records a new version of an entry with unchanged content.
    pub fn touch(&mut self, id: &EndpointId, version: Version) {
        self.entries.entry(id.clone()).or_default().version = version;
    }

    /// Records an applied change.
    pub fn record(&mut self, change: Change, now: Time) {
        let removed = change.listing.is_none().then_some(now);
        let hash = change.listing.as_ref().map_or(0, hash);
        let entry = Entry { version: change.version, hash, removed };
        let before = self.entries.insert(change.id.clone(), entry).unwrap_or_default();
        self.fingerprint ^= before.hash ^ hash;
        self.change_count += 1;
        self.recent.push_back(Record { change, at: now, head: self.head });
        self.prune(now);
    }

    /// Number of retained changes and entry versions.
    #[must_use]
    pub fn retained(&self) -> usize {
        self.recent.len() + self.entries.len()
    }

    /// Drops expired changes and tombstones, also on nodes that send no deltas.
    fn prune(&mut self, now: Time) {
        while let Some(oldest) = self.recent.front()
            && (now.since(oldest.at) > CHANGE_TTL || self.recent.len() > MAX_CHANGES)
        {
            // The change may be newer than the head at the time of recording.
            self.base = self.base.max(oldest.head).max(oldest.change.version);
            self.recent.pop_front();
        }
        let is_expired =
            |known: &Entry| known.removed.is_some_and(|at| now.since(at) > TOMBSTONE_TTL);
        self.entries.retain(|_, known| !is_expired(known));
    }

    /// Delta to send to other nodes.
    pub fn delta(&mut self, now: Time) -> Delta {
        self.prune(now);
        let changes = self.recent.iter().map(|record| record.change.clone()).collect();
        let (head, fingerprint) = (self.head, self.fingerprint);
        Delta { base: self.base.min(head), head, fingerprint, changes }
    }

    /// Whole directory, with the listings that `fleet` holds.
    #[must_use]
    pub fn snapshot(&self, fleet: &Fleet) -> Snapshot {
        let entries = self.entries.iter().filter_map(|(id, entry)| {
            let listing = fleet.listing(id)?;
            Some((entry.version, listing.clone()))
        });
        Snapshot { head: self.head, entries: entries.collect() }
    }

    /// Listed entries that a snapshot lacks although it is at least as new.
    #[must_use]
    pub fn absent_entries(&self, snapshot: &Snapshot) -> Vec<EndpointId> {
        let present: BTreeSet<&EndpointId> =
            snapshot.entries.iter().map(|(_, listing)| &listing.id).collect();
        let absent = self.entries.iter().filter(|(id, entry)| {
            entry.removed.is_none() && entry.version <= snapshot.head && !present.contains(id)
        });
        absent.map(|(id, _)| id.clone()).collect()
    }

    /// Whether the changes of a delta continue from the known head.
    fn applies(&self, delta: &Delta) -> bool {
        self.head != Version(0) && delta.base <= self.head && delta.head >= self.head
    }

    /// Changes of a delta that are to be applied. The sender's state at its head takes precedence
    /// over this node's state at the same or an earlier head: a removal may have been deferred and
    /// is then sent after its version.
    #[must_use]
    pub fn unknown_changes(&self, delta: &Delta) -> Vec<Change> {
        if !self.applies(delta) {
            return Vec::new();
        }
        let is_new = |change: &&Change| self.is_newer(&change.id, change.version);
        delta.changes.iter().filter(is_new).cloned().collect()
    }

    /// Updates the head from a delta whose changes were applied.
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

    /// Version that a directory must have to close the gap.
    #[must_use]
    pub fn required(&self) -> Version {
        self.required_base.max(self.head)
    }

    /// Time at which a delta last had a higher head than this node.
    #[must_use]
    pub const fn last_advance(&self) -> Time {
        self.last_advance
    }

    /// Whether the directory must be reread, because changes are missing or fingerprints differ.
    #[must_use]
    pub fn has_gap(&self, now: Time) -> bool {
        let diverged =
            self.diverged_since.is_some_and(|since| now.since(since) >= DIVERGENCE_TIMEOUT);
        diverged || self.required_base > self.head
    }
}

//! Local state of the endpoint directory.
//!
//! Applies changes from the store and from other nodes. The [`crate::journal`]
//! decides which of two versions of an entry is current.

use crate::{
    blackboard::Blackboard,
    journal::{Change, Delta, Snapshot},
};
use codes::Event;
use sched::fleet::Listing;
use slog::info;
use units::{EndpointId, Version};

/// Adds or updates an entry from the store or another node.
pub fn upsert(board: &Blackboard, listing: Listing, version: Version) {
    if !board.journal.borrow().is_newer(&listing.id, version) {
        return;
    }
    let now = board.now();
    let distance = board.settings.distance(&listing.zone);
    let mut fleet = board.fleet.borrow_mut();
    let was_listed = fleet.address(&listing.id).is_some();
    let mut journal = board.journal.borrow_mut();
    if !fleet.upsert(listing.clone(), distance, now) {
        return journal.touch(&listing.id, version);
    }
    let event = if listing.leaving { Event::EndpointLeaving } else { Event::EndpointJoined };
    info!(board.log, "endpoint listed"; event, "endpoint" => %listing.id,
        "service" => %listing.service, "leaving" => listing.leaving, "known" => was_listed,
        "version" => version.get());
    journal.record(Change { id: listing.id.clone(), version, listing: Some(listing) }, now);
}

/// Removes an entry.
pub fn remove(board: &Blackboard, id: &EndpointId, version: Version) {
    let mut journal = board.journal.borrow_mut();
    if board.fleet.borrow_mut().remove(id) {
        info!(board.log, "endpoint gone"; Event::EndpointLeaving, "endpoint" => %id,
            "reason" => "not listed any more", "version" => version.get());
        journal.record(Change { id: id.clone(), version, listing: None }, board.now());
    }
}

/// Replaces the directory by another node's, which is at least as new.
pub fn replace(board: &Blackboard, snapshot: Snapshot) {
    let head = snapshot.head;
    if head < board.journal.borrow().head() {
        return;
    }
    let absent = board.journal.borrow().absent_entries(&snapshot);
    for (version, listing) in snapshot.entries {
        upsert(board, listing, version);
    }
    for id in absent {
        remove(board, &id, head);
    }
    board.journal.borrow_mut().advance(head, 0);
}

/// Applies changes from another node; returns whether there were any.
pub fn merge(board: &Blackboard, delta: &Delta) -> bool {
    // The first read must come from the store: changes cannot be applied to an unknown state.
    if !board.endpoints_read.get() {
        return false;
    }
    let changes = board.journal.borrow().unknown_changes(delta);
    let changed = !changes.is_empty();
    for change in changes {
        match change.listing {
            Some(listing) => upsert(board, listing, change.version),
            None => remove(board, &change.id, change.version),
        }
    }
    board.journal.borrow_mut().merge(delta, board.now());
    changed
}

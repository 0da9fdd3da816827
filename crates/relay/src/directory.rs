//! What the node believes of the directory of endpoints.
//!
//! News come from the store or from another node; both are taken over here.
//! The [`crate::journal`] decides which of two versions of an entry holds.

use crate::{
    blackboard::Blackboard,
    journal::{Change, Delta},
};
use codes::Event;
use sched::fleet::Listing;
use slog::info;
use units::{EndpointId, Version};

/// Takes over an entry that the store holds, or a node told.
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

/// Takes over that an entry is gone.
pub fn remove(board: &Blackboard, id: &EndpointId, version: Version) {
    let mut journal = board.journal.borrow_mut();
    if board.fleet.borrow_mut().remove(id) {
        info!(board.log, "endpoint gone"; Event::EndpointLeaving, "endpoint" => %id,
            "reason" => "not listed any more", "version" => version.get());
        journal.record(Change { id: id.clone(), version, listing: None }, board.now());
    }
}

/// Takes over what another node tells; true when something has changed here.
pub fn merge(board: &Blackboard, delta: &Delta) -> bool {
    // The first reading comes from the store: a node without it knows of no change what it changes.
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

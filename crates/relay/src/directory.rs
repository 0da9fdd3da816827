//! What the node believes of the directory of endpoints.
//!
//! News come from the store or from another node; both are taken over here.
//! The [`crate::journal`] decides which of two versions of an entry holds.

use crate::{
    blackboard::Blackboard,
    journal::{Change, Excerpt},
};
use codes::Event;
use sched::fleet::Listing;
use slog::info;
use units::{EndpointId, Version};

/// Takes over an entry that the store holds, or a node told.
pub fn list(board: &Blackboard, listing: Listing, version: Version) {
    if !board.journal.borrow().is_news(&listing.id, version) {
        return;
    }
    let now = board.now();
    let distance = board.settings.distance(&listing.zone);
    let mut fleet = board.fleet.borrow_mut();
    let known = fleet.address(&listing.id).is_some();
    let mut journal = board.journal.borrow_mut();
    if !fleet.upsert(listing.clone(), distance, now) {
        return journal.see(&listing.id, version);
    }
    let event = if listing.leaving { Event::EndpointLeaving } else { Event::EndpointJoined };
    info!(board.log, "endpoint listed"; event, "endpoint" => %listing.id,
        "service" => %listing.service, "leaving" => listing.leaving, "known" => known,
        "version" => version.get());
    journal.note(Change { id: listing.id.clone(), version, listing: Some(listing) }, now);
}

/// Takes over that an entry is gone.
pub fn remove(board: &Blackboard, id: &EndpointId, version: Version) {
    let mut journal = board.journal.borrow_mut();
    if board.fleet.borrow_mut().remove(id) {
        info!(board.log, "endpoint gone"; Event::EndpointLeaving, "endpoint" => %id,
            "reason" => "not listed any more", "version" => version.get());
        journal.note(Change { id: id.clone(), version, listing: None }, board.now());
    }
}

/// Takes over what another node tells; true when something has changed here.
pub fn hear(board: &Blackboard, excerpt: &Excerpt) -> bool {
    // The first reading comes from the store: a node without it knows of no change what it changes.
    if !board.listed.get() {
        return false;
    }
    let news = board.journal.borrow().news(excerpt);
    let changed = !news.is_empty();
    for change in news {
        match change.listing {
            Some(listing) => list(board, listing, change.version),
            None => remove(board, &change.id, change.version),
        }
    }
    board.journal.borrow_mut().hear(excerpt, board.now());
    changed
}

//! The platform's list: peers to join and endpoints to send to.
//!
//! An endpoint that the list shows as leaving is made known to every gateway
//! at once, so that it is enough that one of them polls. It counts as live
//! again only when a list shows it so long after that, since lists lag.

use super::{facts, poll_interval};
use crate::{
    blackboard::{Blackboard, LeavingMark, unix_time_ms},
    routing::Target,
    run::Bound,
};
use member::Source;
use sched::route::Backend;
use slog::info;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use store::{
    Directory,
    directory::{List, Listing, State},
};
use units::EndpointId;

/// Age of a mark of the platform after which a list may lift it.
const LIFT_PLATFORM_MS: u64 = 10_000;
/// Age of a mark of the placement controller after which its holder is taken for dead.
const LIFT_PLACEMENT_MS: u64 = 60_000;
/// Interval at which a pause or a missing list is looked for.
const STEP: Duration = Duration::from_millis(100);

/// Polls until the process ends.
pub async fn run(board: Arc<Blackboard>, directory: Directory, bound: Bound) {
    let mut registered = !board.settings.platform.register;
    loop {
        let started = board.now();
        if let Ok(list) = directory.list().await {
            apply(&board, &list);
            // A list that was asked for before a pause proves nothing.
            if started.0 >= board.stalled_at.load(Ordering::Relaxed) {
                board.stale.store(false, Ordering::Relaxed);
            }
            let me = board.settings.instance.as_str();
            registered = registered || list.listings.iter().any(|l| &*l.id == me);
        }
        if !registered {
            register(&board, &directory, bound, State::Live).await;
        }
        wait(&board).await;
    }
}

/// Waits for the next poll; a pause of the process ends the wait.
async fn wait(board: &Blackboard) {
    let until = board.now() + poll_interval(board);
    while board.now() < until && !board.stale.load(Ordering::Relaxed) {
        tokio::time::sleep(STEP).await;
    }
}

/// Lists this gateway, where the platform lets instances do so themselves.
pub async fn register(board: &Blackboard, directory: &Directory, bound: Bound, state: State) {
    let listing = Listing {
        id: board.settings.instance.as_str().into(),
        service: None,
        address: bound.peers,
        operator: Some(bound.operators),
        zone: board.settings.zone.clone(),
        region: board.settings.region.clone(),
        state,
    };
    if let Err(e) = directory.register(&listing).await {
        info!(board.log, "not listed yet"; "error" => format!("{e:#}"));
    }
}

fn apply(board: &Blackboard, list: &List) {
    let instances = list.listings.iter().filter(|listing| listing.service.is_none());
    let mut seeds: Vec<SocketAddr> = board.settings.peers.seeds.clone();
    seeds.extend(instances.filter(|l| l.state == State::Live).map(|l| l.address));
    board.roster.lock().set_seeds(seeds);
    let mut found = BTreeMap::new();
    for listing in &list.listings {
        if let Some((id, target)) = target_of(listing) {
            follow_state(board, &id, listing.state);
            found.insert(id, target);
        }
    }
    // A list without any endpoint is taken for a fault of the list.
    if found.is_empty() || *board.listed.read() == found {
        return;
    }
    *board.listed.write() = found;
    board.map_changed.notify_one();
}

fn target_of(listing: &Listing) -> Option<(EndpointId, Target)> {
    let service = listing.service.clone()?;
    let endpoint = EndpointId::new(&listing.id).ok()?;
    let backend = Backend {
        endpoint: endpoint.clone(),
        service,
        zone: listing.zone.clone(),
        region: listing.region.clone(),
    };
    let leaving = listing.state == State::Leaving;
    Some((endpoint, Target { backend, address: listing.address, leaving }))
}

fn follow_state(board: &Blackboard, endpoint: &EndpointId, state: State) {
    let marked = board.leaving.lock().get(endpoint).copied();
    match (state, marked) {
        (State::Leaving, None) => {
            facts::announce(board, facts::leaving(endpoint, true, Source::Platform));
        }
        (State::Live, Some(mark)) if may_lift(mark) => {
            facts::announce(board, facts::leaving(endpoint, false, mark.source));
        }
        _ => {}
    }
}

fn may_lift(mark: LeavingMark) -> bool {
    let age_ms = unix_time_ms().saturating_sub(mark.timestamp_ms);
    match mark.source {
        Source::Platform => age_ms > LIFT_PLATFORM_MS,
        Source::Placement => age_ms > LIFT_PLACEMENT_MS,
        Source::Operator => false,
    }
}

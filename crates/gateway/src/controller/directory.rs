//! Directory controller: reads the platform's list of instances and endpoints.
//!
//! When a list shows an endpoint as leaving, the gateway that polled it spreads
//! a mark to all others at once, so one gateway's poll is enough. Since lists
//! may be out of date, the mark is removed only by a list that shows the
//! endpoint as live some time later.

use super::{facts, poll_interval};
use crate::{
    blackboard::{Blackboard, Mark, unix_time_ms},
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

/// Age after which a list may remove a mark set by the platform.
const PLATFORM_MARK_MIN_AGE_MS: u64 = 10_000;
/// Age after which a list may remove a mark set by the placement controller, which is then
/// presumed dead.
const PLACEMENT_MARK_MIN_AGE_MS: u64 = 60_000;
/// Interval of checks for a pause of the process.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Polls until the process ends.
pub async fn run(board: Arc<Blackboard>, directory: Directory, bound: Bound) {
    let mut registered = !board.settings.platform.register;
    loop {
        let started = board.now();
        if let Ok(list) = directory.list().await {
            apply(&board, &list);
            // A list requested before a pause may be out of date.
            if started.0 >= board.stalled_at.load(Ordering::Relaxed) {
                board.stale.store(false, Ordering::Relaxed);
            }
            let instance = board.settings.instance.as_str();
            registered = registered || list.listings.iter().any(|l| &*l.id == instance);
        }
        if !registered {
            register(&board, &directory, bound, State::Live).await;
        }
        wait(&board).await;
    }
}

/// Waits for the next poll, or until a pause of the process has been detected.
async fn wait(board: &Blackboard) {
    let until = board.now() + poll_interval(board);
    while board.now() < until && !board.stale.load(Ordering::Relaxed) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Registers this gateway, on platforms where instances register themselves.
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
        info!(board.log, "cannot register with the directory"; "error" => format!("{e:#}"));
    }
}

fn apply(board: &Blackboard, list: &List) {
    let instances = list.listings.iter().filter(|listing| listing.service.is_none());
    let mut seeds: Vec<SocketAddr> = board.settings.peers.seeds.clone();
    seeds.extend(instances.filter(|l| l.state == State::Live).map(|l| l.address));
    board.roster.lock().set_seeds(seeds);
    let mut targets = BTreeMap::new();
    for listing in &list.listings {
        if let Some((id, target)) = target_of(listing) {
            update_mark(board, &id, listing.state);
            targets.insert(id, target);
        }
    }
    // A list without endpoints is presumed faulty.
    if targets.is_empty() || *board.listed.read() == targets {
        return;
    }
    *board.listed.write() = targets;
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

fn update_mark(board: &Blackboard, endpoint: &EndpointId, state: State) {
    let mark = board.leaving.lock().get(endpoint).copied();
    match (state, mark) {
        (State::Leaving, None) => {
            facts::announce(board, facts::leaving(endpoint, true, Source::Platform));
        }
        (State::Live, Some(mark)) if is_removable(mark) => {
            facts::announce(board, facts::leaving(endpoint, false, mark.source));
        }
        _ => {}
    }
}

fn is_removable(mark: Mark) -> bool {
    let age_ms = unix_time_ms().saturating_sub(mark.timestamp_ms);
    match mark.source {
        Source::Platform => age_ms > PLATFORM_MARK_MIN_AGE_MS,
        Source::Placement => age_ms > PLACEMENT_MARK_MIN_AGE_MS,
        Source::Operator => false,
    }
}

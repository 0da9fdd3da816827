//! Routing map and ownership of cells.

use crate::{blackboard::Blackboard, routing::Map};
use sched::route::Member;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use units::EndpointId;

/// Interval at which the map is made anew without a change, so that idle guest cells go.
const REFRESH: Duration = Duration::from_secs(5);

/// Rebuilds the map on every change.
pub async fn run(board: Arc<Blackboard>) {
    loop {
        rebuild(&board);
        let _ = tokio::time::timeout(REFRESH, board.map_changed.notified()).await;
    }
}

fn rebuild(board: &Blackboard) {
    let Some(config) = board.config.read().clone() else {
        return;
    };
    let members = members(board);
    let leaving: BTreeSet<EndpointId> = board.leaving.lock().keys().cloned().collect();
    let map = Map::new(&config.publication, &board.listed.read(), &leaving, &members);
    let map = Arc::new(map);
    *board.map.write() = Arc::clone(&map);
    board.dispatcher.remap(board, &map);
}

fn members(board: &Blackboard) -> Vec<Member> {
    let roster = board.roster.lock();
    let member = |record: &member::Record| Member {
        instance: record.instance.clone(),
        region: record.region.clone(),
    };
    roster.live().map(member).collect()
}

//! Cells controller: rebuilds the routing map and with it the ownership of cells.

use crate::{blackboard::Blackboard, routing::Map};
use sched::route::Member;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use units::EndpointId;

/// Interval of rebuilds without a change, which release idle cells that have another owner.
const REBUILD_INTERVAL: Duration = Duration::from_secs(5);

/// Rebuilds the map after every change and at an interval.
pub async fn run(board: Arc<Blackboard>) {
    loop {
        rebuild(&board);
        let _ = tokio::time::timeout(REBUILD_INTERVAL, board.map_changed.notified()).await;
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

//! Load reports of endpoints.
//!
//! With permits only the owner of a cell asks its endpoints, so an endpoint is
//! asked by one gateway. Baselines need every report at every gateway.

use crate::blackboard::{Blackboard, Report};
use member::Source;
use sched::policy::Policy;
use std::{sync::Arc, time::Duration};
use units::EndpointId;

/// Interval of reports.
const INTERVAL: Duration = Duration::from_millis(1000);

/// Asks until the process ends.
pub async fn run(board: Arc<Blackboard>, engines: engine::Client) {
    loop {
        for endpoint in endpoints(&board) {
            ntex::rt::spawn(ask(Arc::clone(&board), engines.clone(), endpoint));
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn endpoints(board: &Blackboard) -> Vec<EndpointId> {
    if board.settings.policy == Policy::Permits {
        return board.desk.owned_endpoints().into_iter().collect();
    }
    board.map().targets.keys().cloned().collect()
}

async fn ask(board: Arc<Blackboard>, engines: engine::Client, endpoint: EndpointId) {
    let Some(address) = board.map().targets.get(&endpoint).map(|target| target.address) else {
        return;
    };
    let Ok(load) = engines.load(address).await else {
        return;
    };
    let now = board.now();
    board.desk.report(&endpoint, load, now);
    board.reports.write().insert(endpoint.clone(), Report { load, at: now });
    if load.leaving {
        super::facts::announce(&board, super::facts::leaving(&endpoint, true, Source::Platform));
    }
}

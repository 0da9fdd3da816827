//! Load reports of endpoints.
//!
//! With permits only the owner of a cell asks its endpoints, so an endpoint is
//! asked by one gateway. Baselines need every report at every gateway.

use crate::blackboard::{Blackboard, LoadReport};
use member::Source;
use sched::policy::Policy;
use std::{sync::Arc, time::Duration};
use units::EndpointId;

/// Shortest interval of reports.
const INTERVAL: Duration = Duration::from_millis(1000);
/// Part of the interval for each endpoint that is asked, so that large cells stay within the budget.
const ENDPOINT_SHARE: Duration = Duration::from_millis(100);

/// Asks until the process ends.
pub async fn run(board: Arc<Blackboard>, engines: engine::Client) {
    loop {
        let endpoints = endpoints(&board);
        let count = u32::try_from(endpoints.len()).unwrap_or(u32::MAX);
        for endpoint in endpoints {
            ntex::rt::spawn(ask(Arc::clone(&board), engines.clone(), endpoint));
        }
        tokio::time::sleep(INTERVAL.max(interval(&board, count))).await;
    }
}

/// Interval of permits' reports; baselines live by their reports and are not slowed down.
fn interval(board: &Blackboard, endpoints: u32) -> Duration {
    match board.settings.policy {
        Policy::Permits => ENDPOINT_SHARE.saturating_mul(endpoints),
        _ => INTERVAL,
    }
}

fn endpoints(board: &Blackboard) -> Vec<EndpointId> {
    if board.settings.policy == Policy::Permits {
        return board.dispatcher.owned_endpoints().into_iter().collect();
    }
    board.map().targets.keys().cloned().collect()
}

async fn ask(board: Arc<Blackboard>, engines: engine::Client, endpoint: EndpointId) {
    let Some(address) = board.map().targets.get(&endpoint).map(|target| target.address) else {
        return;
    };
    let Ok(load) = engines.load_report(address).await else {
        return;
    };
    let now = board.now();
    board.dispatcher.report(&endpoint, load, now);
    board.load_reports.write().insert(endpoint.clone(), LoadReport { load, at: now });
    if load.leaving {
        super::facts::announce(&board, super::facts::leaving(&endpoint, true, Source::Platform));
    }
}

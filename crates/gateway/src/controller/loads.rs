//! Polls load reports from endpoints.
//!
//! With the permits policy, only the owner of a cell polls its endpoints, so
//! one gateway polls each endpoint. The baseline policies need every endpoint's
//! report at every gateway.

use crate::blackboard::{Blackboard, Load};
use member::Source;
use sched::policy::Policy;
use std::{sync::Arc, time::Duration};
use units::EndpointId;

/// Minimum poll interval.
const MIN_INTERVAL: Duration = Duration::from_millis(1000);
/// Poll interval per polled endpoint, which bounds the traffic of gateways with many endpoints.
const INTERVAL_PER_ENDPOINT: Duration = Duration::from_millis(100);

/// Polls until the process ends.
pub async fn run(board: Arc<Blackboard>, engines: engine::Client) {
    loop {
        let endpoints = endpoints(&board);
        let count = u32::try_from(endpoints.len()).unwrap_or(u32::MAX);
        for endpoint in endpoints {
            ntex::rt::spawn(poll(Arc::clone(&board), engines.clone(), endpoint));
        }
        tokio::time::sleep(MIN_INTERVAL.max(interval(&board, count))).await;
    }
}

/// Poll interval; the baseline policies depend on recent reports and always use the minimum.
fn interval(board: &Blackboard, endpoints: u32) -> Duration {
    match board.settings.policy {
        Policy::Permits => INTERVAL_PER_ENDPOINT.saturating_mul(endpoints),
        _ => MIN_INTERVAL,
    }
}

fn endpoints(board: &Blackboard) -> Vec<EndpointId> {
    if board.settings.policy == Policy::Permits {
        return board.dispatcher.owned_endpoints().into_iter().collect();
    }
    board.map().targets.keys().cloned().collect()
}

async fn poll(board: Arc<Blackboard>, engines: engine::Client, endpoint: EndpointId) {
    let Some(address) = board.map().targets.get(&endpoint).map(|target| target.address) else {
        return;
    };
    let Ok(load) = engines.load_report(address).await else {
        return;
    };
    let now = board.now();
    board.dispatcher.record_load(&endpoint, load, now);
    board.load_reports.write().insert(endpoint.clone(), Load { load, at: now });
    if load.leaving {
        super::facts::announce(&board, super::facts::leaving(&endpoint, true, Source::Platform));
    }
}

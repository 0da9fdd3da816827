//! Switches the learning of endpoints' capacity, see [`sched::capacity`], by the settings, and
//! reports what was learned.

use crate::{blackboard::Blackboard, configuration::Configuration, reply::millis};
use codes::Event;
use slog::info;
use std::collections::BTreeSet;
use units::ServiceId;

/// Applies a configuration that comes into force, in place of `before`.
pub fn apply(board: &Blackboard, configuration: &Configuration, before: Option<&Configuration>) {
    let services = configuration.services().chain(before.into_iter().flat_map(|c| c.services()));
    let services: BTreeSet<&ServiceId> = services.collect();
    let mut fleet = board.fleet.borrow_mut();
    for service in services {
        fleet.set_learning(service, board.settings.learning && configuration.uses(service));
    }
}

/// Logs endpoints whose learned concurrency falls below their slots or no longer does, and counts all
/// changes. A limit moves by one every few seconds, which is not logged.
pub fn report(board: &Blackboard) {
    let now = board.now();
    let mut fleet = board.fleet.borrow_mut();
    if !fleet.is_learning() {
        return;
    }
    for (id, change) in fleet.take_limit_changes() {
        let limits = (change.before.unwrap_or(u32::MAX), change.after.unwrap_or(u32::MAX));
        let is_fall = limits.1 < limits.0;
        board.metrics.count("endpoint_concurrency", if is_fall { "lowered" } else { "raised" });
        if change.before.is_some() && change.after.is_some() {
            continue;
        }
        let estimate = fleet.estimate(&id, now);
        info!(board.log, "learned concurrency of an endpoint"; Event::EndpointConcurrency,
            "endpoint" => %id, "before" => change.before, "after" => change.after,
            "slots" => fleet.listing(&id).map(|listing| listing.slots),
            "speed" => estimate.map(|e| e.speed), "age_ms" => estimate.and_then(|e| e.age).map(millis));
    }
    let limited = fleet.limited_concurrency(now);
    board
        .metrics
        .set_gauge("endpoints_limited_concurrency", u64::try_from(limited).unwrap_or(u64::MAX));
}

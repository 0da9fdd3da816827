//! Switches the learning of endpoints' capacity, see [`sched::capacity`], by the configuration.

use crate::{blackboard::Blackboard, configuration::Configuration};
use std::collections::BTreeSet;
use units::ServiceId;

/// Applies a configuration that comes into force, in place of `before`.
pub fn apply(board: &Blackboard, configuration: &Configuration, before: Option<&Configuration>) {
    let services = configuration.services().chain(before.into_iter().flat_map(|c| c.services()));
    let services: BTreeSet<&ServiceId> = services.collect();
    let mut fleet = board.fleet.borrow_mut();
    for service in services {
        fleet.set_learning(service, configuration.learns(service));
    }
}

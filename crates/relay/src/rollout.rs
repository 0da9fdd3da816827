//! Rollouts: traffic of a service moves to the release that an operator orders.
//!
//! Failures: a release whose responses fail or are slow, from the start or
//! later; a coordinator that ends between its decision and its write; a store
//! that is away when bad responses come; datagrams that are lost or late; all
//! nodes starting again in the middle of a rollout.
//!
//! * [`orders`] holds the rollouts that a node knows, and the stage that is in
//!   force; it has no I/O.
//! * [`counts`] counts the node's own responses by release.
//! * [`messages`] has the datagrams: stages go to all nodes at once, and are
//!   repeated like evidence ([`crate::announce`]); counts go to the coordinator
//!   and its standby.
//! * [`coordinator`] evaluates the counts of all nodes and decides on the next
//!   stage; the decisions are those of [`sched::rollout`].
//! * [`save`] writes the operator's status row and the nodes' own row.
//!
//! Readers of the store see the orders, see [`crate::watch`]. A node that starts
//! learns the stages from the nodes' table, before it is ready.
//!
//! Without [`crate::Settings::rollout`], nothing of this runs or is sent.

pub mod coordinator;
pub mod counts;
pub mod messages;
pub mod orders;
pub mod save;

pub use counts::Ticket;
pub use messages::{Announcement, Counts};
pub use orders::{Directive, Entry, Rollouts};

use crate::{
    blackboard::Blackboard,
    watch::{Store, Update},
};
use codes::Event;
use sched::{
    fleet::{Cohort, Policy},
    rollout::Stage,
};
use slog::info;
use std::collections::BTreeSet;
use units::{EndpointId, ServiceId, Version};

/// Whether the deployment has rollouts.
#[must_use]
pub fn is_enabled(board: &Blackboard) -> bool {
    board.settings.rollout.is_some()
}

/// Cohort of a request that is queued now. Second attempts, which avoid an endpoint, are never
/// sampled.
#[must_use]
pub fn sample(board: &Blackboard, service: &ServiceId, avoid: &[EndpointId]) -> Cohort {
    let fleet = board.fleet.borrow();
    match fleet.rollout(service) {
        None => Cohort::Any,
        Some(policy) if avoid.is_empty() && rand::random_bool(policy.sample_probability()) => {
            Cohort::Candidate
        }
        Some(_) => Cohort::Stable,
    }
}

/// Takes the orders out of rows of the operators' table.
pub fn apply_rows<S: Store>(board: &Blackboard, store: &S, update: &mut Update) {
    if !is_enabled(board) {
        return;
    }
    let mut present = BTreeSet::new();
    let mut deleted = Vec::new();
    for row in update.rows.extract_if(.., |row| store.order_service(&row.key).is_some()) {
        let Some(service) = store.order_service(&row.key) else { continue };
        match &row.value {
            Some(value) => {
                apply_directive(board, store.decode_order(&service, value, row.version));
                present.insert(service);
            }
            // The store assigns no version to a deleted row.
            None => deleted.push(service),
        }
    }
    if update.complete {
        let rollouts = board.rollouts.borrow();
        let absent = rollouts.services().filter(|service| !present.contains(*service));
        deleted.extend(absent.cloned());
    }
    for service in deleted {
        withdraw(board, &service, update.version);
    }
}

fn apply_directive(board: &Blackboard, directive: Directive) {
    let (service, id) = (directive.order.service.clone(), directive.order.id);
    let invalid = directive.invalid.clone();
    let changed = board.rollouts.borrow_mut().apply(directive, board.now());
    if !changed {
        return;
    }
    if let Some(cause) = invalid {
        info!(board.log, "rollout rejected"; Event::RolloutRejected, "service" => %service,
            "order" => %id, "cause" => &*cause);
        board.metrics.count("rollout", "rejected");
    }
    publish(board, &service, "ordered", "store");
}

/// Ends the rollout of an order whose row was deleted up to a version.
fn withdraw(board: &Blackboard, service: &ServiceId, version: Version) {
    let is_open = board
        .rollouts
        .borrow()
        .get(service)
        .is_some_and(|entry| !entry.stage.is_final() && entry.order.id.0 <= version.get());
    if is_open {
        set_stage(board, service, Stage::Reverted, "the order was deleted");
    }
}

/// Puts a stage in force at this node and has it announced.
pub fn set_stage(board: &Blackboard, service: &ServiceId, stage: Stage, reason: &str) {
    if board.rollouts.borrow_mut().set_stage(service, stage, board.now()) {
        publish(board, service, reason, "own");
    }
}

/// Applies a change to the fleet, logs it, and has it sent to all nodes.
fn publish(board: &Blackboard, service: &ServiceId, reason: &str, source: &str) {
    apply_policy(board, service);
    log_stage(board, service, reason, source);
    board.rollouts.borrow_mut().queue(service);
    board.announce_now.notify_one();
    board.rollouts_changed.notify_waiters();
}

/// Applies what another node or the store has told.
pub fn merge(board: &Blackboard, announcements: &[Announcement], source: &str) {
    if !is_enabled(board) {
        return;
    }
    let now = board.now();
    for announcement in announcements {
        let service = &announcement.order.service;
        if board.rollouts.borrow_mut().merge(announcement, now) {
            apply_policy(board, service);
            log_stage(board, service, "announced", source);
            board.rollouts_changed.notify_waiters();
        }
    }
}

/// Has the fleet follow the rollout of a service.
fn apply_policy(board: &Blackboard, service: &ServiceId) {
    let Some(bounds) = board.settings.rollout else { return };
    let rollouts = board.rollouts.borrow();
    let Some(entry) = rollouts.get(service) else { return };
    let candidate =
        if entry.is_executable() { entry.order.to.clone() } else { orders::unknown_release() };
    let policy = Policy {
        candidate,
        stage: entry.effective_stage(),
        share: bounds.share,
        excluded: entry.excluded.clone(),
    };
    board.fleet.borrow_mut().set_rollout(service, Some(policy), board.now());
    let open = rollouts.open().count();
    board.metrics.set_gauge("rollouts", u64::try_from(open).unwrap_or(u64::MAX));
}

fn log_stage(board: &Blackboard, service: &ServiceId, reason: &str, source: &str) {
    let rollouts = board.rollouts.borrow();
    let Some(entry) = rollouts.get(service) else { return };
    let listed = board.fleet.borrow().listed(service, &entry.order.to);
    info!(board.log, "rollout stage"; Event::RolloutStage, "service" => %service,
        "order" => %entry.order.id, "to" => %entry.order.to, "stage" => %entry.stage,
        "reason" => reason, "source" => source,
        "age_ms" => crate::reply::millis(entry.age(board.now())),
        "limit_ms" => crate::reply::millis(entry.order.limit),
        "listed_stable" => listed.stable, "listed_candidate" => listed.candidate);
    board.metrics.count("rollout", &entry.stage.to_string());
}

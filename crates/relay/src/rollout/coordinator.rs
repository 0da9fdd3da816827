//! Coordinator of a service's rollout.
//!
//! Failures: a coordinator that ends, is frozen or cut off; two coordinators at
//! once. Each service has a coordinator and a standby, found by rendezvous
//! hashing over the live nodes that read the store. Both collect the counts of
//! all nodes, which are cumulative, so that the standby continues with complete
//! figures.

use super::{is_enabled, messages, messages::Counts, set_stage};
use crate::blackboard::Blackboard;
use codes::Event;
use sched::rollout::{Change, Rollout, Stage, sample_probability};
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::UdpSocket;
use units::{ServiceId, Time};

/// Interval at which open rollouts are evaluated.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which counts are sent.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a node without an open rollout checks for one.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a node collects counts before it decides: at least one report of each node.
const COLLECTING_TIME: Duration = Duration::from_millis(600);
/// Interval between log lines of an open rollout.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Rollout that this node coordinates, or would as the standby.
#[derive(Debug)]
pub struct Coordinated {
    rollout: Rollout,
    since: Time,
    logged: Time,
}

/// Rollouts by service.
pub type Coordinating = BTreeMap<ServiceId, Coordinated>;

/// Key by which the coordinator of a service is chosen.
fn key(service: &ServiceId) -> String {
    format!("rollout/{service}")
}

/// Coordinator and standby of a service; none stands for this node.
#[must_use]
pub fn chosen(board: &Blackboard, service: &ServiceId) -> Vec<Option<SocketAddr>> {
    let is_reader = board.endpoints_read.get() && board.is_reader();
    let this = is_reader.then(|| board.is_store_lost());
    board.roster.borrow().coordinators(&key(service), this, board.now())
}

/// Whether this node coordinates the rollout of a service.
#[must_use]
pub fn is_coordinator(board: &Blackboard, service: &ServiceId) -> bool {
    chosen(board, service).first() == Some(&None)
}

/// Records the counts of a node.
pub fn record(board: &Blackboard, counts: Counts) {
    if !is_enabled(board) {
        return;
    }
    let mut coordinating = board.coordinating.borrow_mut();
    if let Some(known) = ensure(board, &mut coordinating, &counts.service) {
        known.rollout.record(&counts.from, counts.incarnation, counts.report);
    }
}

/// Rollout of the known order of a service; none if it has ended.
fn ensure<'a>(
    board: &Blackboard,
    coordinating: &'a mut Coordinating,
    service: &ServiceId,
) -> Option<&'a mut Coordinated> {
    let bounds = board.settings.rollout?;
    let rollouts = board.rollouts.borrow();
    let entry = rollouts.get(service).filter(|entry| !entry.stage.is_final())?;
    if coordinating.get(service).is_none_or(|c| c.rollout.order().id != entry.order.id) {
        let rollout = Rollout::new(entry.order.clone(), bounds, entry.stage);
        let now = board.now();
        let fresh = Coordinated { rollout, since: now, logged: now };
        coordinating.insert(service.clone(), fresh);
    }
    let known = coordinating.get_mut(service)?;
    known.rollout.adopt(entry.stage);
    Some(known)
}

/// Sends counts, and evaluates the rollouts that this node coordinates.
pub async fn run(board: Rc<Blackboard>, socket: Rc<UdpSocket>) {
    if !is_enabled(&board) {
        return std::future::pending().await;
    }
    let mut reported = Time::ZERO;
    loop {
        let has_open = board.rollouts.borrow().open().next().is_some();
        if has_open {
            tokio::time::sleep(STEP_INTERVAL).await;
        } else {
            board.coordinating.borrow_mut().clear();
            let changed = board.rollouts_changed.notified();
            // A timeout covers a change between the check and the wait.
            tokio::time::timeout(IDLE_INTERVAL, changed).await.ok();
        }
        let now = board.now();
        if now.since(reported) >= REPORT_INTERVAL {
            reported = now;
            messages::send_counts(&board, &socket);
        }
        evaluate(&board);
    }
}

/// Evaluates the rollouts that this node coordinates.
fn evaluate(board: &Blackboard) {
    let open = board.rollouts.borrow();
    let services: Vec<ServiceId> = open.open().map(|entry| entry.order.service.clone()).collect();
    drop(open);
    board.coordinating.borrow_mut().retain(|service, _| services.contains(service));
    for service in services {
        if !is_coordinator(board, &service) || !board.endpoints_read.get() {
            withdraw_proposal(board, &service);
            continue;
        }
        if let Some(cause) = unknown_service(board, &service) {
            set_stage(board, &service, Stage::Reverted, &cause);
        } else {
            let change = step(board, &service);
            let is_complete = change.as_ref().is_some_and(|(c, _)| c.stage == Stage::Completed);
            if !is_complete {
                withdraw_proposal(board, &service);
            }
            if let Some((change, counts)) = change {
                apply(board, &service, &change, &counts);
            }
        }
    }
}

/// Why the service of an order is unknown, if it is.
fn unknown_service(board: &Blackboard, service: &ServiceId) -> Option<String> {
    let configuration = board.configuration.borrow();
    let is_configured = configuration.as_ref()?.connections(service).is_some();
    (!is_configured && !board.fleet.borrow().has_endpoint_for(service))
        .then(|| format!("service {service} is neither configured nor listed"))
}

/// Change of stage that is due, with the counts that it follows from.
fn step(board: &Blackboard, service: &ServiceId) -> Option<(Change, String)> {
    let now = board.now();
    let mut live = board.roster.borrow().live_nodes(now);
    live.push(board.settings.instance.clone());
    let mut coordinating = board.coordinating.borrow_mut();
    let known = ensure(board, &mut coordinating, service)?;
    let (age, to) = {
        let rollouts = board.rollouts.borrow();
        let entry = rollouts.get(service)?;
        (entry.age(now), entry.order.to.clone())
    };
    let listed = board.fleet.borrow().listed(service, &to);
    let Coordinated { rollout, since, logged } = known;
    rollout.set_live(&live);
    if now.since(*since) < COLLECTING_TIME {
        return None;
    }
    let change = rollout.step(age, listed);
    let counts = summary(rollout);
    if now.since(*logged) >= LOG_INTERVAL {
        *logged = now;
        info!(board.log, "rollout in progress"; Event::RolloutProgress, "service" => %service,
            "order" => %rollout.order().id, "stage" => %rollout.stage(),
            "waits_for" => %rollout.waits_for(age), "counts" => &*counts,
            "age_ms" => crate::reply::millis(age), "nodes" => live.len(),
            "share" => sample_probability(rollout.bounds().share),
            "listed_stable" => listed.stable, "listed_candidate" => listed.candidate);
    }
    change.map(|change| (change, counts))
}

/// Counts of both releases as text.
fn summary(rollout: &Rollout) -> String {
    let [stable, candidate] = rollout.totals();
    format!(
        "stable {} responses, {} failures, p95 {:?}; candidate {}, {}, {:?}",
        stable.answers,
        stable.failures,
        stable.latency.quantile(0.95).unwrap_or_default(),
        candidate.answers,
        candidate.failures,
        candidate.latency.quantile(0.95).unwrap_or_default()
    )
}

/// Withdraws the proposal of an end that is not in the store yet: requests may be in flight at the
/// old release again, or the new one has come under suspicion.
fn withdraw_proposal(board: &Blackboard, service: &ServiceId) {
    if let Some(entry) = board.rollouts.borrow_mut().get_mut(service) {
        entry.proposed = false;
    }
}

/// Puts a stage in force; the end of a good rollout only once the store holds it.
fn apply(board: &Blackboard, service: &ServiceId, change: &Change, counts: &str) {
    if change.stage != Stage::Completed {
        return set_stage(board, service, change.stage, &format!("{}; {counts}", change.reason));
    }
    let mut rollouts = board.rollouts.borrow_mut();
    let Some(entry) = rollouts.get_mut(service) else { return };
    if entry.proposed {
        return;
    }
    entry.proposed = true;
    info!(board.log, "rollout complete, to be saved"; Event::RolloutStage, "service" => %service,
        "order" => %entry.order.id, "to" => %entry.order.to, "reason" => %change.reason,
        "counts" => counts, "age_ms" => crate::reply::millis(entry.age(board.now())));
    drop(rollouts);
    board.rollouts_changed.notify_waiters();
}

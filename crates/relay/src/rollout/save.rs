//! Rows of rollouts in the store.
//!
//! Failures: a store that is away, that performs a call and loses its response,
//! or that two coordinators write at once. The coordinator writes the operator's
//! status row and the nodes' own row in one transaction, under the condition
//! that both are as it has read them. It reads before each attempt to write, so
//! that a call whose response was lost is recognised, and so that a later stage
//! which the store holds stays.

use super::{Announcement, Entry, coordinator, is_enabled, publish};
use crate::{
    blackboard::Blackboard,
    watch::{Error, Row, Store},
};
use codes::Event;
use futures_util::future::join_all;
use sched::rollout::{Order, OrderId, Stage};
use serde::{Deserialize, Serialize};
use slog::info;
use std::{rc::Rc, time::Duration};
use units::{Release, ServiceId, Version};

/// Prefix of the keys of rows with rollouts in the nodes' table.
const ROLLOUT_ROWS: &str = "rollout/";
/// Interval at which a failed write is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Same, while nothing is to be written, in case this node becomes the coordinator.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// State of a rollout as the store holds it for the nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// Order.
    pub order: Order,
    /// Stage.
    pub stage: Stage,
    /// Time of the store's clock at which it held the order, in ms.
    pub ordered_ms: u64,
    /// Releases of earlier orders that get no requests.
    pub excluded: Box<[Release]>,
}

/// Rows of a service's rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// Version of the status row; zero if there is none.
    pub status: Version,
    /// The nodes' own row, if there is one.
    pub own: Option<Row>,
}

/// Content of the operator's status row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Service.
    pub service: ServiceId,
    /// Stage.
    pub stage: Stage,
    /// Release of the order.
    pub to: Release,
}

/// Key of the nodes' own row of a service.
#[must_use]
pub fn row_key(service: &ServiceId) -> String {
    format!("{ROLLOUT_ROWS}{service}")
}

/// State in a row of the nodes' table; none for other rows and for those that cannot be decoded.
fn decode_row(row: &Row) -> Option<Saved> {
    row.key.strip_prefix(ROLLOUT_ROWS)?;
    postcard::from_bytes(row.value.as_ref()?).ok()
}

/// Takes over the state of rollouts from rows of the nodes' table.
pub fn load<S: Store>(board: &Blackboard, store: &S, rows: &[Row]) {
    for saved in rows.iter().filter_map(decode_row) {
        merge_saved(board, store, &saved);
    }
}

/// Takes over what the store holds.
fn merge_saved<S: Store>(board: &Blackboard, store: &S, saved: &Saved) {
    let age_ms = store.clock_ms().map_or(0, |now| now.saturating_sub(saved.ordered_ms));
    let announcement = Announcement {
        order: saved.order.clone(),
        stage: saved.stage,
        age_ms,
        excluded: saved.excluded.clone(),
    };
    super::merge(board, &[announcement], "store");
}

/// Writes what the store is to hold of the rollouts that this node coordinates.
pub async fn run<S: Store>(board: Rc<Blackboard>, store: Rc<S>) {
    if !is_enabled(&board) {
        return std::future::pending().await;
    }
    loop {
        let unsaved = board.rollouts.borrow().unsaved();
        let mine: Vec<ServiceId> =
            unsaved.into_iter().filter(|s| coordinator::is_coordinator(&board, s)).collect();
        if mine.is_empty() {
            // The change may come between the check and the wait.
            tokio::time::timeout(IDLE_INTERVAL, board.rollouts_changed.notified()).await.ok();
            continue;
        }
        let saving = mine.iter().map(|service| save(&board, &*store, service));
        if join_all(saving).await.contains(&false) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Writes the rows of a service's rollout; false if that is to be tried again.
async fn save<S: Store>(board: &Blackboard, store: &S, service: &ServiceId) -> bool {
    let result = try_save(board, store, service).await;
    let (outcome, fault) = match result {
        Ok(written) => (if written { "written" } else { "held" }, None),
        Err(Error::Conflict) => ("conflict", Some(Error::Conflict)),
        Err(error) => ("failed", Some(error)),
    };
    board.metrics.count("rollout_store", outcome);
    if let Some(fault) = &fault {
        info!(board.log, "rollout not saved"; Event::RolloutUnsaved, "service" => %service,
            "fault" => %fault);
    }
    fault.is_none()
}

/// Reads the rows of a service's rollout, and writes them unless they are as they are to be.
async fn try_save<S: Store>(
    board: &Blackboard,
    store: &S,
    service: &ServiceId,
) -> Result<bool, Error> {
    let rows = store.read_rollout(service, &row_key(service)).await?;
    let held = rows.own.as_ref().and_then(decode_row);
    if let Some(held) = &held {
        merge_saved(board, store, held);
    }
    let Some((entry, wanted)) = wanted(board, store, service) else { return Ok(false) };
    let is_held = held.is_some_and(|held| {
        (held.order.id, held.stage) == (wanted.order.id, wanted.stage) && rows.status > Version(0)
    });
    if !is_held {
        let own = postcard::to_stdvec(&wanted);
        let own = own.map_err(|e| Error::Unavailable(e.to_string().into()))?;
        let status =
            Status { service: service.clone(), stage: wanted.stage, to: wanted.order.to.clone() };
        store.write_rollout(&row_key(service), &status, &own, &rows).await?;
    }
    record_saved(board, service, entry.order.id, wanted.stage);
    Ok(!is_held)
}

/// What the store is to hold now; none if its clock is not known or the rollout is gone.
fn wanted<S: Store>(board: &Blackboard, store: &S, service: &ServiceId) -> Option<(Entry, Saved)> {
    let entry = board.rollouts.borrow().get(service)?.clone();
    let age = u64::try_from(entry.age(board.now()).as_millis()).unwrap_or(u64::MAX);
    let saved = Saved {
        order: entry.order.clone(),
        stage: entry.desired(),
        ordered_ms: store.clock_ms().unwrap_or(0).saturating_sub(age),
        excluded: entry.excluded.iter().cloned().collect(),
    };
    Some((entry, saved))
}

/// Records that the store holds a stage. The end of a good rollout is in force from then on.
fn record_saved(board: &Blackboard, service: &ServiceId, order: OrderId, stage: Stage) {
    let now = board.now();
    let mut rollouts = board.rollouts.borrow_mut();
    let Some(entry) = rollouts.get_mut(service).filter(|entry| entry.order.id == order) else {
        return;
    };
    entry.saved = Some(stage);
    info!(board.log, "rollout saved"; Event::RolloutSaved, "service" => %service,
        "order" => %order, "stage" => %stage, "age_ms" => crate::reply::millis(entry.age(now)));
    let completed = stage == Stage::Completed && rollouts.set_stage(service, stage, now);
    drop(rollouts);
    if completed {
        publish(board, service, "the store holds the end", "store");
    }
}

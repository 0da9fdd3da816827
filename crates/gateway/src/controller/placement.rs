//! Placement controller: moves endpoints between services, under a lease.
//!
//! Cell owners report the demand for their cells to the member that ranks first
//! for placement. Only that member tries to acquire the lease, and it gives
//! orders only while its lease is confirmed. It runs one order at a time:
//!
//! 1. The endpoint is marked as leaving at every gateway.
//! 2. Once the mark has had time to spread and the endpoint reports that it is
//!    idle, it is ordered to load the other service.
//! 3. The order is repeated until the platform lists the endpoint under that
//!    service.
//! 4. The mark is removed.
//!
//! Endpoints that check fencing tokens refuse the order of a holder that was
//! paused beyond the end of its lease. For endpoints that do not, three
//! measures take the place of that check: the lease is checked immediately
//! before an order is sent; a new holder waits for the length of a lease before
//! its first order; and orders are repeated until the state matches. A pause
//! between the check and the send remains possible.

use super::{facts, membership};
use crate::{blackboard::Blackboard, routing::Target};
use codes::Event;
use engine::client::{Order as EngineOrder, Ordered};
use member::Source;
use sched::{
    CellId,
    placement::{Assignment, Demand, Order, Planner},
};
use slog::info;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use store::{
    Table,
    lease::{Elector, LEASE_DURATION},
};
use units::{InstanceId, ServiceId, Time, score};
use wire::Frame;

/// Row key of the lease, also hashed to rank the candidates for it.
const LEASE: &str = "lease/placement";
/// Interval of reports and steps.
const STEP_INTERVAL: Duration = Duration::from_secs(1);
/// Age at which a demand report is discarded.
const DEMAND_TTL: Duration = Duration::from_secs(4);
/// Time for the mark of a leaving endpoint to reach every gateway.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time limit for one order, from the mark to the new listing.
const ORDER_TIMEOUT: Duration = Duration::from_secs(45);

/// Latest demand reports by cell.
#[derive(Debug, Default)]
pub struct Demands {
    cells: BTreeMap<CellId, (Demand, Time)>,
}

impl Demands {
    /// Records one report.
    pub fn record(&mut self, cell: CellId, demand: Demand, now: Time) {
        self.cells.insert(cell, (demand, now));
    }

    fn fresh(&mut self, now: Time) -> Vec<Demand> {
        self.cells.retain(|_, (_, at)| now.since(*at) < DEMAND_TTL);
        self.cells.values().map(|(demand, _)| demand.clone()).collect()
    }
}

/// Move in progress, with its order.
#[derive(Debug)]
struct Move {
    order: Order,
    since: Time,
    sent: bool,
}

struct Controller {
    board: Arc<Blackboard>,
    table: Table,
    engines: engine::Client,
    elector: Elector,
    planner: Planner,
    active: Option<Move>,
    leading_since: Option<Time>,
}

/// Runs the controller until the process ends.
pub async fn run(board: Arc<Blackboard>, table: Table, engines: engine::Client) {
    let elector = Elector::new(board.settings.instance.clone(), LEASE);
    let mut controller = Controller {
        board,
        table,
        engines,
        elector,
        planner: Planner::new(),
        active: None,
        leading_since: None,
    };
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        controller.step().await;
    }
}

impl Controller {
    async fn step(&mut self) {
        let movable = movable(&self.board);
        if movable.len() < 2 {
            return;
        }
        let candidate = first_candidate(&self.board);
        self.report(&candidate);
        if candidate == self.board.settings.instance {
            let board = Arc::clone(&self.board);
            self.elector.step(&self.table, || board.now()).await;
        }
        if self.is_settled() {
            self.lead(&movable).await;
        } else {
            self.active = None;
        }
    }

    /// Reports the demand for the owned cells to the first candidate.
    fn report(&self, candidate: &InstanceId) {
        let now = self.board.now();
        for (cell, demand) in self.board.dispatcher.demands() {
            if *candidate == self.board.settings.instance {
                self.board.demands.lock().record(cell, demand, now);
                continue;
            }
            let capacity = demand.capacity.clamp(0.0, 1e6);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
            let report = wire::Demand {
                backlog: demand.backlog,
                in_use: u32::try_from(demand.in_use).unwrap_or(u32::MAX),
                capacity: capacity as u32,
            };
            membership::send(&self.board, candidate, Frame::Demand(cell, report));
        }
    }

    /// Whether the lease has been held for so long that no order of an earlier holder is pending.
    fn is_settled(&mut self) -> bool {
        let now = self.board.now();
        if self.elector.fence(now).is_none() {
            if self.leading_since.take().is_some() {
                info!(self.board.log, "lease lost"; Event::Lease);
            }
            return false;
        }
        let since = *self.leading_since.get_or_insert_with(|| {
            info!(self.board.log, "lease taken"; Event::Lease, "fence" => self.elector.fence(now));
            now
        });
        now.since(since) >= LEASE_DURATION
    }

    async fn lead(&mut self, movable: &BTreeSet<ServiceId>) {
        match self.active.take() {
            Some(active) => self.active = self.advance(active).await,
            None => self.active = self.plan(movable),
        }
    }

    fn plan(&mut self, movable: &BTreeSet<ServiceId>) -> Option<Move> {
        let now = self.board.now();
        let demands = self.board.demands.lock().fresh(now);
        let map = self.board.map();
        let free = |target: &&Target| !target.leaving && movable.contains(&target.backend.service);
        let assignment = |target: &Target| Assignment {
            endpoint: target.backend.endpoint.clone(),
            service: target.backend.service.clone(),
        };
        let assignments: Vec<Assignment> =
            map.targets.values().filter(free).map(assignment).collect();
        let order = self.planner.plan(&demands, &assignments, movable, now)?;
        let backlog_ms = u64::try_from(order.backlog.as_millis()).unwrap_or(u64::MAX);
        info!(self.board.log, "placement"; Event::Placement, "endpoint" => %order.endpoint,
            "from" => %order.from, "to" => %order.to, "backlog_ms" => backlog_ms,
            "donor_use" => order.donor_use);
        let mark = facts::leaving(&order.endpoint, true, Source::Placement);
        facts::announce(&self.board, mark);
        Some(Move { order, since: now, sent: false })
    }

    /// Advances the order by one step; returns `None` once it has ended.
    async fn advance(&mut self, mut active: Move) -> Option<Move> {
        let now = self.board.now();
        let map = self.board.map();
        let target = map.targets.get(&active.order.endpoint).cloned();
        let Some(target) = target.filter(|_| now.since(active.since) < ORDER_TIMEOUT) else {
            self.finish(&active, "given up");
            return None;
        };
        if target.backend.service == active.order.to {
            self.finish(&active, "done");
            return None;
        }
        let drained = now.since(active.since) >= PROPAGATION_TIME && self.is_idle(&target).await;
        if active.sent || drained {
            active.sent |= self.send(&active, &target).await;
        }
        Some(active)
    }

    async fn is_idle(&self, target: &Target) -> bool {
        let load = self.engines.load_report(target.address).await;
        load.is_ok_and(|load| load.running == 0 && load.waiting == 0)
    }

    /// Sends the order if the lease is still held; false when it was not sent or was fenced off.
    async fn send(&self, active: &Move, target: &Target) -> bool {
        let Some(fence) = self.elector.fence(self.board.now()) else {
            return false;
        };
        let order = EngineOrder { fence, service: active.order.to.clone() };
        let response = self.engines.order(target.address, &order).await;
        info!(self.board.log, "order sent"; Event::Order, "endpoint" => %active.order.endpoint,
            "fence" => fence, "service" => %order.service, "answer" => format!("{response:?}"));
        response != Ordered::Fenced
    }

    fn finish(&self, active: &Move, outcome: &str) {
        info!(self.board.log, "placement ended"; Event::Placement,
            "endpoint" => %active.order.endpoint, "outcome" => outcome.to_owned());
        let mark = facts::leaving(&active.order.endpoint, false, Source::Placement);
        facts::announce(&self.board, mark);
    }
}

/// Member that ranks first for placement.
fn first_candidate(board: &Blackboard) -> InstanceId {
    let roster = board.roster.lock();
    let best = roster.live().max_by_key(|record| score(record.instance.as_str(), LEASE));
    best.map_or_else(|| board.settings.instance.clone(), |record| record.instance.clone())
}

/// Services between which endpoints may be moved.
fn movable(board: &Blackboard) -> BTreeSet<ServiceId> {
    let config = board.config.read().clone();
    let services = config.iter().flat_map(|config| config.publication.services.iter());
    services.filter(|file| file.movable).map(|file| file.service.clone()).collect()
}

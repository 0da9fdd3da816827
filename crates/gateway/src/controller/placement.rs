//! Placement: orders to endpoints, under a lease.
//!
//! Owners report the demand for their cells to the member that ranks first for
//! placement. That member alone tries for the lease, and gives orders only
//! while its lease is confirmed. One order at a time goes through these steps:
//! the endpoint is marked as leaving at every gateway; once it has had time to
//! run empty and reports that it has, it is ordered to load the other service;
//! the order is repeated until the platform lists the endpoint under it; then
//! the mark is lifted.
//!
//! Endpoints that check fencing refuse the order of a holder that was paused
//! past its lease. For those that do not, three things stand in: the fence is
//! asked for right before the order leaves; a new holder waits a whole lease
//! before its first order; and orders are repeated until the state agrees. What
//! remains is a pause between that check and the send.

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

/// Row of the lease, and the key that ranks its candidates.
const LEASE: &str = "lease/placement";
/// Interval of reports and steps.
const STEP: Duration = Duration::from_secs(1);
/// Age at which a report of demand is forgotten.
const DEMAND_TTL: Duration = Duration::from_secs(4);
/// Time for news of a leaving endpoint to reach every gateway.
const LEAVE_TIME: Duration = Duration::from_secs(3);
/// Time for one order, from mark to listing.
const ORDER_LIMIT: Duration = Duration::from_secs(45);

/// Demand for cells, as their owners report it.
#[derive(Debug, Default)]
pub struct DemandReports {
    cells: BTreeMap<CellId, (Demand, Time)>,
}

impl DemandReports {
    /// Notes one report.
    pub fn note(&mut self, cell: CellId, demand: Demand, now: Time) {
        self.cells.insert(cell, (demand, now));
    }

    fn fresh(&mut self, now: Time) -> Vec<Demand> {
        self.cells.retain(|_, (_, at)| now.since(*at) < DEMAND_TTL);
        self.cells.values().map(|(demand, _)| demand.clone()).collect()
    }
}

/// Order in progress.
#[derive(Debug)]
struct Running {
    order: Order,
    since: Time,
    sent: bool,
}

struct Controller {
    board: Arc<Blackboard>,
    table: Table,
    engines: engine::Client,
    tenure: Elector,
    planner: Planner,
    running: Option<Running>,
    leading_since: Option<Time>,
}

/// Runs until the process ends.
pub async fn run(board: Arc<Blackboard>, table: Table, engines: engine::Client) {
    let tenure = Elector::new(board.settings.instance.clone(), LEASE);
    let mut controller = Controller {
        board,
        table,
        engines,
        tenure,
        planner: Planner::new(),
        running: None,
        leading_since: None,
    };
    loop {
        tokio::time::sleep(STEP).await;
        controller.step().await;
    }
}

impl Controller {
    async fn step(&mut self) {
        let movable = movable(&self.board);
        if movable.len() < 2 {
            return;
        }
        let candidate = candidate(&self.board);
        self.report(&candidate);
        if candidate == self.board.settings.instance {
            let board = Arc::clone(&self.board);
            self.tenure.step(&self.table, || board.now()).await;
        }
        if self.is_settled() {
            self.lead(&movable).await;
        } else {
            self.running = None;
        }
    }

    /// Reports the demand for owned cells to the member that plans.
    fn report(&self, candidate: &InstanceId) {
        let now = self.board.now();
        for (cell, demand) in self.board.dispatcher.demands() {
            if *candidate == self.board.settings.instance {
                self.board.demands.lock().note(cell, demand, now);
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

    /// Whether the lease is held, and has been for long enough that no older order is on its way.
    fn is_settled(&mut self) -> bool {
        let now = self.board.now();
        if self.tenure.fence(now).is_none() {
            if self.leading_since.take().is_some() {
                info!(self.board.log, "lease lost"; Event::Lease);
            }
            return false;
        }
        let since = *self.leading_since.get_or_insert_with(|| {
            info!(self.board.log, "lease taken"; Event::Lease, "fence" => self.tenure.fence(now));
            now
        });
        now.since(since) >= LEASE_DURATION
    }

    async fn lead(&mut self, movable: &BTreeSet<ServiceId>) {
        match self.running.take() {
            Some(running) => self.running = self.advance(running).await,
            None => self.running = self.plan(movable),
        }
    }

    fn plan(&mut self, movable: &BTreeSet<ServiceId>) -> Option<Running> {
        let now = self.board.now();
        let demands = self.board.demands.lock().fresh(now);
        let map = self.board.map();
        let free = |target: &&Target| !target.leaving && movable.contains(&target.backend.service);
        let seat = |target: &Target| Assignment {
            endpoint: target.backend.endpoint.clone(),
            service: target.backend.service.clone(),
        };
        let seats: Vec<Assignment> = map.targets.values().filter(free).map(seat).collect();
        let order = self.planner.plan(&demands, &seats, movable, now)?;
        let backlog_ms = u64::try_from(order.backlog.as_millis()).unwrap_or(u64::MAX);
        info!(self.board.log, "placement"; Event::Placement, "endpoint" => %order.endpoint,
            "from" => %order.from, "to" => %order.to, "backlog_ms" => backlog_ms,
            "donor_use" => order.donor_use);
        let mark = facts::leaving(&order.endpoint, true, Source::Placement);
        facts::announce(&self.board, mark);
        Some(Running { order, since: now, sent: false })
    }

    /// Next step of the order; none when it is over.
    async fn advance(&mut self, mut running: Running) -> Option<Running> {
        let now = self.board.now();
        let map = self.board.map();
        let target = map.targets.get(&running.order.endpoint).cloned();
        let Some(target) = target.filter(|_| now.since(running.since) < ORDER_LIMIT) else {
            self.finish(&running, "given up");
            return None;
        };
        if target.backend.service == running.order.to {
            self.finish(&running, "done");
            return None;
        }
        let emptied = now.since(running.since) >= LEAVE_TIME && self.is_empty(&target).await;
        if running.sent || emptied {
            running.sent |= self.send(&running, &target).await;
        }
        Some(running)
    }

    async fn is_empty(&self, target: &Target) -> bool {
        let load = self.engines.load_report(target.address).await;
        load.is_ok_and(|load| load.running == 0 && load.waiting == 0)
    }

    async fn send(&self, running: &Running, target: &Target) -> bool {
        let Some(fence) = self.tenure.fence(self.board.now()) else {
            return false;
        };
        let order = EngineOrder { fence, service: running.order.to.clone() };
        let answer = self.engines.order(target.address, &order).await;
        info!(self.board.log, "order"; Event::Order, "endpoint" => %running.order.endpoint,
            "fence" => fence, "service" => %order.service, "answer" => format!("{answer:?}"));
        answer != Ordered::Fenced
    }

    fn finish(&self, running: &Running, outcome: &str) {
        info!(self.board.log, "placement ended"; Event::Placement,
            "endpoint" => %running.order.endpoint, "outcome" => outcome.to_owned());
        let mark = facts::leaving(&running.order.endpoint, false, Source::Placement);
        facts::announce(&self.board, mark);
    }
}

/// Member that ranks first for placement.
fn candidate(board: &Blackboard) -> InstanceId {
    let roster = board.roster.lock();
    let best = roster.live().max_by_key(|record| score(record.instance.as_str(), LEASE));
    best.map_or_else(|| board.settings.instance.clone(), |record| record.instance.clone())
}

fn movable(board: &Blackboard) -> BTreeSet<ServiceId> {
    let config = board.config.read().clone();
    let services = config.iter().flat_map(|config| config.publication.services.iter());
    services.filter(|file| file.movable).map(|file| file.service.clone()).collect()
}

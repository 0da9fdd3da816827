//! Cells that this gateway owns.

use crate::{blackboard::Blackboard, routing::Map};
use codes::Event;
use rand::Rng;
use sched::{
    Cell, CellId, Job, Outcome, Shed,
    cell::{Config, Decisions, Load},
    placement::Demand,
    window::Change,
};
use slog::info;
use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};
use units::{EndpointId, InstanceId, Permit, RequestId, Time};
use wire::HeldPermit;

/// Time for which a cell that belongs to another owner is kept after its last bid.
const GUEST_IDLE: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Entry {
    cell: Cell,
    sheds: Vec<Shed>,
    used: Time,
    own: bool,
}

/// Window of one endpoint, for status.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Gauge {
    cell: String,
    endpoint: EndpointId,
    in_flight: usize,
    limit: f64,
}

/// Cells owned here, by right or because their owner is silent.
#[derive(Debug, Default)]
pub struct Owned {
    cells: BTreeMap<CellId, Entry>,
}

impl Owned {
    /// Names of the cells.
    pub fn ids(&self) -> Vec<CellId> {
        self.cells.keys().cloned().collect()
    }

    /// Bids waiting.
    pub fn waiting(&self) -> usize {
        self.cells.values().map(|entry| entry.cell.waiting()).sum()
    }

    /// Endpoints of the cells.
    pub fn endpoints(&self) -> HashSet<EndpointId> {
        let windows = self.cells.values().flat_map(|entry| entry.cell.windows());
        windows.map(|(endpoint, _, _)| endpoint.clone()).collect()
    }

    /// Demand for the cells that are owned by right.
    pub fn demands(&self) -> Vec<(CellId, Demand)> {
        let own = self.cells.iter().filter(|(_, entry)| entry.own);
        own.map(|(id, entry)| (id.clone(), entry.cell.demand())).collect()
    }

    /// Windows of the endpoints.
    pub fn windows(&self) -> Vec<Gauge> {
        let mut gauges = Vec::new();
        for entry in self.cells.values() {
            for (endpoint, in_flight, limit) in entry.cell.windows() {
                let cell = entry.cell.id().to_string();
                gauges.push(Gauge { cell, endpoint: endpoint.clone(), in_flight, limit });
            }
        }
        gauges
    }

    /// Registers a bid; true when it was known.
    pub fn register(&mut self, board: &Blackboard, id: &CellId, bid: Job, now: Time) -> bool {
        let entry = self.entry(board, id, now);
        entry.used = now;
        let known = entry.cell.contains(bid.request);
        let sheds = entry.cell.register(bid, now);
        entry.sheds.extend(sheds);
        known
    }

    fn entry(&mut self, board: &Blackboard, id: &CellId, now: Time) -> &mut Entry {
        self.cells.entry(id.clone()).or_insert_with(|| {
            info!(board.log, "cell taken"; Event::CellTaken, "cell" => %id);
            let mut entry =
                Entry { cell: new_cell(board, id, now), sheds: Vec::new(), used: now, own: false };
            fill(&mut entry.cell, &board.map());
            entry
        })
    }

    /// Decisions of a cell.
    pub fn decide(&mut self, id: &CellId, now: Time) -> Decisions {
        let Some(entry) = self.cells.get_mut(id) else {
            return Decisions::default();
        };
        let mut decisions = entry.cell.decide(now);
        decisions.sheds.append(&mut entry.sheds);
        decisions
    }

    /// Withdraws a bid.
    pub fn cancel(&mut self, id: &CellId, request: RequestId) {
        if let Some(entry) = self.cells.get_mut(id) {
            entry.cell.cancel(request);
        }
    }

    /// Notes a first token.
    pub fn first_token(
        &mut self,
        board: &Blackboard,
        id: &CellId,
        permit: Permit,
        took: Duration,
        now: Time,
    ) {
        let entry = self.cells.get_mut(id);
        let change = entry.and_then(|entry| entry.cell.record_first_token(permit, took, now));
        log_change(board, id, change);
    }

    /// Notes that an endpoint streams more slowly than usual.
    pub fn slowed(
        &mut self,
        board: &Blackboard,
        id: &CellId,
        endpoint: &EndpointId,
        hundredths: u32,
        now: Time,
    ) {
        let ratio = f64::from(hundredths) / 100.0;
        let entry = self.cells.get_mut(id);
        let change = entry.and_then(|entry| entry.cell.record_slowdown(endpoint, ratio, now));
        log_change(board, id, change.map(|change| (endpoint.clone(), change)));
    }

    /// Takes back a permit.
    pub fn ended(
        &mut self,
        board: &Blackboard,
        id: &CellId,
        permit: Permit,
        outcome: Outcome,
        now: Time,
    ) {
        let entry = self.cells.get_mut(id);
        let change = entry.and_then(|entry| entry.cell.release(permit, outcome, now));
        log_change(board, id, change);
    }

    /// Learns which permits a holder uses.
    pub fn holding(&mut self, holder: &InstanceId, id: &CellId, held: &[HeldPermit], now: Time) {
        let Some(entry) = self.cells.get_mut(id) else {
            return;
        };
        for one in held {
            match &one.job {
                Some(bid) => {
                    let bid = bid.clone().into_job(now);
                    entry.cell.adopt(holder, &bid, one.permit, &one.endpoint, now);
                }
                None => entry.cell.renew(one.permit, now),
            }
        }
    }

    /// Takes back permits without news.
    pub fn reclaim(&mut self, now: Time) {
        for entry in self.cells.values_mut() {
            entry.cell.reclaim(now);
        }
    }

    /// Corrects an endpoint's window by its load report.
    pub fn report(&mut self, endpoint: &EndpointId, load: engine::client::LoadReport, now: Time) {
        let load = Load { running: load.running, waiting: load.waiting };
        for entry in self.cells.values_mut() {
            entry.cell.record_load(endpoint, load, now);
        }
    }

    /// Drops what a dead gateway had registered.
    pub fn drop_holder(&mut self, holder: &InstanceId, now: Time) {
        for entry in self.cells.values_mut() {
            entry.cell.drop_holder(holder, now);
        }
    }

    /// Takes and releases cells by a new map.
    pub fn remap(&mut self, board: &Blackboard, map: &Map, now: Time) {
        let me = &board.settings.instance;
        for (id, cell) in &map.cells {
            if cell.owners.first() == Some(me) {
                self.entry(board, id, now).own = true;
            }
        }
        self.cells.retain(|id, entry| {
            let first = map.cells.get(id).and_then(|cell| cell.owners.first());
            entry.own = first == Some(me);
            let keep =
                map.cells.contains_key(id) && (entry.own || now.since(entry.used) < GUEST_IDLE);
            if !keep {
                info!(board.log, "cell released"; Event::CellReleased, "cell" => %id);
            }
            keep
        });
        for entry in self.cells.values_mut() {
            fill(&mut entry.cell, map);
        }
    }
}

fn new_cell(board: &Blackboard, id: &CellId, now: Time) -> Cell {
    let config = Config { max_backlog: board.settings.limits.horizon, ..Config::default() };
    // Permits of successive owners must not meet, so numbering starts anywhere.
    Cell::new(id.clone(), config, rand::rng().random(), now)
}

fn fill(cell: &mut Cell, map: &Map) {
    let Some(found) = map.cells.get(cell.id()) else {
        return;
    };
    cell.set_endpoints(&found.endpoints);
    for endpoint in &found.endpoints {
        let leaving = map.targets.get(endpoint).is_some_and(|target| target.leaving);
        cell.set_leaving(endpoint, leaving);
    }
}

fn log_change(board: &Blackboard, cell: &CellId, change: Option<(EndpointId, Change)>) {
    let Some((endpoint, change)) = change else {
        return;
    };
    let event = match change {
        Change::Reduced => Event::WindowCut,
        Change::Restored => Event::WindowRestored,
    };
    info!(board.log, "window changed"; event, "cell" => %cell, "endpoint" => %endpoint);
}

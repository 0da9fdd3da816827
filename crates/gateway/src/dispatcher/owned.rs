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
use wire::Holding;

/// Time for which a cell with another primary owner is kept after its last registration.
const STANDBY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Entry {
    cell: Cell,
    /// Rejections that the next round of decisions delivers.
    sheds: Vec<Shed>,
    last_registration: Time,
    /// Whether this gateway is the first owner of the cell.
    is_primary: bool,
}

/// Window of one endpoint, for the status page.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Window {
    cell: String,
    endpoint: EndpointId,
    in_flight: usize,
    limit: f64,
}

/// Cells owned by this gateway, as their first owner or in place of one that is silent.
#[derive(Debug, Default)]
pub struct Owned {
    cells: BTreeMap<CellId, Entry>,
}

impl Owned {
    /// Ids of the cells.
    pub fn ids(&self) -> Vec<CellId> {
        self.cells.keys().cloned().collect()
    }

    /// Number of requests waiting in the cells.
    pub fn waiting(&self) -> usize {
        self.cells.values().map(|entry| entry.cell.waiting()).sum()
    }

    /// Endpoints of the cells.
    pub fn endpoints(&self) -> HashSet<EndpointId> {
        let windows = self.cells.values().flat_map(|entry| entry.cell.windows());
        windows.map(|(endpoint, _, _)| endpoint.clone()).collect()
    }

    /// Demand for the cells of which this gateway is the first owner.
    pub fn demands(&self) -> Vec<(CellId, Demand)> {
        let primary = self.cells.iter().filter(|(_, entry)| entry.is_primary);
        primary.map(|(id, entry)| (id.clone(), entry.cell.demand())).collect()
    }

    /// Windows of the endpoints, for the status page.
    pub fn windows(&self) -> Vec<Window> {
        let mut windows = Vec::new();
        for entry in self.cells.values() {
            for (endpoint, in_flight, limit) in entry.cell.windows() {
                let cell = entry.cell.id().to_string();
                windows.push(Window { cell, endpoint: endpoint.clone(), in_flight, limit });
            }
        }
        windows
    }

    /// Registers a job; true when it was registered already.
    pub fn register(&mut self, board: &Blackboard, id: &CellId, job: Job, now: Time) -> bool {
        let entry = self.entry(board, id, now);
        entry.last_registration = now;
        let known = entry.cell.contains(job.request);
        let sheds = entry.cell.register(job, now);
        entry.sheds.extend(sheds);
        known
    }

    /// Entry of a cell; takes the cell over when it is not owned yet.
    fn entry(&mut self, board: &Blackboard, id: &CellId, now: Time) -> &mut Entry {
        self.cells.entry(id.clone()).or_insert_with(|| {
            info!(board.log, "cell taken"; Event::CellTaken, "cell" => %id);
            let mut entry = Entry {
                cell: new_cell(board, id, now),
                sheds: Vec::new(),
                last_registration: now,
                is_primary: false,
            };
            update_endpoints(&mut entry.cell, &board.map());
            entry
        })
    }

    /// Runs one round of decisions of a cell.
    pub fn decide(&mut self, id: &CellId, now: Time) -> Decisions {
        let Some(entry) = self.cells.get_mut(id) else {
            return Decisions::default();
        };
        let mut decisions = entry.cell.decide(now);
        decisions.sheds.append(&mut entry.sheds);
        decisions
    }

    /// Withdraws the registration of a request.
    pub fn cancel(&mut self, id: &CellId, request: RequestId) {
        if let Some(entry) = self.cells.get_mut(id) {
            entry.cell.cancel(request);
        }
    }

    /// Records the first token of a response.
    pub fn record_first_token(
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

    /// Records that an endpoint streams more slowly than usual.
    pub fn record_slowdown(
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
    pub fn release(
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

    /// Renews the permits that a holder uses, and restores those issued by an earlier owner.
    pub fn renew(&mut self, holder: &InstanceId, id: &CellId, held: &[Holding], now: Time) {
        let Some(entry) = self.cells.get_mut(id) else {
            return;
        };
        for held_permit in held {
            match &held_permit.job {
                Some(job) => {
                    let job = job.clone().into_job(now);
                    entry.cell.restore_permit(
                        holder,
                        &job,
                        held_permit.permit,
                        &held_permit.endpoint,
                        now,
                    );
                }
                None => entry.cell.renew(held_permit.permit, now),
            }
        }
    }

    /// Reclaims permits that no holder has renewed.
    pub fn reclaim(&mut self, now: Time) {
        for entry in self.cells.values_mut() {
            entry.cell.reclaim(now);
        }
    }

    /// Applies an endpoint's load report.
    pub fn record_load(&mut self, endpoint: &EndpointId, load: engine::client::Load, now: Time) {
        let load = Load { running: load.running, waiting: load.waiting };
        for entry in self.cells.values_mut() {
            entry.cell.record_load(endpoint, load, now);
        }
    }

    /// Drops the requests registered by a gateway that died or left.
    pub fn drop_holder(&mut self, holder: &InstanceId, now: Time) {
        for entry in self.cells.values_mut() {
            entry.cell.drop_holder(holder, now);
        }
    }

    /// Takes over and releases cells according to a new map.
    pub fn remap(&mut self, board: &Blackboard, map: &Map, now: Time) {
        let me = &board.settings.instance;
        for (id, cell) in &map.cells {
            if cell.owners.first() == Some(me) {
                self.entry(board, id, now).is_primary = true;
            }
        }
        self.cells.retain(|id, entry| {
            let first = map.cells.get(id).and_then(|cell| cell.owners.first());
            entry.is_primary = first == Some(me);
            let keep = map.cells.contains_key(id)
                && (entry.is_primary || now.since(entry.last_registration) < STANDBY_IDLE_TIMEOUT);
            if !keep {
                info!(board.log, "cell released"; Event::CellReleased, "cell" => %id);
            }
            keep
        });
        for entry in self.cells.values_mut() {
            update_endpoints(&mut entry.cell, map);
        }
    }
}

fn new_cell(board: &Blackboard, id: &CellId, now: Time) -> Cell {
    let config = Config { max_backlog: board.settings.limits.horizon, ..Config::default() };
    // A random first number keeps the permits of successive owners from colliding.
    Cell::new(id.clone(), config, rand::rng().random(), now)
}

/// Sets the endpoints of a cell and their leaving marks as in the map.
fn update_endpoints(cell: &mut Cell, map: &Map) {
    let Some(mapped) = map.cells.get(cell.id()) else {
        return;
    };
    cell.set_endpoints(&mapped.endpoints);
    for endpoint in &mapped.endpoints {
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

//! Dispatcher: waiting requests, owned cells and permits in use, behind one
//! lock.
//!
//! It connects the I/O-free parts: the [`Holder`] of this gateway's requests
//! and the [`sched::Cell`]s that this gateway owns. Requests and decisions pass
//! between the two by calls when the cell is owned here, by frames otherwise.

mod baseline;
mod owned;
mod progress;

use crate::{blackboard::Blackboard, routing::Map};
use codes::{Code, Event};
use owned::Owned;
use parking_lot::Mutex;
use sched::{
    CellId, Grant, Holder, Job, Outcome,
    holder::{Action, Route},
    placement::Demand,
    straggler::Detector,
};
use slog::info;
use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::sync::oneshot;
use units::{EndpointId, InstanceId, Permit, RegionId, RequestId, ServiceId, Time, score};
use wire::{Frame, Holding, TimedJob};

/// Maximum number of cells that a request is registered with at first.
const INITIAL_CELLS: usize = 2;

/// Permission to dispatch a request, with the endpoint to dispatch it to.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Owner that issued the grant.
    pub owner: InstanceId,
    /// Cell of the endpoint.
    pub cell: CellId,
    /// Grant.
    pub grant: Grant,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Whether the endpoint is in another region.
    pub cross_region: bool,
    /// Progress of the response, read by the dispatcher.
    pub progress: Arc<progress::Recorder>,
}

/// Decision on a waiting request.
#[derive(Debug)]
pub enum Decision {
    /// Dispatch the request.
    Run(Box<Assignment>),
    /// Refuse the request.
    Refuse(Code),
}

#[derive(Debug)]
struct InUse {
    owner: InstanceId,
    endpoint: EndpointId,
    job: Job,
    progress: Arc<progress::Recorder>,
}

#[derive(Debug, Default)]
struct Inner {
    holder: Holder,
    owned: Owned,
    waiters: HashMap<RequestId, oneshot::Sender<Decision>>,
    in_use: HashMap<(CellId, Permit), InUse>,
    baseline: baseline::State,
    detectors: HashMap<EndpointId, Detector>,
    /// Bytes charged for spilled requests; falls at the configured rate.
    spilled_bytes: f64,
    spill_updated: Time,
}

/// Waiting requests, owned cells and permits in use.
#[derive(Debug, Default)]
pub struct Dispatcher {
    inner: Mutex<Inner>,
}

/// Sizes for the status page and metrics.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct Sizes {
    /// Requests of this gateway that wait.
    pub waiting: usize,
    /// Permits that this gateway uses.
    pub in_use: usize,
    /// Cells that this gateway owns.
    pub cells: usize,
    /// Requests that wait in those cells.
    pub bids: usize,
}

impl Dispatcher {
    /// Queues a request; the decision is sent to the returned receiver.
    pub fn submit(
        &self,
        board: &Blackboard,
        service: &ServiceId,
        job: Job,
    ) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        let now = board.now();
        let mut inner = self.inner.lock();
        if inner.evict_for(board, &job) {
            let _ = sender.send(Decision::Refuse(Code::TooManyRequests));
            return receiver;
        }
        if board.settings.policy != sched::policy::Policy::Permits {
            inner.submit_baseline(board, service, job, sender);
            return receiver;
        }
        let map = board.map();
        let routes =
            initial_routes(&map, service, &board.settings.region, &board.settings.instance);
        inner.waiters.insert(job.request, sender);
        let actions = inner.holder.submit(job, &routes, now);
        inner.perform(board, actions, now);
        receiver
    }

    /// Withdraws a waiting request; does nothing once it has been granted or refused.
    pub fn withdraw(&self, board: &Blackboard, request: RequestId) {
        let now = board.now();
        let mut inner = self.inner.lock();
        inner.waiters.remove(&request);
        let actions = inner.holder.withdraw(request);
        inner.perform(board, actions, now);
    }

    /// Reports the time to the first token to the cell's owner.
    pub fn record_first_token(&self, board: &Blackboard, assignment: &Assignment, took: Duration) {
        let now = board.now();
        let (cell, permit) = (&assignment.cell, assignment.grant.permit);
        let mut inner = self.inner.lock();
        if assignment.owner == board.settings.instance {
            inner.owned.record_first_token(board, cell, permit, took, now);
            inner.decide(board, cell, now);
        } else {
            inner.send(board, &assignment.owner, Frame::FirstToken(cell.clone(), permit, took));
        }
    }

    /// Returns a permit to the cell's owner.
    pub fn release(&self, board: &Blackboard, assignment: &Assignment, outcome: Outcome) {
        let now = board.now();
        let mut inner = self.inner.lock();
        inner.in_use.remove(&(assignment.cell.clone(), assignment.grant.permit));
        inner.baseline.release(&assignment.grant.endpoint);
        let (owner, cell) = (assignment.owner.clone(), assignment.cell.clone());
        let permit = assignment.grant.permit;
        let action = Action::Return { owner, cell, permit, outcome };
        inner.perform(board, vec![action], now);
    }

    /// Handles a frame about requests, grants or permits.
    pub fn receive(&self, board: &Blackboard, from: &InstanceId, frame: Frame) {
        let now = board.now();
        let mut inner = self.inner.lock();
        match frame {
            Frame::Register(cell, job) => inner.register_remote(board, from, cell, job, now),
            Frame::Cancel(cell, request) => inner.owned.cancel(&cell, request),
            Frame::FirstToken(cell, permit, took) => {
                inner.owned.record_first_token(board, &cell, permit, took, now);
                inner.decide(board, &cell, now);
            }
            Frame::Slowed(cell, endpoint, hundredths) => {
                inner.owned.record_slowdown(board, &cell, &endpoint, hundredths, now);
            }
            Frame::Ended(cell, permit, outcome) => {
                inner.owned.release(board, &cell, permit, outcome, now);
                inner.decide(board, &cell, now);
            }
            Frame::Holding(cell, held) => inner.owned.renew(from, &cell, &held, now),
            Frame::Grant(cell, grant) => {
                let actions = inner.holder.grant(from, &cell, grant, now);
                inner.perform(board, actions, now);
            }
            Frame::Shed(cell, shed) => {
                let actions = inner.holder.shed(from, &cell, shed.request, shed.code, now);
                inner.perform(board, actions, now);
            }
            Frame::Queued(_) => inner.holder.record_contact(from, now),
            _ => {}
        }
    }

    /// Runs the timers of the waiting requests and a round of decisions of each owned cell.
    pub fn tick(&self, board: &Blackboard) {
        let now = board.now();
        let map = board.map();
        let mut inner = self.inner.lock();
        let actions = inner.holder.tick(now, |cell| map.route(cell));
        inner.perform(board, actions, now);
        inner.spill(board, &map, now);
        for cell in inner.owned.ids() {
            inner.decide(board, &cell, now);
        }
    }

    /// Reports endpoints that stream more slowly than usual to their cells' owners.
    pub fn report_slow_endpoints(&self, board: &Blackboard) {
        let now = board.now();
        let mut inner = self.inner.lock();
        for (owner, cell, endpoint, hundredths) in inner.slow_endpoints(now) {
            if owner == board.settings.instance {
                inner.owned.record_slowdown(board, &cell, &endpoint, hundredths, now);
            } else {
                inner.send(board, &owner, Frame::Slowed(cell, endpoint, hundredths));
            }
        }
    }

    /// Reports the permits in use to the cells' owners, and reclaims unrenewed permits of the
    /// owned cells.
    pub fn report_held(&self, board: &Blackboard) {
        let now = board.now();
        let map = board.map();
        let mut inner = self.inner.lock();
        let mut reports: HashMap<(InstanceId, CellId), Vec<Holding>> = HashMap::new();
        for ((cell, permit), used) in &inner.in_use {
            let Some(owner) = map.cells.get(cell).and_then(|c| c.owners.first()) else {
                continue;
            };
            let issued_by_owner = *owner == used.owner;
            let job = (!issued_by_owner).then(|| TimedJob::new(used.job.clone(), now));
            let held = Holding { permit: *permit, endpoint: used.endpoint.clone(), job };
            reports.entry((owner.clone(), cell.clone())).or_default().push(held);
        }
        for ((owner, cell), held) in reports {
            if owner == board.settings.instance {
                inner.owned.renew(&owner, &cell, &held, now);
            } else {
                inner.send(board, &owner, Frame::Holding(cell, held.into()));
            }
        }
        inner.owned.reclaim(now);
    }

    /// Adapts the owned cells to a new map.
    pub fn remap(&self, board: &Blackboard, map: &Map) {
        let now = board.now();
        self.inner.lock().owned.remap(board, map, now);
    }

    /// Applies an endpoint's load report to its windows.
    pub fn record_load(&self, endpoint: &EndpointId, load: engine::client::Load, now: Time) {
        self.inner.lock().owned.record_load(endpoint, load, now);
    }

    /// Drops the requests registered by a gateway that died or left.
    pub fn drop_holder(&self, holder: &InstanceId, now: Time) {
        self.inner.lock().owned.drop_holder(holder, now);
    }

    /// Refuses every waiting request.
    pub fn refuse_all(&self, board: &Blackboard, code: Code) {
        let now = board.now();
        let mut inner = self.inner.lock();
        let waiting: Vec<RequestId> = inner.waiters.keys().copied().collect();
        for request in waiting {
            let mut actions = inner.holder.withdraw(request);
            actions.push(Action::Refuse { request, code });
            inner.perform(board, actions, now);
        }
    }

    /// Demand for the cells of which this gateway is the first owner.
    #[must_use]
    pub fn demands(&self) -> Vec<(CellId, Demand)> {
        self.inner.lock().owned.demands()
    }

    /// Endpoints of the owned cells.
    #[must_use]
    pub fn owned_endpoints(&self) -> HashSet<EndpointId> {
        self.inner.lock().owned.endpoints()
    }

    /// Sizes for the status page and metrics.
    #[must_use]
    pub fn sizes(&self) -> Sizes {
        let inner = self.inner.lock();
        Sizes {
            waiting: inner.waiters.len(),
            in_use: inner.in_use.len(),
            cells: inner.owned.ids().len(),
            bids: inner.owned.waiting(),
        }
    }

    /// Windows of the owned cells' endpoints, for the status page.
    #[must_use]
    pub fn windows(&self) -> Vec<owned::Window> {
        self.inner.lock().owned.windows()
    }
}

/// Routes that a request is registered with at first: to cells of the home region, or of any
/// region when the home region has none.
///
/// A gateway uses the same few cells for all its requests to a service, which bounds the number of
/// connections between owners and holders whatever the number of cells.
fn initial_routes(
    map: &Map,
    service: &ServiceId,
    region: &RegionId,
    instance: &InstanceId,
) -> Vec<Route> {
    let mut cells = map.cells_in(service, region, true);
    if cells.is_empty() {
        cells = map.cells_in(service, region, false);
    }
    cells.sort_by_cached_key(|cell| std::cmp::Reverse(score(&cell.to_string(), instance.as_str())));
    cells.iter().take(INITIAL_CELLS).filter_map(|cell| map.route(cell)).collect()
}

impl Inner {
    /// Makes room for a request, if need be by refusing a waiting one of a lower tier; true when
    /// there is no room.
    fn evict_for(&mut self, board: &Blackboard, job: &Job) -> bool {
        let held = self.waiters.len() + self.in_use.len();
        if held < board.settings.limits.requests {
            return false;
        }
        let candidate = self.holder.jobs().max_by_key(|waiting| (waiting.rank, waiting.deadline));
        let Some(victim) =
            candidate.filter(|waiting| waiting.rank > job.rank).map(|waiting| waiting.request)
        else {
            return true;
        };
        let mut actions = self.holder.withdraw(victim);
        actions.push(Action::Refuse { request: victim, code: Code::QueueFull });
        self.perform(board, actions, board.now());
        false
    }

    fn perform(&mut self, board: &Blackboard, actions: Vec<Action>, now: Time) {
        let mut queue: VecDeque<Action> = actions.into();
        while let Some(action) = queue.pop_front() {
            queue.extend(self.perform_one(board, action, now));
        }
    }

    fn perform_one(&mut self, board: &Blackboard, action: Action, now: Time) -> Vec<Action> {
        let me = &board.settings.instance;
        match action {
            Action::Register { owner, cell, job } if owner == *me => {
                self.owned.register(board, &cell, job, now);
                self.run_round(board, &cell, now)
            }
            Action::Register { owner, cell, job } => {
                let frame = Frame::Register(cell, TimedJob::new(job, now));
                self.send(board, &owner, frame);
                Vec::new()
            }
            Action::Cancel { owner, cell, request } => {
                if owner == *me {
                    self.owned.cancel(&cell, request);
                } else {
                    self.send(board, &owner, Frame::Cancel(cell, request));
                }
                Vec::new()
            }
            Action::Return { owner, cell, permit, outcome } => {
                if owner == *me {
                    self.owned.release(board, &cell, permit, outcome, now);
                    return self.run_round(board, &cell, now);
                }
                self.send(board, &owner, Frame::Ended(cell, permit, outcome));
                Vec::new()
            }
            Action::Dispatch { owner, cell, job, grant } => {
                self.use_grant(board, owner, cell, job, grant, now)
            }
            Action::Refuse { request, code } => {
                self.refuse(request, code);
                Vec::new()
            }
            Action::OwnerSilent { owner, cell } => {
                info!(board.log, "owner silent"; Event::OwnerSilent,
                    "owner" => %owner, "cell" => %cell);
                Vec::new()
            }
        }
    }

    /// Runs a round of decisions of an owned cell: returns the actions for this gateway's requests
    /// and sends the decisions on other gateways' requests to them.
    fn run_round(&mut self, board: &Blackboard, cell: &CellId, now: Time) -> Vec<Action> {
        let me = board.settings.instance.clone();
        let decisions = self.owned.decide(cell, now);
        let mut actions = Vec::new();
        for grant in decisions.grants {
            if grant.holder == me {
                actions.extend(self.holder.grant(&me, cell, grant, now));
            } else {
                let holder = grant.holder.clone();
                self.send(board, &holder, Frame::Grant(cell.clone(), grant));
            }
        }
        for shed in decisions.sheds {
            if shed.holder == me {
                actions.extend(self.holder.shed(&me, cell, shed.request, shed.code, now));
            } else {
                let holder = shed.holder.clone();
                self.send(board, &holder, Frame::Shed(cell.clone(), shed));
            }
        }
        actions
    }

    fn decide(&mut self, board: &Blackboard, cell: &CellId, now: Time) {
        let actions = self.run_round(board, cell, now);
        self.perform(board, actions, now);
    }

    fn register_remote(
        &mut self,
        board: &Blackboard,
        from: &InstanceId,
        cell: CellId,
        job: TimedJob,
        now: Time,
    ) {
        let known = self.owned.register(board, &cell, job.into_job(now), now);
        if known {
            self.send(board, from, Frame::Queued(cell.clone()));
        }
        self.decide(board, &cell, now);
    }

    /// Passes a grant to the request that waits for it. Returns the permit instead when the
    /// endpoint is leaving or unknown, or this gateway's state is not current.
    fn use_grant(
        &mut self,
        board: &Blackboard,
        owner: InstanceId,
        cell: CellId,
        job: Job,
        grant: Grant,
        now: Time,
    ) -> Vec<Action> {
        let map = board.map();
        let target = map.targets.get(&grant.endpoint).filter(|target| !target.leaving);
        let usable = target.filter(|_| board.is_fresh());
        let Some(target) = usable else {
            let leaving = map.targets.get(&grant.endpoint).is_some_and(|t| t.leaving);
            let outcome = if leaving { Outcome::Declined } else { Outcome::Returned };
            let mut actions =
                vec![Action::Return { owner, cell: cell.clone(), permit: grant.permit, outcome }];
            let routes: Vec<Route> = map.route(&cell).into_iter().collect();
            actions.extend(self.resubmit(job, &routes, now));
            return actions;
        };
        let Some(waiter) = self.waiters.remove(&grant.request) else {
            return vec![Action::Return {
                owner,
                cell,
                permit: grant.permit,
                outcome: Outcome::Returned,
            }];
        };
        let cross_region = target.backend.region != board.settings.region;
        let progress = Arc::new(progress::Recorder::default());
        let endpoint = grant.endpoint.clone();
        let used = InUse { owner: owner.clone(), endpoint, job, progress: Arc::clone(&progress) };
        self.in_use.insert((cell.clone(), grant.permit), used);
        let address = target.address;
        let assignment = Assignment { owner, cell, grant, address, cross_region, progress };
        if let Err(Decision::Run(unused)) = waiter.send(Decision::Run(Box::new(assignment))) {
            self.in_use.remove(&(unused.cell.clone(), unused.grant.permit));
            let (owner, cell, permit) = (unused.owner, unused.cell, unused.grant.permit);
            return vec![Action::Return { owner, cell, permit, outcome: Outcome::Returned }];
        }
        Vec::new()
    }

    /// Queues a request again whose grant could not be used; the next tick registers it.
    fn resubmit(&mut self, job: Job, routes: &[Route], now: Time) -> Vec<Action> {
        let actions = self.holder.submit(job, routes, now);
        // Registering at once could loop, with the owner granting the same endpoint each time.
        actions.into_iter().filter(|action| matches!(action, Action::Refuse { .. })).collect()
    }

    fn refuse(&mut self, request: RequestId, code: Code) {
        if let Some(waiter) = self.waiters.remove(&request) {
            let _ = waiter.send(Decision::Refuse(code));
        }
    }

    fn send(&self, board: &Blackboard, to: &InstanceId, frame: Frame) {
        let address = board.roster.lock().record(to).map(|record| record.address);
        if let Some(address) = address {
            board.link.send(address, frame);
        }
    }

    /// Registers requests that have waited too long in the home region with another region, within
    /// the byte rate limit.
    fn spill(&mut self, board: &Blackboard, map: &Map, now: Time) {
        /// Bytes of one streamed token, including framing.
        const BYTES_PER_TOKEN: f64 = 180.0;
        let limits = &board.settings.limits;
        #[allow(clippy::cast_precision_loss, reason = "byte rates are far below 2^52")]
        let rate = limits.cross_region.get() as f64;
        let elapsed = now.since(self.spill_updated).as_secs_f64();
        self.spill_updated = now;
        self.spilled_bytes = (self.spilled_bytes - elapsed * rate).max(0.0);
        let home = &board.settings.region;
        for candidate in self.holder.spill_candidates(home, limits.spill_after, now) {
            if self.spilled_bytes > rate {
                return;
            }
            let others = map.cells_in(&candidate.service, home, false);
            let Some(route) = others.first().and_then(|other| map.route(other)) else { continue };
            #[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
            let cost = candidate.prompt.get() as f64 * 4.0
                + candidate.output.get() as f64 * BYTES_PER_TOKEN;
            self.spilled_bytes += cost;
            let actions = self.holder.register(candidate.request, &route, now);
            self.perform(board, actions, now);
        }
    }
}

//! Long randomised runs of holders and owners with lost, delayed and reordered messages.
//!
//! Owners fail and are replaced, two owners manage one cell at the same time,
//! endpoints leave and slow down. In every case a request is dispatched at most
//! once and ends exactly once, and a leaving endpoint gets no grants.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sched::{
    Cell, CellId, Grant, Holder, Job, Outcome,
    cell::Config,
    holder::{Action, Route},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};
use units::{
    EndpointId, Fingerprint, InstanceId, OrganisationId, Permit, Rank, RegionId, RequestId,
    ServiceId, Time, Tokens,
};

const GATEWAYS: usize = 5;
const ENDPOINTS: usize = 6;
const REQUESTS: u64 = 3000;
const STEP: Duration = Duration::from_millis(5);

/// Message or event at its scheduled time.
#[derive(Debug, Clone)]
enum Event {
    Register { to: usize, from: usize, job: Job },
    Cancel { to: usize, request: RequestId },
    Ended { to: usize, permit: Permit, outcome: Outcome },
    First { to: usize, permit: Permit, took: Duration },
    Grant { to: usize, from: usize, grant: Grant },
    Shed { to: usize, from: usize, request: RequestId, code: codes::Code },
    Queued { to: usize, from: usize },
}

struct Simulation {
    rng: Pcg64Mcg,
    now: Time,
    sequence: u64,
    events: BTreeMap<(Time, u64), Event>,
    holders: Vec<Holder>,
    cells: Vec<Cell>,
    dead: HashSet<usize>,
    leaving: BTreeSet<EndpointId>,
    sent: HashMap<RequestId, u32>,
    ended: HashMap<RequestId, u32>,
    cell: CellId,
    loss: f64,
}

fn gateway(index: usize) -> InstanceId {
    InstanceId::new(&format!("gw-{index}")).unwrap()
}

fn index_of(instance: &InstanceId) -> usize {
    instance.as_str().trim_start_matches("gw-").parse().unwrap()
}

fn endpoint(index: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{index}")).unwrap()
}

impl Simulation {
    fn new(seed: u64, loss: f64) -> Self {
        let cell = CellId {
            service: ServiceId::new("model").unwrap(),
            region: RegionId::new("region").unwrap(),
            shard: 0,
        };
        let config = Config { max_waiting: 120, ..Config::default() };
        let new_cell = |index: usize| {
            let permit_base = (index as u64 + 1) << 40;
            let mut cell = Cell::new(cell.clone(), config, permit_base, Time::ZERO);
            cell.set_endpoints(&(0..ENDPOINTS).map(endpoint).collect::<Vec<_>>());
            cell
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Time::from_millis(1),
            sequence: 0,
            events: BTreeMap::new(),
            holders: (0..GATEWAYS).map(|_| Holder::new()).collect(),
            cells: (0..GATEWAYS).map(new_cell).collect(),
            dead: HashSet::new(),
            leaving: BTreeSet::new(),
            sent: HashMap::new(),
            ended: HashMap::new(),
            cell,
            loss,
        }
    }

    fn route(&mut self) -> Route {
        // Views of the membership differ: sometimes a holder assumes another owner.
        let mut owners: Vec<InstanceId> =
            (0..GATEWAYS).filter(|i| !self.dead.contains(i)).map(gateway).collect();
        if self.rng.random_bool(0.1) {
            owners.rotate_left(1);
        }
        Route { cell: self.cell.clone(), owners: owners.into() }
    }

    fn send(&mut self, event: Event) {
        let loses = !matches!(event, Event::Ended { .. } | Event::First { .. });
        if loses && self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(100..20_000));
        self.schedule(self.now + delay, event);
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn perform(&mut self, holder: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Register { owner, job, .. } => {
                    self.send(Event::Register { to: index_of(&owner), from: holder, job });
                }
                Action::Cancel { owner, request, .. } => {
                    self.send(Event::Cancel { to: index_of(&owner), request });
                }
                Action::Return { owner, permit, outcome, .. } => {
                    self.send(Event::Ended { to: index_of(&owner), permit, outcome });
                }
                Action::Dispatch { owner, job, grant, .. } => self.run(&owner, &job, &grant),
                Action::Refuse { request, .. } => *self.ended.entry(request).or_default() += 1,
                Action::OwnerSilent { .. } => {}
            }
        }
    }

    fn run(&mut self, owner: &InstanceId, job: &Job, grant: &Grant) {
        let sent = self.sent.entry(job.request).or_default();
        *sent += 1;
        assert_eq!(*sent, 1, "{} was sent twice", job.request);
        *self.ended.entry(job.request).or_default() += 1;
        let (to, permit) = (index_of(owner), grant.permit);
        let slow = if grant.endpoint == endpoint(0) { 10 } else { 1 };
        let took = Duration::from_millis(slow * self.rng.random_range(10..40));
        self.schedule(self.now + took, Event::First { to, permit, took });
        let completed = Outcome::Completed { output: job.output, gap_us: 12_000 };
        let outcomes = [
            completed,
            completed,
            completed,
            Outcome::Cancelled,
            Outcome::Interrupted,
            Outcome::Unreachable,
        ];
        let outcome = outcomes[self.rng.random_range(0..outcomes.len())];
        let total = took + Duration::from_millis(slow * self.rng.random_range(20..200));
        self.schedule(self.now + total, Event::Ended { to, permit, outcome });
    }

    fn decide(&mut self, owner: usize) {
        let decisions = self.cells[owner].decide(self.now);
        for grant in decisions.grants {
            assert!(!self.leaving.contains(&grant.endpoint), "a leaving endpoint was granted");
            let to = index_of(&grant.holder);
            self.send(Event::Grant { to, from: owner, grant });
        }
        for shed in decisions.sheds {
            let (to, request, code) = (index_of(&shed.holder), shed.request, shed.code);
            self.send(Event::Shed { to, from: owner, request, code });
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, cell) = (self.now, self.cell.clone());
        match event {
            Event::Register { to, from, job } if !self.dead.contains(&to) => {
                for shed in self.cells[to].register(job, now) {
                    let (to_holder, request) = (index_of(&shed.holder), shed.request);
                    let code = shed.code;
                    self.send(Event::Shed { to: to_holder, from: to, request, code });
                }
                self.send(Event::Queued { to: from, from: to });
                self.decide(to);
            }
            Event::Cancel { to, request } => self.cells[to].cancel(request),
            Event::Ended { to, permit, outcome } => {
                self.cells[to].release(permit, outcome, now);
                self.decide(to);
            }
            Event::First { to, permit, took } => {
                self.cells[to].record_first_token(permit, took, now);
                self.decide(to);
            }
            Event::Grant { to, from, grant } => {
                let actions = self.holders[to].grant(&gateway(from), &cell, grant, now);
                self.perform(to, actions);
            }
            Event::Shed { to, from, request, code } => {
                let actions = self.holders[to].shed(&gateway(from), &cell, request, code, now);
                self.perform(to, actions);
            }
            Event::Queued { to, from } => self.holders[to].record_contact(&gateway(from), now),
            Event::Register { .. } => {}
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
        for holder in 0..GATEWAYS {
            let route = self.route();
            let actions = self.holders[holder].tick(self.now, |_| Some(route.clone()));
            self.perform(holder, actions);
        }
        for owner in 0..GATEWAYS {
            self.cells[owner].reclaim(self.now);
            if !self.dead.contains(&owner) {
                self.decide(owner);
            }
        }
    }

    fn inject_fault(&mut self) {
        match self.rng.random_range(0..400) {
            0 => {
                let victim = self.rng.random_range(1..GATEWAYS);
                self.dead.insert(victim);
            }
            1 => {
                self.dead.clear();
            }
            2 => {
                let id = endpoint(self.rng.random_range(0..ENDPOINTS));
                self.leaving.insert(id.clone());
                self.cells.iter_mut().for_each(|cell| cell.set_leaving(&id, true));
            }
            3 => {
                for id in std::mem::take(&mut self.leaving) {
                    self.cells.iter_mut().for_each(|cell| cell.set_leaving(&id, false));
                }
            }
            _ => {}
        }
    }

    fn submit(&mut self, number: u64) {
        let holder = self.rng.random_range(0..GATEWAYS);
        let job = Job {
            request: RequestId::new(u128::from(number)),
            holder: gateway(holder),
            rank: Rank(self.rng.random_range(0..4)),
            organisation: OrganisationId::new(&format!("org-{}", self.rng.random_range(0..6)))
                .unwrap(),
            prompt: Tokens(self.rng.random_range(10..3000)),
            output: Tokens(self.rng.random_range(1..200)),
            deadline: self.now + Duration::from_millis(self.rng.random_range(50..20_000)),
            prefixes: Box::new([]),
            fingerprint: Fingerprint(number),
            suspect: self.rng.random_bool(0.02),
        };
        let route = self.route();
        let actions = self.holders[holder].submit(job, &[route], self.now);
        self.perform(holder, actions);
    }
}

fn run(seed: u64, loss: f64) {
    let mut simulation = Simulation::new(seed, loss);
    for number in 0..REQUESTS {
        simulation.submit(number);
        if number % 2 == 0 {
            simulation.inject_fault();
            simulation.step();
        }
    }
    simulation.dead.clear();
    for _ in 0..8000 {
        simulation.step();
    }
    for number in 0..REQUESTS {
        let request = RequestId::new(u128::from(number));
        let ends = simulation.ended.get(&request).copied().unwrap_or(0);
        assert_eq!(ends, 1, "seed {seed}: request {number} ended {ends} times");
    }
    assert!(
        simulation.sent.len() as u64 > REQUESTS / 20,
        "seed {seed}: {} sent",
        simulation.sent.len()
    );
    for holder in &simulation.holders {
        assert_eq!(holder.waiting(), 0);
    }
    for cell in &simulation.cells {
        assert_eq!((cell.waiting(), cell.in_use()), (0, 0), "seed {seed}: permits leaked");
    }
}

#[test]
fn without_loss() {
    (0..12).for_each(|seed| run(seed, 0.0));
}

#[test]
fn with_loss() {
    (100..112).for_each(|seed| run(seed, 0.05));
}

#[test]
fn with_heavy_loss() {
    (200..206).for_each(|seed| run(seed, 0.4));
}

//! Long randomised runs of holders and owners with lost, late and crossed messages.
//!
//! Owners die and are followed, two owners keep one cell at once, endpoints
//! leave and straggle. Whatever happens, a request is sent at most once, ends
//! once, and a leaving endpoint is granted nothing.

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

/// Message or event that happens at its time.
#[derive(Debug, Clone)]
enum Happening {
    Register { to: usize, from: usize, job: Job },
    Cancel { to: usize, request: RequestId },
    Ended { to: usize, permit: Permit, outcome: Outcome },
    First { to: usize, permit: Permit, took: Duration },
    Grant { to: usize, from: usize, grant: Grant },
    Shed { to: usize, from: usize, request: RequestId, code: codes::Code },
    Queued { to: usize, from: usize },
}

struct World {
    rng: Pcg64Mcg,
    now: Time,
    serial: u64,
    agenda: BTreeMap<(Time, u64), Happening>,
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

impl World {
    fn new(seed: u64, loss: f64) -> Self {
        let cell = CellId {
            service: ServiceId::new("model").unwrap(),
            region: RegionId::new("region").unwrap(),
            shard: 0,
        };
        let config = Config { max_waiting: 120, ..Config::default() };
        let make = |index: usize| {
            let first = (index as u64 + 1) << 40;
            let mut made = Cell::new(cell.clone(), config, first, Time::ZERO);
            made.set_endpoints(&(0..ENDPOINTS).map(endpoint).collect::<Vec<_>>());
            made
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Time::from_millis(1),
            serial: 0,
            agenda: BTreeMap::new(),
            holders: (0..GATEWAYS).map(|_| Holder::new()).collect(),
            cells: (0..GATEWAYS).map(make).collect(),
            dead: HashSet::new(),
            leaving: BTreeSet::new(),
            sent: HashMap::new(),
            ended: HashMap::new(),
            cell,
            loss,
        }
    }

    fn route(&mut self) -> Route {
        // Views differ: now and then a holder takes another gateway for the owner.
        let mut owners: Vec<InstanceId> =
            (0..GATEWAYS).filter(|i| !self.dead.contains(i)).map(gateway).collect();
        if self.rng.random_bool(0.1) {
            owners.rotate_left(1);
        }
        Route { cell: self.cell.clone(), owners: owners.into() }
    }

    fn later(&mut self, happening: Happening) {
        let loses = !matches!(happening, Happening::Ended { .. } | Happening::First { .. });
        if loses && self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(100..20_000));
        self.at(self.now + delay, happening);
    }

    fn at(&mut self, time: Time, happening: Happening) {
        self.serial += 1;
        self.agenda.insert((time, self.serial), happening);
    }

    fn perform(&mut self, holder: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Register { owner, job, .. } => {
                    self.later(Happening::Register { to: index_of(&owner), from: holder, job });
                }
                Action::Cancel { owner, request, .. } => {
                    self.later(Happening::Cancel { to: index_of(&owner), request });
                }
                Action::Return { owner, permit, outcome, .. } => {
                    self.later(Happening::Ended { to: index_of(&owner), permit, outcome });
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
        self.at(self.now + took, Happening::First { to, permit, took });
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
        self.at(self.now + total, Happening::Ended { to, permit, outcome });
    }

    fn decide(&mut self, owner: usize) {
        let decisions = self.cells[owner].decide(self.now);
        for grant in decisions.grants {
            assert!(!self.leaving.contains(&grant.endpoint), "a leaving endpoint was granted");
            let to = index_of(&grant.holder);
            self.later(Happening::Grant { to, from: owner, grant });
        }
        for shed in decisions.sheds {
            let (to, request, code) = (index_of(&shed.holder), shed.request, shed.code);
            self.later(Happening::Shed { to, from: owner, request, code });
        }
    }

    fn happen(&mut self, happening: Happening) {
        let (now, cell) = (self.now, self.cell.clone());
        match happening {
            Happening::Register { to, from, job } if !self.dead.contains(&to) => {
                for shed in self.cells[to].register(job, now) {
                    let (to_holder, request) = (index_of(&shed.holder), shed.request);
                    let code = shed.code;
                    self.later(Happening::Shed { to: to_holder, from: to, request, code });
                }
                self.later(Happening::Queued { to: from, from: to });
                self.decide(to);
            }
            Happening::Cancel { to, request } => self.cells[to].cancel(request),
            Happening::Ended { to, permit, outcome } => {
                self.cells[to].release(permit, outcome, now);
                self.decide(to);
            }
            Happening::First { to, permit, took } => {
                self.cells[to].record_first_token(permit, took, now);
                self.decide(to);
            }
            Happening::Grant { to, from, grant } => {
                let actions = self.holders[to].grant(&gateway(from), &cell, grant, now);
                self.perform(to, actions);
            }
            Happening::Shed { to, from, request, code } => {
                let actions = self.holders[to].shed(&gateway(from), &cell, request, code, now);
                self.perform(to, actions);
            }
            Happening::Queued { to, from } => self.holders[to].record_contact(&gateway(from), now),
            Happening::Register { .. } => {}
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(entry) = self.agenda.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let happening = entry.remove();
            self.happen(happening);
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

    fn disturb(&mut self) {
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
    let mut world = World::new(seed, loss);
    for number in 0..REQUESTS {
        world.submit(number);
        if number % 2 == 0 {
            world.disturb();
            world.step();
        }
    }
    world.dead.clear();
    for _ in 0..8000 {
        world.step();
    }
    for number in 0..REQUESTS {
        let request = RequestId::new(u128::from(number));
        let ends = world.ended.get(&request).copied().unwrap_or(0);
        assert_eq!(ends, 1, "seed {seed}: request {number} ended {ends} times");
    }
    assert!(world.sent.len() as u64 > REQUESTS / 20, "seed {seed}: {} sent", world.sent.len());
    for holder in &world.holders {
        assert_eq!(holder.waiting(), 0);
    }
    for cell in &world.cells {
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

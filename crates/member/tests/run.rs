//! Randomised simulations of rosters with lost messages, dead and paused members and partitions.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use member::{Config, Message, Output, Record, Roster, State};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    time::Duration,
};
use units::{InstanceId, RegionId, Time, ZoneId};

const STEP: Duration = Duration::from_millis(50);

fn record(index: usize, incarnation: u64) -> Record {
    Record {
        instance: InstanceId::new(&format!("gw-{index}")).unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + u16::try_from(index).unwrap())),
        zone: ZoneId::new("zone").unwrap(),
        region: RegionId::new("region").unwrap(),
        incarnation,
        state: State::Alive,
    }
}

struct Simulation {
    rng: Pcg64Mcg,
    now: Time,
    rosters: Vec<Roster>,
    stopped: HashSet<usize>,
    partition: Option<usize>,
    loss: f64,
    sequence: u64,
    messages: BTreeMap<(Time, u64), (usize, usize, Message)>,
    sent: u64,
}

impl Simulation {
    fn new(count: usize, seed: u64, loss: f64) -> Self {
        let seeds: Vec<SocketAddr> = (0..2.min(count)).map(|i| record(i, 0).address).collect();
        let rosters = (0..count)
            .map(|index| {
                let mut roster = Roster::new(record(index, 1), Config::default(), Time::ZERO);
                roster.set_seeds(seeds.clone());
                roster
            })
            .collect();
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Time::from_millis(1),
            rosters,
            stopped: HashSet::new(),
            partition: None,
            loss,
            sequence: 0,
            messages: BTreeMap::new(),
            sent: 0,
        }
    }

    fn perform(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send { address, message, .. } = output else { continue };
            let to = usize::from(address.port()) - 1000;
            let separated = self.partition.is_some_and(|at| (from < at) != (to < at));
            self.sent += 1;
            if separated || self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_micros(self.rng.random_range(100..30_000));
            self.sequence += 1;
            self.messages.insert((self.now + delay, self.sequence), (from, to, message));
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            if self.stopped.contains(&to) {
                continue;
            }
            let name = record(from, 0).instance;
            let outputs = self.rosters[to].receive(&name, message, self.now);
            self.perform(to, outputs);
        }
        for index in 0..self.rosters.len() {
            if !self.stopped.contains(&index) {
                let outputs = self.rosters[index].tick(self.now);
                self.perform(index, outputs);
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn live(&self, index: usize) -> usize {
        self.rosters[index].live().filter(|record| record.state == State::Alive).count()
    }

    fn assert_live(&self, expected: usize) {
        for index in (0..self.rosters.len()).filter(|index| !self.stopped.contains(index)) {
            let states: Vec<_> =
                self.rosters[index].records().map(|r| (r.instance.to_string(), r.state)).collect();
            assert_eq!(self.live(index), expected, "gw-{index} at {}: {states:?}", self.now);
        }
    }
}

#[test]
fn members_meet_and_notice_a_death() {
    for (count, seed) in [(7, 1), (7, 2), (30, 3), (60, 4)] {
        let mut simulation = Simulation::new(count, seed, 0.0);
        simulation.run(Duration::from_secs(2 * count as u64 + 10));
        simulation.assert_live(count);
        simulation.stopped.insert(count / 2);
        simulation.stopped.insert(count - 1);
        simulation.run(Duration::from_secs(6));
        simulation.assert_live(count - 2);
    }
}

#[test]
fn loss_kills_nobody() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(15, seed, 0.10);
        simulation.run(Duration::from_secs(60));
        simulation.assert_live(15);
    }
}

#[test]
fn a_paused_member_returns_and_accuses_nobody() {
    let mut simulation = Simulation::new(9, 5, 0.01);
    simulation.run(Duration::from_secs(30));
    simulation.stopped.insert(4);
    simulation.run(Duration::from_secs(20));
    simulation.assert_live(8);
    simulation.stopped.clear();
    simulation.run(Duration::from_secs(20));
    simulation.assert_live(9);
}

#[test]
fn parted_regions_meet_again() {
    let mut simulation = Simulation::new(10, 6, 0.0);
    simulation.run(Duration::from_secs(30));
    simulation.partition = Some(4);
    simulation.run(Duration::from_secs(120));
    assert_eq!((simulation.live(0), simulation.live(9)), (4, 6));
    simulation.partition = None;
    simulation.run(Duration::from_secs(40));
    simulation.assert_live(10);
}

#[test]
fn a_member_at_rest_sends_few_messages() {
    for count in [7, 60, 120] {
        let mut simulation = Simulation::new(count, 8, 0.0);
        simulation.run(Duration::from_secs(2 * count as u64 + 10));
        let before = simulation.sent;
        simulation.run(Duration::from_secs(20));
        let rate = (simulation.sent - before) as f64 / 20.0 / count as f64;
        let fingers = (count as f64).log2().ceil();
        assert!(rate <= 3.0 * fingers, "{count} members: {rate} messages per second and member");
    }
}

fn any_record() -> impl Strategy<Value = Record> {
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    (1usize..5, 1u64..4, 0usize..4).prop_map(move |(index, incarnation, state)| Record {
        state: states[state],
        ..record(index, incarnation)
    })
}

proptest! {
    /// Every order of delivery gives the same roster.
    #[test]
    fn order_does_not_matter(records in prop::collection::vec(any_record(), 1..30), turn in 0usize..30) {
        let merge = |records: &[Record]| {
            let mut roster = Roster::new(record(0, 1), Config::default(), Time::ZERO);
            let from = record(1, 1).instance;
            for record in records {
                let message = Message::Rumours(Box::new([record.clone()]));
                roster.receive(&from, message, Time::from_millis(5));
            }
            (roster.digest(), roster.records().cloned().collect::<Vec<_>>())
        };
        let mut other = records.clone();
        let length = other.len();
        other.rotate_left(turn % length);
        other.reverse();
        prop_assert_eq!(merge(&records), merge(&other));
    }
}

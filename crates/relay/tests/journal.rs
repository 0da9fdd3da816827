//! Directories that are kept up to date only by deltas from readers.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use proptest::prelude::*;
use relay::journal::{Change, Journal};
use sched::fleet::Listing;
use std::{collections::BTreeMap, time::Duration};
use units::{EndpointId, ServiceId, Time, Version, ZoneId};

fn id(number: u8) -> EndpointId {
    EndpointId::new(&format!("e-{number}")).unwrap()
}

fn listing(number: u8, leaving: bool) -> Listing {
    Listing {
        id: id(number),
        service: ServiceId::new("llm").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("z").unwrap(),
        slots: 10,
        leaving,
        born: None,
        release: None,
    }
}

/// Store with its entries and the versions at which they were written.
#[derive(Default)]
struct Table {
    version: u64,
    rows: BTreeMap<EndpointId, (Version, Option<Listing>)>,
}

impl Table {
    fn write(&mut self, number: u8, state: u8) {
        self.version += 1;
        let listing = (state > 0).then(|| listing(number, state > 1));
        self.rows.insert(id(number), (Version(self.version), listing));
    }
}

/// Node with its directory and its journal.
#[derive(Default)]
struct Node {
    directory: BTreeMap<EndpointId, Listing>,
    journal: Journal,
}

impl Node {
    fn apply(&mut self, id: &EndpointId, version: Version, listing: Option<Listing>, now: Time) {
        if !self.journal.is_newer(id, version) {
            return;
        }
        let before = self.directory.get(id).cloned();
        match &listing {
            Some(listing) => self.directory.insert(id.clone(), listing.clone()),
            None => self.directory.remove(id),
        };
        if before == listing {
            self.journal.touch(id, version);
        } else {
            self.journal.record(Change { id: id.clone(), version, listing }, now);
        }
    }

    fn read(&mut self, table: &Table, now: Time) {
        self.follow(table, false, now);
    }

    /// Reads the store; removals may be deferred, as after the store's return.
    fn follow(&mut self, table: &Table, defers_removals: bool, now: Time) {
        let mut deferred = 0;
        for (id, (version, listing)) in &table.rows {
            if defers_removals && listing.is_none() && self.directory.contains_key(id) {
                deferred += 1;
            } else {
                self.apply(id, *version, listing.clone(), now);
            }
        }
        self.journal.advance(Version(table.version), deferred);
    }

    fn receive(&mut self, reader: &mut Self, now: Time) {
        let delta = reader.journal.delta(now);
        for change in self.journal.unknown_changes(&delta) {
            self.apply(&change.id, change.version, change.listing, now);
        }
        self.journal.merge(&delta, now);
    }

    /// Whether the directory matches the store for all entries up to the head.
    fn is_consistent(&self, table: &Table) -> bool {
        let known = table.rows.iter().filter(|(_, (version, _))| *version <= self.journal.head());
        known.into_iter().all(|(id, (_, listing))| self.directory.get(id) == listing.as_ref())
    }
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, u8),
    Follow(usize, bool),
    Send(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..12u8, 0..3u8).prop_map(|(number, state)| Step::Write(number, state)),
        2 => (0..2usize, any::<bool>()).prop_map(|(reader, defers)| Step::Follow(reader, defers)),
        3 => (0..2usize).prop_map(Step::Send),
        1 => (0..4_000u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Two readers poll at their own pace. Deltas may be so far apart that changes between them
    /// have expired.
    #[test]
    fn what_is_known_up_to_the_head_is_what_the_store_holds(
        steps in prop::collection::vec(step(), 1..400),
    ) {
        let mut table = Table::default();
        let mut now = Time::from_millis(1_000);
        let mut readers = [Node::default(), Node::default()];
        let mut node = Node::default();
        table.write(0, 1);
        for reader in &mut readers {
            reader.read(&table, now);
        }
        node.read(&table, now);
        for step in steps {
            match step {
                Step::Write(number, state) => table.write(number, state),
                Step::Follow(reader, defers) => readers[reader].follow(&table, defers, now),
                Step::Send(reader) => node.receive(&mut readers[reader], now),
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
            }
            if node.journal.has_gap(now) {
                node.read(&table, now);
            }
            prop_assert!(node.is_consistent(&table));
        }
        // Without further changes, one delta from an up-to-date reader suffices.
        for reader in &mut readers {
            reader.read(&table, now);
            node.receive(reader, now);
        }
        if node.journal.head() < Version(table.version) {
            prop_assert!(node.journal.has_gap(now + Duration::from_secs(2)));
        }
    }
}

#[test]
fn node_that_was_told_everything_never_reads() {
    let mut table = Table::default();
    let mut now = Time::from_millis(1_000);
    let (mut reader, mut node) = (Node::default(), Node::default());
    table.write(0, 1);
    reader.read(&table, now);
    node.read(&table, now);
    for round in 0..200u8 {
        table.write(round % 30, 1 + round % 2);
        reader.read(&table, now);
        // Every third delta is lost.
        if round % 3 > 0 {
            node.receive(&mut reader, now);
        }
        assert!(!node.journal.has_gap(now), "round {round}");
        now = now + Duration::from_secs(1);
    }
    assert!(node.is_consistent(&table));
}

#[test]
fn older_news_do_not_bring_back_a_removed_entry() {
    let now = Time::from_millis(1_000);
    let mut journal = Journal::new();
    journal.advance(Version(1), 0);
    journal.record(Change { id: id(1), version: Version(9), listing: None }, now);
    assert!(!journal.is_newer(&id(1), Version(8)));
    assert!(journal.is_newer(&id(1), Version(10)));
}

/// Endpoints come and go for hours at a node that sends no deltas.
#[test]
fn journal_stays_small() {
    let mut now = Time::from_millis(1_000);
    let mut journal = Journal::new();
    journal.advance(Version(1), 0);
    for round in 0..20_000u64 {
        let id = EndpointId::new(&format!("e-{round}")).unwrap();
        let change = |version, listing| Change { id: id.clone(), version, listing };
        journal.record(change(Version(2 * round + 2), Some(listing(0, false))), now);
        journal.record(change(Version(2 * round + 3), None), now);
        now = now + Duration::from_secs(1);
    }
    assert!(journal.retained() < 200, "{} entries", journal.retained());
}

/// One reader defers a removal because it has just reached the store again, the other does not. A
/// node that received the first reader's head must still apply the removal from the second.
#[test]
fn removal_that_one_reader_holds_back_is_heard_from_another() {
    let now = Time::from_millis(1_000);
    let mut table = Table::default();
    let (mut immediate, mut deferring, mut node) =
        (Node::default(), Node::default(), Node::default());
    table.write(1, 1);
    for reader in [&mut immediate, &mut deferring, &mut node] {
        reader.read(&table, now);
    }
    table.write(1, 0);
    deferring.follow(&table, true, now);
    node.receive(&mut deferring, now);
    immediate.read(&table, now);
    node.receive(&mut immediate, now);
    assert!(node.directory.is_empty(), "the endpoint that left is still listed");
    assert!(!node.journal.has_gap(now + Duration::from_secs(5)));
}

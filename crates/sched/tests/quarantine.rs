//! Quarantine of traits under which endpoints crash.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use sched::quarantine::{CrashId, Evidence, Tracker, Verdict};
use std::time::Duration;
use units::{EndpointId, Fingerprint, Time};

const SHARED: Fingerprint = Fingerprint(1);
const DEADLY: Fingerprint = Fingerprint(2);
const BESIDE: Fingerprint = Fingerprint(3);
/// Gap between crashes in these tests.
const GAP: Duration = Duration::from_secs(1);

fn crash(number: u64) -> CrashId {
    CrashId::new(&EndpointId::new(&format!("e-{number}")).unwrap(), Some(number))
}

fn at(number: u64) -> Time {
    Time::from_millis(10_000) + GAP * u32::try_from(number).unwrap()
}

fn first(_: Fingerprint) -> u32 {
    0
}

fn own(number: u64) -> Fingerprint {
    Fingerprint(100 + number)
}

fn is_refused(tracker: &Tracker, traits: &[Fingerprint], now: Time) -> bool {
    matches!(tracker.verdict(traits, first, now), Verdict::Quarantined { .. })
}

/// Crashes under requests of which no two are alike.
fn crashes(tracker: &mut Tracker, numbers: std::ops::Range<u64>) {
    for number in numbers {
        tracker.record_crash(&[own(number), SHARED, DEADLY], crash(number), at(number));
        tracker.record_survival(&[own(number + 50), SHARED]);
    }
}

#[test]
fn requests_that_share_only_the_deadly_part_add_up() {
    let mut tracker = Tracker::new();
    crashes(&mut tracker, 0..2);
    assert_eq!(tracker.verdict(&[own(9), SHARED, DEADLY], first, at(2)), Verdict::Clear);
    crashes(&mut tracker, 2..3);
    assert!(is_refused(&tracker, &[own(9), SHARED, DEADLY], at(3)));
    assert_eq!(tracker.verdict(&[own(9), SHARED], first, at(3)), Verdict::Clear);
}

/// Sound requests run at the endpoints that crash, and none of their kind is served in between.
#[test]
fn a_part_that_was_beside_the_deadly_one_in_each_crash_is_not_refused_alone() {
    let mut tracker = Tracker::new();
    for number in 0..4 {
        tracker.record_crash(&[own(number), DEADLY], crash(number), at(number));
        tracker.record_crash(&[own(number + 50), BESIDE], crash(number), at(number));
    }
    tracker.record_crash(&[own(7), DEADLY], crash(7), at(7));
    assert!(is_refused(&tracker, &[own(9), DEADLY], at(8)));
    assert!(is_refused(&tracker, &[own(9), DEADLY, BESIDE], at(8)));
    assert_eq!(tracker.verdict(&[own(9), BESIDE], first, at(8)), Verdict::Clear);
}

/// Requests with one of two deadly parts begin with the same part, which nobody else has used since.
#[test]
fn a_part_beside_two_deadly_ones_is_not_refused_alone() {
    let mut tracker = Tracker::new();
    for number in 0..8 {
        let deadly = Fingerprint(20 + number % 2);
        tracker.record_crash(&[own(number), BESIDE, deadly], crash(number), at(number));
    }
    for deadly in [20, 21] {
        assert!(is_refused(&tracker, &[own(9), BESIDE, Fingerprint(deadly)], at(8)));
    }
    assert_eq!(tracker.verdict(&[own(9), BESIDE], first, at(8)), Verdict::Clear);
}

/// A rack or a switch ends many endpoints at once, under the same popular parts.
#[test]
fn endpoints_that_end_together_are_one_crash() {
    let mut tracker = Tracker::new();
    for number in 0..20 {
        let now = Time::from_millis(10_000 + number);
        tracker.record_crash(&[own(number), SHARED], crash(number), now);
    }
    assert_eq!(tracker.verdict(&[own(90), SHARED], first, at(1)), Verdict::Clear);
}

#[test]
fn a_crash_that_several_nodes_saw_counts_once() {
    let mut nodes = [Tracker::new(), Tracker::new(), Tracker::new()];
    for (number, node) in (0..).zip(&mut nodes) {
        node.record_crash(&[own(number), DEADLY], crash(0), at(number));
    }
    let mut merged = Tracker::new();
    for node in &nodes {
        for evidence in node.evidence(&[DEADLY], at(4)) {
            merged.merge(&evidence, at(4));
        }
    }
    assert_eq!(merged.crashes(DEADLY), 1);
}

/// The clock of a node that has just started is younger than the crashes.
#[test]
fn a_node_younger_than_the_crashes_counts_them() {
    let mut tracker = Tracker::new();
    crashes(&mut tracker, 0..3);
    let mut started = Tracker::new();
    for evidence in tracker.evidence(&tracker.prominent(10), at(3)) {
        started.merge(&evidence, Time::from_millis(500));
    }
    assert!(is_refused(&started, &[own(9), DEADLY], Time::from_millis(600)));
}

/// A quarantine ends with a trial by one node at a time, and a trial that crashes an endpoint
/// doubles it.
#[test]
fn trials_end_a_quarantine_or_double_it() {
    let mut tracker = Tracker::new();
    crashes(&mut tracker, 0..3);
    let deadly = [own(9), DEADLY];
    let turn = at(2) + Duration::from_secs(8);
    assert!(is_refused(&tracker, &deadly, at(9)));
    assert_eq!(tracker.verdict(&deadly, first, turn), Verdict::Trial(DEADLY));
    let second = tracker.verdict(&deadly, |_| 1, turn);
    assert!(matches!(second, Verdict::Quarantined { .. }), "{second:?}");
    let mut peer = Tracker::new();
    tracker.record_trial(DEADLY, turn);
    assert!(is_refused(&tracker, &deadly, turn + Duration::from_secs(1)), "one trial at a time");
    for evidence in tracker.evidence(&[DEADLY], turn) {
        peer.merge(&evidence, turn);
        peer.merge(&evidence, turn);
    }
    assert!(is_refused(&peer, &deadly, turn + Duration::from_secs(1)), "peers learn of a trial");
    tracker.record_crash(&deadly, crash(9), turn);
    assert!(is_refused(&tracker, &deadly, turn + Duration::from_secs(15)));
    let next = turn + Duration::from_secs(16);
    assert_eq!(tracker.verdict(&deadly, first, next), Verdict::Trial(DEADLY));
    assert!(tracker.record_survival(&deadly).contains(&DEADLY));
    assert_eq!(tracker.verdict(&deadly, first, next), Verdict::Clear);
}

proptest! {
    /// Nodes that receive the same evidence in any order, and more than once, agree.
    #[test]
    fn order_and_repetition_do_not_matter(
        seen in prop::collection::vec((0u64..4, 0u64..8, any::<bool>()), 1..30),
        seed in 0usize..100,
    ) {
        let messages: Vec<Evidence> = seen.iter().flat_map(|(fingerprint, number, cleared)| {
            let mut tracker = Tracker::new();
            tracker.record_crash(&[Fingerprint(*fingerprint)], crash(*number), at(*number));
            if *cleared {
                tracker.record_survival(&[Fingerprint(*fingerprint)]);
            }
            tracker.evidence(&[Fingerprint(*fingerprint)], at(8))
        }).collect();
        let merge = |order: &[Evidence]| {
            let mut tracker = Tracker::new();
            for evidence in order {
                tracker.merge(evidence, at(8));
            }
            let ask = |f: u64| tracker.verdict(&[Fingerprint(f)], first, at(8));
            (0..4).map(ask).collect::<Vec<_>>()
        };
        let mut other = messages.clone();
        other.extend(messages.iter().take(5).cloned());
        let length = other.len();
        other.rotate_left(seed % length);
        other.reverse();
        prop_assert_eq!(merge(&messages), merge(&other));
    }
}

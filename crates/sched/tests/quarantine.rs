//! Quarantine of traits under which endpoints crash.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use sched::quarantine::{CrashId, Evidence, Tracker, Trait, Verdict};
use std::time::Duration;
use units::{EndpointId, Fingerprint, Time};

const SHARED: Trait = shared(1);
const DEADLY: Trait = shared(2);
const BESIDE: Trait = shared(3);
/// Gap between crashes in these tests.
const GAP: Duration = Duration::from_secs(1);

fn crash(number: u64) -> CrashId {
    CrashId::new(&EndpointId::new(&format!("e-{number}")).unwrap(), Some(number))
}

fn at(number: u64) -> Time {
    Time::from_millis(10_000) + GAP * u32::try_from(number).unwrap()
}

fn first(_: Trait) -> u32 {
    0
}

const fn shared(number: u64) -> Trait {
    Trait::Shared(Fingerprint(number))
}

fn own(number: u64) -> Trait {
    shared(100 + number)
}

/// Traits of a whole request, each of which narrows the one before.
fn request(content: u64, target: u64, fields: u64) -> [Trait; 3] {
    let (target, fields) = (Fingerprint(1_000 * content + target), Fingerprint(fields));
    [own(content), Trait::Target(target), Trait::Variant { target, fields }]
}

fn is_refused(tracker: &Tracker, traits: &[Trait], now: Time) -> bool {
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
        let deadly = shared(20 + number % 2);
        tracker.record_crash(&[own(number), BESIDE, deadly], crash(number), at(number));
    }
    for deadly in [20, 21] {
        assert!(is_refused(&tracker, &[own(9), BESIDE, shared(deadly)], at(8)));
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

/// Sound requests with another query are served all the time, and cleared what they share with the
/// deadly one.
#[test]
fn a_request_is_not_cleared_by_one_with_another_query() {
    let (deadly, sound) = (request(1, 1, 1), request(1, 2, 1));
    let mut tracker = Tracker::new();
    for number in 0..3 {
        assert_eq!(tracker.verdict(&deadly, first, at(number)), Verdict::Clear);
        tracker.record_crash(&deadly, crash(number), at(number));
        tracker.record_survival(&sound);
    }
    assert!(is_refused(&tracker, &deadly, at(3)));
    assert_eq!(tracker.verdict(&sound, first, at(3)), Verdict::Clear);
    assert!(is_refused(&tracker, &request(1, 1, 2), at(3)), "the same with another header field");
}

/// Sound requests with other header fields are served all the time.
#[test]
fn a_request_is_not_cleared_by_one_with_other_header_fields() {
    let (deadly, sound) = (request(1, 1, 1), request(1, 1, 2));
    let mut tracker = Tracker::new();
    for number in 0..3 {
        tracker.record_crash(&deadly, crash(number), at(number));
        tracker.record_survival(&sound);
    }
    assert!(is_refused(&tracker, &deadly, at(3)));
    assert_eq!(tracker.verdict(&sound, first, at(3)), Verdict::Clear);
}

/// A deadly request carries a field that is new each time, after three sendings without it.
#[test]
fn a_request_that_comes_again_with_other_header_fields_is_refused() {
    let mut tracker = Tracker::new();
    for number in 0..3 {
        tracker.record_crash(&request(1, 1, 1), crash(number), at(number));
    }
    assert!(is_refused(&tracker, &request(1, 1, 2), at(3)));
}

/// No sound request has been served since, and the deadly one is known by its query.
#[test]
fn a_request_with_another_query_is_not_refused_beside_a_deadly_one() {
    let mut tracker = Tracker::new();
    for number in 0..3 {
        tracker.record_crash(&request(1, 1, 1), crash(number), at(number));
    }
    assert_eq!(tracker.verdict(&request(1, 2, 1), first, at(3)), Verdict::Clear);
}

/// A sound request that always comes with a deadly one, and differs from it in the query alone, must
/// not explain its crashes.
#[test]
fn two_requests_at_the_same_crashes_are_refused_by_what_they_share() {
    let pair = [request(1, 1, 1), request(1, 2, 1)];
    let mut tracker = Tracker::new();
    for number in 0..3 {
        for traits in &pair {
            tracker.record_crash(traits, crash(number), at(number));
        }
    }
    assert!(pair.iter().all(|traits| is_refused(&tracker, traits, at(3))));
}

/// A deadly request is known by its header fields, and crashes endpoints under a sound one whose
/// content others clear.
#[test]
fn a_request_beside_one_with_deadly_header_fields_is_not_refused() {
    let (deadly, sound) = (request(1, 1, 1), request(2, 1, 1));
    let mut tracker = Tracker::new();
    for number in 0..3 {
        for traits in [&deadly, &sound] {
            tracker.record_crash(traits, crash(number), at(number));
        }
        tracker.record_survival(&request(1, 1, 2));
        tracker.record_survival(&request(2, 2, 1));
    }
    tracker.record_crash(&deadly, crash(3), at(3));
    assert!(is_refused(&tracker, &deadly, at(4)));
    assert_eq!(tracker.verdict(&sound, first, at(4)), Verdict::Clear);
}

/// Older builds report crashes by organisation, path and body alone.
#[test]
fn crashes_that_older_builds_report_count() {
    let mut tracker = Tracker::new();
    tracker.record_crash(&request(1, 1, 1)[..1], crash(0), at(0));
    tracker.record_crash(&request(1, 1, 1)[..1], crash(1), at(1));
    tracker.record_crash(&request(1, 1, 1), crash(2), at(2));
    assert!(is_refused(&tracker, &request(1, 1, 1), at(3)));
}

/// Many callers send requests that are beside crashes, no two alike.
#[test]
fn evidence_against_many_requests_is_bounded_and_keeps_the_worst() {
    let mut tracker = Tracker::new();
    let deadly = request(0, 1, 1);
    for number in 0..3_000 {
        let now = at(0) + Duration::from_millis(number);
        tracker.record_crash(&request(number + 1, 1, 1), crash(number), now);
        if number % 1_000 == 0 {
            tracker.record_crash(&deadly, crash(number), now);
        }
    }
    assert!(tracker.len() <= 3_072, "{} traits", tracker.len());
    assert!(is_refused(&tracker, &deadly, at(3)));
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
            tracker.record_crash(&[shared(*fingerprint)], crash(*number), at(*number));
            if *cleared {
                tracker.record_survival(&[shared(*fingerprint)]);
            }
            tracker.evidence(&[shared(*fingerprint)], at(8))
        }).collect();
        let merge = |order: &[Evidence]| {
            let mut tracker = Tracker::new();
            for evidence in order {
                tracker.merge(evidence, at(8));
            }
            let ask = |f: u64| tracker.verdict(&[shared(f)], first, at(8));
            (0..4).map(ask).collect::<Vec<_>>()
        };
        let mut other = messages.clone();
        other.extend(messages.iter().take(5).cloned());
        let length = other.len();
        other.rotate_left(seed % length);
        other.reverse();
        prop_assert_eq!(merge(&messages), merge(&other));
    }

    /// Whatever sound requests are served in between, and whichever crash beside it, a request is
    /// refused after three crashes, and a sound one that has been served since is not.
    #[test]
    fn a_deadly_request_is_told_from_the_sound_ones(
        history in prop::collection::vec((0u64..3, 0u64..3, 0u64..3, 0u8..3), 0..60),
    ) {
        let deadly = (1, 1, 1);
        let traits = |(content, target, fields)| request(content, target, fields);
        let mut tracker = Tracker::new();
        let mut crashes = 0;
        for (number, (content, target, fields, event)) in (0..).zip(history) {
            let sound = (content, target, fields);
            match event {
                _ if crashes >= 3 => break,
                0 => {
                    tracker.record_crash(&traits(deadly), crash(number), at(number));
                    crashes += 1;
                }
                1 if sound != deadly => {
                    tracker.record_crash(&traits(deadly), crash(number), at(number));
                    tracker.record_crash(&traits(sound), crash(number), at(number));
                    tracker.record_survival(&traits(sound));
                    crashes += 1;
                }
                _ if sound != deadly => {
                    tracker.record_survival(&traits(sound));
                }
                _ => {}
            }
            let is_served = event > 0 && sound != deadly;
            let verdict = tracker.verdict(&traits(sound), first, at(number));
            prop_assert!(!is_served || verdict == Verdict::Clear, "{sound:?}: {verdict:?}");
        }
        let now = at(60);
        let soon = tracker.verdict(&traits(deadly), first, now);
        prop_assert_eq!(crashes >= 3, soon != Verdict::Clear);
    }
}

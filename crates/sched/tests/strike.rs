//! Quarantine of requests that crash endpoints.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use sched::strike::{Identity, Tracker, Verdict};
use std::time::Duration;
use units::{Fingerprint, Time};

const POISON: Fingerprint = Fingerprint(1);
const NOW: Time = Time::from_millis(1_000_000);

#[test]
fn the_second_strike_quarantines() {
    let mut tracker = Tracker::new();
    assert_eq!(tracker.verdict(POISON, NOW), Verdict::Clear);
    assert_eq!(tracker.strike(POISON, NOW), 1);
    assert_eq!(tracker.verdict(POISON, NOW), Verdict::Suspect);
    assert_eq!(tracker.strike(POISON, NOW), 2);
    assert!(matches!(tracker.verdict(POISON, NOW), Verdict::Quarantined { .. }));
}

#[test]
fn a_quarantine_ends_and_the_next_is_longer() {
    let mut tracker = Tracker::new();
    tracker.strike(POISON, NOW);
    tracker.strike(POISON, NOW);
    let Verdict::Quarantined { until } = tracker.verdict(POISON, NOW) else {
        panic!("not quarantined");
    };
    assert_eq!(tracker.verdict(POISON, until), Verdict::Suspect);
    tracker.strike(POISON, until);
    let Verdict::Quarantined { until: next } = tracker.verdict(POISON, until) else {
        panic!("not quarantined again");
    };
    assert!(next.since(until) > until.since(NOW));
}

#[test]
fn a_whole_answer_clears() {
    let mut tracker = Tracker::new();
    tracker.strike(POISON, NOW);
    assert!(tracker.clear(POISON));
    assert_eq!(tracker.verdict(POISON, NOW), Verdict::Clear);
}

/// Requests with the same content.
const DEADLY: Identity = Identity { request: Fingerprint(11), content: Fingerprint(10) };
const SOUND: Identity = Identity { request: Fingerprint(12), content: Fingerprint(10) };

/// A sound request with the same content cleared a deadly one, or was held back beside it.
#[test]
fn requests_with_the_same_content_are_told_apart() {
    let mut tracker = Tracker::new();
    tracker.strike_all(DEADLY, NOW);
    assert_eq!(tracker.verdict_on(DEADLY, NOW), Verdict::Suspect);
    assert_eq!(tracker.verdict_on(SOUND, NOW), Verdict::Clear);
    tracker.clear(SOUND.request);
    tracker.clear(SOUND.content);
    tracker.strike_all(DEADLY, NOW);
    assert!(matches!(tracker.verdict_on(DEADLY, NOW), Verdict::Quarantined { .. }));
    assert_eq!(tracker.verdict_on(SOUND, NOW), Verdict::Clear);
}

/// Older builds know the content alone, and are told of strikes on it.
#[test]
fn strikes_of_older_builds_count_and_reach_them() {
    let mut tracker = Tracker::new();
    tracker.strike(DEADLY.content, NOW);
    assert_eq!(tracker.verdict_on(DEADLY, NOW), Verdict::Suspect);
    let told = tracker.strike_all(DEADLY, NOW);
    assert!(told.contains(&(DEADLY.content, 2)), "{told:?}");
    assert!(matches!(tracker.verdict_on(DEADLY, NOW), Verdict::Quarantined { .. }));
    // As an older build forgets it after a completed request.
    tracker.clear(DEADLY.content);
    assert_eq!(tracker.verdict_on(DEADLY, NOW), Verdict::Suspect);
    tracker.strike(DEADLY.content, NOW);
    tracker.strike(DEADLY.content, NOW);
    assert!(matches!(tracker.verdict_on(DEADLY, NOW), Verdict::Quarantined { .. }));
}

proptest! {
    /// Gateways that receive the same strikes in any order agree.
    #[test]
    fn order_does_not_matter(strikes in prop::collection::vec((0u64..4, 1u8..5), 1..30), seed in 0usize..100) {
        let merge = |order: &[(u64, u8)]| {
            let mut tracker = Tracker::new();
            for (fingerprint, count) in order {
                tracker.merge(Fingerprint(*fingerprint), *count, Duration::ZERO, NOW);
            }
            (0..4).map(|f| tracker.verdict(Fingerprint(f), NOW)).collect::<Vec<_>>()
        };
        let mut other = strikes.clone();
        let length = other.len();
        other.rotate_left(seed % length);
        other.reverse();
        prop_assert_eq!(merge(&strikes), merge(&other));
    }
}

//! Quarantine of requests that crash endpoints.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use sched::strike::{Tracker, Verdict};
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

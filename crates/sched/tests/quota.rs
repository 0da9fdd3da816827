//! Allotments kept by several nodes.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use sched::quota::{Allotment, Meter, Total};
use std::time::Duration;
use units::{InstanceId, OrganisationId, Time, Tokens};

const ALLOTMENT: Allotment = Allotment { rate: Tokens(1_000), burst: Tokens(1_000) };

fn organisation() -> OrganisationId {
    OrganisationId::new("org").unwrap()
}

fn peer() -> InstanceId {
    InstanceId::new("peer").unwrap()
}

fn hear(meter: &mut Meter, lifetime: u64, spent: u64, now: Time) {
    meter.hear(&peer(), &organisation(), ALLOTMENT, Total { lifetime, spent }, now);
}

fn admit(meter: &mut Meter, cost: u64, share: f64, now: Time) -> bool {
    meter.admit(&organisation(), ALLOTMENT, share, Tokens(cost), now).is_ok()
}

/// A peer that gives tokens back states a smaller total; that is no restart.
#[test]
fn refund_at_a_peer_is_not_charged_again() {
    let mut meter = Meter::new();
    let now = Time::from_millis(1_000);
    hear(&mut meter, 1, 0, now);
    hear(&mut meter, 1, 900, now);
    hear(&mut meter, 1, 100, now);
    assert!(admit(&mut meter, 900, 1.0, now), "the peer holds 100 of 1000");
}

#[test]
fn restarted_peer_begins_at_zero() {
    let mut meter = Meter::new();
    let now = Time::from_millis(1_000);
    hear(&mut meter, 1, 5_000, now);
    hear(&mut meter, 2, 300, now);
    assert!(admit(&mut meter, 700, 1.0, now));
    assert!(!admit(&mut meter, 1, 1.0, now));
}

/// Parted groups of three and four nodes together admit no more than one rate.
#[test]
fn parted_groups_stay_within_one_rate() {
    let mut groups = [(Meter::new(), 3.0 / 7.0), (Meter::new(), 4.0 / 7.0)];
    let mut admitted = 0;
    for ms in 1..=10_000 {
        let now = Time::from_millis(ms);
        for (meter, share) in &mut groups {
            while admit(meter, 20, *share, now) {
                admitted += 20;
            }
        }
    }
    let bursts = 2 * ALLOTMENT.burst.0;
    assert!(admitted <= 10 * ALLOTMENT.rate.0 + bursts, "{admitted} tokens in 10 s");
    assert!(admitted >= 10 * ALLOTMENT.rate.0, "{admitted} tokens in 10 s");
}

#[test]
fn refusal_says_when_the_bucket_holds_enough() {
    let mut meter = Meter::new();
    let now = Time::from_millis(1_000);
    assert!(admit(&mut meter, 1_000, 1.0, now));
    let wait = meter.admit(&organisation(), ALLOTMENT, 0.5, Tokens(100), now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(200));
    assert!(admit(&mut meter, 100, 0.5, now + wait));
}

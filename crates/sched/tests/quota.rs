//! Quotas enforced by several nodes.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use sched::quota::{Limiter, Quota, Total};
use std::time::Duration;
use units::{InstanceId, OrganisationId, Time, Tokens};

const QUOTA: Quota = Quota { rate: Tokens(1_000), burst: Tokens(1_000) };

fn organisation() -> OrganisationId {
    OrganisationId::new("org").unwrap()
}

fn peer() -> InstanceId {
    InstanceId::new("peer").unwrap()
}

fn record_peer(limiter: &mut Limiter, lifetime: u64, admitted: u64, now: Time) {
    limiter.record_peer_total(
        &peer(),
        &organisation(),
        QUOTA,
        Total { lifetime, admitted, requested: admitted },
        now,
    );
}

fn admit(limiter: &mut Limiter, cost: u64, share: f64, now: Time) -> bool {
    limiter.admit(&organisation(), QUOTA, share, Tokens(cost), now).is_ok()
}

/// A peer that refunds tokens reports a smaller total, which must not be taken for a restart.
#[test]
fn refund_at_a_peer_is_not_charged_again() {
    let mut limiter = Limiter::new();
    let now = Time::from_millis(1_000);
    record_peer(&mut limiter, 1, 0, now);
    record_peer(&mut limiter, 1, 900, now);
    record_peer(&mut limiter, 1, 100, now);
    assert!(admit(&mut limiter, 900, 1.0, now), "the peer holds 100 of 1000");
}

#[test]
fn restarted_peer_begins_at_zero() {
    let mut limiter = Limiter::new();
    let now = Time::from_millis(1_000);
    record_peer(&mut limiter, 1, 5_000, now);
    record_peer(&mut limiter, 2, 300, now);
    assert!(admit(&mut limiter, 700, 1.0, now));
    assert!(!admit(&mut limiter, 1, 1.0, now));
}

/// During a partition, groups of three and four nodes together admit no more than one rate.
#[test]
fn parted_groups_stay_within_one_rate() {
    let mut groups = [(Limiter::new(), 3.0 / 7.0), (Limiter::new(), 4.0 / 7.0)];
    let mut admitted = 0;
    for ms in 1..=10_000 {
        let now = Time::from_millis(ms);
        for (limiter, share) in &mut groups {
            while admit(limiter, 20, *share, now) {
                admitted += 20;
            }
        }
    }
    let bursts = 2 * QUOTA.burst.0;
    assert!(admitted <= 10 * QUOTA.rate.0 + bursts, "{admitted} tokens in 10 s");
    assert!(admitted >= 10 * QUOTA.rate.0, "{admitted} tokens in 10 s");
}

#[test]
fn refusal_says_when_the_bucket_holds_enough() {
    let mut limiter = Limiter::new();
    let now = Time::from_millis(1_000);
    assert!(admit(&mut limiter, 1_000, 1.0, now));
    let wait = limiter.admit(&organisation(), QUOTA, 0.5, Tokens(100), now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(200));
    assert!(admit(&mut limiter, 100, 0.5, now + wait));
}

/// An organisation goes from its usual load to 7.5 times as much, spread over many nodes that
/// exchange digests about once a second.
#[test]
fn many_nodes_do_not_empty_a_bucket_several_times_over() {
    const NODES: usize = 78;
    const INTERVAL_MS: u64 = 1_092;
    const HOT_MS: u64 = 5_000;
    const END_MS: u64 = 16_000;
    let id = |node: usize| InstanceId::new(&format!("n-{node}")).unwrap();
    let quota = Quota { rate: Tokens(600_000), burst: Tokens(600_000) };
    let mut nodes: Vec<Limiter> =
        (0..NODES).map(|_| Limiter::new().with_lag(Duration::from_millis(INTERVAL_MS))).collect();
    for limiter in &mut nodes {
        limiter.set_node_count(NODES);
    }
    let mut admitted = vec![0_u64; usize::try_from(END_MS).unwrap()];
    for ms in 1..END_MS {
        let now = Time::from_millis(ms);
        // The usual load is 1/1.8 of the rate: 5000 tokens per node every 1170 ms.
        let every = if ms < HOT_MS { 1_170 } else { 156 };
        for (number, limiter) in nodes.iter_mut().enumerate() {
            if (ms + u64::try_from(number).unwrap() * 15).is_multiple_of(every)
                && limiter.admit(&organisation(), quota, 1.0, Tokens(5_000), now).is_ok()
            {
                admitted[usize::try_from(ms).unwrap()] += 5_000;
            }
        }
        let slot = ms % INTERVAL_MS;
        let sender = usize::try_from(slot / 14).unwrap();
        if slot.is_multiple_of(14) && sender < NODES {
            let totals = nodes[sender]
                .totals(Time::ZERO)
                .map(|(_, admitted, requested)| (admitted, requested))
                .next();
            nodes[sender].rebalance(now);
            let Some((total_admitted, requested)) = totals else { continue };
            for (_, limiter) in nodes.iter_mut().enumerate().filter(|(to, _)| *to != sender) {
                let total = Total { lifetime: 1, admitted: total_admitted, requested };
                limiter.record_peer_total(&id(sender), &organisation(), quota, total, now);
            }
        }
    }
    let sum = |from: usize| admitted[from..from + 8_000].iter().sum::<u64>();
    let worst = (0..8_000).map(sum).max().unwrap();
    // The documented bound: (rate x window + burst) x 1.1 + 140,000.
    let most = (600_000 * 8 + 600_000) * 11 / 10 + 140_000;
    assert!(worst <= most, "{worst} tokens in 8 s, {most} are allowed");
    let usual: u64 = admitted[1_500..4_500].iter().sum();
    assert!(usual >= 950_000, "{usual} tokens in 3 s of usual demand");
    let hot = sum(8_000);
    assert!(hot >= 600_000 * 8 * 9 / 10, "{hot} tokens in 8 s beyond the quota");
}

/// All nodes restart at once while an organisation requests far more than its quota.
#[test]
fn nodes_that_start_together_begin_with_an_even_part() {
    const NODES: usize = 78;
    let quota = Quota { rate: Tokens(600_000), burst: Tokens(600_000) };
    let mut admitted = 0_u64;
    for _ in 0..NODES {
        let mut limiter = Limiter::new();
        limiter.set_node_count(NODES);
        for ms in 1..1_000 {
            let now = Time::from_millis(ms);
            let admission = limiter.admit(&organisation(), quota, 1.0, Tokens(5_000), now);
            admitted += if admission.is_ok() { 5_000 } else { 0 };
        }
    }
    // One second at the rate, one burst, and one request per node that may exceed its part.
    let most = 600_000 + 600_000 + 5_000 * 78;
    assert!(admitted <= most, "{admitted} tokens in the first second, {most} expected at most");
}

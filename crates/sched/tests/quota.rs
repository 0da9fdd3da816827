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

/// An organisation goes from its usual load, 1/1.8 of its rate, to 7.5 times as much, spread over
/// nodes that send their digests in turn, one every `turn_ms`. Returns the tokens admitted in each
/// ms. At the usual load, each node gets a request every `usual_ms`; `sizes` are used in turn.
fn admit_hot_organisation(
    nodes: usize,
    turn_ms: u64,
    quota: Quota,
    usual_ms: u64,
    sizes: &[u64],
) -> Vec<u64> {
    const HOT_MS: u64 = 9_000;
    const END_MS: u64 = 20_000;
    let interval_ms = turn_ms * u64::try_from(nodes).unwrap();
    let mut sizes = sizes.iter().cycle();
    let id = |node: usize| InstanceId::new(&format!("n-{node}")).unwrap();
    let node_count = nodes;
    let mut nodes: Vec<Limiter> =
        (0..nodes).map(|_| Limiter::new().with_lag(Duration::from_millis(interval_ms))).collect();
    for limiter in &mut nodes {
        limiter.set_node_count(node_count);
    }
    let mut admitted = vec![0_u64; usize::try_from(END_MS).unwrap()];
    for ms in 1..END_MS {
        let now = Time::from_millis(ms);
        let every = if ms < HOT_MS { usual_ms } else { usual_ms * 2 / 15 };
        for (number, limiter) in nodes.iter_mut().enumerate() {
            if !(ms + u64::try_from(number).unwrap() * 15).is_multiple_of(every) {
                continue;
            }
            let size = *sizes.next().unwrap();
            if limiter.admit(&organisation(), quota, 1.0, Tokens(size), now).is_ok() {
                admitted[usize::try_from(ms).unwrap()] += size;
            }
        }
        let slot = ms % interval_ms;
        let sender = usize::try_from(slot / turn_ms).unwrap();
        if slot.is_multiple_of(turn_ms) && sender < node_count {
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
    admitted
}

/// Most tokens in any 8 s, and the documented bound: (rate x window + burst) x 1.1 + 140,000.
fn worst_window(admitted: &[u64], quota: Quota) -> (u64, u64) {
    let worst = admitted.windows(8_000).map(|window| window.iter().sum()).max().unwrap();
    (worst, (quota.rate.0 * 8 + quota.burst.0) * 11 / 10 + 140_000)
}

#[test]
fn many_nodes_do_not_empty_a_bucket_several_times_over() {
    let quota = Quota { rate: Tokens(600_000), burst: Tokens(600_000) };
    let admitted = admit_hot_organisation(78, 14, quota, 1_170, &[5_000]);
    let (worst, most) = worst_window(&admitted, quota);
    assert!(worst <= most, "{worst} tokens in 8 s, {most} are allowed");
    let usual: u64 = admitted[1_500..4_500].iter().sum();
    assert!(usual >= 950_000, "{usual} tokens in 3 s of usual demand");
    let hot: u64 = admitted[12_000..20_000 - 1].iter().sum();
    assert!(hot >= 600_000 * 8 * 9 / 10, "{hot} tokens in 8 s beyond the quota");
}

/// In a cluster of hundreds of nodes, the owners of six cells charge the requests, some of which are
/// large, and hear of each other once a second.
#[test]
fn owners_do_not_empty_a_bucket_several_times_over() {
    let quota = Quota { rate: Tokens(1_050_000), burst: Tokens(1_050_000) };
    // 295 nodes that charge by themselves admit 11,810,000 tokens in 8 s of this load.
    let admitted = admit_hot_organisation(6, 167, quota, 103, &[3_000, 4_000, 8_000, 25_000]);
    let (worst, most) = worst_window(&admitted, quota);
    assert!(worst <= most, "{worst} tokens in 8 s, {most} are allowed");
    let usual: u64 = admitted[5_000..8_000].iter().sum();
    assert!(usual >= 1_660_000, "{usual} tokens in 3 s of usual demand");
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

/// A request larger than any burst leaves the bucket so low that the wait is longer than a duration.
#[test]
fn absurd_cost_is_refused_for_long_and_not_a_panic() {
    let mut limiter = Limiter::new();
    let now = Time::from_millis(1_000);
    let quota = Quota { rate: Tokens(1), burst: Tokens(10) };
    assert!(limiter.admit(&organisation(), quota, 1.0, Tokens(u64::MAX), now).is_ok());
    let wait = limiter.admit(&organisation(), quota, 0.01, Tokens(u64::MAX), now);
    assert!(wait.is_err_and(|wait| wait > Duration::from_secs(3_600)));
}

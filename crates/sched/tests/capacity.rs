//! Learned capacity of endpoints, in a virtual-time replay of endpoints that differ in speed.

#![allow(
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "helpers of tests"
)]

#[path = "capacity/plain.rs"]
mod plain;
#[path = "capacity/streams.rs"]
mod streams;

use plain::{Policy, Reports};
use rand_pcg::{
    Pcg64,
    rand_core::{RngCore, SeedableRng},
};
use sched::fleet::{Cohort, Distance, Fleet, Listing, Outcome, Query, Size, Usage};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};
use streams::Case;
use units::{EndpointId, InstanceId, ServiceId, Time, Tokens, ZoneId};

/// Time between two allocations.
const INTERVAL: Duration = Duration::from_millis(100);

fn service() -> ServiceId {
    ServiceId::new("svc").unwrap()
}

fn id(number: usize) -> EndpointId {
    EndpointId::new(&format!("e-{number}")).unwrap()
}

fn index(id: &EndpointId) -> usize {
    id.as_str()[2..].parse().unwrap()
}

fn unit(rng: &mut Pcg64) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

fn fleet(endpoints: usize, slots: u32) -> Fleet {
    let mut fleet = Fleet::new();
    for number in 0..endpoints {
        let listing = Listing {
            id: id(number),
            service: service(),
            address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
            zone: ZoneId::new("z").unwrap(),
            slots,
            leaving: false,
            born: None,
            release: None,
        };
        fleet.upsert(listing, Distance::SameZone, Time::ZERO);
    }
    fleet
}

fn query(service: &ServiceId, streamed: bool) -> Query<'_> {
    Query {
        streamed,
        service,
        size: Size { prompt: Tokens(0), output: Tokens(0) },
        avoid: &[],
        max_connections: u32::MAX,
        target_gap: streamed.then_some(Duration::from_millis(150)),
        cohort: Cohort::Any,
    }
}

fn quantile(samples: &[f64], q: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * q) as usize]
}

fn mean(samples: &[f64]) -> f64 {
    samples.iter().sum::<f64>() / samples.len().max(1) as f64
}

const SPEEDS: &[f64] = &[0.55, 0.55, 1.0, 1.0, 1.0, 2.8];

const ENGINES: Case = Case {
    speeds: SPEEDS,
    tokens_per_ms: 61.8,
    step_ms: 3.09,
    slots: 8,
    per_second: 30.0,
    long_prompt: 6_000.0,
    end_ms: 16_000,
    seed: 5,
};

/// The known plain service: calls of 60 ms, six slots, slow phases of 600 ms.
const PLAIN: plain::Case = plain::Case {
    speeds: SPEEDS,
    slots: 6,
    knee: 6,
    growth: 0.0,
    work_ms: 60.0,
    per_second: 400.0,
    phase: plain::noisy,
    nodes: 1,
    wave: false,
    reports: Reports::True,
    owner_change: None,
    end_ms: 12_000,
    seed: 3,
};

const PLAIN_DIGESTS: [u64; 3] =
    [0x3bc6_022e_6490_2a0b, 0xec06_f15a_5985_4ad3, 0xad3a_fde3_f0c4_dbb8];
const STREAM_DIGESTS: [u64; 3] =
    [0x7869_2d44_47a2_321e, 0xd0f0_51f7_fde1_34e4, 0x2ce3_26c3_a1a2_5b6e];

/// The time per prompt token was a constant of one engine, which reads 1.8 times faster than others.
#[test]
fn time_per_prompt_token_is_learned_for_each_engine() {
    for (tokens_per_ms, step_ms) in [(61.8, 3.09), (81.9, 3.74), (112.0, 3.0), (20.0, 3.0)] {
        let case = Case { tokens_per_ms, step_ms, per_second: 60.0, ..ENGINES };
        let learned = streams::replay(&case, |fleet| fleet.set_learning(&service(), true));
        // A step reads at most one chunk, so that its fixed part is also paid by the prompt.
        let actual = 1.0 / tokens_per_ms + (step_ms + 0.6) / 512.0;
        for (number, speed) in SPEEDS.iter().enumerate() {
            let found = learned.token_ms[number].unwrap();
            let ratio = found / (actual * speed);
            println!(
                "{tokens_per_ms} tokens/ms, speed {speed}: {found:.5} ms, {ratio:.2} of actual"
            );
            // The slowest endpoint gets few long prompts, so that its gaps decide.
            let bounds = if *speed > 1.0 { 0.4..1.6 } else { 0.6..1.4 };
            assert!(bounds.contains(&ratio), "{found} ms, actual {actual} ms times {speed}");
        }
    }
}

/// With the constant of a faster engine, prompts queue inside an endpoint.
#[test]
fn learned_prefill_shortens_first_events() {
    let (mut fixed, mut learned) = (vec![], vec![]);
    let mut tails = (vec![], vec![]);
    for seed in 0..6 {
        for per_second in [30.0, 60.0, 80.0, 100.0] {
            let case = Case { seed, per_second, ..ENGINES };
            let before = streams::replay(&case, |_| {});
            let after = streams::replay(&case, |fleet| fleet.set_learning(&service(), true));
            let line = |r: &streams::Result| {
                format!(
                    "first mean {:.1} p95 {:.1} p99 {:.1} n {} gap p99 {:.1}",
                    mean(&r.first_ms),
                    quantile(&r.first_ms, 0.95),
                    quantile(&r.first_ms, 0.99),
                    r.first_ms.len(),
                    quantile(&r.gaps_ms, 0.99),
                )
            };
            println!(
                "{per_second}/s seed {seed}: fixed {} | learned {}",
                line(&before),
                line(&after)
            );
            fixed.push(mean(&before.first_ms));
            learned.push(mean(&after.first_ms));
            if per_second >= 80.0 {
                tails.0.push(quantile(&before.first_ms, 0.99));
                tails.1.push(quantile(&after.first_ms, 0.99));
            }
        }
    }
    let tails = (mean(&tails.0), mean(&tails.1));
    println!("p99 from 80/s: fixed {:.1} ms, learned {:.1} ms", tails.0, tails.1);
    assert!(tails.1 < tails.0, "{tails:?}");
    let (fixed, learned) = (mean(&fixed), mean(&learned));
    println!("mean of means: fixed {fixed:.1} ms, learned {learned:.1} ms");
    assert!(learned <= fixed * 1.02, "{learned} ms, {fixed} ms with the constant");
}

/// Hash of the sequence of chosen endpoints.
fn digest(choices: &[EndpointId]) -> u64 {
    let step = |hash: u64, id: &EndpointId| (hash ^ index(id) as u64).wrapping_mul(0x100_0000_01b3);
    choices.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Guards against a decision that changes for services that do not learn: the hashes are those of the
/// same loads with the build before there was learning.
#[test]
fn decisions_without_learning_are_those_of_the_build_before() {
    let found = [30.0, 60.0, 100.0].map(|per_second| {
        let case = Case { per_second, ..ENGINES };
        let off = streams::replay(&case, |_| {});
        let switched = streams::replay(&case, |fleet| {
            fleet.set_learning(&service(), true);
            fleet.set_learning(&service(), false);
        });
        assert_eq!(off.choices, switched.choices);
        digest(&off.choices)
    });
    println!("{found:x?}");
    assert_eq!(found, STREAM_DIGESTS);
    let found = [(1, 400.0), (1, 700.0), (5, 500.0)].map(|(nodes, per_second)| {
        let case = plain::Case { nodes, per_second, ..PLAIN };
        digest(&plain::replay(&case, Policy::Fixed).choices)
    });
    println!("{found:x?}");
    assert_eq!(found, PLAIN_DIGESTS);
}

/// Guards against estimates that survive the switch.
#[test]
fn switching_off_drops_what_was_learned() {
    let mut fleet = fleet(1, 8);
    fleet.set_learning(&service(), true);
    for round in 0..200 {
        let prompt = Tokens(round % 7 * 1_000);
        let elapsed = Duration::from_millis(10 + round % 7 * 40);
        fleet.record_gap(&id(0), Duration::from_millis(4), 1);
        let load = Usage { in_flight: 1, pending_prefill: prompt };
        fleet.record_first_time(&id(0), prompt, load, elapsed, Time::ZERO);
    }
    let learned = |fleet: &Fleet| fleet.estimate(&id(0), Time::ZERO).unwrap().token_ms;
    assert!(learned(&fleet).is_some());
    fleet.set_learning(&service(), false);
    fleet.set_learning(&service(), true);
    assert_eq!(learned(&fleet), None);
}

const POLICIES: [Policy; 5] =
    [Policy::Fixed, Policy::Learning, Policy::Random, Policy::TwoChoices, Policy::LeastReported];

fn show(name: &str, case: &plain::Case) {
    for policy in POLICIES {
        let result = plain::replay(case, policy);
        println!(
            "{name} {policy:?}: mean {:.0} p95 {:.0} p99 {:.0} late(200) {:.3} late(400) {:.3} n {}",
            mean(&result.times),
            quantile(&result.times, 0.95),
            quantile(&result.times, 0.99),
            result.late(200.0),
            result.late(400.0),
            result.times.len(),
        );
    }
}

/// Load at which an endpoint that is slower than the others got as many calls as they did.
#[test]
fn learning_makes_fewer_calls_late_than_the_baselines() {
    let mut late = [0.0; POLICIES.len()];
    for nodes in [1, 5] {
        for per_second in [150.0, 300.0, 400.0, 500.0, 600.0] {
            let case = plain::Case { nodes, per_second, ..PLAIN };
            show(&format!("{nodes} nodes {per_second}/s"), &case);
            for (policy, late) in POLICIES.iter().zip(&mut late) {
                *late += plain::replay(&case, *policy).late(200.0) / 10.0;
            }
        }
    }
    println!("late, mean of ten loads: {late:.4?}");
    let learning = late[1];
    assert!(late.iter().all(|other| *other >= learning), "{late:.4?}");
    assert!(learning < 0.8 * late[0], "{late:.4?}");
}

/// Calls to an endpoint per second, from one second to another.
fn sent(result: &plain::Result, endpoint: usize, seconds: std::ops::Range<usize>) -> f64 {
    let count = seconds.len() as f64;
    result.sent[seconds].iter().map(|second| f64::from(second[endpoint])).sum::<f64>() / count
}

const EQUAL: &[f64] = &[1.0; 6];

fn slow_10_s(endpoint: usize, ms: u32) -> f64 {
    if endpoint == 0 && (5_000..15_000).contains(&ms) { 4.0 } else { 1.0 }
}

/// An endpoint that turned slow without saying so kept its part of the calls.
#[test]
fn slow_endpoint_gets_fewer_calls_and_its_part_after_recovery() {
    for nodes in [1, 5] {
        let case = plain::Case { speeds: EQUAL, phase: slow_10_s, end_ms: 24_000, nodes, ..PLAIN };
        let case = plain::Case { per_second: 250.0, reports: Reports::None, ..case };
        let learning = plain::replay(&case, Policy::Learning);
        let usual = sent(&learning, 0, 2..5);
        let (first, during, after) =
            (sent(&learning, 0, 6..7), sent(&learning, 0, 7..15), sent(&learning, 0, 20..24));
        println!("{nodes} nodes: {usual:.1} before, {first:.1}, {during:.1}, {after:.1} after");
        assert!(first < 0.4 * usual, "second second of slowness: {first} of {usual}");
        assert!(during < 0.3 * usual, "{during} of {usual}");
        assert!(during > 0.0, "no call would show a recovery");
        assert!(after > 0.6 * usual, "{after} of {usual}");
        let fixed = plain::replay(&case, Policy::Fixed);
        println!("late: fixed {:.3}, learning {:.3}", fixed.late(200.0), learning.late(200.0));
        assert!(learning.late(200.0) < fixed.late(200.0));
    }
}

fn slow_300_ms(endpoint: usize, ms: u32) -> f64 {
    if endpoint == 0 && ms % 3_000 < 300 { 4.0 } else { 1.0 }
}

fn slow_for_good(endpoint: usize, ms: u32) -> f64 {
    if endpoint == 0 && ms >= 4_000 { 2.8 } else { 1.0 }
}

fn slow_at_start(endpoint: usize, ms: u32) -> f64 {
    if endpoint == 0 && ms < 3_000 { 3.0 } else { 1.0 }
}

/// Guards against estimates that do more harm than the slowness: short, lasting, at the start.
#[test]
fn slowness_of_any_length_costs_no_more_than_without_learning() {
    // Near saturation with noise, times differ by a tenth from seed to seed.
    let phases: [(&str, plain::Phase, u64); 5] = [
        ("steady", plain::steady, 1),
        ("noisy", plain::noisy, 20),
        ("300 ms", slow_300_ms, 2),
        ("for good", slow_for_good, 2),
        ("at start", slow_at_start, 2),
    ];
    for (name, phase, seeds) in phases {
        let loads = [250.0, 500.0].into_iter();
        for (per_second, reports) in loads.flat_map(|l| [(l, Reports::True), (l, Reports::None)]) {
            let [fixed, learning] = [Policy::Fixed, Policy::Learning].map(|policy| {
                let results = (0..seeds).map(|seed| {
                    let case = plain::Case { speeds: EQUAL, phase, per_second, reports, ..PLAIN };
                    plain::replay(&plain::Case { seed, ..case }, policy)
                });
                let pairs = results.map(|result| (mean(&result.times), result.late(200.0)));
                let (times, late): (Vec<f64>, Vec<f64>) = pairs.unzip();
                (mean(&times), mean(&late))
            });
            println!(
                "{name} {per_second}/s {reports:?}: fixed {fixed:.3?}, learning {learning:.3?}"
            );
            assert!(learning.0 < 1.05 * fixed.0, "{name}: {learning:?}, {fixed:?} without");
        }
    }
    let case = plain::Case { speeds: EQUAL, phase: slow_at_start, per_second: 250.0, ..PLAIN };
    let result = plain::replay(&case, Policy::Learning);
    let (slow, later) = (sent(&result, 0, 1..3), sent(&result, 0, 8..12));
    assert!(later > 2.0 * slow && later > 25.0, "{slow} per second, later {later}");
}

/// An endpoint says that it is slow and is not.
#[test]
fn false_load_reports_cost_no_more_than_without_learning() {
    for per_second in [250.0, 400.0, 500.0] {
        let case = plain::Case { reports: Reports::False, per_second, ..PLAIN };
        let [fixed, learning] =
            [Policy::Fixed, Policy::Learning].map(|policy| plain::replay(&case, policy));
        println!("{:.3} {:.3}", fixed.late(200.0), learning.late(200.0));
        assert!(learning.late(200.0) <= fixed.late(200.0));
    }
}

/// A new owner knows nothing of the endpoints.
#[test]
fn owner_that_takes_over_is_no_worse_than_one_without_learning() {
    let case = plain::Case { owner_change: Some(6_000), end_ms: 9_000, ..PLAIN };
    let [fixed, learning] =
        [Policy::Fixed, Policy::Learning].map(|policy| plain::replay(&case, policy));
    println!("{:.3} {:.3}", fixed.late(200.0), learning.late(200.0));
    assert!(learning.late(200.0) <= fixed.late(200.0));
}

/// Guards against many nodes that turn to the same endpoint and away again at once.
#[test]
fn shares_of_endpoints_do_not_oscillate() {
    // Standard deviation of an endpoint's calls in each second, relative to their mean.
    let swing = |result: &plain::Result, endpoint: usize| {
        let calls: Vec<f64> =
            result.sent[3..].iter().map(|second| f64::from(second[endpoint])).collect();
        let usual = mean(&calls);
        mean(&calls.iter().map(|n| (n - usual).powi(2)).collect::<Vec<_>>()).sqrt() / usual
    };
    let case = plain::Case {
        speeds: EQUAL,
        phase: plain::steady,
        nodes: 12,
        per_second: 400.0,
        end_ms: 20_000,
        ..PLAIN
    };
    let [fixed, learning] =
        [Policy::Fixed, Policy::Learning].map(|policy| plain::replay(&case, policy));
    for endpoint in 0..EQUAL.len() {
        let (fixed, learning) = (swing(&fixed, endpoint), swing(&learning, endpoint));
        println!("swing {fixed:.3} {learning:.3}");
        assert!(learning < 0.25, "{learning}, {fixed} without learning");
    }
}

/// An endpoint without traffic kept the estimate of its last calls for ever.
#[test]
fn estimate_of_an_endpoint_without_traffic_ages() {
    let mut fleet = fleet(3, 6);
    fleet.set_learning(&service(), true);
    let load = Usage { in_flight: 1, pending_prefill: Tokens(0) };
    for ms in 0..2_000 {
        for (number, hold_ms) in [(0, 60), (1, 60), (2, 400)] {
            let hold = Duration::from_millis(hold_ms);
            fleet.record_plain(&id(number), load, hold, Time::from_millis(ms));
        }
    }
    let speed = |ms| fleet.estimate(&id(2), Time::from_millis(ms)).unwrap().speed;
    println!("{:.2} {:.2} {:.2}", speed(2_000), speed(12_000), speed(62_000));
    assert!(speed(2_000) > 1.8);
    assert!(speed(62_000) < 1.1);
}

/// Above half of their slots, each further call slows the others down by so much that fewer calls end:
/// at a crest all slots were taken, and remained so.
#[test]
fn calls_above_a_knee_are_held_back() {
    let mut sums = [(vec![], vec![]), (vec![], vec![])];
    for (speeds, phase) in [(EQUAL, plain::steady as plain::Phase), (SPEEDS, plain::noisy)] {
        for seed in 0..4 {
            let case = plain::Case { knee: 3, growth: 0.8, wave: true, end_ms: 24_000, ..PLAIN };
            let case = plain::Case { speeds, phase, seed, per_second: 300.0, ..case };
            for (policy, sums) in [Policy::Fixed, Policy::Learning].into_iter().zip(&mut sums) {
                let result = plain::replay(&case, policy);
                sums.0.push(mean(&result.times));
                sums.1.push(result.late(200.0));
            }
        }
    }
    let [fixed, learning] = sums.map(|(times, late)| (mean(&times), mean(&late)));
    println!("knee at 3 of 6: fixed {fixed:.3?}, learning {learning:.3?}");
    assert!(learning.0 < 0.8 * fixed.0 && learning.1 < fixed.1, "{learning:?}, {fixed:?}");
}

/// Guards against limits that slow phases cause where there is no knee.
#[test]
fn endpoints_without_a_knee_keep_all_slots() {
    for reports in [Reports::True, Reports::None] {
        for per_second in [400.0, 500.0, 550.0] {
            let mut changes = 0;
            for seed in 0..4 {
                let case = plain::Case { speeds: EQUAL, reports, seed, per_second, ..PLAIN };
                let mut result = plain::replay(&case, Policy::Learning);
                changes += result.fleets[0].take_limit_changes().len();
            }
            println!("{per_second}/s {reports:?}: {changes} changes of limits");
            assert!(changes <= 2, "{changes} changes in 48 s");
        }
    }
}

/// Guards against a limit that stays after the endpoint has recovered, and one that swings.
#[test]
fn limit_falls_within_a_second_of_evidence_and_ends_after_recovery() {
    let mut fleet = fleet(1, 6);
    fleet.set_learning(&service(), true);
    let none = Size { prompt: Tokens(0), output: Tokens(0) };
    let mut limits = vec![];
    let mut running = 0;
    for ms in (0..30_000_u64).step_by(20) {
        let now = Time::from_millis(ms);
        // Four seconds with few calls, then as many as there may be; recovered after 14 s.
        let allowed = fleet.estimate(&id(0), now).unwrap().limit.unwrap_or(6);
        let concurrency = if ms < 4_000 { 1 + (ms as u32 / 20) % 3 } else { allowed };
        while running < concurrency {
            fleet.start(&id(0), none);
            running += 1;
        }
        while running > concurrency {
            fleet.finish(&id(0), none, true, Outcome::Completed, now);
            running -= 1;
        }
        let hold = if concurrency > 3 && ms < 14_000 { 260 } else { 60 };
        let load = fleet.dispatch_load(&id(0), now).unwrap();
        fleet.record_plain(&id(0), load, Duration::from_millis(hold), now);
        limits.push(fleet.estimate(&id(0), now).unwrap().limit);
    }
    let first = limits.iter().position(Option::is_some).unwrap() * 20;
    let changes = limits.windows(2).filter(|pair| pair[0] != pair[1]).count();
    println!("first limit at {first} ms; {changes} changes");
    assert!(first < 6_000, "{first} ms");
    assert!(limits[first / 20..14_000 / 20].iter().all(|l| l.is_some_and(|l| l <= 4)));
    assert!(limits[23_000 / 20..].iter().all(Option::is_none));
    assert!(changes <= 10, "{changes}");
}

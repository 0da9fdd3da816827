//! Learned capacity of endpoints, in a virtual-time replay of endpoints that differ in speed.

#![allow(
    clippy::unwrap_used,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "helpers of tests"
)]

#[path = "capacity/streams.rs"]
mod streams;

use rand_pcg::{
    Pcg64,
    rand_core::{RngCore, SeedableRng},
};
use sched::fleet::{Distance, Fleet, Listing, Outcome, Query, Size};
use std::{collections::VecDeque, time::Duration};
use streams::Case;
use units::{EndpointId, ServiceId, Time, Tokens, ZoneId};

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
        fleet.record_first_time(&id(0), prompt, prompt, elapsed, Time::ZERO);
    }
    let learned = |fleet: &Fleet| fleet.estimate(&id(0), Time::ZERO).unwrap().token_ms;
    assert!(learned(&fleet).is_some());
    fleet.set_learning(&service(), false);
    fleet.set_learning(&service(), true);
    assert_eq!(learned(&fleet), None);
}

//! Retries over all nodes stay within their bound in every window.

use proptest::{prelude::*, test_runner::RngSeed};
use sched::budget::{Bound, Budget};
use std::{collections::VecDeque, time::Duration};
use units::Time;

const BOUND: Bound = Bound { ratio: 0.2, burst: 54.0, window: Duration::from_secs(10) };

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Every request is retried whenever the budget allows it, while the request rate jumps.
    #[test]
    fn every_window_is_within_the_bound(rates in prop::collection::vec(0_u64..60, 4..30)) {
        const NODES: usize = 7;
        let mut nodes: Vec<Budget> = (0..NODES).map(|_| Budget::new(BOUND)).collect();
        let mut seen: VecDeque<(u64, u32, u32)> = VecDeque::new();
        for (second, rate) in rates.iter().enumerate() {
            for tick in 0..100_u64 {
                let ms = second as u64 * 1_000 + tick * 10;
                let now = Time::from_millis(ms);
                let mut row = (ms, 0, 0);
                if *rate > 0 && tick % (100 / rate.min(&100)).max(1) == 0 {
                    for budget in &mut nodes {
                        budget.record_request(now);
                        row.1 += 1;
                        row.2 += u32::from(budget.try_retry(NODES, now));
                    }
                }
                seen.push_back(row);
                while seen.front().is_some_and(|old| old.0 + 10_000 <= ms) {
                    seen.pop_front();
                }
                let requests: u32 = seen.iter().map(|row| row.1).sum();
                let retries: u32 = seen.iter().map(|row| row.2).sum();
                // The budget may also count requests of the previous window.
                let most = f64::from(requests.max(1)) * 0.2 + 54.0;
                prop_assert!(f64::from(retries) <= most + f64::from(requests) * 0.2);
            }
        }
    }
}

#[test]
fn budget_is_spent_and_comes_back() {
    let mut budget = Budget::new(BOUND);
    let now = Time::from_millis(1_000);
    let spent = (0..100).filter(|_| budget.try_retry(1, now)).count();
    assert_eq!(spent, 43, "eight tenths of the burst");
    assert!(!budget.try_retry(1, now + Duration::from_secs(5)));
    assert!(budget.try_retry(1, now + Duration::from_secs(12)));
}

/// A stream that is silent is moved only if there is a retry for it; asking takes none.
#[test]
fn asking_for_a_retry_takes_none() {
    let mut budget = Budget::new(BOUND);
    let now = Time::from_millis(1_000);
    let mut taken = 0;
    while budget.has_retry(1, now) && budget.has_retry(1, now) {
        assert!(budget.try_retry(1, now));
        taken += 1;
    }
    assert!(taken > 10, "{taken}");
    assert!(!budget.try_retry(1, now));
}

//! Outages of the store, as the calls of one node show them.

use relay::outage::{Outage, REAPPEARANCE_TIME};
use std::time::Duration;
use units::Time;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Node whose calls were answered until `at(1_000)`.
fn calm() -> Outage {
    let mut outage = Outage::default();
    outage.succeed(at(300));
    outage.succeed(at(1_000));
    outage
}

#[test]
fn entries_may_reappear_for_a_fixed_time_after_an_outage() {
    let mut outage = calm();
    assert!(outage.fail(at(1_700), at(2_000)), "newly lost");
    assert!(!outage.fail(at(2_200), at(2_500)));
    assert!(outage.is_lost(at(2_500)));
    assert!(outage.succeed(at(3_500)), "returned");
    assert!(!outage.is_lost(at(3_500)));
    let end = at(3_500) + REAPPEARANCE_TIME;
    assert_eq!(outage.recovery_end(at(3_500)), Some(end));
    outage.succeed(at(4_200));
    assert_eq!(outage.recovery_end(at(4_200)), Some(end), "later answers change nothing");
    assert_eq!(outage.recovery_end(end), None);
}

/// A call that waited for changes since before the outage fails after its end.
#[test]
fn call_that_began_before_an_answer_shows_no_outage() {
    let mut outage = calm();
    outage.fail(at(1_700), at(2_000));
    outage.succeed(at(4_000));
    assert!(!outage.fail(at(1_500), at(5_000)));
    assert!(!outage.is_lost(at(5_000)));
    assert!(!outage.succeed(at(5_100)));
    assert_eq!(outage.recovery_end(at(5_100)), Some(at(4_000) + REAPPEARANCE_TIME));
}

/// How long the store was away is not known from the calls, and entries may have been about to expire.
#[test]
fn entries_may_reappear_after_a_single_failed_call() {
    let mut outage = calm();
    outage.fail(at(1_700), at(1_710));
    assert!(outage.succeed(at(1_900)));
    assert_eq!(outage.recovery_end(at(1_900)), Some(at(1_900) + REAPPEARANCE_TIME));
    assert_eq!(outage.recovery_end(at(1_900) + REAPPEARANCE_TIME), None);
}

#[test]
fn store_is_unknown_some_time_after_a_failed_call() {
    let mut outage = calm();
    outage.fail(at(1_700), at(2_000));
    assert!(outage.is_lost(at(2_000) + Duration::from_millis(2_900)));
    assert!(!outage.is_lost(at(5_000)));
    assert!(outage.fail(at(6_000), at(6_100)), "lost once more");
    assert_eq!(Outage::default().recovery_end(at(9_000)), None);
}

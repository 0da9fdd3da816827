//! Orders and stages of rollouts that arrive out of order, more than once or from several sources.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use relay::rollout::{Announcement, Directive, Rollouts};
use sched::rollout::{Order, OrderId, Stage};
use std::time::Duration;
use units::{Release, ServiceId, Time, Version};

const NOW: Time = Time(1_000_000);

fn service() -> ServiceId {
    ServiceId::new("s").unwrap()
}

fn order(id: u64, to: &str) -> Order {
    Order::new(OrderId(id), service(), Release::new(to).unwrap(), 20.0).unwrap()
}

fn told(id: u64, to: &str, stage: Stage, age_ms: u64) -> Announcement {
    Announcement { order: order(id, to), stage, age_ms, excluded: Box::default() }
}

fn written(id: u64, to: &str) -> Directive {
    Directive { order: order(id, to), invalid: None }
}

fn state(rollouts: &Rollouts) -> (u64, Stage) {
    let entry = rollouts.get(&service()).unwrap();
    (entry.order.id.0, entry.stage)
}

/// Failure: a late announcement takes a stage back, or that of an earlier order replaces a later one.
#[test]
fn announcements_in_any_order_lead_to_the_same_state() {
    let all = [
        told(5, "v2", Stage::Canary, 0),
        told(5, "v2", Stage::Shift, 7_000),
        told(5, "v2", Stage::Reverted, 8_000),
        told(9, "v3", Stage::Canary, 0),
    ];
    for start in 0..all.len() {
        for step in [1, 3] {
            let mut rollouts = Rollouts::default();
            for index in 0..all.len() {
                rollouts.merge(&all[(start + index * step) % all.len()], NOW);
            }
            assert_eq!(state(&rollouts), (9, Stage::Canary), "from {start} by {step}");
            assert!(!rollouts.merge(&all[1], NOW), "an earlier order is ignored");
        }
    }
}

/// Failure: a completed rollout is reverted by an announcement that was on its way.
#[test]
fn a_completed_rollout_stays_completed() {
    let mut rollouts = Rollouts::default();
    rollouts.apply(written(5, "v2"), NOW);
    assert!(rollouts.set_stage(&service(), Stage::Reverted, NOW));
    assert!(rollouts.merge(&told(5, "v2", Stage::Completed, 0), NOW), "the store holds it");
    assert!(!rollouts.merge(&told(5, "v2", Stage::Reverted, 0), NOW));
    assert_eq!(state(&rollouts), (5, Stage::Completed));
}

/// Failure: the same order written again sends the traffic back to endpoints that were stopped, or a
/// reverted one is not tried again.
#[test]
fn an_order_written_again_stays_completed_and_starts_over_after_reverted() {
    let mut rollouts = Rollouts::default();
    rollouts.apply(written(5, "v2"), NOW);
    rollouts.set_stage(&service(), Stage::Reverted, NOW);
    assert!(rollouts.apply(written(6, "v2"), NOW));
    assert_eq!(state(&rollouts), (6, Stage::Canary));
    assert!(rollouts.get(&service()).unwrap().excluded.is_empty(), "the release is tried again");
    rollouts.set_stage(&service(), Stage::Completed, NOW);
    assert!(rollouts.apply(written(7, "v2"), NOW));
    assert_eq!(state(&rollouts), (7, Stage::Completed));
    assert!(!rollouts.apply(written(7, "v2"), NOW), "an order that is known");
}

/// Failure: the release of a replaced order gets requests as one of the old ones.
#[test]
fn the_release_of_a_replaced_order_is_excluded() {
    let mut rollouts = Rollouts::default();
    for (id, to) in [(5, "v2"), (6, "v3"), (7, "v4")] {
        rollouts.apply(written(id, to), NOW);
    }
    let excluded = rollouts.get(&service()).unwrap().excluded.clone();
    let expected = ["v2", "v3"].map(|release| Release::new(release).unwrap());
    assert!(excluded.iter().eq(&expected), "{excluded:?}");
    let told = rollouts.summary(true, NOW);
    assert_eq!(told[0].excluded.len(), 2, "other nodes learn of them");
}

/// Failure: a node that learns of an order late, or starts again, measures the limit from then on.
#[test]
fn the_age_of_an_order_is_that_of_the_oldest_source() {
    let mut rollouts = Rollouts::default();
    rollouts.apply(written(5, "v2"), NOW);
    rollouts.merge(&told(5, "v2", Stage::Canary, 4_000), NOW);
    rollouts.merge(&told(5, "v2", Stage::Canary, 1_000), NOW);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(rollouts.get(&service()).unwrap().age(later), Duration::from_secs(5));
}

/// Failure: an order that cannot be executed sends requests to its release.
#[test]
fn an_invalid_order_is_reverted_and_ends_the_one_before() {
    let mut rollouts = Rollouts::default();
    rollouts.apply(written(5, "v2"), NOW);
    rollouts.apply(Directive::invalid(&service(), None, Version(6), "no".into()), NOW);
    assert_eq!(state(&rollouts), (6, Stage::Reverted));
    assert_eq!(rollouts.open().count(), 0);
    assert_eq!(rollouts.unsaved(), [service()], "the operator gets a state");
}

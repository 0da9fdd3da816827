//! Endpoints that requests use while a service has a rollout.

use super::support::{at, id, listing, release, service};
use proptest::prelude::*;
use sched::{
    fleet::{Cohort, Distance, Fleet, Listing, Outcome, Policy, Query, Size},
    rollout::Stage,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use units::{EndpointId, Time, Tokens};

const SIZE: Size = Size { prompt: Tokens(0), output: Tokens(0) };

fn policy(stage: Stage) -> Policy {
    Policy { candidate: release("v2"), stage, share: 0.1, excluded: BTreeSet::new() }
}

/// Fleet with `stable` old and `candidates` new endpoints in each of three zones.
fn fleet(stable: u32, candidates: u32, stage: Option<Stage>) -> Fleet {
    let mut fleet = Fleet::new();
    for number in 0..3 * stable {
        upsert(&mut fleet, listing(number, "v1", zone(number)), at(0));
    }
    fleet.set_rollout(&service(), stage.map(policy), at(10_000));
    for number in 1_000..1_000 + 3 * candidates {
        upsert(&mut fleet, listing(number, "v2", zone(number)), at(10_000));
    }
    allocate(&mut fleet, at(10_000));
    fleet
}

fn zone(number: u32) -> &'static str {
    ["a", "b", "c"][number as usize % 3]
}

fn upsert(fleet: &mut Fleet, listing: Listing, now: Time) {
    let distance =
        if listing.zone.as_str() == "a" { Distance::SameZone } else { Distance::SameRegion };
    fleet.upsert(listing, distance, now);
}

fn allocate(fleet: &mut Fleet, now: Time) {
    fleet.allocate(|_| 1.0, Duration::from_millis(180), || 0.0, now);
}

fn select(fleet: &Fleet, cohort: Cohort, now: Time) -> Option<EndpointId> {
    let query = Query {
        service: &service(),
        size: SIZE,
        avoid: &[],
        max_connections: u32::MAX,
        target_gap: None,
        streamed: false,
        cohort,
    };
    fleet.select(&query, now).map(|choice| choice.endpoint)
}

/// Sends requests until none is placed; returns their number by endpoint.
fn fill(fleet: &mut Fleet, cohort: Cohort, now: Time) -> BTreeMap<EndpointId, u32> {
    let mut taken = BTreeMap::new();
    while let Some(endpoint) = select(fleet, cohort, now) {
        fleet.start(&endpoint, SIZE);
        *taken.entry(endpoint).or_default() += 1;
    }
    taken
}

fn count(taken: &BTreeMap<EndpointId, u32>, is_candidate: bool) -> u32 {
    let is_new = |id: &EndpointId| id.as_str().len() > "e-999".len();
    taken.iter().filter(|(id, _)| is_new(id) == is_candidate).map(|(_, count)| count).sum()
}

/// Guards against requests at the wrong release, and against slots that are counted as free and
/// cannot be used.
#[test]
fn each_stage_uses_its_releases() {
    let cases = [
        (Stage::Canary, Cohort::Stable, 60, 0),
        (Stage::Canary, Cohort::Any, 60, 0),
        (Stage::Canary, Cohort::Candidate, 60, 30),
        (Stage::Shift, Cohort::Stable, 0, 60),
        (Stage::Shift, Cohort::Candidate, 0, 60),
        (Stage::Completed, Cohort::Any, 0, 60),
        (Stage::Reverted, Cohort::Candidate, 60, 0),
        (Stage::Reverted, Cohort::Any, 60, 0),
    ];
    for (stage, cohort, stable, candidate) in cases {
        let mut fleet = fleet(2, 2, Some(stage));
        let now = at(20_000);
        assert_eq!(fleet.capacity(&service(), now).slots, 60, "{stage}");
        assert_eq!(fleet.capacity(&service(), now).slots_in_zone, 20, "{stage}");
        let taken = fill(&mut fleet, cohort, now);
        assert_eq!((count(&taken, false), count(&taken, true)), (stable, candidate), "{stage}");
        assert_eq!(fleet.capacity(&service(), now).free, 0, "{stage}");
    }
}

/// Guards against a grant for an endpoint whose release may not be used any more.
#[test]
fn an_endpoint_of_a_release_out_of_use_is_not_accepted() {
    let now = at(20_000);
    let accepted = |stage, number| fleet(2, 2, Some(stage)).accepts(&id(number), now);
    assert!(accepted(Stage::Canary, 0) && accepted(Stage::Canary, 1_000));
    assert!(!accepted(Stage::Shift, 0) && accepted(Stage::Shift, 1_000));
    assert!(accepted(Stage::Reverted, 0) && !accepted(Stage::Reverted, 1_000));
    assert!(!accepted(Stage::Completed, 0) && accepted(Stage::Completed, 1_000));
}

/// Guards against canary requests that are spread so thin that a fault under load does not show:
/// a twentieth of the requests loads two candidates as 38 stable endpoints are.
#[test]
fn few_candidates_of_each_zone_are_loaded() {
    for (stable, loaded) in [(2, 1), (12, 1), (38, 2), (100, 5)] {
        let taken =
            fill(&mut fleet(stable, 40, Some(Stage::Canary)), Cohort::Candidate, at(20_000));
        assert_eq!(count(&taken, true), 3 * loaded * 10, "{stable} stable endpoints per zone");
    }
}

/// Guards against nodes that load different candidates: their choice does not depend on the order
/// of the listings.
#[test]
fn nodes_agree_on_the_loaded_candidates() {
    let mut reversed = Fleet::new();
    reversed.set_rollout(&service(), Some(policy(Stage::Canary)), at(0));
    for number in (1_000..1_120).rev() {
        upsert(&mut reversed, listing(number, "v2", zone(number)), at(10_000));
    }
    for number in (0..114).rev() {
        upsert(&mut reversed, listing(number, "v1", zone(number)), at(0));
    }
    allocate(&mut reversed, at(10_000));
    let one = fill(&mut reversed, Cohort::Candidate, at(20_000));
    assert_eq!(one, fill(&mut fleet(38, 40, Some(Stage::Canary)), Cohort::Candidate, at(20_000)));
}

/// Guards against one broken candidate that gets all canary requests of its zone.
#[test]
fn a_candidate_that_fails_ranks_behind_the_others() {
    let mut fleet = fleet(2, 2, Some(Stage::Canary));
    let now = at(20_000);
    let first = select(&fleet, Cohort::Candidate, now).unwrap();
    for _ in 0..3 {
        fleet.start(&first, SIZE);
        fleet.finish(&first, SIZE, true, Outcome::Failed, now);
    }
    assert_ne!(select(&fleet, Cohort::Candidate, now), Some(first.clone()));
    let taken = fill(&mut fleet, Cohort::Candidate, now);
    assert_eq!(taken.get(&first), None);
    assert_eq!(count(&taken, true), 30);
}

/// Guards against requests at a new release while its order is in transit.
#[test]
fn a_release_without_an_order_is_held_back() {
    let mut fleet = fleet(1, 1, None);
    assert_eq!(fleet.capacity(&service(), at(11_900)).slots, 30);
    assert_eq!(count(&fill(&mut fleet, Cohort::Any, at(11_900)), true), 0);
    assert!(!fleet.accepts(&id(1_000), at(11_900)));
    assert_eq!(fleet.capacity(&service(), at(12_000)).slots, 60);
    assert_eq!(count(&fill(&mut fleet, Cohort::Any, at(12_000)), true), 30);
    // Later endpoints of a known release are used at once.
    upsert(&mut fleet, listing(1_003, "v2", "a"), at(12_000));
    assert!(fleet.accepts(&id(1_003), at(12_000)));
}

/// Guards against a service that gets nothing for two seconds after a start of the node, or after
/// all its endpoints were gone.
#[test]
fn the_only_release_is_not_held_back() {
    let mut fleet = fleet(1, 0, None);
    assert!(fleet.accepts(&id(0), at(0)));
    (0..3).for_each(|number| assert!(fleet.remove(&id(number))));
    upsert(&mut fleet, listing(0, "v1", "a"), at(20_000));
    assert!(fleet.accepts(&id(0), at(20_000)));
    fleet.remove(&id(0));
    upsert(&mut fleet, listing(0, "v2", "a"), at(21_000));
    assert!(!fleet.accepts(&id(0), at(22_900)), "another release in place of the last one");
}

/// Guards against a new release under the id of an old endpoint that passes for the old one.
#[test]
fn a_new_release_may_start_under_an_old_id() {
    let mut fleet = fleet(1, 0, Some(Stage::Canary));
    let now = at(20_000);
    assert_eq!(fleet.cohort(&id(0)), Cohort::Stable);
    upsert(&mut fleet, Listing { born: Some(5), ..listing(0, "v2", "a") }, now);
    assert_eq!(fleet.cohort(&id(0)), Cohort::Candidate);
    assert_eq!(fleet.capacity(&service(), now).slots, 20);
    assert_eq!(fill(&mut fleet, Cohort::Stable, now).get(&id(0)), None);
    let listed = fleet.listed(&service(), &release("v2"));
    assert_eq!((listed.stable, listed.candidate), (2, 1));
}

/// Guards against requests at an old endpoint whose entry is read after the end, and against a
/// later release that is never used.
#[test]
fn after_the_end_old_releases_stay_unused_and_later_ones_do_not() {
    let mut fleet = fleet(1, 1, Some(Stage::Completed));
    upsert(&mut fleet, listing(10, "v0", "a"), at(14_000));
    upsert(&mut fleet, listing(11, "v3", "a"), at(60_000));
    let accepts = |number, ms| fleet.accepts(&id(number), at(ms));
    assert!(!accepts(0, 60_000) && !accepts(10, 60_000) && !accepts(11, 60_000));
    assert!(!accepts(0, 70_000) && !accepts(10, 70_000) && accepts(11, 70_000));
}

/// Guards against requests at a release that an earlier order has shown to be bad.
#[test]
fn a_reverted_release_is_not_stable_for_the_next_order() {
    let mut fleet = fleet(1, 1, Some(Stage::Reverted));
    let next = Policy {
        candidate: release("v3"),
        excluded: BTreeSet::from([release("v2")]),
        ..policy(Stage::Canary)
    };
    fleet.set_rollout(&service(), Some(next), at(20_000));
    assert_eq!(fleet.capacity(&service(), at(20_000)).slots, 30);
    assert_eq!(count(&fill(&mut fleet, Cohort::Candidate, at(20_000)), true), 0);
}

/// Guards against a rollout of one service that changes another.
#[test]
fn services_are_independent() {
    let mut fleet = fleet(1, 1, Some(Stage::Shift));
    let other = units::ServiceId::new("other").unwrap();
    upsert(&mut fleet, Listing { service: other.clone(), ..listing(50, "v1", "a") }, at(0));
    assert!(fleet.accepts(&id(50), at(20_000)));
    assert_eq!(fleet.capacity(&other, at(20_000)).slots, 10);
    assert_eq!(fleet.cohort(&id(50)), Cohort::Any);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against decisions that change without a rollout: with releases that are known for long,
    /// each choice, capacity and allocation is that of a fleet without releases.
    #[test]
    fn without_a_rollout_releases_change_nothing(steps in prop::collection::vec((0u8..5, 0u32..6), 1..80)) {
        let (mut with, mut without) = (Fleet::new(), Fleet::new());
        let releases = ["v1", "v2"];
        for number in 0..6 {
            let listing = listing(number, releases[number as usize % 2], zone(number));
            upsert(&mut with, listing.clone(), at(0));
            upsert(&mut without, Listing { release: None, ..listing }, at(0));
        }
        for (time, (step, number)) in (1u64..).zip(steps) {
            let now = at(3_000 + 100 * time);
            let chosen = select(&with, Cohort::Candidate, now);
            prop_assert_eq!(&chosen, &select(&without, Cohort::Any, now));
            prop_assert_eq!(with.capacity(&service(), now), without.capacity(&service(), now));
            for fleet in [&mut with, &mut without] {
                match step {
                    0 | 1 => chosen.iter().for_each(|id| fleet.start(id, SIZE)),
                    2 => fleet.finish(&id(number), SIZE, true, Outcome::Completed, now),
                    3 => fleet.finish(&id(number), SIZE, true, Outcome::Failed, now),
                    _ => allocate(fleet, now),
                }
            }
        }
    }
}

/// Guards against a service without endpoints: an order may name the release in use, also after one
/// to another release that was reverted.
#[test]
fn an_order_to_the_release_in_use_leaves_it_in_use() {
    for stage in [Stage::Canary, Stage::Reverted] {
        let mut fleet = fleet(2, 0, None);
        let in_use = Policy { candidate: release("v1"), ..policy(stage) };
        fleet.set_rollout(&service(), Some(in_use.clone()), at(20_000));
        assert!(select(&fleet, Cohort::Stable, at(20_000)).is_some(), "{stage:?}, only release");
        upsert(&mut fleet, listing(1_000, "v2", "a"), at(20_000));
        let excluded = BTreeSet::from([release("v2")]);
        fleet.set_rollout(&service(), Some(Policy { excluded, ..in_use }), at(20_000));
        let selected = select(&fleet, Cohort::Stable, at(30_000)).map(|id| id.to_string());
        assert!(selected.is_some_and(|id| id.len() < "e-1000".len()), "{stage:?}, v2 is excluded");
        assert_eq!(fleet.listed(&service(), &release("v1")).stable, 0);
    }
}

/// Guards against a release that nodes which restart after a rollout never use: to them it was listed
/// at the end of the rollout.
#[test]
fn a_later_release_is_used_some_time_after_a_restart() {
    let mut without = fleet(0, 0, Some(Stage::Completed));
    upsert(&mut without, listing(0, "v3", "a"), at(11_000));
    assert!(without.accepts(&id(0), at(12_000)), "there is no other");
    let mut beside = fleet(0, 1, Some(Stage::Completed));
    upsert(&mut beside, listing(0, "v3", "a"), at(11_000));
    assert!(!beside.accepts(&id(0), at(12_000)), "it may be an old one");
    assert!(beside.accepts(&id(0), at(311_000)));
}

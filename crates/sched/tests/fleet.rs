//! Endpoint selection by several nodes, and with long prompts.

#![allow(clippy::unwrap_used, clippy::cast_precision_loss, reason = "helpers of tests")]

use rand_pcg::{Pcg64, rand_core::SeedableRng};
use sched::fleet::{Cohort, Distance, Fleet, Listing, Load, Outcome, Query, Size, Usage};
use std::{collections::HashMap, time::Duration};
use units::{EndpointId, InstanceId, ServiceId, Time, Tokens, ZoneId};

const SLOTS: u32 = 10;
/// Time between two allocations.
const INTERVAL: Duration = Duration::from_millis(180);

fn service() -> ServiceId {
    ServiceId::new("llm").unwrap()
}

fn id(number: u32) -> EndpointId {
    EndpointId::new(&format!("e-{number}")).unwrap()
}

fn listing(number: u32) -> Listing {
    Listing {
        id: id(number),
        service: service(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        zone: ZoneId::new("z").unwrap(),
        slots: SLOTS,
        leaving: false,
        born: None,
        release: None,
    }
}

fn fleet(endpoints: u32) -> Fleet {
    let mut fleet = Fleet::new();
    for number in 0..endpoints {
        fleet.upsert(listing(number), Distance::SameZone, Time::ZERO);
    }
    fleet
}

fn query<'a>(service: &'a ServiceId, prompt: u64) -> Query<'a> {
    Query {
        streamed: true,
        cohort: Cohort::Any,
        service,
        size: Size { prompt: Tokens(prompt), output: Tokens(0) },
        avoid: &[],
        max_connections: u32::MAX,
        target_gap: Some(Duration::from_millis(300)),
    }
}

fn allocate_all(fleet: &mut Fleet) {
    fleet.allocate(|_| 1.0, INTERVAL, || 0.0, Time::ZERO);
}

/// Places requests, up to the number `most`, while there is capacity; returns their endpoints.
fn fill(fleet: &mut Fleet, prompt: u64, most: usize) -> Vec<EndpointId> {
    let service = service();
    let mut selected = Vec::new();
    while selected.len() < most
        && let Some(choice) = fleet.select(&query(&service, prompt), Time::ZERO)
    {
        fleet.start(&choice.endpoint, Size { prompt: Tokens(prompt), output: Tokens(0) });
        selected.push(choice.endpoint);
    }
    selected
}

/// Thirteen nodes see the same free slots, and each has more requests than its share.
#[test]
fn nodes_that_see_the_same_slots_do_not_all_take_them() {
    const NODES: u32 = 13;
    let mut rng = Pcg64::seed_from_u64(7);
    let mut taken: HashMap<EndpointId, u32> = HashMap::new();
    for _ in 0..NODES {
        let mut fleet = fleet(10);
        fleet.allocate(
            |_| 1.0 / f64::from(NODES),
            INTERVAL,
            || rand_pcg::rand_core::RngCore::next_u32(&mut rng).into_unit(),
            Time::ZERO,
        );
        for endpoint in fill(&mut fleet, 0, 20) {
            *taken.entry(endpoint).or_default() += 1;
        }
    }
    let all: u32 = taken.values().sum();
    assert!(all <= 10 * SLOTS * 5 / 4, "{all} requests for {} slots", 10 * SLOTS);
    assert!(all >= 10 * SLOTS * 3 / 4, "{all} requests for {} slots", 10 * SLOTS);
}

trait Unit {
    fn into_unit(self) -> f64;
}

impl Unit for u32 {
    fn into_unit(self) -> f64 {
        f64::from(self) / f64::from(u32::MAX)
    }
}

#[test]
fn slot_that_a_request_leaves_may_be_taken_again() {
    let mut fleet = fleet(1);
    allocate_all(&mut fleet);
    let selected = fill(&mut fleet, 0, 100);
    assert_eq!(selected.len(), SLOTS as usize);
    let size = Size { prompt: Tokens(0), output: Tokens(0) };
    fleet.finish(&id(0), size, true, Outcome::Completed, Time::ZERO);
    assert_eq!(fill(&mut fleet, 0, 100).len(), 1);
}

#[test]
fn slots_of_peers_are_left_alone() {
    let mut fleet = fleet(1);
    let usage = Usage { in_flight: SLOTS - 2, pending_prefill: Tokens(0) };
    let peer = InstanceId::new("peer").unwrap();
    fleet.set_peer_usage(&peer, &HashMap::from([(id(0), usage)]), Time::ZERO);
    allocate_all(&mut fleet);
    assert_eq!(fill(&mut fleet, 0, 100).len(), 2);
    fleet.remove_peer(&peer);
    allocate_all(&mut fleet);
    assert_eq!(fill(&mut fleet, 0, 100).len(), 8);
}

/// One endpoint of three is five times slower than the others.
fn fleet_with_a_slow_one() -> Fleet {
    let mut fleet = fleet(3);
    for _ in 0..500 {
        for (number, gap_ms) in [(0, 20), (1, 20), (2, 100)] {
            fleet.record_gap(&id(number), Duration::from_millis(gap_ms), 1);
        }
    }
    allocate_all(&mut fleet);
    fleet
}

#[test]
fn long_prompts_stay_away_from_a_slow_endpoint() {
    let mut fleet = fleet_with_a_slow_one();
    let selected = fill(&mut fleet, 20_000, 100);
    assert!(!selected.is_empty());
    assert!(!selected.contains(&id(2)), "{selected:?}");
}

#[test]
fn short_prompts_use_a_slow_endpoint() {
    let mut fleet = fleet_with_a_slow_one();
    assert!(fill(&mut fleet, 600, 100).contains(&id(2)));
}

/// Gaps during prefill must not count as slowness of the endpoint.
#[test]
fn reading_does_not_make_an_endpoint_slow() {
    let mut fleet = fleet(3);
    for round in 0..2_000 {
        for number in 0..3 {
            let prefilling = number == 2 && round % 2 == 0;
            let gap_ms = if prefilling { 120 } else { 20 };
            fleet.record_gap(&id(number), Duration::from_millis(gap_ms), 1);
        }
    }
    allocate_all(&mut fleet);
    assert!(fill(&mut fleet, 20_000, 100).contains(&id(2)));
}

#[test]
fn leaving_and_removed_endpoints_are_not_chosen() {
    let mut fleet = fleet(2);
    fleet.upsert(Listing { leaving: true, ..listing(0) }, Distance::SameZone, Time::ZERO);
    fleet.remove(&id(1));
    allocate_all(&mut fleet);
    assert!(fill(&mut fleet, 0, 1).is_empty());
}

#[test]
fn endpoint_that_fails_is_avoided_but_not_given_up() {
    let mut fleet = fleet(2);
    allocate_all(&mut fleet);
    for _ in 0..10 {
        let size = Size { prompt: Tokens(0), output: Tokens(0) };
        fleet.start(&id(0), size);
        fleet.finish(&id(0), size, true, Outcome::Failed, Time::ZERO);
    }
    let selected = fill(&mut fleet, 0, 100);
    let first_bad = selected.iter().position(|endpoint| *endpoint == id(0));
    assert_eq!(first_bad, Some(SLOTS as usize), "the healthy endpoint fills first");
}

#[test]
fn reported_pace_fades() {
    let service = service();
    let mut fleet = fleet(2);
    let report = Load { running: 0, waiting: 0, slots: SLOTS, slowdown: 4.0 };
    fleet.record_load(&id(0), report, Time::ZERO);
    allocate_all(&mut fleet);
    // One request in flight makes the other endpoint the second choice at equal speed.
    fleet.start(&id(1), Size { prompt: Tokens(0), output: Tokens(0) });
    let at = |ms| fleet.select(&query(&service, 5_000), Time::from_millis(ms)).unwrap().endpoint;
    assert_eq!(at(0), id(1));
    assert_eq!(at(10_000), id(0));
}

#[test]
fn new_lifetime_forgets_what_was_learned() {
    let service = service();
    let mut fleet = fleet(1);
    let size = Size { prompt: Tokens(0), output: Tokens(0) };
    fleet.start(&id(0), size);
    fleet.finish(&id(0), size, false, Outcome::Unreachable, Time::ZERO);
    allocate_all(&mut fleet);
    assert!(fleet.select(&query(&service, 0), Time::ZERO).is_none(), "backs off");
    fleet.upsert(Listing { born: Some(1), ..listing(0) }, Distance::SameZone, Time::ZERO);
    allocate_all(&mut fleet);
    assert!(fleet.select(&query(&service, 0), Time::ZERO).is_some());
}

/// Each of 78 nodes sends a short call per 370 ms. With an allocation per 180 ms, few calls may
/// have to wait for the next one.
#[test]
fn short_calls_do_not_wait_for_the_next_deal() {
    let mut rng = Pcg64::seed_from_u64(7);
    let mut fleet = fleet(6);
    let mut delayed = 0;
    for round in 0..1_000_u64 {
        let now = Time::from_millis(round * 180);
        let draw = || rand_pcg::rand_core::RngCore::next_u32(&mut rng).into_unit();
        fleet.allocate(|_| 1.0 / 78.0, INTERVAL, draw, now);
        let Some(choice) = fleet.select(&query(&service(), 0), now) else {
            delayed += 1;
            continue;
        };
        let size = Size { prompt: Tokens(0), output: Tokens(0) };
        fleet.start(&choice.endpoint, size);
        fleet.record_hold_time(&choice.endpoint, Duration::from_millis(20));
        fleet.finish(&choice.endpoint, size, true, Outcome::Completed, now);
    }
    assert!(delayed <= 50, "{delayed} of 1000 waited");
}

/// Node in [`saturate`], with the end times of its requests.
struct Node {
    fleet: Fleet,
    ends: Vec<(Time, EndpointId)>,
    shortfall: u32,
}

/// Runs nodes that always have a request waiting; the last node starts later. Returns the requests
/// in flight at each node, summed over the samples of the second half.
fn saturate(nodes: u32, endpoints: u32) -> Vec<u64> {
    const HOLD: Duration = Duration::from_millis(600);
    const LATE: u64 = 2_000;
    const END: u64 = 12_000;
    let mut rng = Pcg64::seed_from_u64(11);
    let service = service();
    let size = Size { prompt: Tokens(0), output: Tokens(0) };
    let mut members: Vec<Node> = (0..nodes)
        .map(|_| Node { fleet: fleet(endpoints), ends: Vec::new(), shortfall: 0 })
        .collect();
    let mut sums = vec![0; members.len()];
    for ms in (0..END).step_by(5) {
        let now = Time::from_millis(ms);
        let alive = members.len();
        for number in 0..alive {
            let start_ms = if number + 1 == alive { LATE } else { 0 };
            let total_shortfall: u32 = members.iter().map(|node| node.shortfall).sum();
            let node = &mut members[number];
            while let Some(at) = node.ends.iter().position(|(end, _)| *end <= now) {
                let (_, endpoint) = node.ends.swap_remove(at);
                node.fleet.finish(&endpoint, size, true, Outcome::Completed, now);
            }
            // Nodes send their digests at different times.
            if (ms + 20 * number as u64).is_multiple_of(100) {
                let usage: HashMap<EndpointId, Usage> =
                    node.fleet.usage(|_| true).map(|(id, usage)| (id.clone(), usage)).collect();
                let draw = || rand_pcg::rand_core::RngCore::next_u32(&mut rng).into_unit();
                node.fleet.set_waiting(&service, ms >= start_ms, total_shortfall - node.shortfall);
                node.fleet.allocate(|_| 1.0 / alive as f64, Duration::from_millis(100), draw, now);
                node.shortfall = node.fleet.shortfall(&service);
                let name = InstanceId::new(&format!("n-{number}")).unwrap();
                for other in (0..alive).filter(|other| *other != number) {
                    members[other].fleet.set_peer_usage(&name, &usage, now);
                }
            }
            let node = &mut members[number];
            while ms >= start_ms
                && let Some(choice) = node.fleet.select(&query(&service, 0), now)
            {
                node.fleet.start(&choice.endpoint, size);
                let jitter = rand_pcg::rand_core::RngCore::next_u32(&mut rng) % 200;
                let end = now + HOLD + Duration::from_millis(jitter.into());
                node.ends.push((end, choice.endpoint));
            }
            if ms > END / 2 {
                sums[number] += node.ends.len() as u64;
            }
        }
    }
    sums
}

/// All slots are used by other nodes when a node starts or returns in the middle of a burst.
#[test]
fn node_that_comes_late_gets_its_part_of_full_endpoints() {
    for (nodes, endpoints) in [(3, 2), (5, 2), (12, 6)] {
        let sums = saturate(nodes, endpoints);
        let all: u64 = sums.iter().sum();
        let late = *sums.last().unwrap();
        let samples = 12_000 / 2 / 5;
        let slots = u64::from(endpoints * SLOTS) * samples;
        assert!(late * u64::from(nodes) * 2 >= all, "{nodes} nodes: {sums:?}");
        assert!(all * 10 >= slots * 9, "{nodes} nodes: {all} of {slots} in use");
        assert!(all * 10 <= slots * 11, "{nodes} nodes: {all} of {slots} in use");
    }
}

/// One of three endpoints takes five times as long per event as the fastest one.
#[test]
fn long_answers_go_to_fast_endpoints_first() {
    let service = service();
    let mut fleet = fleet(3);
    for (number, gap_ms) in [(0, 16), (1, 30), (2, 84)] {
        for _ in 0..50 {
            fleet.record_gap(&id(number), Duration::from_millis(gap_ms), 1);
        }
    }
    allocate_all(&mut fleet);
    let mut first = |output: u64, in_flight: u32| {
        let peer = InstanceId::new("peer").unwrap();
        let usage = Usage { in_flight, pending_prefill: Tokens(0) };
        fleet.set_peer_usage(&peer, &HashMap::from([(id(0), usage)]), Time::ZERO);
        let size = Size { prompt: Tokens(600), output: Tokens(output) };
        fleet.select(&Query { size, ..query(&service, 0) }, Time::ZERO).unwrap().endpoint
    };
    assert_eq!(first(3_000, SLOTS - 1), id(0), "the last slot at the fastest");
    assert_eq!(first(3_000, SLOTS), id(1), "then the endpoint of usual speed");
}

/// The address of an endpoint that is gone may be reused by another one, which does not run the
/// request.
#[test]
fn endpoint_at_whose_address_another_one_is_rests_until_its_entry_changes() {
    let service = service();
    let size = Size { prompt: Tokens(0), output: Tokens(0) };
    let at = Time::from_millis;
    let mut fleet = fleet(1);
    let is_chosen = |fleet: &Fleet, ms| fleet.select(&query(&service, 0), at(ms)).is_some();
    allocate_all(&mut fleet);
    fleet.start(&id(0), size);
    fleet.finish(&id(0), size, false, Outcome::WrongEndpoint, Time::ZERO);
    assert!(!is_chosen(&fleet, 2_900));
    assert!(is_chosen(&fleet, 3_000));
    fleet.finish(&id(0), size, false, Outcome::WrongEndpoint, at(3_000));
    fleet.upsert(Listing { born: Some(2), ..listing(0) }, Distance::SameZone, at(3_100));
    allocate_all(&mut fleet);
    assert!(is_chosen(&fleet, 3_100));
}

/// Figures that endpoints, other nodes and other writers state at their extremes. A slowdown that was
/// not a number made each selection panic; sums of slots and requests overflowed.
#[test]
fn figures_out_of_range_do_not_stop_the_selection() {
    let service = service();
    let mut fleet = Fleet::new();
    for number in 0..3 {
        let listing = Listing { slots: u32::MAX, ..listing(number) };
        fleet.upsert(listing, Distance::SameZone, Time::ZERO);
    }
    for slowdown in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, f64::MIN] {
        let load = Load { running: u32::MAX, waiting: u32::MAX, slots: u32::MAX, slowdown };
        fleet.record_load(&id(0), load, Time::ZERO);
        allocate_all(&mut fleet);
        assert!(fleet.select(&query(&service, 10), Time::ZERO).is_some(), "{slowdown}");
    }
    let usage = Usage { in_flight: u32::MAX, pending_prefill: Tokens(u64::MAX) };
    for peer in ["p-1", "p-2"] {
        let usage = HashMap::from([(id(1), usage), (id(2), usage)]);
        fleet.set_peer_usage(&InstanceId::new(peer).unwrap(), &usage, Time::ZERO);
    }
    fleet.set_waiting(&service, true, u32::MAX);
    allocate_all(&mut fleet);
    assert!(fleet.capacity(&service, Time::ZERO).free > 0);
    assert_eq!(fleet.select(&query(&service, 10), Time::ZERO).unwrap().endpoint, id(0));
    fleet.start(&id(0), Size { prompt: Tokens(u64::MAX), output: Tokens(u64::MAX) });
    fleet.start(&id(0), Size { prompt: Tokens(u64::MAX), output: Tokens(u64::MAX) });
    allocate_all(&mut fleet);
}

/// The owner of a zone kept using its one endpoint of plain calls while that failed them, although
/// other zones had room: its slots counted as free.
#[test]
fn slots_of_an_endpoint_that_fails_its_calls_are_not_free() {
    for outcome in [Outcome::Unreachable, Outcome::Failed] {
        let mut fleet = fleet(1);
        allocate_all(&mut fleet);
        assert_eq!(fleet.capacity(&service(), Time::ZERO).free, SLOTS);
        for _ in 0..5 {
            fleet.record_outcome(&id(0), outcome, Time::ZERO);
        }
        assert_eq!(fleet.capacity(&service(), Time::ZERO).free, 0, "{outcome:?}");
        let later = Time::ZERO + Duration::from_secs(3);
        assert_eq!(fleet.capacity(&service(), later).free, SLOTS, "it is tried again");
    }
}

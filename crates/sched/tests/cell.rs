//! Tests of one cell.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use codes::Code;
use sched::{
    Cell, CellId, Job, Outcome,
    cell::{Config, Load},
};
use std::time::Duration;
use units::{
    EndpointId, Fingerprint, InstanceId, OrganisationId, Rank, RegionId, RequestId, ServiceId,
    Time, Tokens,
};

fn endpoint(name: &str) -> EndpointId {
    EndpointId::new(name).unwrap()
}

fn cell(endpoints: &[&str], config: Config) -> Cell {
    let id = CellId {
        service: ServiceId::new("model").unwrap(),
        region: RegionId::new("region").unwrap(),
        shard: 0,
    };
    let mut cell = Cell::new(id, config, 0, Time::ZERO);
    cell.set_endpoints(&endpoints.iter().map(|name| endpoint(name)).collect::<Vec<_>>());
    cell
}

fn job(number: u64, rank: u8) -> Job {
    Job {
        request: RequestId::new(u128::from(number)),
        holder: InstanceId::new("gw-1").unwrap(),
        rank: Rank(rank),
        organisation: OrganisationId::new("org").unwrap(),
        prompt: Tokens(100),
        output: Tokens(20),
        deadline: Time::from_millis(60_000),
        prefixes: Box::new([]),
        fingerprint: Fingerprint(number),
        suspect: false,
    }
}

const SOON: Time = Time::from_millis(10);

#[test]
fn an_overdue_first_token_closes_the_window() {
    let mut cell = cell(&["a", "b"], Config::default());
    cell.register(job(1, 0), SOON);
    let first = cell.decide(SOON).grants.remove(0);
    let later = SOON + Duration::from_secs(1);
    for number in 2..20 {
        cell.register(job(number, 0), SOON);
    }
    let grants = cell.decide(later).grants;
    assert!(!grants.is_empty());
    assert!(grants.iter().all(|grant| grant.endpoint != first.endpoint), "{grants:?}");
    cell.record_first_token(first.permit, Duration::from_secs(1), later);
}

#[test]
fn slow_answers_close_the_window_until_they_are_normal() {
    let mut cell = cell(&["a", "b"], Config::default());
    cell.record_slowdown(&endpoint("a"), 9.0, SOON);
    for number in 0..8 {
        cell.register(job(number, 0), SOON);
    }
    let grants = cell.decide(SOON).grants;
    assert!(!grants.is_empty() && grants.iter().all(|grant| grant.endpoint == endpoint("b")));
    // Once the reports stop, the endpoint is probed with one request.
    for number in 8..30 {
        cell.register(job(number, 0), SOON);
    }
    let later = SOON + Duration::from_millis(500);
    let probes = cell.decide(later).grants.iter().filter(|g| g.endpoint == endpoint("a")).count();
    assert!(probes <= 1, "{probes} requests for an endpoint that was slow");
}

#[test]
fn two_suspects_never_share_an_endpoint() {
    let mut cell = cell(&["a", "b"], Config::default());
    for number in 0..6 {
        cell.register(Job { suspect: true, ..job(number, 0) }, SOON);
    }
    cell.register(job(9, 1), SOON);
    let grants = cell.decide(SOON).grants;
    let suspects: Vec<_> = grants.iter().filter(|g| g.request != RequestId::new(9)).collect();
    assert_eq!(suspects.len(), 2, "{suspects:?}");
    assert_ne!(suspects[0].endpoint, suspects[1].endpoint);
    assert_eq!(grants.len(), 3, "a suspect that waits for isolation delays no other request");
}

#[test]
fn a_full_queue_sheds_the_lowest_tier() {
    let mut cell = cell(&[], Config { max_waiting: 3, ..Config::default() });
    assert!(cell.register(job(1, 2), SOON).is_empty());
    assert!(cell.register(job(2, 1), SOON).is_empty());
    assert!(cell.register(job(3, 2), SOON).is_empty());
    let shed = cell.register(job(4, 0), SOON);
    assert_eq!(shed.len(), 1);
    assert!([1, 3].map(RequestId::new).contains(&shed[0].request));
    assert_eq!(shed[0].code, Code::QueueFull);
    let shed = cell.register(job(5, 4), SOON);
    assert_eq!(shed[0].request, RequestId::new(5), "the new request has the lowest tier");
}

#[test]
fn what_cannot_end_in_time_is_refused_before_it_is_sent() {
    let mut cell = cell(&["a"], Config::default());
    let late = Job { deadline: SOON + Duration::from_millis(5), ..job(1, 0) };
    cell.register(late, SOON);
    let decisions = cell.decide(SOON);
    assert!(decisions.grants.is_empty());
    assert_eq!(decisions.sheds[0].code, Code::DeadlineUnmeetable);
}

#[test]
fn a_new_owner_counts_reported_requests_as_its_own() {
    let mut cell = cell(&["a"], Config::default());
    cell.record_load(&endpoint("a"), Load { running: 8, waiting: 2 }, SOON);
    cell.register(job(1, 0), SOON);
    assert!(cell.decide(SOON).grants.is_empty(), "the previous owner's requests fill the window");
    let later = Time::from_millis(4000);
    cell.record_load(&endpoint("a"), Load { running: 8, waiting: 2 }, later);
    assert_eq!(cell.decide(later).grants.len(), 1);
}

#[test]
fn a_dead_holder_gives_everything_back() {
    let mut cell = cell(&["a"], Config::default());
    for number in 0..50 {
        cell.register(job(number, 0), SOON);
    }
    assert!(!cell.decide(SOON).grants.is_empty());
    cell.drop_holder(&InstanceId::new("gw-1").unwrap(), SOON);
    assert_eq!((cell.waiting(), cell.in_use()), (0, 0));
}

#[test]
fn an_unreachable_endpoint_is_left_alone_for_a_while() {
    let mut cell = cell(&["a"], Config::default());
    cell.register(job(1, 0), SOON);
    let grant = cell.decide(SOON).grants.remove(0);
    cell.release(grant.permit, Outcome::Unreachable, SOON);
    cell.register(job(1, 0), SOON);
    assert!(cell.decide(SOON).grants.is_empty());
    assert_eq!(cell.decide(SOON + Duration::from_millis(300)).grants.len(), 1);
}

#[test]
fn a_lost_grant_is_sent_again_and_costs_no_second_permit() {
    let mut cell = cell(&["a"], Config::default());
    cell.register(job(1, 0), SOON);
    let first = cell.decide(SOON).grants;
    cell.register(job(1, 0), SOON);
    assert!(cell.decide(SOON).grants.is_empty(), "the grant is in transit");
    let later = SOON + Duration::from_millis(300);
    cell.register(job(1, 0), later);
    assert_eq!(cell.decide(later).grants, first);
    assert_eq!(cell.in_use(), 1);
}

#[test]
fn the_same_request_sent_many_times_at_once_costs_two_endpoints_at_most() {
    let mut cell = cell(&["a", "b", "c", "d"], Config::default());
    let duplicate = |number| Job { fingerprint: Fingerprint(7), ..job(number, 0) };
    for number in 0..10 {
        cell.register(duplicate(number), SOON);
    }
    cell.register(job(50, 1), SOON);
    let grants = cell.decide(SOON).grants;
    assert_eq!(grants.len(), 3, "two duplicates and the other request: {grants:?}");
    // Once one duplicate has completed, the request is known to be harmless.
    let completed = Outcome::Completed { output: Tokens(20), gap_us: 12_000 };
    let first = grants.iter().find(|grant| grant.request != RequestId::new(50)).unwrap();
    cell.release(first.permit, completed, SOON);
    assert!(cell.decide(SOON).grants.len() > 2);
}

/// A light load is spread over idle endpoints instead of filling a known one.
#[test]
fn idle_endpoints_are_used_beside_a_known_one() {
    let mut cell = cell(&["a", "b", "c", "d"], Config::default());
    let completed = Outcome::Completed { output: Tokens(20), gap_us: 9_000 };
    let mut now = SOON;
    for number in 0..20 {
        cell.register(job(number, 0), now);
        let grant = cell.decide(now).grants.remove(0);
        now = now + Duration::from_millis(20);
        cell.record_first_token(grant.permit, Duration::from_millis(20), now);
        cell.release(grant.permit, completed, now);
    }
    for number in 100..108 {
        cell.register(job(number, 0), now);
    }
    let grants = cell.decide(now).grants;
    assert_eq!(grants.len(), 8);
    for name in ["a", "b", "c", "d"] {
        let count = grants.iter().filter(|grant| grant.endpoint == endpoint(name)).count();
        assert!((1..=3).contains(&count), "{name}: {count} of 8");
    }
}

/// A peer's frame may name a tier that does not exist; it counts as the lowest one.
#[test]
fn rank_beyond_the_last_tier_is_shed_like_the_lowest() {
    let config = Config { max_waiting: 2, ..Config::default() };
    let mut cell = cell(&[], config);
    let mut shed = Vec::new();
    for (number, rank) in [(1, 200), (2, 0), (3, 5), (4, 4)] {
        shed.extend(cell.register(job(number, rank), SOON));
    }
    assert_eq!(shed.len(), 2);
    assert!(shed.iter().all(|shed| shed.request != RequestId::new(2)), "the first tier stays");
}

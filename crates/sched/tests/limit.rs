//! Limits on the requests that an endpoint takes from all nodes together.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use sched::fleet::{Cohort, Distance, Fleet, Limit, Listing, Outcome, Query, Size, share};
use std::time::Duration;
use units::{EndpointId, RequestRate, ServiceId, Time, Tokens, ZoneId};

const SIZE: Size = Size { prompt: Tokens(10), output: Tokens(10) };
/// Interval at which a node rechecks its queue.
const STEP: Duration = Duration::from_millis(25);
/// Steps in a window of 4 s.
const WINDOW: usize = 160;

fn service() -> ServiceId {
    ServiceId::new("llm").unwrap()
}

fn endpoint() -> EndpointId {
    EndpointId::new("e-1").unwrap()
}

fn at(step: usize) -> Time {
    Time::from_millis(1_000) + STEP * u32::try_from(step).unwrap()
}

fn listing(born: Option<u64>) -> Listing {
    Listing {
        id: endpoint(),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: 1_000,
        leaving: false,
        born,
        release: None,
    }
}

fn fleet(rate: RequestRate) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.upsert(listing(None), Distance::SameZone, at(0));
    fleet.record_limit(&endpoint(), Limit { rate: Some(rate), at: at(0) }, at(0));
    fleet
}

/// Sends as many requests as the limit allows and returns their number.
fn send_all(fleet: &mut Fleet, now: Time) -> u32 {
    let query = Query {
        service: &service(),
        size: SIZE,
        avoid: &[],
        max_connections: u32::MAX,
        target_gap: None,
        streamed: false,
        cohort: Cohort::Any,
    };
    let mut sent = 0;
    while let Some(choice) = fleet.select(&query, now) {
        fleet.start(&choice.endpoint, SIZE);
        fleet.take_token(&choice.endpoint, now);
        fleet.finish(&choice.endpoint, SIZE, true, Outcome::Completed, now);
        sent += 1;
    }
    sent
}

fn most_in_window(sent: &[u32]) -> u32 {
    sent.windows(WINDOW).map(|window| window.iter().sum()).max().unwrap_or_default()
}

/// One and a half times the limit, and five, in 4 s.
fn allowed(rate: RequestRate) -> f64 {
    6.0 * rate.per_second() + 5.0
}

proptest! {
    /// All nodes of a small cluster have more requests than the endpoint takes.
    #[test]
    fn nodes_together_keep_to_a_limit_and_use_it(rate in 100u32..60_000, nodes in 1u32..18) {
        let rate = RequestRate(rate);
        let mut fleets: Vec<Fleet> = (0..nodes).map(|_| fleet(rate)).collect();
        let mut sent = Vec::new();
        for step in 0..5 * WINDOW {
            let mut in_step = 0;
            for (rank, fleet) in (0..).zip(&mut fleets) {
                fleet.set_limit_shares(|_| 1.0, |_, rate| share(rate, rank, nodes), at(step));
                in_step += send_all(fleet, at(step));
            }
            sent.push(in_step);
        }
        let most = most_in_window(&sent);
        prop_assert!(f64::from(most) <= allowed(rate), "{most} at {rate} with {nodes} nodes");
        let used = f64::from(sent.iter().sum::<u32>()) / 20.0;
        prop_assert!(used >= 0.9 * rate.per_second() - 0.5, "{used} of {rate}");
    }
}

/// One node gives out the slots for all others of its zone.
#[test]
fn an_owner_has_the_whole_limit_and_others_have_none() {
    let rate: RequestRate = "12.5".parse().unwrap();
    let mut owner = fleet(rate);
    let mut other = fleet(rate);
    owner.set_owned([service()]);
    let mut sent = Vec::new();
    for step in 0..3 * WINDOW {
        owner.set_limit_shares(|_| 1.0, |_, _| 0.0, at(step));
        other.set_limit_shares(|_| 1.0, |_, _| 0.0, at(step));
        assert_eq!(send_all(&mut other, at(step)), 0);
        sent.push(send_all(&mut owner, at(step)));
    }
    let most = f64::from(most_in_window(&sent));
    assert!(most <= allowed(rate), "{most}");
    assert!(most >= 45.0, "{most} of 50");
}

/// Announcements overtake each other, and repeat what has ended.
#[test]
fn the_newest_response_counts() {
    let mut fleet = fleet(RequestRate(2_000));
    let ended = Limit { rate: None, at: at(9) };
    assert!(fleet.record_limit(&endpoint(), ended, at(10)));
    let older = Limit { rate: Some(RequestRate(2_000)), at: at(8) };
    assert!(!fleet.record_limit(&endpoint(), older, at(11)));
    assert!(fleet.limited_services().is_empty());
    assert_eq!(fleet.limited(at(9)).count(), 1, "the end is repeated for a while");
    assert_eq!(fleet.limited(at(10)).count(), 0);
}

#[test]
fn rates_are_decimal_numbers() {
    let parse = |text: &str| text.parse::<RequestRate>().map(|rate| rate.to_string());
    assert_eq!(parse("2.8").as_deref(), Ok("2.8"));
    assert_eq!(parse(" 0 ").as_deref(), Ok("0"));
    for invalid in ["", "-1", "NaN", "inf", "1e9", "2,8"] {
        assert!(parse(invalid).is_err(), "{invalid}");
    }
}

/// A node that starts is told the limits before it has read the directory, or an endpoint has started
/// again and its entry comes later than its limit.
#[test]
fn a_limit_announced_before_the_listing_counts() {
    let limit = |step, rate| Limit { rate: Some(RequestRate(rate)), at: at(step) };
    let mut started = Fleet::new();
    assert!(!started.record_announced_limit(&endpoint(), Some(7), limit(0, 2_000), at(1)));
    started.upsert(listing(Some(6)), Distance::SameZone, at(2));
    assert_eq!(started.limited_services().len(), 0, "another process");
    started.upsert(listing(Some(7)), Distance::SameZone, at(3));
    assert_eq!(started.limit(&endpoint()), Some(limit(0, 2_000)));
    started.set_limit_shares(|_| 1.0, |_, _| 0.0, at(3));
    assert_eq!(send_all(&mut started, at(4)), 0);
    // Names without an entry must not fill the memory.
    for number in 0..100_000 {
        let id = EndpointId::new(&format!("x-{number}")).unwrap();
        started.record_announced_limit(&id, None, limit(0, 2_000), at(4));
    }
    started.prune_early_limits(at(1));
    started.upsert(
        Listing { id: EndpointId::new("x-1").unwrap(), ..listing(None) },
        Distance::SameZone,
        at(5),
    );
    assert_eq!(started.limited_services().len(), 1);
    assert_eq!(started.limit(&EndpointId::new("x-1").unwrap()), None, "forgotten");
}

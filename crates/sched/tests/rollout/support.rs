//! Listings, orders and reports of the tests.

use sched::{
    fleet::{Cohort, Listing},
    rollout::{Answer, Bounds, Order, OrderId, Report, Rollout, Stage},
};
use std::time::Duration;
use units::{EndpointId, InstanceId, Release, ServiceId, Time, ZoneId};

pub const BOUNDS: Bounds = Bounds { share: 0.1, burst: 50, rollback: Duration::from_secs(5) };

pub fn service() -> ServiceId {
    ServiceId::new("llm").unwrap()
}

pub fn release(name: &str) -> Release {
    Release::new(name).unwrap()
}

pub fn id(number: u32) -> EndpointId {
    EndpointId::new(&format!("e-{number}")).unwrap()
}

pub fn node(number: usize) -> InstanceId {
    InstanceId::new(&format!("n-{number}")).unwrap()
}

pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn listing(number: u32, version: &str, zone: &str) -> Listing {
    Listing {
        id: id(number),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new(zone).unwrap(),
        slots: 10,
        leaving: false,
        born: None,
        release: Some(release(version)),
    }
}

pub fn order(limit_s: f64) -> Order {
    Order::new(OrderId(7), service(), release("v2"), limit_s).unwrap()
}

pub fn rollout(limit_s: f64) -> Rollout {
    Rollout::new(order(limit_s), BOUNDS, Stage::Canary)
}

/// Counts `answers` responses of 50 ms at an endpoint; the first `failures` of them fail.
pub fn count(
    report: &mut Report,
    route: u32,
    endpoint: u32,
    cohort: Cohort,
    answers: u32,
    failures: u32,
) {
    for number in 0..answers {
        let failed = number < failures;
        let (endpoint, latency) = (&id(endpoint), Some(ms(50)));
        report.record(route, &Answer { endpoint, cohort, failed, latency });
    }
}

pub fn report() -> Report {
    Report::new(OrderId(7))
}

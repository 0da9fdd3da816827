//! Placement never leaves a service without an endpoint, and moves endpoints only on demand.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use sched::placement::{Assignment, Demand, Planner};
use std::{collections::BTreeSet, time::Duration};
use units::{EndpointId, ServiceId, Time};

fn service(index: usize) -> ServiceId {
    ServiceId::new(&format!("model-{index}")).unwrap()
}

fn demand(index: usize, backlog_ms: u64, in_use: usize) -> Demand {
    let backlog = Duration::from_millis(backlog_ms);
    Demand { service: service(index), backlog, in_use, capacity: 20.0 }
}

fn assignments(counts: &[usize]) -> Vec<Assignment> {
    let assignment = |(index, n): (usize, usize)| Assignment {
        endpoint: EndpointId::new(&format!("e-{index}-{n}")).unwrap(),
        service: service(index),
    };
    let counted = counts.iter().enumerate();
    counted
        .flat_map(|(index, count)| (0..*count).map(move |n| (index, n)))
        .map(assignment)
        .collect()
}

fn all() -> BTreeSet<ServiceId> {
    (0..3).map(service).collect()
}

#[test]
fn lasting_demand_moves_one_endpoint() {
    let mut planner = Planner::new();
    let demands = [demand(0, 900, 20), demand(1, 0, 1)];
    let assignments = assignments(&[2, 3]);
    assert_eq!(planner.plan(&demands, &assignments, &all(), Time::from_millis(1000)), None);
    let order = planner.plan(&demands, &assignments, &all(), Time::from_millis(5500)).unwrap();
    assert_eq!((order.from, order.to), (service(1), service(0)));
    // The order interval has not passed; it limits the load on the weight store.
    assert_eq!(planner.plan(&demands, &assignments, &all(), Time::from_millis(6000)), None);
    assert!(planner.plan(&demands, &assignments, &all(), Time::from_millis(17_000)).is_some());
}

#[test]
fn a_short_wave_moves_nothing() {
    let mut planner = Planner::new();
    let assignments = assignments(&[2, 3]);
    for second in 0..20 {
        let backlog = if second % 3 == 0 { 0 } else { 900 };
        let demands = [demand(0, backlog, 20), demand(1, 0, 1)];
        let now = Time::from_millis(1000 * second);
        assert_eq!(planner.plan(&demands, &assignments, &all(), now), None);
    }
}

proptest! {
    #[test]
    fn a_donor_is_idle_and_keeps_an_endpoint(
        rounds in prop::collection::vec(prop::collection::vec((0u64..1500, 0usize..25), 3), 1..60),
        counts in prop::collection::vec(0usize..4, 3),
    ) {
        let mut planner = Planner::new();
        let mut assignments = assignments(&counts);
        for (round, demands) in rounds.iter().enumerate() {
            let demands: Vec<Demand> =
                demands.iter().enumerate().map(|(i, (backlog, used))| demand(i, *backlog, *used)).collect();
            let now = Time::from_millis(1000 * round as u64);
            if let Some(order) = planner.plan(&demands, &assignments, &all(), now) {
                let assignment = assignments.iter_mut().find(|a| a.endpoint == order.endpoint).unwrap();
                prop_assert_eq!(&assignment.service, &order.from);
                prop_assert_ne!(&order.from, &order.to);
                prop_assert!(demands.iter().any(|d| d.service == order.from && d.backlog.is_zero()));
                assignment.service = order.to;
                prop_assert!(assignments.iter().any(|a| a.service == order.from));
            }
        }
    }
}

//! Comparison of the candidate with the stable release.

use super::support::{count, id, ms, report};
use sched::{
    fleet::Cohort::{Candidate, Stable},
    rollout::{Answer, Histogram, Judge, Kind, OTHER_ROUTE, Pending, Report, Verdict, must_stop},
};

fn verdict(report: &Report) -> Option<(Kind, Option<u32>)> {
    match Judge::new(&report.routes).verdict() {
        Verdict::Good => None,
        Verdict::Bad(fault) => Some((fault.kind, fault.route)),
    }
}

/// Candidate responses, `failures` of ten at each of six endpoints, beside a stable release with
/// `stable_failures` of 1,000.
fn compared(route: u32, failures: u32, stable_failures: u32) -> Report {
    let mut report = report();
    count(&mut report, route, 0, Stable, 1_000, stable_failures);
    (0..6).for_each(|endpoint| count(&mut report, route, endpoint, Candidate, 10, failures));
    report
}

/// Guards against a bad version that passes, and against one that is reverted for failures that the
/// stable release has, too.
#[test]
fn failures_are_compared_with_those_of_the_stable_release() {
    assert_eq!(verdict(&compared(1, 0, 0)), None);
    assert_eq!(verdict(&compared(1, 2, 0)), Some((Kind::Failures, Some(1))));
    assert_eq!(verdict(&compared(1, 2, 150)), None, "15 % of the stable responses fail");
}

/// Guards against a fault on a route with little traffic that the others hide.
#[test]
fn a_fault_on_one_route_is_found() {
    let mut report = compared(1, 0, 0);
    report.routes.extend(compared(2, 0, 0).routes);
    (0..6).for_each(|endpoint| count(&mut report, 3, endpoint, Candidate, 5, 2));
    count(&mut report, 3, 0, Stable, 60, 0);
    assert_eq!(verdict(&report), Some((Kind::Failures, Some(3))));
}

/// Guards against a good version that one broken endpoint reverts, and against a limit that this
/// lifts: 45 bad responses are enough in any case.
#[test]
fn one_broken_endpoint_does_not_revert_a_version() {
    for (failures, bad) in [(0, false), (10, false), (40, false), (46, true)] {
        let mut report = compared(1, 0, 0);
        count(&mut report, 1, 0, Candidate, failures, failures);
        assert_eq!(verdict(&report).is_some(), bad, "{failures} failures");
    }
}

/// Guards against a good version that one broken endpoint and a few failures elsewhere revert.
#[test]
fn a_few_failures_beside_one_broken_endpoint_do_not_revert_a_version() {
    let mut report = report();
    count(&mut report, 1, 0, Stable, 1_000, 0);
    count(&mut report, 1, 0, Candidate, 100, 35);
    (1..6).for_each(|number| count(&mut report, 1, number, Candidate, 100, 1 + number / 5));
    assert_eq!(verdict(&report), None);
}

/// Guards against more than 30 bad responses of a version whose excess is not significant on any
/// single measure: failures and slow responses count together.
#[test]
fn the_hard_limit_counts_failures_and_slow_responses() {
    let mut report = report();
    count(&mut report, 1, 0, Stable, 1_000, 0);
    for endpoint in 0..8 {
        count(&mut report, 1, endpoint, Candidate, 1_000, 2);
        let (endpoint, latency) = (&id(endpoint), Some(ms(900)));
        let slow = Answer { endpoint, cohort: Candidate, failed: false, latency };
        (0..3).for_each(|_| report.record(1, &slow));
    }
    assert_eq!(verdict(&report), Some((Kind::Limit, Some(1))));
}

/// Guards against a version that never responds: requests in flight beyond the bound are slow.
#[test]
fn requests_without_a_response_are_slow() {
    let mut report = compared(1, 0, 0);
    assert_eq!(verdict(&report), None);
    let hanging = |age| (0..6).flat_map(move |number| [(); 4].map(|()| (id(number), age)));
    for (age, kind) in [(ms(60), None), (ms(900), Some(Kind::Slow))] {
        let requests: Vec<_> = hanging(age).collect();
        report.set_pending(requests.iter().map(|(endpoint, age)| Pending {
            route: 1,
            endpoint,
            cohort: Candidate,
            age: *age,
        }));
        assert_eq!(verdict(&report).map(|(kind, _)| kind), kind, "{age:?}");
        assert_eq!(report.running_at_stable, 0);
    }
}

/// Guards against a node that waits for the coordinator while it sees failures by itself, and one
/// that stops for those that the stable release has.
#[test]
fn a_node_stops_on_its_own_excess() {
    for (failures, stable_failures, stops) in [(8, 0, false), (16, 0, true), (16, 250, false)] {
        let mut report = report();
        count(&mut report, 1, 0, Stable, 500, stable_failures);
        count(&mut report, 1, 1, Candidate, 25, failures);
        assert_eq!(must_stop(&report).is_some(), stops, "{failures}, {stable_failures}");
    }
}

/// Guards against reports that grow with what callers send, and counts that are lost on the way.
#[test]
fn reports_are_bounded_and_keep_their_counts() {
    let mut report = report();
    (0..1_000).for_each(|route| count(&mut report, route, route % 40, Candidate, 1, 0));
    assert_eq!(report.routes.len(), 65);
    assert_eq!(report.routes[&OTHER_ROUTE].candidate().answers, 936);
    assert!(report.routes[&OTHER_ROUTE].candidate.len() <= 16);
    let bytes = postcard::to_stdvec(&report).unwrap();
    assert_eq!(postcard::from_bytes::<Report>(&bytes).unwrap(), report);
}

/// Guards against a histogram from the network that addresses a bucket that does not exist.
#[test]
fn histograms_from_the_network_are_bounded() {
    let bytes = postcard::to_stdvec(&(250u8, vec![u32::MAX, 7])).unwrap();
    let histogram: Histogram = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(histogram.total(), u32::MAX);
    assert_eq!(histogram.count_from(31), u32::MAX);
}

//! Coordinators, alone and two at once, with late, lost and reordered messages.

use super::support::{BOUNDS, count, ms, node, order, release, report, rollout, service};
use proptest::prelude::*;
use sched::{
    fleet::Cohort::{Candidate, Stable},
    rollout::{Listed, Order, OrderId, Reason, Report, Rollout, Stage, Waiting},
};
use std::time::Duration;

const LISTED: Listed = Listed { stable: 6, candidate: 6 };

/// Report with good responses of both releases.
fn good(sequence: u32, stage: Stage, running_at_stable: u32) -> Report {
    let mut report = report();
    count(&mut report, 1, 0, Stable, 400, 0);
    (1..7).for_each(|endpoint| count(&mut report, 1, endpoint, Candidate, 10, 0));
    Report { sequence, stage, running_at_stable, ..report }
}

fn bad(sequence: u32) -> Report {
    let mut report = good(sequence, Stage::Canary, 0);
    (1..7).for_each(|endpoint| count(&mut report, 1, endpoint, Candidate, 10, 9));
    report
}

fn step(rollout: &mut Rollout, ms_since_order: u64) -> Option<Stage> {
    rollout.step(ms(ms_since_order), LISTED).map(|change| change.stage)
}

/// Guards against stages that begin too early or too late: the shift at the later of 0.7 D and
/// D - 5 s, the end once nothing is in flight.
#[test]
fn a_good_version_passes_all_stages() {
    for (limit_s, shift_ms) in [(12.0, 8_400), (60.0, 55_000)] {
        let mut rollout = rollout(limit_s);
        rollout.set_live(&[node(0), node(1)]);
        rollout.record(&node(0), 1, good(1, Stage::Canary, 3));
        assert_eq!(step(&mut rollout, shift_ms - 100), None);
        assert_eq!(rollout.waits_for(ms(shift_ms - 100)), Waiting::Time);
        assert_eq!(step(&mut rollout, shift_ms), Some(Stage::Shift));
        let after = shift_ms + 1_900;
        assert_eq!(step(&mut rollout, after), None);
        assert_eq!(rollout.waits_for(ms(after)), Waiting::Nodes(2));
        rollout.record(&node(0), 1, good(2, Stage::Shift, 3));
        rollout.record(&node(1), 1, Report { stage: Stage::Shift, ..report() });
        assert_eq!(step(&mut rollout, after), None);
        assert_eq!(rollout.waits_for(ms(after)), Waiting::Running(3));
        rollout.record(&node(0), 1, good(3, Stage::Shift, 0));
        // Proposed until the store holds it.
        for _ in 0..2 {
            assert_eq!(step(&mut rollout, after + 100), Some(Stage::Completed));
            assert_eq!(rollout.waits_for(ms(after)), Waiting::Store);
            assert_eq!(rollout.stage(), Stage::Shift);
        }
        rollout.adopt(Stage::Completed);
        assert_eq!(step(&mut rollout, after + 200), None);
    }
}

/// Guards against a rollout that a hanging request or a silent node keeps open.
#[test]
fn the_end_is_written_before_the_limit_although_requests_run() {
    let mut rollout = rollout(12.0);
    rollout.set_live(&[node(0), node(1)]);
    rollout.record(&node(0), 1, good(1, Stage::Shift, 2));
    assert_eq!(step(&mut rollout, 11_600), None);
    let change = rollout.step(ms(11_700), LISTED).unwrap();
    assert_eq!((change.stage, change.reason), (Stage::Completed, Reason::Late { running: 2 }));
}

/// Guards against a shift without evidence on one route, and a rollout that waits for it for ever.
#[test]
fn too_few_responses_on_a_route_end_in_a_revert() {
    let mut rollout = rollout(12.0);
    let mut report = good(1, Stage::Canary, 0);
    count(&mut report, 2, 0, Stable, 200, 0);
    rollout.record(&node(0), 1, report);
    assert_eq!(step(&mut rollout, 9_000), None);
    assert_eq!(rollout.waits_for(ms(9_000)), Waiting::Answers { route: 2, answers: 0, needed: 3 });
    let change = rollout.step(ms(10_800), LISTED).unwrap();
    let reason = Reason::TooFewAnswers { answers: 60, endpoints: 6 };
    assert_eq!((change.stage, change.reason), (Stage::Reverted, reason));
}

/// Guards against an end while a route has had too few responses for a verdict.
#[test]
fn the_end_waits_for_responses_on_each_route() {
    let mut rollout = rollout(60.0);
    rollout.set_live(&[node(0)]);
    let mut report = good(1, Stage::Shift, 0);
    count(&mut report, 2, 0, Stable, 40, 0);
    rollout.record(&node(0), 1, report.clone());
    assert_eq!(step(&mut rollout, 55_000), None);
    assert_eq!(step(&mut rollout, 57_000), None);
    assert_eq!(rollout.waits_for(ms(57_000)), Waiting::Answers { route: 2, answers: 0, needed: 6 });
    count(&mut report, 2, 3, Candidate, 6, 0);
    rollout.record(&node(0), 1, Report { sequence: 2, ..report });
    assert_eq!(step(&mut rollout, 57_100), Some(Stage::Completed));
}

/// Guards against the completion of a release that has stopped answering: its endpoints crashed.
#[test]
fn a_route_without_responses_until_the_limit_ends_in_a_revert() {
    let mut rollout = rollout(12.0);
    rollout.set_live(&[node(0)]);
    let mut report = good(1, Stage::Shift, 0);
    count(&mut report, 2, 0, Stable, 40, 0);
    rollout.record(&node(0), 1, report);
    assert_eq!(step(&mut rollout, 11_600), None);
    let change = rollout.step(ms(11_700), LISTED).unwrap();
    let reason = Reason::TooFewAnswers { answers: 60, endpoints: 6 };
    assert_eq!((change.stage, change.reason), (Stage::Reverted, reason));
}

/// Guards against orders that are never executed, or that crash a node.
#[test]
fn orders_that_cannot_be_executed_are_rejected() {
    let order = |limit| Order::new(OrderId(1), service(), release("v2"), limit);
    for limit in [0.0, -3.0, f64::NAN, f64::INFINITY, 86_400.1] {
        assert!(order(limit).is_err(), "{limit}");
    }
    assert!(order(86_400.0).is_ok());
    let only = Listed { stable: 0, candidate: 3 };
    let change = rollout(12.0).step(Duration::ZERO, only).unwrap();
    assert_eq!((change.stage, change.reason), (Stage::Completed, Reason::OnlyRelease));
}

/// Guards against counts that a restart of a node loses or that a late report brings back.
#[test]
fn counts_survive_restarts_and_reordering() {
    let mut rollout = rollout(12.0);
    rollout.record(&node(0), 1, good(5, Stage::Canary, 4));
    rollout.record(&node(0), 1, good(4, Stage::Canary, 9));
    assert_eq!(rollout.totals()[0].answers, 400);
    rollout.record(&node(0), 2, good(1, Stage::Canary, 0));
    rollout.record(&node(0), 1, good(6, Stage::Canary, 4));
    assert_eq!(rollout.totals().map(|tally| tally.answers), [800, 120]);
    rollout.record(&node(0), 3, Report { order: OrderId(8), ..report() });
    assert_eq!(rollout.totals()[0].answers, 800, "a report of another order");
}

/// Guards against a coordinator that dies between its decision and its write: the next one finds
/// the same counts and decides the same, whether or not it heard the announcement.
#[test]
fn the_next_coordinator_reverts_again() {
    let mut first = rollout(12.0);
    first.record(&node(0), 1, bad(1));
    assert_eq!(step(&mut first, 3_000), Some(Stage::Reverted));
    let mut second = rollout(12.0);
    second.record(&node(0), 1, bad(2));
    assert_eq!(step(&mut second, 3_300), Some(Stage::Reverted));
    let mut third = rollout(12.0);
    third.record(&node(1), 1, Report { stage: Stage::Reverted, ..report() });
    assert_eq!(third.stage(), Stage::Reverted, "from the report of a node that heard it");
    assert_eq!(step(&mut third, 11_900), None);
}

/// Guards against an end of a rollout in the middle of which all nodes restarted: the new counts are
/// evaluated, from the saved stage on.
#[test]
fn a_rollout_continues_after_all_nodes_restarted() {
    let mut rollout = Rollout::new(order(12.0), BOUNDS, Stage::Shift);
    rollout.set_live(&[node(0)]);
    rollout.record(&node(0), 9, Report { stage: Stage::Shift, ..report() });
    assert_eq!(step(&mut rollout, 9_000), None, "at least the time of a shift");
    rollout.record(&node(0), 9, Report { stage: Stage::Shift, ..bad(1) });
    assert_eq!(step(&mut rollout, 9_500), Some(Stage::Reverted));
}

/// Guards against a rollback that waits for the store: it is unavailable when the end is to be
/// written, and the version turns bad.
#[test]
fn a_revert_does_not_wait_for_the_store() {
    let mut rollout = rollout(12.0);
    rollout.set_live(&[node(0)]);
    rollout.record(&node(0), 1, good(1, Stage::Canary, 0));
    assert_eq!(step(&mut rollout, 8_400), Some(Stage::Shift));
    rollout.record(&node(0), 1, good(2, Stage::Shift, 0));
    assert_eq!(step(&mut rollout, 10_300), Some(Stage::Completed));
    rollout.record(&node(0), 1, Report { stage: Stage::Shift, ..bad(3) });
    assert_eq!(step(&mut rollout, 10_400), Some(Stage::Reverted));
    assert_eq!(rollout.stage(), Stage::Reverted);
    // The write of the end had been performed, and its response was lost.
    rollout.adopt(Stage::Completed);
    assert_eq!(rollout.stage(), Stage::Completed);
}

#[derive(Debug, Clone)]
enum Event {
    /// A node counts responses, and its report reaches the coordinators for which the bits are set,
    /// this many events later.
    Report {
        node: usize,
        failures: u32,
        running: u32,
        to: u8,
        delay: usize,
    },
    /// A coordinator decides; its announcement reaches the nodes for which the bits are set.
    Step {
        coordinator: usize,
        heard: u8,
    },
    /// The store performs a coordinator's write; the response may be lost.
    Write {
        coordinator: usize,
        is_lost: bool,
    },
    /// A coordinator is replaced by one that knows the store only.
    Crash {
        coordinator: usize,
        reads_store: bool,
    },
    Restart {
        node: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..4usize, prop_oneof![4 => Just(0u32), 1 => 0..9u32], prop_oneof![3 => Just(0u32), 1 => 0..3u32], any::<u8>(), 0..12usize)
            .prop_map(|(node, failures, running, to, delay)| Event::Report { node, failures, running, to, delay }),
        4 => (0..2usize, any::<u8>()).prop_map(|(coordinator, heard)| Event::Step { coordinator, heard }),
        2 => (0..2usize, any::<bool>()).prop_map(|(coordinator, is_lost)| Event::Write { coordinator, is_lost }),
        1 => (0..2usize, any::<bool>()).prop_map(|(coordinator, reads_store)| Event::Crash { coordinator, reads_store }),
        1 => (0..4usize).prop_map(|node| Event::Restart { node }),
    ]
}

#[derive(Clone)]
struct Node {
    incarnation: u64,
    report: Report,
}

struct World {
    limit_s: f64,
    nodes: Vec<Node>,
    coordinators: Vec<Rollout>,
    /// Decision that each coordinator has not written, with the row's version that it has read.
    unwritten: Vec<Option<(Stage, u32)>>,
    row: (Stage, u32),
    ends: Vec<Stage>,
    delayed: Vec<(usize, u8, usize, Node)>,
    has_announced_revert: bool,
}

impl World {
    fn new(limit_s: f64) -> Self {
        let new = || Rollout::new(order(limit_s), BOUNDS, Stage::Canary);
        Self {
            limit_s,
            nodes: vec![Node { incarnation: 1, report: report() }; 4],
            coordinators: vec![new(), new()],
            unwritten: vec![None, None],
            row: (Stage::Canary, 0),
            ends: Vec::new(),
            delayed: Vec::new(),
            has_announced_revert: false,
        }
    }

    fn handle(&mut self, time: usize, age: Duration, event: Event) {
        match event {
            Event::Report { node: number, failures, running, to, delay } => {
                let node = &mut self.nodes[number];
                let endpoint = u32::try_from(number).unwrap();
                count(&mut node.report, 1, endpoint, Candidate, 10, failures);
                count(&mut node.report, 1, 50, Stable, 60, 0);
                node.report.sequence += 1;
                node.report.running_at_stable = running;
                self.delayed.push((time + delay, to, number, node.clone()));
            }
            Event::Step { coordinator, heard } => self.step(coordinator, heard, age),
            Event::Write { coordinator, is_lost } => self.write(coordinator, is_lost),
            Event::Crash { coordinator, reads_store } => {
                let stage = if reads_store { self.row.0 } else { Stage::Canary };
                self.coordinators[coordinator] = Rollout::new(order(self.limit_s), BOUNDS, stage);
                self.unwritten[coordinator] = None;
            }
            Event::Restart { node } => {
                let node = &mut self.nodes[node];
                let stage = self.row.0.merge(Stage::Canary);
                *node = Node {
                    incarnation: node.incarnation + 1,
                    report: Report { stage, ..report() },
                };
            }
        }
        let due = |(at, ..): &mut (usize, u8, usize, Node)| *at <= time;
        for (_, to, number, sent) in self.delayed.extract_if(.., due) {
            for (bit, coordinator) in self.coordinators.iter_mut().enumerate() {
                if to >> bit & 1 == 1 {
                    coordinator.record(&node(number), sent.incarnation, sent.report.clone());
                }
            }
        }
    }

    fn step(&mut self, number: usize, heard: u8, age: Duration) {
        let coordinator = &mut self.coordinators[number];
        let nodes: Vec<_> = (0..4).map(node).collect();
        coordinator.set_live(&nodes);
        let before = coordinator.stage();
        let Some(change) = coordinator.step(age, LISTED) else { return };
        assert!(!before.is_final(), "a decision after the end");
        assert_ne!(change.stage, Stage::Canary);
        self.unwritten[number] = Some((change.stage, self.row.1));
        if change.stage == Stage::Completed {
            return;
        }
        self.has_announced_revert |= change.stage == Stage::Reverted;
        for (bit, node) in self.nodes.iter_mut().enumerate() {
            if heard >> bit & 1 == 1 {
                node.report.stage = node.report.stage.merge(change.stage);
            }
        }
    }

    /// Conditional write; after a conflict, the coordinator reads the row.
    fn write(&mut self, number: usize, is_lost: bool) {
        let Some((stage, version)) = self.unwritten[number].take() else { return };
        let coordinator = &mut self.coordinators[number];
        if version != self.row.1 || self.row.0.is_final() {
            return coordinator.adopt(self.row.0);
        }
        if stage == Stage::Completed && coordinator.stage() == Stage::Reverted {
            return;
        }
        self.row = (stage, version + 1);
        if stage.is_final() {
            self.ends.push(stage);
        }
        if !is_lost {
            coordinator.adopt(stage);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against two final states, and against an end that a coordinator or a node takes for
    /// completed after it was announced as reverted, although the store does not hold it.
    #[test]
    fn there_is_one_final_state(
        limit_s in prop_oneof![Just(12.0), 0.5f64..120.0],
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut world = World::new(limit_s);
        let steps = u32::try_from(events.len()).unwrap();
        for (time, event) in (0u32..).zip(events) {
            let age = Duration::from_secs_f64(limit_s * 1.1 * f64::from(time) / f64::from(steps));
            world.handle(time as usize, age, event);
            prop_assert!(world.ends.len() <= 1, "{:?}", world.ends);
            let is_stored = world.row.0 == Stage::Completed;
            for coordinator in &world.coordinators {
                prop_assert!(coordinator.stage() != Stage::Completed || is_stored);
            }
            for node in &world.nodes {
                prop_assert!(node.report.stage != Stage::Completed || is_stored);
            }
            if let Some(end) = world.ends.first() {
                prop_assert_eq!(*end, world.row.0);
            }
        }
    }

    /// Guards against stages that depend on the order in which announcements arrive.
    #[test]
    fn merging_stages_is_independent_of_their_order(stages in prop::collection::vec(0..4u8, 1..8)) {
        let all = [Stage::Canary, Stage::Shift, Stage::Reverted, Stage::Completed];
        let stages: Vec<Stage> = stages.iter().map(|index| all[usize::from(*index)]).collect();
        let merged = |stages: &mut dyn Iterator<Item = &Stage>| {
            stages.fold(Stage::Canary, |sum, stage| sum.merge(*stage))
        };
        let one = merged(&mut stages.iter());
        prop_assert_eq!(one, merged(&mut stages.iter().rev()));
        prop_assert_eq!(one.merge(one), one);
        let first = |stage| stages.contains(&stage);
        let expected = [Stage::Completed, Stage::Reverted, Stage::Shift];
        let expected = expected.into_iter().find(|stage| first(*stage)).unwrap_or(Stage::Canary);
        prop_assert_eq!(one, expected);
    }
}

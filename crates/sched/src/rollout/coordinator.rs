//! State of a rollout at its coordinator.
//!
//! Failures: reports that are lost, late or reordered; nodes that restart or
//! vanish; a coordinator that begins in the middle; a store that does not
//! confirm the end. Each report is cumulative, so the newest of a node is
//! enough, and the counts before a restart are kept. Two coordinators have the
//! same counts and may decide at different moments; [`Stage::merge`] settles
//! which stage is in force, and the store's conditional write which end.

use super::{
    Bounds, Change, Judge, Listed, Order, Reason, Report, Route, Stage, Tally, Verdict,
    sample_probability,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};
use units::InstanceId;

/// Part of the time limit after which the shift begins.
const SHIFT_AT: f64 = 0.7;
/// Time before the limit from which the shift begins, if that is later.
const SHIFT_TIME: Duration = Duration::from_secs(5);
/// Part of the time limit after which a candidate with too few responses is reverted.
const GIVE_UP_AT: f64 = 0.9;
/// Part of the time limit by which a suspicion delays the shift.
const SUSPICION_PART: f64 = 0.1;
/// Limit of this delay.
const MAX_SUSPICION: Duration = Duration::from_millis(1_200);
/// Time before the limit at which the end is written although requests are in flight.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Least time of the shift: three times that in which a fault that shows under load is detected, as
/// slow responses arrive late.
const MIN_SHIFT: Duration = Duration::from_millis(1_800);
/// The same, as a part of shorter time limits.
const MIN_SHIFT_PART: f64 = 0.2;
/// Responses of the candidate on a route that are always enough.
const ENOUGH_ANSWERS: f64 = 20.0;
/// Part of the expected canary responses on a route that must have arrived before the shift.
const ENOUGH_PART: f64 = 1.0 / 3.0;
/// Responses of the candidate on a route that are needed before the end, per stable one.
const ENOUGH_AT_END: f64 = 0.15;
/// Largest number of nodes whose reports are kept; more than three times the largest cluster.
const MAX_NODES: usize = 1_200;

/// What a rollout waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// The time of the next stage.
    Time,
    /// Responses of the candidate on a route.
    Answers {
        /// Route with too few.
        route: u32,
        /// Its responses there.
        answers: u32,
        /// Responses needed.
        needed: u32,
    },
    /// Endpoints of the candidate.
    Endpoints,
    /// More responses, as the candidate has had more failures than usual.
    Suspicion,
    /// The end of requests in flight at stable endpoints.
    Running(u32),
    /// Reports of this many nodes that have not reported the shift.
    Nodes(u32),
    /// The store's confirmation of the end.
    Store,
    /// Nothing; the rollout has ended.
    Nothing,
}

impl fmt::Display for Waiting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Time => f.write_str("the time of the next stage"),
            Self::Answers { route, answers, needed } => {
                write!(f, "responses on route {route:08x}: {answers} of {needed}")
            }
            Self::Suspicion => f.write_str("more responses, after failures of the candidate"),
            Self::Endpoints => f.write_str("endpoints of the candidate"),
            Self::Running(count) => write!(f, "{count} requests at the stable release"),
            Self::Nodes(count) => write!(f, "reports of {count} nodes"),
            Self::Store => f.write_str("the store's confirmation"),
            Self::Nothing => f.write_str("nothing"),
        }
    }
}

#[derive(Debug)]
struct Node {
    incarnation: u64,
    report: Report,
}

/// Rollout at its coordinator.
#[derive(Debug)]
pub struct Rollout {
    order: Order,
    bounds: Bounds,
    stage: Stage,
    /// Newest report of each node.
    nodes: BTreeMap<InstanceId, Node>,
    /// Counts of nodes before they restarted.
    past: BTreeMap<u32, Route>,
    live: BTreeSet<InstanceId>,
    /// Listed endpoints of the candidate at the last step.
    candidates: u32,
    /// Age at which the shift began and the counts at that time, as far as this coordinator knows.
    shifted: Option<(Duration, BTreeMap<u32, Route>)>,
    /// Whether the end has been proposed.
    is_proposed: bool,
}

impl Rollout {
    /// Rollout whose stage is `stage`, as read from the store or announced.
    #[must_use]
    pub const fn new(order: Order, bounds: Bounds, stage: Stage) -> Self {
        Self {
            order,
            bounds,
            stage,
            nodes: BTreeMap::new(),
            past: BTreeMap::new(),
            live: BTreeSet::new(),
            candidates: 0,
            shifted: None,
            is_proposed: false,
        }
    }

    /// Order.
    #[must_use]
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// Bounds.
    #[must_use]
    pub const fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Stage in force.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Takes over a stage that was announced, or that the store holds. `Completed` may come from
    /// the store only.
    pub fn adopt(&mut self, stage: Stage) {
        self.stage = self.stage.merge(stage);
    }

    /// Sets the live nodes, this one included, whose reports are needed before the end.
    pub fn set_live<'a>(&mut self, nodes: impl IntoIterator<Item = &'a InstanceId>) {
        self.live = nodes.into_iter().cloned().collect();
    }

    /// Records a report; one for another order, or that is older than one recorded, is ignored.
    pub fn record(&mut self, node: &InstanceId, incarnation: u64, report: Report) {
        if report.order != self.order.id {
            return;
        }
        self.adopt(report.stage);
        let Some(known) = self.nodes.get_mut(node) else {
            if self.nodes.len() < MAX_NODES {
                self.nodes.insert(node.clone(), Node { incarnation, report });
            }
            return;
        };
        if incarnation < known.incarnation
            || incarnation == known.incarnation && report.sequence <= known.report.sequence
        {
            return;
        }
        let has_restarted = incarnation > known.incarnation;
        let mut before = std::mem::replace(known, Node { incarnation, report });
        if has_restarted {
            before.report.clear_pending();
            add_routes(&mut self.past, &before.report.routes);
        }
    }

    /// Change of stage at `age` since the order, with its reason; `listed` are the endpoints of both
    /// releases.
    pub fn step(&mut self, age: Duration, listed: Listed) -> Option<Change> {
        if self.stage.is_final() {
            return None;
        }
        self.candidates = listed.candidate;
        let routes = self.routes();
        if self.stage == Stage::Shift && self.shifted.is_none() {
            self.shifted = Some((age, routes.clone()));
        }
        if let Verdict::Bad(fault) = self.verdict(&routes) {
            return self.change(Stage::Reverted, Reason::Bad(fault));
        }
        let is_only = listed.stable == 0 && listed.candidate > 0;
        if self.stage == Stage::Canary && is_only && !has_answers(&routes) {
            return self.change(Stage::Completed, Reason::OnlyRelease);
        }
        match self.stage {
            Stage::Canary => self.step_canary(age, listed, &routes),
            Stage::Shift => self.step_shift(age, &routes),
            Stage::Reverted | Stage::Completed => None,
        }
    }

    /// Verdict on all responses, and on those since the shift, to which more endpoints contribute.
    fn verdict(&self, routes: &BTreeMap<u32, Route>) -> Verdict {
        let all = Judge::new(routes).verdict();
        let Some((_, earlier)) = self.shifted.as_ref().filter(|_| all == Verdict::Good) else {
            return all;
        };
        let mut since = routes.clone();
        for (id, earlier) in earlier {
            since.entry(*id).or_default().subtract_candidate(earlier);
        }
        Judge::new(&since).with_endpoints(self.candidates).verdict()
    }

    fn step_canary(
        &mut self,
        age: Duration,
        listed: Listed,
        routes: &BTreeMap<u32, Route>,
    ) -> Option<Change> {
        let lacking = self.lacks_for_shift(routes).is_some() || listed.candidate == 0;
        let judge = Judge::new(routes);
        let delay = self.order.limit.mul_f64(SUSPICION_PART).min(MAX_SUSPICION);
        let is_late = age >= self.shift_age() + delay;
        if age >= self.shift_age() && !lacking && (is_late || !judge.is_suspicious()) {
            if let Some(fault) = judge.doubt() {
                return self.change(Stage::Reverted, Reason::Bad(fault));
            }
            self.shifted = Some((age, routes.clone()));
            return self.change(Stage::Shift, Reason::Healthy);
        }
        if lacking && age >= self.order.limit.mul_f64(GIVE_UP_AT) {
            let answers = routes.values().map(|route| route.candidate().answers).sum();
            let reason = Reason::TooFewAnswers { answers, endpoints: listed.candidate };
            return self.change(Stage::Reverted, reason);
        }
        None
    }

    fn step_shift(&mut self, age: Duration, routes: &BTreeMap<u32, Route>) -> Option<Change> {
        let shifted = self.shifted.as_ref().map_or(age, |(shifted, _)| *shifted);
        let judge = Judge::new(routes);
        let running = self.running_at_stable();
        let is_drained = running == 0 && self.missing_nodes() == 0;
        let is_late = age + END_MARGIN >= self.order.limit;
        let is_early = age < shifted + self.min_shift();
        let is_ready =
            is_drained && !is_early && lacks_for_end(routes).is_none() && !judge.is_suspicious();
        if !is_late && !is_ready {
            return None;
        }
        if let Some(fault) = judge.doubt() {
            return self.change(Stage::Reverted, Reason::Bad(fault));
        }
        if lacks_for_end(routes).is_some() {
            let answers = routes.values().map(|route| route.candidate().answers).sum();
            let reason = Reason::TooFewAnswers { answers, endpoints: self.candidates };
            return self.change(Stage::Reverted, reason);
        }
        let reason = if is_drained { Reason::Drained } else { Reason::Late { running } };
        self.change(Stage::Completed, reason)
    }

    #[allow(clippy::unnecessary_wraps, reason = "the result of a step")]
    fn change(&mut self, stage: Stage, reason: Reason) -> Option<Change> {
        if stage == Stage::Completed {
            self.is_proposed = true;
        } else {
            self.adopt(stage);
        }
        Some(Change { stage, reason })
    }

    fn shift_age(&self) -> Duration {
        let limit = self.order.limit;
        limit.mul_f64(SHIFT_AT).max(limit.saturating_sub(SHIFT_TIME))
    }

    fn min_shift(&self) -> Duration {
        MIN_SHIFT.min(self.order.limit.mul_f64(MIN_SHIFT_PART))
    }

    /// Requests in flight at stable endpoints, of live nodes.
    fn running_at_stable(&self) -> u32 {
        let running = self.live_reports().map(|report| report.running_at_stable);
        running.fold(0, u32::saturating_add)
    }

    /// Live nodes that have not reported the shift.
    fn missing_nodes(&self) -> u32 {
        let has_shifted = |node: &&InstanceId| {
            self.nodes.get(*node).is_some_and(|node| node.report.stage >= Stage::Shift)
        };
        let missing = self.live.iter().filter(|node| !has_shifted(node)).count();
        u32::try_from(missing).unwrap_or(u32::MAX)
    }

    fn live_reports(&self) -> impl Iterator<Item = &Report> {
        let nodes = self.live.iter().filter_map(|node| self.nodes.get(node));
        nodes.map(|node| &node.report)
    }

    /// What the rollout waits for at `age` since the order.
    #[must_use]
    pub fn waits_for(&self, age: Duration) -> Waiting {
        let routes = self.routes();
        match self.stage {
            Stage::Reverted | Stage::Completed => Waiting::Nothing,
            _ if self.is_proposed => Waiting::Store,
            Stage::Canary if self.candidates == 0 => Waiting::Endpoints,
            Stage::Canary if age < self.shift_age() => Waiting::Time,
            Stage::Canary => self.lacks_for_shift(&routes).unwrap_or(Waiting::Suspicion),
            Stage::Shift => match (self.missing_nodes(), self.running_at_stable()) {
                (0, 0) if Judge::new(&routes).is_suspicious() => Waiting::Suspicion,
                (0, 0) => lacks_for_end(&routes).unwrap_or(Waiting::Time),
                (0, running) => Waiting::Running(running),
                (missing, _) => Waiting::Nodes(missing),
            },
        }
    }

    /// Route on which the candidate has had too few responses for the shift.
    ///
    /// On a route with little traffic, a part of the expected canary responses is enough, as the
    /// evaluation continues during the shift.
    fn lacks_for_shift(&self, routes: &BTreeMap<u32, Route>) -> Option<Waiting> {
        let sampled = sample_probability(self.bounds.share);
        let ratio = ENOUGH_PART * sampled / (1.0 - sampled).max(f64::EPSILON);
        lacks(routes, ratio)
    }

    /// Counts of all nodes by route.
    #[must_use]
    pub fn routes(&self) -> BTreeMap<u32, Route> {
        let mut routes = self.past.clone();
        self.nodes.values().for_each(|node| add_routes(&mut routes, &node.report.routes));
        routes
    }

    /// Counts of all nodes and routes: of the stable release and of the candidate.
    #[must_use]
    pub fn totals(&self) -> [Tally; 2] {
        let mut totals = [Tally::default(); 2];
        for route in self.routes().values() {
            totals[0].add(&route.stable);
            totals[1].add(&route.candidate());
        }
        totals
    }
}

fn add_routes(sum: &mut BTreeMap<u32, Route>, routes: &BTreeMap<u32, Route>) {
    for (id, route) in routes {
        sum.entry(*id).or_default().add(route);
    }
}

/// Whether the stable release has answered anything.
fn has_answers(routes: &BTreeMap<u32, Route>) -> bool {
    routes.values().any(|route| route.stable.answers > 0)
}

fn lacks_for_end(routes: &BTreeMap<u32, Route>) -> Option<Waiting> {
    lacks(routes, ENOUGH_AT_END)
}

/// First route with fewer responses of the candidate than `ratio` per stable one, rounded down.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "at most a few responses"
)]
fn lacks(routes: &BTreeMap<u32, Route>, ratio: f64) -> Option<Waiting> {
    routes.iter().find_map(|(id, route)| {
        let needed = (f64::from(route.stable.answers) * ratio).min(ENOUGH_ANSWERS) as u32;
        let answers = route.candidate().answers;
        (answers < needed).then_some(Waiting::Answers { route: *id, answers, needed })
    })
}

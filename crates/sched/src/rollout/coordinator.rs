//! State of a rollout at its coordinator.

use super::{Bounds, Change, Listed, Order, Report, Route, Stage, Tally};
use std::{collections::BTreeMap, fmt, time::Duration};
use units::InstanceId;

/// What a rollout waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// The time of the shift.
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
    /// Responses of the candidate on any route.
    FirstAnswers,
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
            Self::FirstAnswers => f.write_str("responses of the candidate"),
            Self::Running(count) => write!(f, "{count} requests at the stable release"),
            Self::Nodes(count) => write!(f, "reports of {count} nodes"),
            Self::Store => f.write_str("the store's confirmation"),
            Self::Nothing => f.write_str("nothing"),
        }
    }
}

/// Rollout at its coordinator.
#[derive(Debug)]
pub struct Rollout {
    order: Order,
    bounds: Bounds,
    stage: Stage,
}

impl Rollout {
    /// Rollout whose stage is `stage`, as read from the store or announced.
    #[must_use]
    pub const fn new(order: Order, bounds: Bounds, stage: Stage) -> Self {
        Self { order, bounds, stage }
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

    /// Sets the live nodes, whose reports are needed before the end.
    pub fn set_live<'a>(&mut self, nodes: impl IntoIterator<Item = &'a InstanceId>) {
        nodes.into_iter().for_each(drop);
    }

    /// Records a report; one for another order, or that is older than one recorded, is ignored.
    pub fn record(&mut self, node: &InstanceId, incarnation: u64, report: Report) {
        let _ = (node, incarnation, report, self.stage);
    }

    /// Change of stage at `age` since the order, with its reason; `listed` are the endpoints of both
    /// releases.
    pub fn step(&mut self, age: Duration, listed: Listed) -> Option<Change> {
        let _ = (age, listed, self.stage);
        None
    }

    /// What the rollout waits for at `age` since the order.
    #[must_use]
    pub fn waits_for(&self, age: Duration) -> Waiting {
        let _ = (age, self.stage);
        Waiting::Time
    }

    /// Counts of all nodes by route, for logs.
    #[must_use]
    pub fn routes(&self) -> BTreeMap<u32, Route> {
        let _ = self.stage;
        BTreeMap::new()
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

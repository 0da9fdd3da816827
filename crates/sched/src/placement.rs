//! Which endpoint should run another service.
//!
//! A service whose work has waited too long for a while gets one endpoint of a
//! service that hardly uses its own. One order at a time is planned, with an
//! interval that the weight store can follow, and a donor always keeps an
//! endpoint.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use units::{EndpointId, ServiceId, Time};

/// Wait of a service's work that counts as demand.
const HOT_BACKLOG: Duration = Duration::from_millis(400);
/// Time for which that must last.
const HOT_FOR: Duration = Duration::from_secs(4);
/// Part of its windows that a donor uses at most.
const IDLE_USE: f64 = 0.3;
/// Endpoints that a donor keeps.
const KEPT_ENDPOINTS: usize = 1;
/// Least time between two orders.
const ORDER_INTERVAL: Duration = Duration::from_secs(10);

/// Demand of one cell, as its owner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Service.
    pub service: ServiceId,
    /// Time that the waiting work takes.
    pub backlog: Duration,
    /// Permits in use.
    pub in_use: usize,
    /// Requests that the windows allow.
    pub capacity: f64,
}

/// Endpoint that could run another service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assignment {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Service that it runs.
    pub service: ServiceId,
}

/// Order for one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Service that it leaves.
    pub from: ServiceId,
    /// Service that it is to run.
    pub to: ServiceId,
    /// Wait of the work for that service.
    pub backlog: Duration,
    /// Part of its windows that the donor uses.
    pub donor_use: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct Total {
    backlog: Duration,
    in_use: usize,
    capacity: f64,
}

impl Total {
    #[allow(clippy::cast_precision_loss, reason = "few permits")]
    fn part_used(self) -> f64 {
        if self.capacity > 0.0 { self.in_use as f64 / self.capacity } else { 0.0 }
    }
}

/// Planner with its memory of past demand.
#[derive(Debug, Default)]
pub struct Planner {
    hot_since: BTreeMap<ServiceId, Time>,
    last_order: Option<Time>,
}

impl Planner {
    /// Planner that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Next order, if demand asks for one. Only services in `movable` give or get endpoints.
    pub fn plan(
        &mut self,
        demands: &[Demand],
        assignments: &[Assignment],
        movable: &BTreeSet<ServiceId>,
        now: Time,
    ) -> Option<Order> {
        let totals = totals(demands, movable);
        self.note_hot(&totals, now);
        if self.last_order.is_some_and(|at| now.since(at) < ORDER_INTERVAL) {
            return None;
        }
        let (to, hot) = self.hottest(&totals, now)?;
        let (from, donor) = idlest(&totals, assignments, &to)?;
        let assignment =
            assignments.iter().filter(|assignment| assignment.service == from).max()?;
        self.last_order = Some(now);
        Some(Order {
            endpoint: assignment.endpoint.clone(),
            from,
            to,
            backlog: hot.backlog,
            donor_use: donor.part_used(),
        })
    }

    fn note_hot(&mut self, totals: &BTreeMap<ServiceId, Total>, now: Time) {
        self.hot_since.retain(|service, _| {
            totals.get(service).is_some_and(|total| total.backlog >= HOT_BACKLOG)
        });
        for (service, total) in totals {
            if total.backlog >= HOT_BACKLOG {
                self.hot_since.entry(service.clone()).or_insert(now);
            }
        }
    }

    fn hottest(
        &self,
        totals: &BTreeMap<ServiceId, Total>,
        now: Time,
    ) -> Option<(ServiceId, Total)> {
        let lasting = self.hot_since.iter().filter(|(_, since)| now.since(**since) >= HOT_FOR);
        let hot = lasting.filter_map(|(service, _)| Some((service.clone(), *totals.get(service)?)));
        hot.max_by_key(|(_, total)| total.backlog)
    }
}

fn totals(demands: &[Demand], movable: &BTreeSet<ServiceId>) -> BTreeMap<ServiceId, Total> {
    let mut totals: BTreeMap<ServiceId, Total> = BTreeMap::new();
    for demand in demands.iter().filter(|demand| movable.contains(&demand.service)) {
        let total = totals.entry(demand.service.clone()).or_default();
        total.backlog = total.backlog.max(demand.backlog);
        total.in_use += demand.in_use;
        total.capacity += demand.capacity;
    }
    totals
}

fn idlest(
    totals: &BTreeMap<ServiceId, Total>,
    assignments: &[Assignment],
    to: &ServiceId,
) -> Option<(ServiceId, Total)> {
    let can_give = |service: &ServiceId| {
        assignments.iter().filter(|assignment| assignment.service == *service).count()
            > KEPT_ENDPOINTS
    };
    let idle = totals.iter().filter(|(service, total)| {
        *service != to
            && total.backlog.is_zero()
            && total.part_used() < IDLE_USE
            && can_give(service)
    });
    let least = idle.min_by(|(_, a), (_, b)| a.part_used().total_cmp(&b.part_used()))?;
    Some((least.0.clone(), *least.1))
}

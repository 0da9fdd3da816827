//! Reassignment of endpoints between services.
//!
//! A service whose backlog has been too long for some time gets one endpoint of
//! a service that hardly uses its own endpoints, the donor. One order is planned
//! at a time, at an interval that the weight store can sustain, and a donor
//! always keeps at least one endpoint.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use units::{EndpointId, ServiceId, Time};

/// Backlog from which a service is overloaded.
const OVERLOAD_BACKLOG: Duration = Duration::from_millis(400);
/// Time for which the overload must last.
const OVERLOAD_DURATION: Duration = Duration::from_secs(4);
/// Utilisation below which a service may be a donor.
const MAX_DONOR_UTILISATION: f64 = 0.3;
/// Endpoints that a donor keeps.
const MIN_ENDPOINTS: usize = 1;
/// Least time between two orders.
const ORDER_INTERVAL: Duration = Duration::from_secs(10);

/// Demand of one cell, reported by its owner.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Service.
    pub service: ServiceId,
    /// Time to serve the waiting work.
    pub backlog: Duration,
    /// Number of permits in use.
    pub in_use: usize,
    /// Sum of the endpoints' window limits.
    pub capacity: f64,
}

/// Endpoint that may be reassigned, and its present service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assignment {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Service that it runs.
    pub service: ServiceId,
}

/// Reassignment of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Service that it stops running.
    pub from: ServiceId,
    /// Service that it starts to run.
    pub to: ServiceId,
    /// Backlog of the service that receives it.
    pub backlog: Duration,
    /// Utilisation of the donor.
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
    fn utilisation(self) -> f64 {
        if self.capacity > 0.0 { self.in_use as f64 / self.capacity } else { 0.0 }
    }
}

/// Planner of reassignments.
#[derive(Debug, Default)]
pub struct Planner {
    overloaded_since: BTreeMap<ServiceId, Time>,
    last_order: Option<Time>,
}

impl Planner {
    /// Planner without past demand.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Next order, if demand requires one. Only services in `movable` give or receive endpoints.
    pub fn plan(
        &mut self,
        demands: &[Demand],
        assignments: &[Assignment],
        movable: &BTreeSet<ServiceId>,
        now: Time,
    ) -> Option<Order> {
        let totals = totals(demands, movable);
        self.track_overload(&totals, now);
        if self.last_order.is_some_and(|at| now.since(at) < ORDER_INTERVAL) {
            return None;
        }
        let (to, overloaded) = self.most_overloaded(&totals, now)?;
        let (from, donor) = least_utilised(&totals, assignments, &to)?;
        let assignment =
            assignments.iter().filter(|assignment| assignment.service == from).max()?;
        self.last_order = Some(now);
        Some(Order {
            endpoint: assignment.endpoint.clone(),
            from,
            to,
            backlog: overloaded.backlog,
            donor_use: donor.utilisation(),
        })
    }

    fn track_overload(&mut self, totals: &BTreeMap<ServiceId, Total>, now: Time) {
        self.overloaded_since.retain(|service, _| {
            totals.get(service).is_some_and(|total| total.backlog >= OVERLOAD_BACKLOG)
        });
        for (service, total) in totals {
            if total.backlog >= OVERLOAD_BACKLOG {
                self.overloaded_since.entry(service.clone()).or_insert(now);
            }
        }
    }

    fn most_overloaded(
        &self,
        totals: &BTreeMap<ServiceId, Total>,
        now: Time,
    ) -> Option<(ServiceId, Total)> {
        let sustained = self
            .overloaded_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= OVERLOAD_DURATION);
        let overloaded =
            sustained.filter_map(|(service, _)| Some((service.clone(), *totals.get(service)?)));
        overloaded.max_by_key(|(_, total)| total.backlog)
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

fn least_utilised(
    totals: &BTreeMap<ServiceId, Total>,
    assignments: &[Assignment],
    to: &ServiceId,
) -> Option<(ServiceId, Total)> {
    let can_give = |service: &ServiceId| {
        assignments.iter().filter(|assignment| assignment.service == *service).count()
            > MIN_ENDPOINTS
    };
    let donors = totals.iter().filter(|(service, total)| {
        *service != to
            && total.backlog.is_zero()
            && total.utilisation() < MAX_DONOR_UTILISATION
            && can_give(service)
    });
    let least = donors.min_by(|(_, a), (_, b)| a.utilisation().total_cmp(&b.utilisation()))?;
    Some((least.0.clone(), *least.1))
}

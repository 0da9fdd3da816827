//! Rollouts that a node knows.
//!
//! Failure: orders and stages that arrive out of order, more than once or from
//! several sources. A later order of a service replaces an earlier one; of the
//! same order, the stage that takes precedence stays in force.

use super::messages::Announcement;
use sched::{
    fleet::Cohort,
    rollout::{Order, OrderId, Pending, Report, Stage},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use units::{EndpointId, Release, ServiceId, Time, Version};

/// Maximum number of services with a rollout; the oldest one that has ended makes room.
const MAX_ENTRIES: usize = 256;
/// Maximum number of releases of earlier orders that are remembered for a service.
const MAX_EXCLUDED: usize = 8;
/// Time for which the end of a rollout is repeated to the other nodes.
const END_REPEATED_FOR: Duration = Duration::from_secs(30);

/// Release of an order that names none.
const UNKNOWN_RELEASE: &str = "unknown";

/// Release that stands for none.
#[must_use]
pub(super) fn unknown_release() -> Release {
    Release::new(UNKNOWN_RELEASE).expect("the text is valid")
}

/// Order as the operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directive {
    /// Order.
    pub order: Order,
    /// Why it cannot be executed, if it cannot.
    pub invalid: Option<Box<str>>,
}

impl Directive {
    /// Order that cannot be executed.
    #[must_use]
    pub fn invalid(
        service: &ServiceId,
        to: Option<Release>,
        version: Version,
        cause: Box<str>,
    ) -> Self {
        let order = Order {
            id: OrderId(version.get()),
            service: service.clone(),
            to: to.unwrap_or_else(unknown_release),
            limit: Duration::ZERO,
        };
        Self { order, invalid: Some(cause) }
    }
}

/// Report that was sent.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Report.
    pub report: Report,
    /// Coordinator and standby; none stands for this node.
    pub to: Vec<Option<SocketAddr>>,
    /// Time.
    pub at: Time,
}

/// Rollout of a service, as this node knows it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Order.
    pub order: Order,
    /// Stage in force.
    pub stage: Stage,
    /// Releases of earlier orders that get no requests.
    pub excluded: BTreeSet<Release>,
    /// Whether this node has stopped on its own since it learned of the stage.
    pub stopped: bool,
    /// Whether this node, as the coordinator, has decided that the rollout is complete.
    pub proposed: bool,
    /// Stage that the store is known to hold.
    pub saved: Option<Stage>,
    /// Responses of this node since the order.
    pub counts: Report,
    /// Same, but those of the candidate only since the stage in force.
    pub recent: Report,
    /// Last report that was sent, to whom and when.
    pub sent: Option<Sent>,
    /// Age of the order at `known_at`.
    age: Duration,
    known_at: Time,
    changed_at: Time,
}

impl Entry {
    fn new(order: Order, stage: Stage, age: Duration, now: Time) -> Self {
        let report = Report::new(order.id);
        Self {
            order,
            stage,
            excluded: BTreeSet::new(),
            stopped: false,
            proposed: false,
            saved: None,
            counts: report.clone(),
            recent: report,
            sent: None,
            age,
            known_at: now,
            changed_at: now,
        }
    }

    /// Whether the order can be executed. One that cannot has no time limit, and its release says
    /// nothing of those in use.
    #[must_use]
    pub const fn is_executable(&self) -> bool {
        !self.order.limit.is_zero()
    }

    /// Time since the store held the order.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.known_at)
    }

    /// Time at which the order has an age; not before it was known.
    #[must_use]
    pub fn time_at(&self, age: Duration) -> Time {
        self.known_at + age.saturating_sub(self.age)
    }

    /// Stage that this node follows.
    #[must_use]
    pub fn effective_stage(&self) -> Stage {
        if self.stopped && !self.stage.is_final() { Stage::Reverted } else { self.stage }
    }

    /// Stage that the store is to hold.
    #[must_use]
    pub fn desired(&self) -> Stage {
        if self.proposed && self.stage != Stage::Reverted { Stage::Completed } else { self.stage }
    }

    /// Whether the store is not known to hold what it is to hold.
    #[must_use]
    pub fn is_unsaved(&self) -> bool {
        self.saved != Some(self.desired())
    }

    fn set_stage(&mut self, stage: Stage, now: Time) -> bool {
        let merged = self.stage.merge(stage);
        if merged == self.stage {
            return false;
        }
        self.stage = merged;
        self.changed_at = now;
        self.stopped = false;
        // Excess from before the stage must not stop the node again.
        self.recent.routes.values_mut().for_each(|route| route.candidate.clear());
        true
    }

    fn announcement(&self, now: Time) -> Announcement {
        Announcement {
            order: self.order.clone(),
            stage: self.stage,
            age_ms: u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX),
            excluded: self.excluded.iter().cloned().collect(),
        }
    }
}

/// Rollouts that a node knows.
#[derive(Debug, Default)]
pub struct Rollouts {
    entries: BTreeMap<ServiceId, Entry>,
    unsent: BTreeSet<ServiceId>,
    running: BTreeMap<u64, Running>,
    next: u64,
}

/// Request at an endpoint.
#[derive(Debug, Clone)]
pub struct Running {
    /// Service.
    pub service: ServiceId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Release of the endpoint.
    pub release: Option<Release>,
    /// Order that was known when the request was dispatched.
    pub order: Option<OrderId>,
    /// Time of the dispatch.
    pub since: Time,
    /// Route, as a short hash, once this node has sent the request.
    pub route: Option<u32>,
    /// Whether an event has arrived.
    pub has_response: bool,
}

impl Running {
    /// Cohort of the endpoint in a rollout to a release.
    #[must_use]
    pub fn cohort(&self, candidate: &Release) -> Cohort {
        let is_candidate = self.release.as_ref() == Some(candidate);
        if is_candidate { Cohort::Candidate } else { Cohort::Stable }
    }
}

impl Rollouts {
    /// Rollout of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceId) -> Option<&Entry> {
        self.entries.get(service)
    }

    /// Rollout of a service.
    pub fn get_mut(&mut self, service: &ServiceId) -> Option<&mut Entry> {
        self.entries.get_mut(service)
    }

    /// Services with a rollout, also with one that has ended.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.entries.keys()
    }

    /// Rollouts that have not ended.
    pub fn open(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| !entry.stage.is_final())
    }

    /// Services whose state the store is not known to hold.
    #[must_use]
    pub fn unsaved(&self) -> Vec<ServiceId> {
        let unsaved = self.entries.values().filter(|entry| entry.is_unsaved());
        unsaved.map(|entry| entry.order.service.clone()).collect()
    }

    /// Takes over an order from the store; returns whether it is new.
    pub fn apply(&mut self, directive: Directive, now: Time) -> bool {
        let Directive { order, invalid } = directive;
        let before = self.entries.get(&order.service);
        if before.is_some_and(|known| known.order.id >= order.id) {
            return false;
        }
        let is_done =
            before.is_some_and(|old| old.stage == Stage::Completed && old.order.to == order.to);
        let stage = match invalid {
            Some(_) => Stage::Reverted,
            None if is_done => Stage::Completed,
            None => Stage::Canary,
        };
        self.replace(Entry::new(order, stage, Duration::ZERO, now));
        true
    }

    /// Takes over what another node or the store has told; returns whether the stage in force or the
    /// order is new.
    pub fn merge(&mut self, announcement: &Announcement, now: Time) -> bool {
        let Announcement { order, stage, age_ms, excluded } = announcement;
        let age = Duration::from_millis(*age_ms);
        match self.entries.get_mut(&order.service) {
            Some(known) if known.order.id > order.id => false,
            Some(known) if known.order.id == order.id => {
                if age > known.age(now) {
                    (known.age, known.known_at) = (age, now);
                }
                known.set_stage(*stage, now)
            }
            _ => {
                let mut entry = Entry::new(order.clone(), *stage, age, now);
                entry.excluded = excluded.iter().take(MAX_EXCLUDED).cloned().collect();
                self.replace(entry);
                true
            }
        }
    }

    /// Adds the rollout of an order that is newer than the known one of its service. The release of an
    /// earlier order that was not completed gets no more requests.
    fn replace(&mut self, mut entry: Entry) {
        if let Some(old) = self.entries.get(&entry.order.service) {
            entry.excluded.extend(old.excluded.iter().cloned());
            if old.stage != Stage::Completed && old.is_executable() {
                entry.excluded.insert(old.order.to.clone());
            }
        }
        entry.excluded.remove(&entry.order.to);
        while entry.excluded.len() > MAX_EXCLUDED {
            entry.excluded.pop_first();
        }
        let service = entry.order.service.clone();
        self.entries.insert(service, entry);
        if self.entries.len() > MAX_ENTRIES {
            let ended = self.entries.values().filter(|entry| entry.stage.is_final());
            let oldest = ended.min_by_key(|entry| entry.changed_at);
            if let Some(service) = oldest.map(|entry| entry.order.service.clone()) {
                self.entries.remove(&service);
            }
        }
    }

    /// Sets the stage of a service's rollout; returns whether it changed.
    pub fn set_stage(&mut self, service: &ServiceId, stage: Stage, now: Time) -> bool {
        self.entries.get_mut(service).is_some_and(|entry| entry.set_stage(stage, now))
    }

    /// Has the rollout of a service announced to all nodes.
    pub fn queue(&mut self, service: &ServiceId) {
        self.unsent.insert(service.clone());
    }

    /// Announcements that are to be sent to all nodes.
    pub fn take_unsent(&mut self, now: Time) -> Vec<Announcement> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.iter().filter_map(|s| Some(self.entries.get(s)?.announcement(now))).collect()
    }

    /// Announcements to repeat: rollouts that are open or have ended lately, or `all` of them.
    #[must_use]
    pub fn summary(&self, all: bool, now: Time) -> Vec<Announcement> {
        let is_repeated = |entry: &&Entry| {
            all || !entry.stage.is_final() || now.since(entry.changed_at) < END_REPEATED_FOR
        };
        let entries = self.entries.values().filter(is_repeated);
        entries.map(|entry| entry.announcement(now)).collect()
    }

    /// Adds a request that is dispatched, and returns its number.
    pub fn start(&mut self, request: Running) -> u64 {
        self.next += 1;
        self.running.insert(self.next, request);
        self.next
    }

    /// Request in flight.
    #[must_use]
    pub fn running(&self, number: u64) -> Option<&Running> {
        self.running.get(&number)
    }

    /// Request in flight.
    pub fn running_mut(&mut self, number: u64) -> Option<&mut Running> {
        self.running.get_mut(&number)
    }

    /// Removes a request that has ended.
    pub fn finish(&mut self, number: u64) {
        self.running.remove(&number);
    }

    /// Updates the counts of the open rollouts by the requests in flight.
    pub fn count_running(&mut self, now: Time) {
        let Self { entries, running, .. } = self;
        for entry in entries.values_mut().filter(|entry| !entry.stage.is_final()) {
            let (service, to) = (&entry.order.service, &entry.order.to);
            let here = || running.values().filter(move |request| request.service == *service);
            let pending = |request: &'_ Running| {
                let age =
                    if request.has_response { Duration::ZERO } else { now.since(request.since) };
                Some((request.route?, request.cohort(to), age))
            };
            for report in [&mut entry.counts, &mut entry.recent] {
                report.set_pending(here().filter_map(|request| {
                    let (route, cohort, age) = pending(request)?;
                    Some(Pending { route, endpoint: &request.endpoint, cohort, age })
                }));
                // Requests that another node sends by a permit of this one have no route here.
                let granted = here().filter(|r| r.route.is_none());
                let at_stable = granted.filter(|r| r.cohort(to) == Cohort::Stable).count();
                let at_stable = u32::try_from(at_stable).unwrap_or(u32::MAX);
                report.running_at_stable = report.running_at_stable.saturating_add(at_stable);
            }
        }
    }
}

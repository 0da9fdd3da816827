//! Waiting requests of the gateway that accepted them.
//!
//! The holder registers each request with the owners of a few cells. When an
//! owner is dead or silent, it registers with the cell's next owner. It uses the
//! first grant and returns all others. It refuses a request when every cell that
//! it is registered with has shed it, or when its deadline has passed.
//!
//! Registration is idempotent per request, so it is repeated while the request
//! waits; the replies also show that the owner is alive.

use crate::{
    job::{Grant, Job, Outcome},
    route::CellId,
};
use codes::Code;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use units::{InstanceId, Permit, RegionId, RequestId, ServiceId, Time, Tokens, Work};

/// Interval at which a waiting request is registered again.
const REGISTER_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a message from an owner after which the next owner is used.
const OWNER_SILENCE: Duration = Duration::from_millis(600);
/// Time for which a silent owner is skipped.
const OWNER_BACKOFF: Duration = Duration::from_secs(2);

/// Action that the gateway performs for the holder.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Register with the owner of a cell.
    Register {
        /// Owner.
        owner: InstanceId,
        /// Cell.
        cell: CellId,
        /// Job to register.
        job: Job,
    },
    /// Withdraw a registration.
    Cancel {
        /// Owner.
        owner: InstanceId,
        /// Cell.
        cell: CellId,
        /// Request.
        request: RequestId,
    },
    /// Return an unused grant.
    Return {
        /// Owner.
        owner: InstanceId,
        /// Cell.
        cell: CellId,
        /// Permit.
        permit: Permit,
        /// Why it is returned.
        outcome: Outcome,
    },
    /// Dispatch the request; issued at most once per request.
    Dispatch {
        /// Owner that issued the grant.
        owner: InstanceId,
        /// Cell of the endpoint.
        cell: CellId,
        /// Job to dispatch.
        job: Job,
        /// Grant to use.
        grant: Grant,
    },
    /// Refuse the request.
    Refuse {
        /// Request.
        request: RequestId,
        /// Result code.
        code: Code,
    },
    /// Log that an owner does not respond.
    OwnerSilent {
        /// Owner.
        owner: InstanceId,
        /// Cell.
        cell: CellId,
    },
}

/// Cell and its owners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Cell.
    pub cell: CellId,
    /// Live members, in order of ownership.
    pub owners: Box<[InstanceId]>,
}

/// Request that has waited too long in its home region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Request.
    pub request: RequestId,
    /// Requested service.
    pub service: ServiceId,
    /// Estimated prompt length.
    pub prompt: Tokens,
    /// Estimated response length.
    pub output: Tokens,
    /// Estimated cost.
    pub work: Work,
}

#[derive(Debug)]
struct Registration {
    owner: InstanceId,
    sent: Time,
    since: Time,
    shed: Option<Code>,
}

#[derive(Debug)]
struct Entry {
    job: Job,
    cells: BTreeMap<CellId, Registration>,
}

/// Waiting requests of one gateway.
#[derive(Debug, Default)]
pub struct Holder {
    entries: BTreeMap<RequestId, Entry>,
    last_contact: HashMap<InstanceId, Time>,
    avoided: HashMap<InstanceId, Time>,
}

impl Holder {
    /// Holder without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.entries.len()
    }

    /// Accepts a request and registers it with the cell of each route.
    pub fn submit(&mut self, job: Job, routes: &[Route], now: Time) -> Vec<Action> {
        let request = job.request;
        self.entries.insert(request, Entry { job, cells: BTreeMap::new() });
        let mut actions = Vec::new();
        for route in routes {
            actions.extend(self.register(request, route, now));
        }
        if actions.is_empty() {
            self.entries.remove(&request);
            actions.push(Action::Refuse { request, code: Code::NoEndpoint });
        }
        actions
    }

    /// Registers a waiting request with another cell, or with the current owner of a known one.
    pub fn register(&mut self, request: RequestId, route: &Route, now: Time) -> Vec<Action> {
        let Some(owner) = self.pick_owner(route, now) else {
            return Vec::new();
        };
        let Some(entry) = self.entries.get_mut(&request) else {
            return Vec::new();
        };
        let known = entry.cells.get(&route.cell);
        let mut actions = Vec::new();
        let mut since = now;
        match known {
            Some(registration) if registration.owner != owner => actions.push(Action::Cancel {
                owner: registration.owner.clone(),
                cell: route.cell.clone(),
                request,
            }),
            Some(registration) => since = registration.since,
            None => {}
        }
        let registration = Registration { owner: owner.clone(), sent: now, since, shed: None };
        entry.cells.insert(route.cell.clone(), registration);
        let job = entry.job.clone();
        actions.push(Action::Register { owner, cell: route.cell.clone(), job });
        actions
    }

    fn pick_owner(&self, route: &Route, now: Time) -> Option<InstanceId> {
        let avoided =
            |owner: &InstanceId| self.avoided.get(owner).is_some_and(|until| now < *until);
        let available = route.owners.iter().find(|owner| !avoided(owner));
        available.or(route.owners.first()).cloned()
    }

    /// Uses a grant, or returns it when its request no longer waits.
    pub fn grant(
        &mut self,
        owner: &InstanceId,
        cell: &CellId,
        grant: Grant,
        now: Time,
    ) -> Vec<Action> {
        self.record_contact(owner, now);
        let Some(entry) = self.entries.remove(&grant.request) else {
            let (owner, cell) = (owner.clone(), cell.clone());
            let (permit, outcome) = (grant.permit, Outcome::Returned);
            return vec![Action::Return { owner, cell, permit, outcome }];
        };
        let mut actions = cancel_all(&entry, Some(cell));
        let (owner, cell) = (owner.clone(), cell.clone());
        actions.push(Action::Dispatch { owner, cell, job: entry.job, grant });
        actions
    }

    /// Records that a cell shed a request; refuses the request when all its cells have shed it.
    pub fn shed(
        &mut self,
        owner: &InstanceId,
        cell: &CellId,
        request: RequestId,
        code: Code,
        now: Time,
    ) -> Vec<Action> {
        self.record_contact(owner, now);
        let Some(entry) = self.entries.get_mut(&request) else {
            return Vec::new();
        };
        match entry.cells.get_mut(cell) {
            Some(registration) if registration.owner == *owner => registration.shed = Some(code),
            _ => return Vec::new(),
        }
        if entry.cells.values().any(|registration| registration.shed.is_none()) {
            return Vec::new();
        }
        self.entries.remove(&request);
        vec![Action::Refuse { request, code }]
    }

    /// Records a message from an owner.
    pub fn record_contact(&mut self, owner: &InstanceId, now: Time) {
        self.last_contact.insert(owner.clone(), now);
        self.avoided.remove(owner);
    }

    /// Withdraws a request whose caller disconnected or that the gateway refuses.
    pub fn withdraw(&mut self, request: RequestId) -> Vec<Action> {
        match self.entries.remove(&request) {
            Some(entry) => cancel_all(&entry, None),
            None => Vec::new(),
        }
    }

    /// Repeats registrations, switches from silent owners, and refuses requests past their
    /// deadline.
    pub fn tick(&mut self, now: Time, routes: impl Fn(&CellId) -> Option<Route>) -> Vec<Action> {
        let mut actions = self.expire(now);
        let mut due: Vec<(RequestId, CellId)> = Vec::new();
        let mut silent: BTreeMap<InstanceId, CellId> = BTreeMap::new();
        for (request, entry) in &self.entries {
            for (cell, registration) in &entry.cells {
                let waiting = registration.shed.is_none();
                if waiting && now.since(registration.sent) >= REGISTER_INTERVAL {
                    due.push((*request, cell.clone()));
                }
                if waiting && self.is_silent(registration, now) {
                    silent.insert(registration.owner.clone(), cell.clone());
                }
            }
        }
        for (owner, cell) in silent {
            self.avoided.insert(owner.clone(), now + OWNER_BACKOFF);
            actions.push(Action::OwnerSilent { owner, cell });
        }
        for (request, cell) in due {
            match routes(&cell) {
                Some(route) => actions.extend(self.register(request, &route, now)),
                None => actions.extend(self.forget_cell(request, &cell)),
            }
        }
        actions
    }

    fn is_silent(&self, registration: &Registration, now: Time) -> bool {
        let last_contact =
            self.last_contact.get(&registration.owner).copied().unwrap_or(Time::ZERO);
        now.since(last_contact.max(registration.since)) > OWNER_SILENCE
            && self.avoided.get(&registration.owner).is_none_or(|until| now >= *until)
    }

    /// Drops a cell without endpoints; refuses the request if it was the last one.
    fn forget_cell(&mut self, request: RequestId, cell: &CellId) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&request) else {
            return Vec::new();
        };
        entry.cells.remove(cell);
        if !entry.cells.is_empty() {
            return Vec::new();
        }
        self.entries.remove(&request);
        vec![Action::Refuse { request, code: Code::NoEndpoint }]
    }

    fn expire(&mut self, now: Time) -> Vec<Action> {
        let expired: Vec<RequestId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.job.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        let mut actions = Vec::new();
        for request in expired {
            actions.extend(self.withdraw(request));
            actions.push(Action::Refuse { request, code: Code::DeadlineUnmeetable });
        }
        actions
    }

    /// Requests that have waited for at least `waited` and are registered only in region `home`.
    #[must_use]
    pub fn spill_candidates(&self, home: &RegionId, waited: Duration, now: Time) -> Vec<Candidate> {
        let at_home = |entry: &&Entry| {
            let mut cells = entry.cells.iter();
            cells.all(|(cell, r)| cell.region == *home && now.since(r.since) >= waited)
        };
        let candidate = |entry: &Entry| {
            let service = entry.cells.first_key_value()?.0.service.clone();
            let (request, work) = (entry.job.request, entry.job.work());
            Some(Candidate {
                request,
                service,
                prompt: entry.job.prompt,
                output: entry.job.output,
                work,
            })
        };
        self.entries.values().filter(at_home).filter_map(candidate).collect()
    }

    /// Waiting jobs, from which the gateway sheds the lowest tier.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.entries.values().map(|entry| &entry.job)
    }
}

fn cancel_all(entry: &Entry, except: Option<&CellId>) -> Vec<Action> {
    entry
        .cells
        .iter()
        .filter(|(cell, registration)| Some(*cell) != except && registration.shed.is_none())
        .map(|(cell, registration)| Action::Cancel {
            owner: registration.owner.clone(),
            cell: cell.clone(),
            request: entry.job.request,
        })
        .collect()
}

//! Requests that wait in the gateway that accepted them.
//!
//! The holder registers each request with the owners of a few cells, follows
//! a cell to its next owner when the present one is dead or silent, uses the
//! first grant and hands every other one back. It refuses a request once every
//! cell that it was registered with has shed it, or its deadline has passed.
//!
//! Registration is idempotent by request, so it is repeated while a request
//! waits; the answers also show that the owner is alive.

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
const REPEAT: Duration = Duration::from_millis(250);
/// Time without any word of an owner after which the next one is asked.
const OWNER_SILENCE: Duration = Duration::from_millis(600);
/// Time for which a silent owner is passed over.
const OWNER_BACKOFF: Duration = Duration::from_secs(2);

/// Message or step that the holder asks its gateway for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Register with the owner of a cell.
    Register {
        /// Owner.
        owner: InstanceId,
        /// Cell.
        cell: CellId,
        /// Descriptor.
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
    /// Hand back a grant that is not used.
    Return {
        /// Owner.
        owner: InstanceId,
        /// Cell.
        cell: CellId,
        /// Permit.
        permit: Permit,
        /// Why it is handed back.
        outcome: Outcome,
    },
    /// Send the request: the only one for it.
    Dispatch {
        /// Owner that granted.
        owner: InstanceId,
        /// Cell of the endpoint.
        cell: CellId,
        /// Descriptor.
        job: Job,
        /// Right to send.
        grant: Grant,
    },
    /// Refuse the request.
    Refuse {
        /// Request.
        request: RequestId,
        /// Result code.
        code: Code,
    },
    /// Log that an owner is silent.
    OwnerSilent {
        /// Owner.
        owner: InstanceId,
        /// Cell.
        cell: CellId,
    },
}

/// Cell with its owners, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Cell.
    pub cell: CellId,
    /// Live members in the order of ownership.
    pub owners: Box<[InstanceId]>,
}

/// Request that waits too long at home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpillCandidate {
    /// Request.
    pub request: RequestId,
    /// Service that it is for.
    pub service: ServiceId,
    /// Prompt length, estimated.
    pub prompt: Tokens,
    /// Answer length, estimated.
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
    heard: HashMap<InstanceId, Time>,
    avoided: HashMap<InstanceId, Time>,
}

impl Holder {
    /// Holder without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests waiting.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.entries.len()
    }

    /// Takes a request in and registers it with each route.
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

    /// Registers a waiting request with one more cell, or with that cell's owner of now.
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
        let willing = route.owners.iter().find(|owner| !avoided(owner));
        willing.or(route.owners.first()).cloned()
    }

    /// Uses a grant, or hands it back when its request waits no more.
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

    /// Notes that a cell shed a request; refuses it when all of them have.
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

    /// Notes any word of an owner.
    pub fn record_contact(&mut self, owner: &InstanceId, now: Time) {
        self.heard.insert(owner.clone(), now);
        self.avoided.remove(owner);
    }

    /// Withdraws a request whose caller went away or whose gateway refuses it.
    pub fn withdraw(&mut self, request: RequestId) -> Vec<Action> {
        match self.entries.remove(&request) {
            Some(entry) => cancel_all(&entry, None),
            None => Vec::new(),
        }
    }

    /// Repeats registrations, follows owners, and refuses what is past its deadline.
    pub fn tick(&mut self, now: Time, routes: impl Fn(&CellId) -> Option<Route>) -> Vec<Action> {
        let mut actions = self.expire(now);
        let mut due: Vec<(RequestId, CellId)> = Vec::new();
        let mut silent: BTreeMap<InstanceId, CellId> = BTreeMap::new();
        for (request, entry) in &self.entries {
            for (cell, registration) in &entry.cells {
                let waiting = registration.shed.is_none();
                if waiting && now.since(registration.sent) >= REPEAT {
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
        let heard = self.heard.get(&registration.owner).copied().unwrap_or(Time::ZERO);
        now.since(heard.max(registration.since)) > OWNER_SILENCE
            && self.avoided.get(&registration.owner).is_none_or(|until| now >= *until)
    }

    /// Drops a cell that has no endpoint any more.
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
        let late: Vec<RequestId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.job.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        let mut actions = Vec::new();
        for request in late {
            actions.extend(self.withdraw(request));
            actions.push(Action::Refuse { request, code: Code::DeadlineUnmeetable });
        }
        actions
    }

    /// Requests that wait for `waited` or longer and are registered in their home region only.
    #[must_use]
    pub fn spill_candidates(
        &self,
        home: &RegionId,
        waited: Duration,
        now: Time,
    ) -> Vec<SpillCandidate> {
        let at_home = |entry: &&Entry| {
            let mut cells = entry.cells.iter();
            cells.all(|(cell, r)| cell.region == *home && now.since(r.since) >= waited)
        };
        let candidate = |entry: &Entry| {
            let service = entry.cells.first_key_value()?.0.service.clone();
            let (request, work) = (entry.job.request, entry.job.work());
            Some(SpillCandidate {
                request,
                service,
                prompt: entry.job.prompt,
                output: entry.job.output,
                work,
            })
        };
        self.entries.values().filter(at_home).filter_map(candidate).collect()
    }

    /// Requests that wait, with their tiers, for shedding inside the gateway.
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

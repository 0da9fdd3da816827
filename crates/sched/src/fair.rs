//! Fair queue: by tier, then by the organisation's served work, then by deadline.
//!
//! The work served for each organisation is counted in virtual time, over all
//! tiers together. Within the highest tier that has a request waiting, the
//! organisation with the least virtual time is served next, and of its requests
//! the one with the earliest deadline. Serving a request charges its estimated
//! work; the charge is corrected when the response ends. An organisation that
//! becomes active starts at the current virtual time: it cannot accumulate
//! credit while idle, its unused share goes to the others, and it waits at most
//! one round.
//!
//! Adding, serving and removing a request is logarithmic in the number of
//! organisations and requests.

use crate::job::Job;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use units::{OrganisationId, Rank, RequestId, Time, Work};

/// Number of tiers; lower ones count as the last.
pub const TIERS: usize = 5;

/// Rank of the last tier.
#[allow(clippy::cast_possible_truncation, reason = "a small number")]
pub const LOWEST_RANK: Rank = Rank((TIERS - 1) as u8);

/// Order of requests within one organisation and tier.
type OrderKey = (Time, u64);

/// Accumulated work served for an organisation.
type VirtualTime = u64;

#[derive(Debug, Default)]
struct Account {
    served: VirtualTime,
    waiting: usize,
}

#[derive(Debug, Default)]
struct Tier {
    order: BTreeSet<(VirtualTime, OrganisationId)>,
    requests: BTreeMap<OrganisationId, BTreeMap<OrderKey, Job>>,
    work: u64,
}

#[derive(Debug, Clone)]
struct Position {
    rank: usize,
    organisation: OrganisationId,
    key: OrderKey,
}

/// Fair queue of jobs.
#[derive(Debug, Default)]
pub struct Queue {
    tiers: [Tier; TIERS],
    accounts: HashMap<OrganisationId, Account>,
    positions: HashMap<RequestId, Position>,
    now: VirtualTime,
    arrivals: u64,
}

impl Queue {
    /// Empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Whether the request waits here.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.positions.contains_key(&request)
    }

    /// Estimated work of the waiting requests.
    #[must_use]
    pub fn work(&self) -> Work {
        Work(self.tiers.iter().map(|tier| tier.work).sum())
    }

    /// Estimated work waiting in a tier and the tiers above it.
    #[must_use]
    pub fn work_at_or_above(&self, rank: Rank) -> Work {
        let tiers = usize::from(rank.0).min(TIERS - 1) + 1;
        Work(self.tiers[..tiers].iter().map(|tier| tier.work).sum())
    }

    /// Lowest tier with a request waiting.
    #[must_use]
    pub fn lowest_tier(&self) -> Option<Rank> {
        let index = self.tiers.iter().rposition(|tier| !tier.requests.is_empty())?;
        u8::try_from(index).ok().map(Rank)
    }

    /// Adds a job, unless its request is waiting already.
    pub fn push(&mut self, job: Job) {
        if self.positions.contains_key(&job.request) {
            return;
        }
        let rank = usize::from(job.rank.0).min(TIERS - 1);
        let organisation = job.organisation.clone();
        self.activate(&organisation);
        let served = self.accounts[&organisation].served;
        self.arrivals += 1;
        let key = (job.deadline, self.arrivals);
        let position = Position { rank, organisation: organisation.clone(), key };
        self.positions.insert(job.request, position);
        let tier = &mut self.tiers[rank];
        tier.work += job.work().0;
        tier.order.insert((served, organisation.clone()));
        tier.requests.entry(organisation).or_default().insert(key, job);
    }

    fn activate(&mut self, organisation: &OrganisationId) {
        let now = self.now;
        let account = self.accounts.entry(organisation.clone()).or_default();
        if account.waiting == 0 {
            account.served = account.served.max(now);
        }
        account.waiting += 1;
    }

    /// First job of each organisation and tier, in service order.
    pub fn heads(&self) -> impl Iterator<Item = &Job> {
        self.tiers.iter().flat_map(|tier| {
            tier.order.iter().filter_map(|(_, organisation)| {
                let requests = tier.requests.get(organisation)?;
                requests.values().next()
            })
        })
    }

    /// Removes a job and charges its organisation for the estimated work.
    pub fn serve(&mut self, request: RequestId) -> Option<Job> {
        let job = self.remove(request)?;
        let served = self.accounts.get(&job.organisation).map_or(self.now, |a| a.served);
        self.now = self.now.max(served);
        self.charge(&job.organisation, job.work().0, 0);
        Some(job)
    }

    /// Removes a job without a charge.
    pub fn remove(&mut self, request: RequestId) -> Option<Job> {
        let position = self.positions.remove(&request)?;
        let account = self.accounts.get_mut(&position.organisation)?;
        account.waiting -= 1;
        let served = account.served;
        let tier = &mut self.tiers[position.rank];
        let requests = tier.requests.get_mut(&position.organisation)?;
        let job = requests.remove(&position.key)?;
        if requests.is_empty() {
            tier.requests.remove(&position.organisation);
            tier.order.remove(&(served, position.organisation));
        }
        tier.work -= job.work().0;
        Some(job)
    }

    /// Replaces the estimated work that was charged by the actual work.
    pub fn correct(&mut self, organisation: &OrganisationId, estimated: Work, actual: Work) {
        self.charge(organisation, actual.0, estimated.0);
    }

    fn charge(&mut self, organisation: &OrganisationId, plus: u64, minus: u64) {
        let virtual_now = self.now;
        let account = self.accounts.entry(organisation.clone()).or_default();
        let before = account.served;
        let after = (before + plus).saturating_sub(minus);
        account.served = if account.waiting == 0 { after.max(virtual_now) } else { after };
        let after = account.served;
        for tier in &mut self.tiers {
            if tier.order.remove(&(before, organisation.clone())) {
                tier.order.insert((after, organisation.clone()));
            }
        }
    }

    /// Job to shed first: of the lowest tier, the organisation with the most requests, the latest
    /// deadline.
    #[must_use]
    pub fn victim(&self) -> Option<&Job> {
        let tier = &self.tiers[usize::from(self.lowest_tier()?.0)];
        let largest = tier.requests.iter().max_by_key(|(id, requests)| (requests.len(), *id))?;
        largest.1.values().next_back()
    }

    /// Requests whose deadline is at or before `now`.
    #[must_use]
    pub fn expired(&self, now: Time) -> Vec<RequestId> {
        let queues = self.tiers.iter().flat_map(|tier| tier.requests.values());
        queues
            .flat_map(|requests| requests.range(..=(now, u64::MAX)))
            .map(|(_, job)| job.request)
            .collect()
    }

    /// Keeps the jobs that `keep` accepts; removes and returns the others.
    pub fn retain(&mut self, keep: impl Fn(&Job) -> bool) -> Vec<Job> {
        let queues = self.tiers.iter().flat_map(|tier| tier.requests.values());
        let removed: Vec<RequestId> = queues
            .flat_map(BTreeMap::values)
            .filter(|job| !keep(job))
            .map(|job| job.request)
            .collect();
        removed.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Drops accounts of organisations that have no waiting requests and whose virtual time is not
    /// ahead of the queue's.
    pub fn prune(&mut self) {
        let now = self.now;
        self.accounts.retain(|_, account| account.waiting > 0 || account.served > now);
    }

    /// Number of accounts, for capacity figures.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }
}

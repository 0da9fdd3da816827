//! Endpoints that a request may use while its service has a rollout.
//!
//! Failures: a bad release that gets more than the sampled requests, an order
//! that is known later than the endpoints which it names, and a fault that shows
//! only under load and is hidden by spreading few requests over many endpoints.

use super::{Fleet, Listing, Query, endpoint::Endpoint};
use crate::rollout::{Listed, Stage, sample_probability};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use units::{EndpointId, Release, ServiceId, Time, ZoneId, score};

/// Time for which a release that appears without an order gets no requests. Nodes learn of an order
/// within a second of its write, and of an endpoint as early as that.
const HOLD_BACK: Duration = Duration::from_secs(2);
/// Time after the end of a rollout within which a release that is listed first counts as an old
/// one: a node that starts reads old entries late.
const OLD_ENTRIES_GRACE: Duration = Duration::from_secs(5);
/// Time after the end of a rollout for which old releases get nothing. Their endpoints are stopped at
/// once; one that is still listed later has been started for another reason.
const OLD_ENTRIES_TIME: Duration = Duration::from_secs(300);
/// Failure rate at this node above which a candidate endpoint ranks behind the others: two failures
/// in quick succession. Otherwise the fault of one endpoint would take all canary requests of a
/// zone.
const MAX_FAILURE_RATE: f64 = 0.25;

/// Cohort of a request. It matters only while its service has a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cohort {
    /// Not sampled; uses the endpoints of ordinary requests.
    #[default]
    Any,
    /// Ordinary request: uses stable endpoints until the shift.
    Stable,
    /// Canary request: uses a candidate endpoint if one has capacity, else a stable one.
    Candidate,
}

/// Rollout of a service, as this node follows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Release that is rolled out.
    pub candidate: Release,
    /// Stage that is in force at this node; `Reverted` also if the node stopped on its own.
    pub stage: Stage,
    /// Largest share of the requests that the candidate may get in `Canary`, from the bounds.
    pub share: f64,
    /// Releases of earlier orders that were reverted; they get no requests.
    pub excluded: BTreeSet<Release>,
}

impl Policy {
    /// Probability with which a request is sampled as a canary request.
    #[must_use]
    pub fn sample_probability(&self) -> f64 {
        match self.stage {
            Stage::Canary => sample_probability(self.share),
            Stage::Shift | Stage::Completed | Stage::Reverted => 0.0,
        }
    }
}

impl Fleet {
    /// Sets or ends the rollout of a service.
    pub fn set_rollout(&mut self, service: &ServiceId, policy: Option<Policy>, now: Time) {
        self.rollouts.set(service, policy, now);
    }

    /// Rollout of a service.
    #[must_use]
    pub fn rollout(&self, service: &ServiceId) -> Option<&Policy> {
        self.rollouts.policy(service)
    }

    /// Cohort of an endpoint, to be kept with a request that is sent there: `Any` without a rollout of
    /// its service.
    #[must_use]
    pub fn cohort(&self, id: &EndpointId) -> Cohort {
        let Some(endpoint) = self.endpoints.get(id) else { return Cohort::Any };
        match self.rollout(&endpoint.listing.service) {
            None => Cohort::Any,
            Some(policy) if endpoint.listing.release.as_ref() == Some(&policy.candidate) => {
                Cohort::Candidate
            }
            Some(_) => Cohort::Stable,
        }
    }

    /// Whether an endpoint gets no requests because of its release only.
    #[must_use]
    pub fn is_held_back(&self, id: &EndpointId, now: Time) -> bool {
        self.endpoints.get(id).is_some_and(|e| {
            !e.is_leaving()
                && !e.is_refusing(now)
                && self.rollouts.role(&e.listing, now) == Role::Closed
        })
    }

    /// Endpoints of a service that are not leaving, by whether they have `candidate`.
    #[must_use]
    pub fn listed(&self, service: &ServiceId, candidate: &Release) -> Listed {
        let mut listed = Listed::default();
        let endpoints = self.endpoints.values().filter(|e| e.listing.service == *service);
        for endpoint in endpoints.filter(|endpoint| !endpoint.is_leaving()) {
            let release = endpoint.listing.release.as_ref();
            let is_excluded =
                |policy: &Policy| release.is_some_and(|r| policy.excluded.contains(r));
            if release == Some(candidate) {
                listed.candidate += 1;
            } else if !self.rollout(service).is_some_and(is_excluded) {
                listed.stable += 1;
            }
        }
        listed
    }
}

/// Candidate endpoints and the slots of the stable ones in one availability zone.
#[derive(Default)]
struct Zone<'a> {
    candidates: Vec<(bool, Reverse<u64>, &'a Endpoint)>,
    stable_slots: u32,
}

impl<'a> Zone<'a> {
    /// The first endpoints in rank whose slots are `ratio` of the stable ones, to the nearest number,
    /// and at least one.
    fn loaded(mut self, ratio: f64) -> impl Iterator<Item = &'a EndpointId> {
        self.candidates.sort_by_key(|(fails, rank, _)| (*fails, *rank));
        let wanted = f64::from(self.stable_slots) * ratio;
        let mut slots = 0.0;
        let loaded =
            self.candidates.into_iter().enumerate().take_while(move |(index, (_, _, e))| {
                let own = f64::from(e.slots());
                slots += own;
                *index == 0 || slots - own / 2.0 <= wanted
            });
        loaded.map(|(_, (_, _, endpoint))| &endpoint.listing.id)
    }
}

impl Fleet {
    /// Candidate endpoints that a query may use besides those of ordinary requests.
    ///
    /// They are few, so that each carries as much load as a stable endpoint.
    pub(super) fn canaries(&self, query: &Query<'_>, now: Time) -> BTreeSet<&EndpointId> {
        let view = self.rollouts.view(query.service);
        let Some(policy) = view.active.map(|active| &active.policy) else { return BTreeSet::new() };
        if query.cohort != Cohort::Candidate || policy.stage != Stage::Canary {
            return BTreeSet::new();
        }
        let mut zones: BTreeMap<&ZoneId, Zone<'_>> = BTreeMap::new();
        let endpoints = self.endpoints.values().filter(|e| e.listing.service == *query.service);
        for endpoint in endpoints.filter(|endpoint| !endpoint.is_leaving()) {
            let listing = &endpoint.listing;
            let zone = zones.entry(&listing.zone).or_default();
            match view.role(listing, now) {
                Role::Ordinary => zone.stable_slots += endpoint.slots(),
                Role::Canary => {
                    let rank = score(listing.id.as_str(), policy.candidate.as_str());
                    let fails = endpoint.failure_rate(now) > MAX_FAILURE_RATE;
                    zone.candidates.push((fails, Reverse(rank), endpoint));
                }
                Role::Closed => {}
            }
        }
        let sampled = policy.sample_probability();
        let ratio = sampled / (1.0 - sampled).max(f64::EPSILON);
        zones.into_values().flat_map(|zone| zone.loaded(ratio)).collect()
    }
}

/// What an endpoint is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Ordinary requests.
    Ordinary,
    /// Canary requests.
    Canary,
    /// Nothing.
    Closed,
}

/// Rollouts of all services, and the releases listed.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    active: BTreeMap<ServiceId, Active>,
    releases: BTreeMap<ServiceId, Releases>,
}

#[derive(Debug)]
struct Active {
    policy: Policy,
    /// When its stage became `Completed`.
    completed_at: Option<Time>,
}

/// Listed releases of a service.
#[derive(Debug, Default)]
struct Releases {
    listed: BTreeMap<Option<Release>, Known>,
    /// Release whose last endpoint was the last one of the service.
    last: Option<Option<Release>>,
}

#[derive(Debug)]
struct Known {
    endpoints: u32,
    /// When its first endpoint was listed.
    since: Time,
    /// Whether the service had another release at that time.
    is_later: bool,
}

impl Rollouts {
    fn set(&mut self, service: &ServiceId, policy: Option<Policy>, now: Time) {
        let Some(policy) = policy else {
            self.active.remove(service);
            return;
        };
        let known = self.active.get(service).filter(|a| a.policy.candidate == policy.candidate);
        let completed_at = (policy.stage == Stage::Completed)
            .then(|| known.and_then(|active| active.completed_at).unwrap_or(now));
        self.active.insert(service.clone(), Active { policy, completed_at });
    }

    fn policy(&self, service: &ServiceId) -> Option<&Policy> {
        self.active.get(service).map(|active| &active.policy)
    }

    /// Records a listing that replaces `before`.
    pub(super) fn record_listing(
        &mut self,
        before: Option<&Listing>,
        listing: &Listing,
        now: Time,
    ) {
        let is_same = |b: &&Listing| b.service == listing.service && b.release == listing.release;
        if before.filter(is_same).is_some() {
            return;
        }
        self.releases.entry(listing.service.clone()).or_default().add(&listing.release, now);
        if let Some(before) = before {
            self.record_removal(before);
        }
    }

    /// Records a listing that is gone.
    pub(super) fn record_removal(&mut self, listing: &Listing) {
        if let Some(releases) = self.releases.get_mut(&listing.service) {
            releases.subtract(&listing.release);
        }
    }

    /// Rollout of one service.
    pub(super) fn view(&self, service: &ServiceId) -> View<'_> {
        View { active: self.active.get(service), releases: self.releases.get(service) }
    }

    /// What an endpoint is used for.
    pub(super) fn role(&self, listing: &Listing, now: Time) -> Role {
        if listing.release.is_none() && self.active.is_empty() {
            return Role::Ordinary;
        }
        self.view(&listing.service).role(listing, now)
    }
}

impl Releases {
    fn add(&mut self, release: &Option<Release>, now: Time) {
        let is_later = if self.listed.is_empty() {
            self.last.as_ref().is_some_and(|last| last != release)
        } else {
            true
        };
        let known = self.listed.entry(release.clone());
        known.or_insert(Known { endpoints: 0, since: now, is_later }).endpoints += 1;
    }

    fn subtract(&mut self, release: &Option<Release>) {
        let Some(known) = self.listed.get_mut(release) else { return };
        known.endpoints = known.endpoints.saturating_sub(1);
        if known.endpoints == 0 {
            self.listed.remove(release);
            self.last = self.listed.is_empty().then(|| release.clone());
        }
    }
}

/// Rollout of one service.
#[derive(Clone, Copy)]
pub(super) struct View<'a> {
    active: Option<&'a Active>,
    releases: Option<&'a Releases>,
}

impl View<'_> {
    /// What an endpoint of the service is used for.
    pub(super) fn role(&self, listing: &Listing, now: Time) -> Role {
        let Some(Active { policy, completed_at }) = self.active else {
            return self.unordered(listing, now);
        };
        let is_candidate = listing.release.as_ref() == Some(&policy.candidate);
        let is_excluded = listing.release.as_ref().is_some_and(|r| policy.excluded.contains(r));
        match (policy.stage, is_candidate) {
            // An order may name the release in use. Without another one, the service would have no
            // endpoints.
            (Stage::Canary | Stage::Reverted, true) if !self.has_other(policy) => Role::Ordinary,
            (Stage::Canary, true) => Role::Canary,
            (Stage::Shift | Stage::Completed, true) => Role::Ordinary,
            (Stage::Shift, false) | (Stage::Reverted, true) => Role::Closed,
            (_, false) if is_excluded => Role::Closed,
            (Stage::Canary | Stage::Reverted, false) => self.unordered(listing, now),
            (Stage::Completed, false) => {
                let completed_at = completed_at.unwrap_or(now);
                let is_old =
                    self.known(listing).is_none_or(|k| k.since <= completed_at + OLD_ENTRIES_GRACE);
                let is_recent = now < completed_at + OLD_ENTRIES_TIME;
                if is_old && is_recent && self.has_candidate(policy) {
                    Role::Closed
                } else {
                    self.unordered(listing, now)
                }
            }
        }
    }

    /// Whether the candidate is listed.
    fn has_candidate(&self, policy: &Policy) -> bool {
        let is_candidate = |release: &Option<Release>| release.as_ref() == Some(&policy.candidate);
        self.releases.is_some_and(|releases| releases.listed.keys().any(is_candidate))
    }

    /// Whether a release is listed that is neither the candidate nor excluded.
    fn has_other(&self, policy: &Policy) -> bool {
        let is_other = |release: &Option<Release>| {
            let Some(release) = release else { return true };
            *release != policy.candidate && !policy.excluded.contains(release)
        };
        self.releases.is_some_and(|releases| releases.listed.keys().any(is_other))
    }

    fn known(&self, listing: &Listing) -> Option<&Known> {
        self.releases?.listed.get(&listing.release)
    }

    /// Use of an endpoint that no order names: none for a while after another release was there.
    fn unordered(&self, listing: &Listing, now: Time) -> Role {
        let is_held = listing.release.is_some()
            && self.known(listing).is_some_and(|k| k.is_later && now.since(k.since) < HOLD_BACK);
        if is_held { Role::Closed } else { Role::Ordinary }
    }
}

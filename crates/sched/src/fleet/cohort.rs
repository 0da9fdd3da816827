//! Endpoints that a request may use while its service has a rollout.
//!
//! Failures: a bad release that gets more than the sampled requests, an order
//! that is known later than the endpoints which it names, and a fault that shows
//! only under load and is hidden by spreading few requests over many endpoints.

use super::Fleet;
use crate::rollout::{Listed, Stage};
use std::collections::{BTreeMap, BTreeSet};
use units::{EndpointId, Release, ServiceId, Time};

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
            Stage::Canary => crate::rollout::sample_probability(self.share),
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

    /// Endpoints of a service that are not leaving, by whether they have `candidate`.
    #[must_use]
    pub fn listed(&self, service: &ServiceId, candidate: &Release) -> Listed {
        let mut listed = Listed::default();
        let endpoints = self.endpoints.values().filter(|e| e.listing.service == *service);
        for endpoint in endpoints.filter(|endpoint| !endpoint.is_leaving()) {
            if endpoint.listing.release.as_ref() == Some(candidate) {
                listed.candidate += 1;
            } else {
                listed.stable += 1;
            }
        }
        listed
    }
}

/// Rollouts of all services.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    policies: BTreeMap<ServiceId, Policy>,
}

impl Rollouts {
    fn set(&mut self, service: &ServiceId, policy: Option<Policy>, _now: Time) {
        match policy {
            Some(policy) => self.policies.insert(service.clone(), policy),
            None => self.policies.remove(service),
        };
    }

    fn policy(&self, service: &ServiceId) -> Option<&Policy> {
        self.policies.get(service)
    }
}

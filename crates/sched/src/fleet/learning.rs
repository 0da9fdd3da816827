//! Use of the estimates of [`crate::capacity`] by the fleet.
//!
//! A service without learning has no entry, and every decision about it uses the
//! constants.

use super::{Endpoint, Fleet, PREFILL_TOKEN_MS, Usage};
use crate::capacity::{First, LimitChange, Service};
use std::{collections::HashMap, time::Duration};
use units::{EndpointId, ServiceId, Time, Tokens};

/// Maximum number of changes of limits that are kept for the log.
const MAX_LIMIT_CHANGES: usize = 64;

/// Estimates of the services that learn.
pub(super) type Learning = HashMap<ServiceId, Service>;

/// What is learned of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Time per prompt token, in ms, once it is known.
    pub token_ms: Option<f64>,
    /// Present duration of plain calls relative to the service's, as far as it exceeds what chance
    /// explains.
    pub speed: f64,
    /// Concurrency limit; none for all slots.
    pub limit: Option<u32>,
    /// Time since the last plain call that it was learned from.
    pub age: Option<Duration>,
}

impl Fleet {
    /// Sets whether the estimates of a service's endpoints are learned and used.
    pub fn set_learning(&mut self, service: &ServiceId, on: bool) {
        if on {
            self.learning.entry(service.clone()).or_default();
        } else if self.learning.remove(service).is_some() {
            for endpoint in self.endpoints.values_mut().filter(|e| e.listing.service == *service) {
                endpoint.learned = crate::capacity::Endpoint::default();
            }
        }
    }

    /// Whether the estimates of a service's endpoints are learned and used.
    #[must_use]
    pub fn learns(&self, service: &ServiceId) -> bool {
        self.learning.contains_key(service)
    }

    /// Whether any service learns.
    #[must_use]
    pub fn is_learning(&self) -> bool {
        !self.learning.is_empty()
    }

    /// Load of an endpoint at a dispatch, including the peers' requests and the one that was just sent,
    /// if its service learns.
    #[must_use]
    pub fn dispatch_load(&self, id: &EndpointId, now: Time) -> Option<Usage> {
        let endpoint = self.endpoints.get(id).filter(|e| self.learns(&e.listing.service))?;
        Some(endpoint.load(self.usage_ttl, now))
    }

    /// Records the time to the first event of a stream, with its own prompt tokens and the load at its
    /// dispatch. Plain calls, which have no gaps, say nothing about prefill.
    pub fn record_first_time(
        &mut self,
        id: &EndpointId,
        own: Tokens,
        at_dispatch: Usage,
        elapsed: Duration,
        now: Time,
    ) {
        let Some(endpoint) = self.endpoints.get(id).filter(|e| e.gap_ms.is_some()) else { return };
        let slowdown = self.slowdown(endpoint);
        let elapsed = elapsed.div_f64(endpoint.reported_slowdown(now));
        let Some(service) = self.learning.get_mut(&endpoint.listing.service) else { return };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let ahead = at_dispatch.pending_prefill;
            let first = First { own, ahead, elapsed, slowdown };
            service.record_first(&mut endpoint.learned, first, now);
        }
    }

    /// Records for how long a completed plain call held its slot, with the load at its dispatch.
    /// Streams, which have gaps, differ too much in length.
    pub fn record_plain(&mut self, id: &EndpointId, at_dispatch: Usage, hold: Duration, now: Time) {
        let ttl = self.usage_ttl;
        let Some(endpoint) = self.endpoints.get_mut(id).filter(|e| e.gap_ms.is_none()) else {
            return;
        };
        let Some(service) = self.learning.get_mut(&endpoint.listing.service) else { return };
        // The call itself is in flight still.
        let (first, last) =
            (at_dispatch.in_flight.max(1), endpoint.load(ttl, now).in_flight.max(1));
        let (slots, slowdown) = (endpoint.slots(), endpoint.reported_slowdown(now));
        let learned = &mut endpoint.learned;
        service.record_hold(learned, first - 1, hold, now);
        let change = learned.record_concurrency(first.midpoint(last), hold, slowdown, slots, now);
        if let Some(change) = change
            && self.limit_changes.len() < MAX_LIMIT_CHANGES
        {
            self.limit_changes.push((id.clone(), change));
        }
    }

    /// Number of endpoints with a concurrency limit below their slots.
    #[must_use]
    pub fn limited_concurrency(&self, now: Time) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.learned.limit(now).is_some()).count()
    }

    /// Changes of endpoints' concurrency limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<(EndpointId, LimitChange)> {
        std::mem::take(&mut self.limit_changes)
    }

    /// Learned time that a plain call takes at an endpoint, in ms; 0 if it is not known.
    pub(super) fn plain_cost(&self, endpoint: &Endpoint, in_flight: u32, now: Time) -> f64 {
        if endpoint.gap_ms.is_some() {
            return 0.0;
        }
        let service = self.learning.get(&endpoint.listing.service);
        let Some((alone, growth)) = service.and_then(Service::hold_ms) else { return 0.0 };
        let growth = growth * f64::from(in_flight);
        endpoint.learned.speed(now) * (alone + growth)
    }

    /// Time per prompt token at an endpoint, in ms, divided by its slowdown.
    pub(super) fn token_ms(&self, endpoint: &Endpoint, now: Time) -> f64 {
        let service = self.learning.get(&endpoint.listing.service);
        match service.and_then(Service::token_ms) {
            Some(token_ms) => {
                let slowdown = self.slowdown(endpoint);
                token_ms * endpoint.learned.prefill_factor(slowdown, now) / slowdown
            }
            None => PREFILL_TOKEN_MS,
        }
    }

    /// What is learned of an endpoint; none if its service does not learn.
    #[must_use]
    pub fn estimate(&self, id: &EndpointId, now: Time) -> Option<Estimate> {
        let endpoint = self.endpoints.get(id)?;
        let service = self.learning.get(&endpoint.listing.service)?;
        let token_ms =
            service.token_ms().map(|_| self.token_ms(endpoint, now) * self.slowdown(endpoint));
        let (speed, limit) = (endpoint.learned.speed(now), endpoint.learned.limit(now));
        Some(Estimate { token_ms, speed, limit, age: endpoint.learned.age(now) })
    }
}

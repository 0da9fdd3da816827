//! Use of the estimates of [`crate::capacity`] by the fleet.
//!
//! A service without learning has no entry, and every decision about it uses the
//! constants.

use super::{Endpoint, Fleet, PREFILL_TOKEN_MS};
use crate::capacity::{First, Service};
use std::{collections::HashMap, time::Duration};
use units::{EndpointId, ServiceId, Time, Tokens};

/// Estimates of the services that learn.
pub(super) type Learning = HashMap<ServiceId, Service>;

/// What is learned of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Time per prompt token, in ms, once it is known.
    pub token_ms: Option<f64>,
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

    /// Prompt tokens that an endpoint has still to read, including the peers' requests, if its
    /// service learns.
    #[must_use]
    pub fn prefill_ahead(&self, id: &EndpointId, now: Time) -> Option<Tokens> {
        let endpoint = self.endpoints.get(id).filter(|e| self.learns(&e.listing.service))?;
        Some(endpoint.load(self.usage_ttl, now).pending_prefill)
    }

    /// Records the time to the first event of a stream, with its own prompt tokens and those that were
    /// ahead at dispatch, which include its own. Plain calls, which have no gaps, say nothing about prefill.
    pub fn record_first_time(
        &mut self,
        id: &EndpointId,
        own: Tokens,
        ahead: Tokens,
        elapsed: Duration,
        now: Time,
    ) {
        let Some(endpoint) = self.endpoints.get(id).filter(|e| e.gap_ms.is_some()) else { return };
        let slowdown = self.slowdown(endpoint);
        let elapsed = elapsed.div_f64(endpoint.reported_slowdown(now));
        let Some(service) = self.learning.get_mut(&endpoint.listing.service) else { return };
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let first = First { own, ahead, elapsed, slowdown };
            service.record_first(&mut endpoint.learned, first, now);
        }
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
        Some(Estimate { token_ms })
    }
}

//! Selection among endpoints that many nodes use at the same time.
//!
//! The load consists of short bursts of long prompts among short calls. Several
//! nodes without shared memory send it to endpoints that differ in speed, admit
//! requests in order of arrival and slow down for moments without notice. Each
//! node counts its own requests exactly and knows its peers' requests in flight
//! from their latest digests. The queue inside an endpoint thus stays empty, and
//! a request waits where it can still go to another endpoint.
//!
//! The main terms of the expected time to a first response are
//! `distance + slowdown × (base + pending prefill tokens × cost)`. The slowdown
//! is the endpoint's usual gap between stream events relative to the median of
//! its service, adjusted for some hundred milliseconds by the slowdown that the
//! endpoint itself reports.
//!
//! An endpoint processes a prompt in chunks between the events of its streams.
//! On a slow endpoint, a long prompt stretches the gaps of all streams beyond
//! their target, so it goes to a faster endpoint and leaves the slot to a short
//! prompt.
//!
//! All nodes see the same free slots. At each digest, a node is therefore
//! allocated a share of the free slots according to its share of the demand, and
//! takes no more of them until the next digest. A slot that its own request
//! releases is allocated to it again.
//!
//! A node that starts or returns in the middle of a burst would otherwise find
//! every slot taken permanently. A node with far less than its share therefore
//! reports its shortfall, nodes with more than their share release slots, and
//! these are allocated to it first. Nodes release slots only in this case, since
//! a released slot stays empty for a moment. Short plain calls need no
//! allocation: their slots become free many times between two digests, and an
//! endpoint queues the few that meet.
//!
//! In a large cluster, one node of a zone gives out the slots of a service's
//! endpoints there on behalf of the others ([`Fleet::set_owned`]), and no
//! others.
//!
//! An endpoint in need names a rate that it takes from all nodes together. Nodes
//! share it, see `limit`.
//!
//! While a service has a rollout, a request uses the endpoints of some releases only, see
//! `cohort`.
//!
//! Invariants:
//! * an endpoint that is leaving or gone is never selected;
//! * an endpoint never gets more requests than it has slots, including the
//!   peers' requests, as far as this node knows.

mod cohort;
mod endpoint;
mod learning;
mod limit;
mod listing;
mod slots;
mod types;

pub use cohort::{Cohort, Policy};
pub use learning::Estimate;
pub use limit::share;
pub use listing::Listing;
pub use types::{Capacity, Choice, Distance, Limit, Load, Outcome, Query, Size, Usage};

use crate::capacity::LimitChange;
use cohort::Role;
use endpoint::{Endpoint, SLOWDOWN_BOUNDS};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};
use units::{EndpointId, InstanceId, RequestRate, ServiceId, Time, Tokens, time::duration};

/// Time to a first response without prefill, in ms: three steps of an engine.
const BASE_MS: f64 = 10.0;
/// Prefill time of a prompt token on an endpoint of usual speed, in ms; from the engines' data
/// sheet. Used until a service has learned its own, see [`crate::capacity`].
const PREFILL_TOKEN_MS: f64 = 1.0 / 112.0;
/// Limit of an endpoint's pending prefill, in ms of prefill time: the shortest target for a first
/// event, less the network latency and an engine's step.
const MAX_PENDING_PREFILL_MS: f64 = 250.0;
/// Growth of the expected time from an empty to a full endpoint, in ms: that of about ten steps
/// with a full batch. It spreads a light load.
const BATCH_GROWTH_MS: f64 = 30.0;
/// Cost of an expected output token on an endpoint of usual speed, in ms: a fifteenth of its actual
/// time. A long stream on a slow endpoint may exceed its deadline, and more likely has a gap above
/// its target.
const OUTPUT_MS: f64 = 0.2;
/// Cost of an endpoint that fails every request, in ms: that of a second attempt after a timeout.
const FAILURE_MS: f64 = 1_500.0;
/// Slowdown up to which an endpoint accepts prompts of any length: prefill then keeps the gaps of
/// its streams within the targets of the data sheets.
const MAX_LONG_PROMPT_SLOWDOWN: f64 = 1.25;
/// Weight of a new sample in the average share of the demand; converges within about ten digests.
const SHARE_WEIGHT: f64 = 0.15;
/// Default and least time after which a peer's reported usage expires: more than two usual digest
/// intervals, so that one digest may be lost.
const USAGE_TTL: Duration = Duration::from_secs(3);
/// Maximum number of limits of endpoints that are not listed yet.
const MAX_EARLY_LIMITS: usize = 1_024;

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn tokens(count: Tokens) -> f64 {
    count.0 as f64
}

/// Endpoints of all services, and their state as known to this node.
#[derive(Debug)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    median_gap_ms: HashMap<ServiceId, f64>,
    usage_ttl: Duration,
    /// Average share of this node in the demand of all nodes.
    share: f64,
    service_slots: HashMap<ServiceId, slots::Pool>,
    /// Services whose endpoints in this zone only this node uses, on behalf of the others.
    owned: BTreeSet<ServiceId>,
    /// Limits of endpoints that are not listed yet, with the start of their process.
    early_limits: HashMap<EndpointId, (Option<u64>, Limit)>,
    rollouts: cohort::Rollouts,
    /// Estimates of the services for which [`Self::set_learning`] is on.
    learning: learning::Learning,
    /// Changes of learned limits that were not taken yet.
    limit_changes: Vec<(EndpointId, LimitChange)>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            endpoints: BTreeMap::new(),
            median_gap_ms: HashMap::new(),
            usage_ttl: USAGE_TTL,
            share: 1.0,
            service_slots: HashMap::new(),
            owned: BTreeSet::new(),
            early_limits: HashMap::new(),
            rollouts: cohort::Rollouts::default(),
            learning: learning::Learning::new(),
            limit_changes: Vec::new(),
        }
    }
}

impl Fleet {
    /// Empty fleet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time after which a peer's reported usage expires.
    pub fn set_usage_ttl(&mut self, ttl: Duration) {
        self.usage_ttl = ttl.max(USAGE_TTL);
    }

    /// Whether an endpoint may get requests of this node, as far as this node knows: it is listed, does
    /// not leave, has not asked for none, and its release is in use.
    #[must_use]
    pub fn accepts(&self, id: &EndpointId, now: Time) -> bool {
        self.endpoints.get(id).is_some_and(|e| {
            !e.is_leaving()
                && !e.is_refusing(now)
                && self.rollouts.role(&e.listing, now) != Role::Closed
        })
    }

    /// Records that a response says that its endpoint is leaving; true if that is new.
    pub fn record_leaving(&mut self, id: &EndpointId) -> bool {
        self.endpoints.get_mut(id).is_some_and(Endpoint::record_leaving)
    }

    /// Records that an endpoint wants no requests of this node for a while.
    pub fn record_refusal(&mut self, id: &EndpointId, wait: Duration, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_refusal(wait, now);
        }
    }

    /// Adds or updates a listing; true if it changes.
    pub fn upsert(&mut self, listing: Listing, distance: Distance, now: Time) -> bool {
        let before = self.endpoints.get(&listing.id).map(|endpoint| &endpoint.listing);
        self.rollouts.record_listing(before, &listing, now);
        let changed = self.update(listing.clone(), distance);
        if let Some(known) = self.endpoints.get_mut(&listing.id) {
            known.listed_at = now;
            if let Some((_, limit)) =
                self.early_limits.get(&listing.id).filter(|(born, _)| *born == listing.born)
            {
                known.record_limit(*limit, now);
                self.early_limits.remove(&listing.id);
            }
        }
        changed
    }

    /// When an endpoint was last listed.
    #[must_use]
    pub fn listed_at(&self, id: &EndpointId) -> Option<Time> {
        self.endpoints.get(id).map(|endpoint| endpoint.listed_at)
    }

    fn update(&mut self, listing: Listing, distance: Distance) -> bool {
        let Some(known) = self.endpoints.get_mut(&listing.id) else {
            self.endpoints.insert(listing.id.clone(), Endpoint::new(listing, distance));
            return true;
        };
        if known.listing == listing {
            return false;
        }
        if known.listing.born != listing.born
            || known.listing.address != listing.address
            || known.listing.release != listing.release
        {
            let own = known.own;
            *known = Endpoint::new(listing, distance);
            known.own = own;
        } else {
            known.relist(listing);
        }
        true
    }

    /// Removes an endpoint that is gone.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        let removed = self.endpoints.remove(id);
        if let Some(endpoint) = &removed {
            self.rollouts.record_removal(&endpoint.listing);
        }
        removed.is_some()
    }

    /// Sets the services whose endpoints in this zone are used through this node only.
    pub fn set_owned(&mut self, services: impl IntoIterator<Item = ServiceId>) {
        self.owned = services.into_iter().collect();
    }

    /// Whether this node gives out the slots of an endpoint.
    #[must_use]
    pub fn owns(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.distance == Distance::SameZone
                && self.owned.contains(&endpoint.listing.service)
        })
    }

    /// Records the end of a request whose slot another node manages.
    pub fn record_outcome(&mut self, id: &EndpointId, outcome: Outcome, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_end(outcome, now);
        }
    }

    /// Endpoints listed.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.keys()
    }

    /// Address of an endpoint.
    #[must_use]
    pub fn address(&self, id: &EndpointId) -> Option<SocketAddr> {
        self.endpoints.get(id).map(|endpoint| endpoint.listing.address)
    }

    /// Listing of an endpoint.
    #[must_use]
    pub fn listing(&self, id: &EndpointId) -> Option<&Listing> {
        self.endpoints.get(id).map(|endpoint| &endpoint.listing)
    }

    /// Whether the service has an endpoint that is not leaving.
    #[must_use]
    pub fn has_endpoint_for(&self, service: &ServiceId) -> bool {
        self.endpoints.values().any(|e| e.listing.service == *service && !e.is_leaving())
    }

    /// Free and total slots of a service, for ordinary requests.
    #[must_use]
    pub fn capacity(&self, service: &ServiceId, now: Time) -> Capacity {
        let mut capacity = Capacity::default();
        let rollout = self.rollouts.view(service);
        for endpoint in self.endpoints.values() {
            if endpoint.listing.service != *service
                || endpoint.is_leaving()
                || rollout.role(&endpoint.listing, now) != Role::Ordinary
            {
                continue;
            }
            let in_flight = endpoint.load(self.usage_ttl, now).in_flight;
            let is_open = endpoint.is_within_limit(now) && !endpoint.is_failing_calls(now);
            let free =
                if is_open { endpoint.usable_slots(now).saturating_sub(in_flight) } else { 0 };
            capacity.slots += endpoint.slots();
            capacity.free += free;
            if endpoint.distance == Distance::SameZone {
                capacity.slots_in_zone += endpoint.slots();
                capacity.free_in_zone += free;
            }
        }
        capacity
    }

    /// Endpoint with the least expected time to a first response, among those with capacity.
    ///
    /// A canary request gets a candidate endpoint if one has capacity, else one of those that
    /// ordinary requests use.
    #[must_use]
    pub fn select(&self, query: &Query<'_>, now: Time) -> Option<Choice> {
        let canaries = self.canaries(query, now);
        let rollout = self.rollouts.view(query.service);
        let is_canary = |e: &Endpoint| canaries.contains(&e.listing.id);
        let is_ordinary = |e: &Endpoint| rollout.role(&e.listing, now) == Role::Ordinary;
        let canary =
            if canaries.is_empty() { None } else { self.select_among(query, is_canary, now) };
        canary.or_else(|| self.select_among(query, is_ordinary, now))
    }

    fn select_among(
        &self,
        query: &Query<'_>,
        is_admitted: impl Fn(&Endpoint) -> bool,
        now: Time,
    ) -> Option<Choice> {
        let usable = self
            .endpoints
            .values()
            .filter(|e| e.listing.service == *query.service)
            .filter(|e| is_admitted(e) && self.has_capacity(e, query, now));
        let mut best: Option<(f64, &Endpoint)> = None;
        let mut candidates = 0;
        for endpoint in usable {
            candidates += 1;
            let avoided = query.avoid.contains(&endpoint.listing.id);
            let cost = self.cost(endpoint, query, now) + if avoided { FAILURE_MS } else { 0.0 };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, endpoint));
            }
        }
        best.map(|(cost, endpoint)| Choice {
            endpoint: endpoint.listing.id.clone(),
            address: endpoint.listing.address,
            born: endpoint.listing.born,
            expected: duration(cost / 1_000.0),
            in_flight: endpoint.load(self.usage_ttl, now).in_flight,
            candidates,
        })
    }

    fn has_capacity(&self, endpoint: &Endpoint, query: &Query<'_>, now: Time) -> bool {
        let listing = &endpoint.listing;
        if listing.service != *query.service
            || endpoint.is_leaving()
            || endpoint.is_backing_off(now)
            || !endpoint.is_within_limit(now)
        {
            return false;
        }
        let usage = endpoint.load(self.usage_ttl, now);
        if usage.in_flight >= endpoint.usable_slots(now)
            || (endpoint.allocated == 0 && !endpoint.admits_unallocated(query.streamed))
            || endpoint.own.in_flight >= query.max_connections
        {
            return false;
        }
        let pending_prefill = tokens(usage.pending_prefill);
        let slowdown = self.slowdown(endpoint);
        let prefill_ms =
            (pending_prefill + tokens(query.size.prompt)) * self.token_ms(endpoint, now) * slowdown;
        (pending_prefill <= 0.0 || prefill_ms <= MAX_PENDING_PREFILL_MS)
            && (slowdown <= MAX_LONG_PROMPT_SLOWDOWN
                || endpoint.keeps_target_gap(query.target_gap, prefill_ms))
    }

    fn slowdown(&self, endpoint: &Endpoint) -> f64 {
        let median = self.median_gap_ms.get(&endpoint.listing.service);
        match (endpoint.gap_ms, median) {
            (Some(gap), Some(median)) => (gap / median).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1),
            _ => 1.0,
        }
    }

    /// Updates the median of the endpoints' usual gaps, by service.
    fn update_median_gaps(&mut self) {
        let mut gaps: HashMap<&ServiceId, Vec<f64>> = HashMap::new();
        for endpoint in self.endpoints.values() {
            if let Some(gap) = endpoint.gap_ms {
                gaps.entry(&endpoint.listing.service).or_default().push(gap);
            }
        }
        let median = |(service, mut gaps): (&ServiceId, Vec<f64>)| {
            gaps.sort_by(f64::total_cmp);
            (service.clone(), gaps[gaps.len() / 2].max(f64::MIN_POSITIVE))
        };
        self.median_gap_ms = gaps.into_iter().map(median).collect();
    }

    fn cost(&self, endpoint: &Endpoint, query: &Query<'_>, now: Time) -> f64 {
        let usage = endpoint.load(self.usage_ttl, now);
        let slowdown = self.slowdown(endpoint) * endpoint.reported_slowdown(now);
        let prompt = tokens(query.size.prompt);
        let prefill = (tokens(usage.pending_prefill) + prompt) * self.token_ms(endpoint, now);
        let batch_growth =
            BATCH_GROWTH_MS * f64::from(usage.in_flight) / f64::from(endpoint.slots());
        let output = self.slowdown(endpoint) * tokens(query.size.output);
        endpoint.distance.ms()
            + slowdown * (BASE_MS + prefill + batch_growth)
            + output * OUTPUT_MS
            + self.plain_cost(endpoint, usage.in_flight, now)
            + FAILURE_MS * endpoint.failure_rate(now)
    }

    /// Records a request that is being sent.
    pub fn start(&mut self, id: &EndpointId, size: Size) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.start(size);
            self.service_slots.entry(endpoint.listing.service.clone()).or_default().own += 1;
        }
    }

    /// Records the first response of a request: its prefill is done.
    pub fn record_first_response(&mut self, id: &EndpointId, size: Size) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_first_response(size);
        }
    }

    /// Records the gap before `events` events of a stream.
    pub fn record_gap(&mut self, id: &EndpointId, gap: Duration, events: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_gap(gap, events);
        }
    }

    /// Records a load report that came with a response.
    pub fn record_load(&mut self, id: &EndpointId, report: Load, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_load(report, now);
        }
    }

    /// Records the limit that an endpoint named in a response; true if it changes.
    pub fn record_limit(&mut self, id: &EndpointId, limit: Limit, now: Time) -> bool {
        self.endpoints.get_mut(id).is_some_and(|endpoint| endpoint.record_limit(limit, now))
    }

    /// As [`Self::record_limit`], for a limit that another node announces, of the process that started
    /// at `born`. It is kept if the process is not listed here yet.
    pub fn record_announced_limit(
        &mut self,
        id: &EndpointId,
        born: Option<u64>,
        limit: Limit,
        now: Time,
    ) -> bool {
        if self.endpoints.get(id).is_some_and(|endpoint| endpoint.listing.born == born) {
            return self.record_limit(id, limit, now);
        }
        let known = self.early_limits.get(id).is_some_and(|(_, known)| known.at > limit.at);
        if !known
            && (self.early_limits.len() < MAX_EARLY_LIMITS || self.early_limits.contains_key(id))
        {
            self.early_limits.insert(id.clone(), (born, limit));
        }
        false
    }

    /// Forgets limits that were named before `since` by endpoints that are still not listed.
    pub fn prune_early_limits(&mut self, since: Time) {
        self.early_limits.retain(|_, (_, limit)| limit.at >= since);
    }

    /// Limit of an endpoint, and when it was last named; none if no response is known.
    #[must_use]
    pub fn limit(&self, id: &EndpointId) -> Option<Limit> {
        let endpoint = self.endpoints.get(id)?;
        Some(Limit { rate: endpoint.bucket.map(|bucket| bucket.rate), at: endpoint.limit_at? })
    }

    /// Endpoints with a limit, and those whose limit has ended after `since`.
    pub fn limited(&self, since: Time) -> impl Iterator<Item = &EndpointId> {
        let matters =
            move |e: &Endpoint| e.bucket.is_some() || e.limit_changed.is_some_and(|at| at > since);
        self.endpoints.iter().filter(move |(_, e)| matters(e)).map(|(id, _)| id)
    }

    /// Services with a limited endpoint.
    #[must_use]
    pub fn limited_services(&self) -> BTreeSet<ServiceId> {
        let limited = self.endpoints.values().filter(|endpoint| endpoint.bucket.is_some());
        limited.map(|endpoint| endpoint.listing.service.clone()).collect()
    }

    /// Sets this node's shares of the endpoints' limits: `owner_share` where it gives out the slots,
    /// `share` elsewhere.
    pub fn set_limit_shares(
        &mut self,
        owner_share: impl Fn(&ServiceId) -> f64,
        share: impl Fn(&EndpointId, RequestRate) -> f64,
        now: Time,
    ) {
        for (id, endpoint) in &mut self.endpoints {
            let Some(bucket) = &mut endpoint.bucket else { continue };
            let service = &endpoint.listing.service;
            let is_owned = endpoint.distance == Distance::SameZone && self.owned.contains(service);
            let share = if is_owned { owner_share(service) } else { share(id, bucket.rate) };
            bucket.set(bucket.rate, share, now);
        }
    }

    /// Records a request that is being sent to an endpoint with its limit.
    pub fn take_token(&mut self, id: &EndpointId, now: Time) {
        if let Some(bucket) = self.endpoints.get_mut(id).and_then(|e| e.bucket.as_mut()) {
            bucket.take(now);
        }
    }

    /// Records for how long a request held its slot.
    pub fn record_hold_time(&mut self, id: &EndpointId, hold: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_hold_time(hold);
        }
    }

    /// Records the end of a request; `prefill_done` tells whether its first response was recorded
    /// before.
    pub fn finish(
        &mut self,
        id: &EndpointId,
        size: Size,
        prefill_done: bool,
        outcome: Outcome,
        now: Time,
    ) {
        if !prefill_done {
            self.record_first_response(id, size);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let slots = self.service_slots.entry(endpoint.listing.service.clone()).or_default();
        if slots.release() {
            endpoint.allocated = endpoint.allocated.saturating_add(1);
        }
        endpoint.finish(outcome, now);
    }

    /// Sets whether requests wait here for a service, and the shortfall of the other nodes.
    pub fn set_waiting(
        &mut self,
        service: &ServiceId,
        has_waiting: bool,
        shortfall_elsewhere: u32,
    ) {
        let slots = self.service_slots.entry(service.clone()).or_default();
        slots.has_waiting = has_waiting;
        slots.shortfall_elsewhere = shortfall_elsewhere;
    }

    /// Shortfall of slots of a service at this node.
    #[must_use]
    pub fn shortfall(&self, service: &ServiceId) -> u32 {
        self.service_slots.get(service).map_or(0, |slots| slots.shortfall)
    }

    /// Counts the slots of all services that ordinary requests use. Requests at endpoints that are
    /// gone are left out; they have ended or will end soon.
    fn count_slots(&mut self, now: Time) {
        for slots in self.service_slots.values_mut() {
            (slots.slots, slots.own, slots.free) = (0, 0, 0);
        }
        for endpoint in self.endpoints.values() {
            if self.rollouts.role(&endpoint.listing, now) != Role::Ordinary {
                continue;
            }
            let slots = self.service_slots.entry(endpoint.listing.service.clone()).or_default();
            slots.own += endpoint.own.in_flight;
            if !endpoint.is_leaving() {
                let taken = endpoint.load(self.usage_ttl, now).in_flight;
                slots.slots += endpoint.slots();
                slots.free += endpoint.usable_slots(now).saturating_sub(taken);
            }
        }
    }

    /// Allocates this node its share of the free slots of every endpoint.
    ///
    /// `share` returns this node's share of the demand by distance, `interval` is the time to the
    /// next allocation, and `draw` returns random numbers from 0 to 1 for rounding.
    pub fn allocate(
        &mut self,
        share: impl Fn(Distance) -> f64,
        interval: Duration,
        mut draw: impl FnMut() -> f64,
        now: Time,
    ) {
        self.update_median_gaps();
        self.share += SHARE_WEIGHT * (share(Distance::CrossRegion).clamp(0.0, 1.0) - self.share);
        self.count_slots(now);
        for slots in self.service_slots.values_mut() {
            slots.update_shortfall(self.share, draw());
        }
        for endpoint in self.endpoints.values_mut() {
            if self.owned.contains(&endpoint.listing.service) {
                let is_own = endpoint.distance == Distance::SameZone;
                endpoint.allocated = if is_own { u32::MAX } else { 0 };
                continue;
            }
            let free = endpoint
                .usable_slots(now)
                .saturating_sub(endpoint.load(self.usage_ttl, now).in_flight);
            let turnover = endpoint.turnover(interval);
            let share = share(endpoint.distance).clamp(0.0, 1.0);
            let slots =
                self.service_slots.get(&endpoint.listing.service).copied().unwrap_or_default();
            let allocated = f64::from(free) * turnover * slots.allocated_share(share);
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a part of a slot count"
            )]
            let rounded = (allocated + draw()).floor() as u32;
            endpoint.allocated = rounded;
        }
    }

    /// This node's requests in flight, by endpoint, of the services for which `counts` holds.
    pub fn usage(
        &self,
        counts: impl Fn(&ServiceId) -> bool,
    ) -> impl Iterator<Item = (&EndpointId, Usage)> {
        let busy = self
            .endpoints
            .iter()
            .filter(move |(_, e)| e.own != Usage::default() && counts(&e.listing.service));
        busy.map(|(id, endpoint)| (id, endpoint.own))
    }

    /// Replaces a peer's usage of all endpoints; those that are not listed in `usage` have none.
    pub fn set_peer_usage(
        &mut self,
        peer: &InstanceId,
        usage: &HashMap<EndpointId, Usage>,
        now: Time,
    ) {
        for (id, endpoint) in &mut self.endpoints {
            match usage.get(id) {
                Some(usage) => {
                    endpoint.peers.insert(peer.clone(), (*usage, now));
                }
                None => {
                    endpoint.peers.remove(peer);
                }
            }
        }
    }

    /// Removes a peer's usage.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.peers.remove(peer);
        }
    }
}

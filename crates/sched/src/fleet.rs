//! Placement among endpoints that many nodes fill at once.
//!
//! Load pattern: short bursts of long prompts among short calls, sent by
//! several nodes that usage no memory, to endpoints that differ in speed,
//! admit in order of arrival and slow down for moments without notice. Each
//! node counts its own requests exactly and takes what its peers have in
//! flight from their last digest, so that the queue inside an endpoint stays
//! empty and a request waits where it can still go elsewhere.
//!
//! The expected time to a first answer is
//! `distance + slowness × (base + pending_prefill prompt tokens × cost)`. Slowness is
//! the usual pause between the events of an endpoint's streams against the
//! median of its service, corrected for some hundred milliseconds by the pace
//! that the endpoint itself reports.
//!
//! An endpoint reads a prompt in pieces between the events of its streams. On
//! a slow endpoint a long prompt stretches the pauses of all streams beyond
//! their target, so it goes to a faster one and leaves the slot to a short one.
//!
//! What is free at an endpoint is free for every node that can see it. At each
//! digest, a node is therefore allocated a part of the free slots that follows its
//! part of the demand, and takes no more of them until the next one. A slot
//! that its own request leaves is its own again. A node that comes late, or
//! comes back, in the middle of a burst would then find every slot taken for
//! good; so a node with far less than its part says how many slots it misses,
//! those with more than their part give slots up, and it is allocated them first.
//! Nobody gives up a slot otherwise, since it stays empty for a moment. Where calls are short, a slot
//! comes free many times between two digests, and is allocated as often.
//!
//! Invariants:
//! * an endpoint that is leaving or gone is never chosen;
//! * an endpoint is never given more requests than it has slots, peers'
//!   requests included, as far as this node knows.

mod endpoint;
mod tally;
mod terms;

pub use terms::{Capacity, Choice, Distance, Listing, LoadReport, Outcome, Query, Size, Usage};

use endpoint::{Endpoint, SLOWNESS};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};
use tally::Tally;
use units::{EndpointId, InstanceId, ServiceId, Time, Tokens};

/// Time to a first answer without its prompt, in ms: three steps of an engine.
const BASE_MS: f64 = 10.0;
/// Time to read one prompt token on an endpoint of usual speed, in ms; the engines' data sheet.
const TOKEN_MS: f64 = 1.0 / 112.0;
/// Unread prompt tokens that an endpoint is given at once, in ms of its reading time: the shortest
/// target for a first event, less the way and the step.
const MAX_PENDING_PREFILL_MS: f64 = 250.0;
/// Growth of the expected time from an empty to a full endpoint, in ms; the growth of a step by a
/// full batch over some ten events, which spreads light load.
const CROWD_MS: f64 = 30.0;
/// Expected time added for each expected token of the answer on an endpoint of usual speed, in ms: a
/// fifteenth of the time that it takes. A long stream at a slow endpoint outlasts its deadline, and
/// is more likely to have a pause beyond its target.
const OUTPUT_MS: f64 = 0.2;
/// Expected time added for an endpoint that fails every request, in ms: a second attempt after a
/// silence.
const FAILURE_MS: f64 = 1_500.0;
/// Slowness up to which an endpoint takes prompts of any length: the stretch of its pauses is then
/// within the targets of the sheets.
const BRISK: f64 = 1.25;
/// Weight of a new part of the demand in the usual part; settles within some ten digests.
const PART_WEIGHT: f64 = 0.15;
/// Time after which what a peer said of its requests is forgotten, unless another one is set: over
/// two of the usual intervals of digests, so that one may be lost.
const USAGE_TTL: Duration = Duration::from_secs(3);

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn tokens(count: Tokens) -> f64 {
    count.0 as f64
}

/// Endpoints of all services, with what this node believes of each.
#[derive(Debug)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    usual_ms: HashMap<ServiceId, f64>,
    usage_ttl: Duration,
    /// Usual part of this node in the demand of all.
    part: f64,
    tallies: HashMap<ServiceId, Tally>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            endpoints: BTreeMap::new(),
            usual_ms: HashMap::new(),
            usage_ttl: USAGE_TTL,
            part: 1.0,
            tallies: HashMap::new(),
        }
    }
}

impl Fleet {
    /// Empty fleet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// States the time after which what a peer said of its requests is forgotten.
    pub fn set_usage_ttl(&mut self, ttl: Duration) {
        self.usage_ttl = ttl.max(USAGE_TTL);
    }

    /// Takes over a listing; true when it changes what is believed.
    pub fn upsert(&mut self, listing: Listing, distance: Distance, now: Time) -> bool {
        let changed = self.take_over(listing.clone(), distance);
        if let Some(known) = self.endpoints.get_mut(&listing.id) {
            known.listed_at = now;
        }
        changed
    }

    /// When an endpoint was listed last.
    #[must_use]
    pub fn listed_at(&self, id: &EndpointId) -> Option<Time> {
        self.endpoints.get(id).map(|endpoint| endpoint.listed_at)
    }

    fn take_over(&mut self, listing: Listing, distance: Distance) -> bool {
        let Some(known) = self.endpoints.get_mut(&listing.id) else {
            self.endpoints.insert(listing.id.clone(), Endpoint::new(listing, distance));
            return true;
        };
        if known.listing == listing {
            return false;
        }
        if known.listing.born != listing.born || known.listing.address != listing.address {
            let own = known.own;
            *known = Endpoint::new(listing, distance);
            known.own = own;
        } else {
            known.listing = listing;
        }
        true
    }

    /// Forgets an endpoint that is gone.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        self.endpoints.remove(id).is_some()
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

    /// Whether any endpoint of the service may be sent to, now or once it has room.
    #[must_use]
    pub fn has_endpoint_for(&self, service: &ServiceId) -> bool {
        self.endpoints.values().any(|e| e.listing.service == *service && !e.listing.leaving)
    }

    /// Free slots and all slots of a service.
    #[must_use]
    pub fn capacity(&self, service: &ServiceId, now: Time) -> Capacity {
        let mut capacity = Capacity::default();
        for endpoint in self.endpoints.values() {
            if endpoint.listing.service != *service || endpoint.listing.leaving {
                continue;
            }
            capacity.slots += endpoint.slots();
            capacity.free +=
                endpoint.slots().saturating_sub(endpoint.load(self.usage_ttl, now).in_flight);
        }
        capacity
    }

    /// Endpoint with the earliest expected answer among those with room.
    #[must_use]
    pub fn select(&self, query: &Query<'_>, now: Time) -> Option<Choice> {
        let usable = self.endpoints.values().filter(|e| self.has_capacity(e, query, now));
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
            expected: Duration::from_secs_f64(cost / 1_000.0),
            in_flight: endpoint.load(self.usage_ttl, now).in_flight,
            candidates,
        })
    }

    fn has_capacity(&self, endpoint: &Endpoint, query: &Query<'_>, now: Time) -> bool {
        let listing = &endpoint.listing;
        if listing.service != *query.service || listing.leaving || endpoint.is_down(now) {
            return false;
        }
        let load = endpoint.load(self.usage_ttl, now);
        if load.in_flight >= endpoint.slots()
            || endpoint.allocated == 0
            || endpoint.own.in_flight >= query.max_connections
        {
            return false;
        }
        let pending_prefill = tokens(load.pending_prefill);
        let slowness = self.slowness(endpoint);
        let reading_ms = (pending_prefill + tokens(query.size.prompt)) * TOKEN_MS * slowness;
        (pending_prefill <= 0.0 || reading_ms <= MAX_PENDING_PREFILL_MS)
            && (slowness <= BRISK || endpoint.keeps_pauses(query.target_gap, reading_ms))
    }

    fn slowness(&self, endpoint: &Endpoint) -> f64 {
        let usual = self.usual_ms.get(&endpoint.listing.service);
        match (endpoint.pause_ms, usual) {
            (Some(pause), Some(usual)) => (pause / usual).clamp(SLOWNESS.0, SLOWNESS.1),
            _ => 1.0,
        }
    }

    /// Median of the endpoints' usual pauses, by service.
    fn learn_usual(&mut self) {
        let mut pauses: HashMap<&ServiceId, Vec<f64>> = HashMap::new();
        for endpoint in self.endpoints.values() {
            if let Some(pause) = endpoint.pause_ms {
                pauses.entry(&endpoint.listing.service).or_default().push(pause);
            }
        }
        let median = |(service, mut pauses): (&ServiceId, Vec<f64>)| {
            pauses.sort_by(f64::total_cmp);
            (service.clone(), pauses[pauses.len() / 2].max(f64::MIN_POSITIVE))
        };
        self.usual_ms = pauses.into_iter().map(median).collect();
    }

    fn cost(&self, endpoint: &Endpoint, query: &Query<'_>, now: Time) -> f64 {
        let load = endpoint.load(self.usage_ttl, now);
        let slowness = self.slowness(endpoint) * endpoint.slowdown(now);
        let prompt = tokens(query.size.prompt);
        let reading = (tokens(load.pending_prefill) + prompt) * TOKEN_MS;
        let crowd = CROWD_MS * f64::from(load.in_flight) / f64::from(endpoint.slots());
        let generating = self.slowness(endpoint) * tokens(query.size.output);
        endpoint.distance.ms()
            + slowness * (BASE_MS + reading + crowd)
            + generating * OUTPUT_MS
            + FAILURE_MS * endpoint.failure_rate(now)
    }

    /// Notes a request that is being sent.
    pub fn start(&mut self, id: &EndpointId, size: Size) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.start(size);
            self.tallies.entry(endpoint.listing.service.clone()).or_default().own += 1;
        }
    }

    /// Notes the first answer of a request: its prompt has been read.
    pub fn record_first_response(&mut self, id: &EndpointId, size: Size) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_first_response(size);
        }
    }

    /// Learns from the pause before some events of a stream.
    pub fn record_gap(&mut self, id: &EndpointId, gap: Duration, events: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_gap(gap, events);
        }
    }

    /// Takes over a report that came with an answer.
    pub fn record_load(&mut self, id: &EndpointId, report: LoadReport, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_load(report, now);
        }
    }

    /// Learns for how long an answer held its slot.
    pub fn record_hold_time(&mut self, id: &EndpointId, hold: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.record_hold_time(hold);
        }
    }

    /// Notes the end of a request; `read` says whether its first answer had come.
    pub fn finish(&mut self, id: &EndpointId, size: Size, read: bool, outcome: Outcome, now: Time) {
        if !read {
            self.record_first_response(id, size);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let tally = self.tallies.entry(endpoint.listing.service.clone()).or_default();
        if tally.leave() {
            endpoint.allocated += 1;
        }
        endpoint.finish(outcome, now);
    }

    /// States whether requests wait here for a service, and how many slots other nodes miss.
    pub fn set_waiting(&mut self, service: &ServiceId, waits: bool, shortfall_elsewhere: u32) {
        let tally = self.tallies.entry(service.clone()).or_default();
        tally.waits = waits;
        tally.shortfall_elsewhere = shortfall_elsewhere;
    }

    /// Slots of a service that this node misses.
    #[must_use]
    pub fn shortfall(&self, service: &ServiceId) -> u32 {
        self.tallies.get(service).map_or(0, |tally| tally.shortfall)
    }

    /// Counts the slots of all services. Requests of endpoints that are gone have ended or will,
    /// and are left out.
    fn count(&mut self, now: Time) {
        for tally in self.tallies.values_mut() {
            (tally.slots, tally.own, tally.free) = (0, 0, 0);
        }
        for endpoint in self.endpoints.values() {
            let tally = self.tallies.entry(endpoint.listing.service.clone()).or_default();
            tally.own += endpoint.own.in_flight;
            if !endpoint.listing.leaving {
                let taken = endpoint.load(self.usage_ttl, now).in_flight;
                tally.slots += endpoint.slots();
                tally.free += endpoint.slots().saturating_sub(taken);
            }
        }
    }

    /// Deals this node its part of the free slots of every endpoint.
    ///
    /// `part` gives the part by distance, `interval` the time to the next deal; `draw` gives numbers
    /// from 0 to 1 that round it.
    pub fn allocate(
        &mut self,
        part: impl Fn(Distance) -> f64,
        interval: Duration,
        mut draw: impl FnMut() -> f64,
        now: Time,
    ) {
        self.learn_usual();
        self.part += PART_WEIGHT * (part(Distance::CrossRegion).clamp(0.0, 1.0) - self.part);
        self.count(now);
        for tally in self.tallies.values_mut() {
            tally.settle(self.part, draw());
        }
        for endpoint in self.endpoints.values_mut() {
            let free =
                endpoint.slots().saturating_sub(endpoint.load(self.usage_ttl, now).in_flight);
            let turns = endpoint.turns(interval);
            let part = part(endpoint.distance).clamp(0.0, 1.0);
            let tally = self.tallies.get(&endpoint.listing.service).copied().unwrap_or_default();
            let allocated = f64::from(free) * turns * tally.allocated_part(part);
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a part of a slot count"
            )]
            let whole = (allocated + draw()).floor() as u32;
            endpoint.allocated = whole;
        }
    }

    /// What this node has in flight.
    pub fn usage(&self) -> impl Iterator<Item = (&EndpointId, Usage)> {
        let busy = self.endpoints.iter().filter(|(_, e)| e.own != Usage::default());
        busy.map(|(id, endpoint)| (id, endpoint.own))
    }

    /// Takes over what a peer has in flight; endpoints it does not name are free of its requests.
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

    /// Forgets what a peer had in flight.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.peers.remove(peer);
        }
    }
}

//! Placement among endpoints that many nodes fill at once.
//!
//! Load pattern: short bursts of long prompts among short calls, sent by
//! several nodes that share no memory, to endpoints that differ in speed,
//! admit in order of arrival and slow down for moments without notice. Each
//! node counts its own requests exactly and takes what its peers have in
//! flight from their last digest, so that the queue inside an endpoint stays
//! empty and a request waits where it can still go elsewhere.
//!
//! The expected time to a first answer is
//! `distance + slowness × (base + unread prompt tokens × cost)`. Slowness is
//! the usual pause between the events of an endpoint's streams against the
//! median of its service, corrected for some hundred milliseconds by the pace
//! that the endpoint itself reports.
//!
//! An endpoint reads a prompt in pieces between the events of its streams. On
//! a slow endpoint a long prompt stretches the pauses of all streams beyond
//! their target, so it goes to a faster one and leaves the slot to a short one.
//!
//! What is free at an endpoint is free for every node that can see it. At each
//! digest, a node is therefore dealt a part of the free slots that follows its
//! part of the demand, and takes no more of them until the next one. A slot
//! that its own request leaves is its own again. A node that comes late, or
//! comes back, in the middle of a burst would then find every slot taken for
//! good; so a node with far less than its part says how many slots it misses,
//! those with more than their part give slots up, and it is dealt them first.
//! Nobody gives up a slot otherwise, since it stays empty for a moment. Where calls are short, a slot
//! comes free many times between two digests, and is dealt as often.
//!
//! Invariants:
//! * an endpoint that is leaving or gone is never chosen;
//! * an endpoint is never given more requests than it has slots, peers'
//!   requests included, as far as this node knows.

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};
use units::{EndpointId, InstanceId, ServiceId, Time, Tokens, ZoneId};

/// Slots of an endpoint that states none, fewer than any that states them.
const UNKNOWN_SLOTS: u32 = 4;
/// Slots that a node may take at an endpoint before the first deal; all nodes hear of it at once.
const DEALT_UNSEEN: u32 = 1;
/// Time to a first answer without its prompt, in ms: three steps of an engine.
const BASE_MS: f64 = 10.0;
/// Time to read one prompt token on an endpoint of usual speed, in ms; the engines' data sheet.
const TOKEN_MS: f64 = 1.0 / 112.0;
/// Unread prompt tokens that an endpoint is given at once, in ms of its reading time: the shortest
/// target for a first event, less the way and the step.
const UNREAD_MS: f64 = 250.0;
/// Growth of the expected time from an empty to a full endpoint, in ms; the growth of a step by a
/// full batch over some ten events, which spreads light load.
const CROWD_MS: f64 = 30.0;
/// Expected time added for each token of the longest answer on an endpoint that is twice as slow
/// as usual, in ms: long streams are more likely to have a pause beyond their target.
const OUTPUT_MS: f64 = 0.02;
/// Expected time added for an endpoint that fails every request, in ms: a second attempt after a
/// silence.
const FAILURE_MS: f64 = 1_500.0;
/// Longest stretch of a pause by reading, in usual pauses: a piece of a prompt takes five times as
/// long as the step between two pieces.
const READING_STRETCH: f64 = 5.0;
/// Part of a stream's target that a pause may be expected to take.
const PAUSE_MARGIN: f64 = 0.9;
/// Slowness up to which an endpoint takes prompts of any length: the stretch of its pauses is then
/// within the targets of the sheets.
const BRISK: f64 = 1.25;
/// Step by which the usual pause follows a longer one; it follows a shorter one by three steps, so
/// that it settles at the lower quartile, which pauses during reading do not reach.
const PAUSE_STEP: f64 = 0.02;
/// Weight of a new hold in the usual hold; settles within some twenty calls.
const HOLD_WEIGHT: f64 = 0.1;
/// Part of its fair number of slots below which a node misses some.
const HUNGRY: f64 = 0.75;
/// Part of what others miss that is given up between two deals; they hear of it after some.
const GIVEN: f64 = 0.5;
/// Weight of a new part of the demand in the usual part; settles within some ten digests.
const PART_WEIGHT: f64 = 0.15;
/// Times that a slot is dealt between two digests, at most; calls are not shorter than 5 ms.
const TURNS_MOST: f64 = 20.0;
/// Most events that one pause is divided by; more come together only after a standstill.
const PAUSE_EVENTS: f64 = 8.0;
/// Bounds of the learned slowness, beyond the speeds of the sheets (0.55 to 2.8).
const SLOWNESS: (f64, f64) = (0.3, 8.0);
/// Time in which a reported pace loses half of its weight; neighbours change it each 600 ms.
const PACE_HALF_LIFE_S: f64 = 0.3;
/// Weight of a new outcome in the rate of failures; settles within some twenty requests.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in which the rate of failures decays by half without news, so that an endpoint is tried
/// again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// First pause after an endpoint could not be reached, doubled each time; below a connection's
/// time-out.
const DOWN_MIN: Duration = Duration::from_millis(250);
/// Longest such pause; an endpoint is back some seconds after a crash.
const DOWN_MAX: Duration = Duration::from_secs(2);
/// Pause after another endpoint answered at the address: the entry lapses or changes meanwhile.
const MISPLACED: Duration = Duration::from_secs(3);
/// Time after which what a peer said of its requests is forgotten, unless another one is set: over
/// two of the usual intervals of digests, so that one may be lost.
const SHARE_TTL: Duration = Duration::from_secs(3);

/// Where an endpoint stands, seen from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    Far,
}

impl Distance {
    /// Time that the distance adds, in ms; other regions also cost a narrow, paid link.
    const fn ms(self) -> f64 {
        match self {
            Self::Zone => 0.0,
            Self::Region => 4.0,
            Self::Far => 45.0,
        }
    }
}

/// Endpoint as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Endpoint.
    pub id: EndpointId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address that it serves at.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Start of its present lifetime, in Unix milliseconds.
    pub born: Option<u64>,
}

/// Load that an endpoint reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gauge {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Duration of work at this moment, 1 being usual.
    pub pace: f64,
}

/// What a node has in flight at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests.
    pub flights: u32,
    /// Prompt tokens that have no first answer yet.
    pub unread: Tokens,
}

/// Size of a request, as far as it is known before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Prompt length.
    pub prompt: Tokens,
    /// Longest answer, as far as it is known.
    pub output: Tokens,
}

/// Request in search of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Size.
    pub demand: Demand,
    /// Endpoints that it was sent to before.
    pub avoid: &'a [EndpointId],
    /// Connections that this node may have to one endpoint.
    pub connections: u32,
    /// Longest pause of streams at the endpoint that is in time.
    pub pause: Option<Duration>,
}

/// Endpoint that was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected time to a first answer.
    pub expected: Duration,
    /// Requests in flight there, peers' included.
    pub flights: u32,
    /// Endpoints that had room.
    pub candidates: usize,
}

/// End of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered whole.
    Whole,
    /// The endpoint failed the request.
    Failed,
    /// The endpoint had no room and did not run it.
    Full,
    /// Another endpoint is at the address, and did not run it.
    Misplaced,
    /// No connection could be made.
    Unreachable,
    /// Ended by this node or its caller.
    Dropped,
}

#[derive(Debug)]
struct Endpoint {
    listing: Listing,
    distance: Distance,
    listed_at: Time,
    own: Share,
    dealt: u32,
    /// Usual time for which a request holds a slot.
    hold_ms: Option<f64>,
    peers: HashMap<InstanceId, (Share, Time)>,
    pause_ms: Option<f64>,
    pace: f64,
    pace_at: Time,
    failures: f64,
    failed_at: Time,
    down_until: Time,
    down_for: Duration,
}

impl Endpoint {
    fn new(listing: Listing, distance: Distance) -> Self {
        Self {
            listing,
            distance,
            listed_at: Time::ZERO,
            own: Share::default(),
            dealt: DEALT_UNSEEN,
            hold_ms: None,
            peers: HashMap::new(),
            pause_ms: None,
            pace: 1.0,
            pace_at: Time::ZERO,
            failures: 0.0,
            failed_at: Time::ZERO,
            down_until: Time::ZERO,
            down_for: DOWN_MIN,
        }
    }

    fn slots(&self) -> u32 {
        if self.listing.slots == 0 { UNKNOWN_SLOTS } else { self.listing.slots }
    }

    fn load(&self, ttl: Duration, now: Time) -> Share {
        let fresh = self.peers.values().filter(|(_, at)| now.since(*at) < ttl);
        fresh.fold(self.own, |sum, (share, _)| Share {
            flights: sum.flights + share.flights,
            unread: Tokens(sum.unread.0 + share.unread.0),
        })
    }

    /// Times that a free slot may be used before the next deal. Streams hold a slot for as long as
    /// they generate, which their number hides while most of them are short.
    fn turns(&self, interval: Duration) -> f64 {
        match self.hold_ms {
            Some(hold) if self.pause_ms.is_none() => {
                (interval.as_secs_f64() * 1_000.0 / hold).clamp(1.0, TURNS_MOST)
            }
            _ => 1.0,
        }
    }

    fn failure_rate(&self, now: Time) -> f64 {
        self.failures * decay(now.since(self.failed_at), FAILURE_HALF_LIFE_S)
    }

    fn pace(&self, now: Time) -> f64 {
        1.0 + (self.pace - 1.0) * decay(now.since(self.pace_at), PACE_HALF_LIFE_S)
    }

    fn note(&mut self, failed: bool, now: Time) {
        let rate = self.failure_rate(now);
        let seen = if failed { 1.0 } else { 0.0 };
        self.failures = rate + FAILURE_WEIGHT * (seen - rate);
        self.failed_at = now;
    }

    fn back_off(&mut self, now: Time) {
        self.down_until = now + self.down_for;
        self.down_for = (self.down_for * 2).min(DOWN_MAX);
    }
}

fn decay(age: Duration, half_life_s: f64) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life_s)
}

/// Whether the streams at an endpoint keep their pauses while it reads.
fn keeps_pauses(endpoint: &Endpoint, ask: &Ask<'_>, reading_ms: f64) -> bool {
    let (Some(target), Some(usual)) = (ask.pause, endpoint.pause_ms) else { return true };
    let expected = usual + reading_ms.min(READING_STRETCH * usual);
    expected <= PAUSE_MARGIN * target.as_secs_f64() * 1_000.0
}

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn tokens(count: Tokens) -> f64 {
    count.0 as f64
}

/// Endpoints of all services, with what this node believes of each.
#[derive(Debug)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    usual_ms: HashMap<ServiceId, f64>,
    share_ttl: Duration,
    /// Usual part of this node in the demand of all.
    part: f64,
    tallies: HashMap<ServiceId, Tally>,
}

/// Slots of a service, from this node's point of view.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    /// All of them, at the last deal.
    slots: u32,
    /// Those that this node holds.
    own: u32,
    /// Those that nobody holds, at the last deal.
    free: u32,
    /// Requests wait here.
    waits: bool,
    /// Slots that this node misses.
    missing: u32,
    /// Slots that other nodes miss.
    missing_elsewhere: u32,
    /// Slots that this node gives up until the next deal.
    to_give: u32,
}

impl Tally {
    /// Part of the free slots that goes first to those who miss some.
    fn reserved(&self) -> f64 {
        let missing = f64::from(self.missing + self.missing_elsewhere);
        (missing / f64::from(self.free.max(1))).min(1.0)
    }

    /// Part of the free slots that this node is dealt, `part` being its part of the demand.
    fn dealt_part(&self, part: f64) -> f64 {
        let reserved = self.reserved();
        if reserved <= 0.0 {
            return part;
        }
        let missing = f64::from(self.missing + self.missing_elsewhere);
        part * (1.0 - reserved) + reserved * f64::from(self.missing) / missing
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            endpoints: BTreeMap::new(),
            usual_ms: HashMap::new(),
            share_ttl: SHARE_TTL,
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
    pub fn set_share_ttl(&mut self, ttl: Duration) {
        self.share_ttl = ttl.max(SHARE_TTL);
    }

    /// Takes over a listing; true when it changes what is believed.
    pub fn list(&mut self, listing: Listing, distance: Distance, now: Time) -> bool {
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
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.endpoints.values().any(|e| e.listing.service == *service && !e.listing.leaving)
    }

    /// Free slots and all slots of a service.
    #[must_use]
    pub fn room(&self, service: &ServiceId, now: Time) -> Room {
        let mut room = Room::default();
        for endpoint in self.endpoints.values() {
            if endpoint.listing.service != *service || endpoint.listing.leaving {
                continue;
            }
            room.slots += endpoint.slots();
            room.free +=
                endpoint.slots().saturating_sub(endpoint.load(self.share_ttl, now).flights);
        }
        room
    }

    /// Endpoint with the earliest expected answer among those with room.
    #[must_use]
    pub fn pick(&self, ask: &Ask<'_>, now: Time) -> Option<Choice> {
        let usable = self.endpoints.values().filter(|e| self.has_room(e, ask, now));
        let mut best: Option<(f64, &Endpoint)> = None;
        let mut candidates = 0;
        for endpoint in usable {
            candidates += 1;
            let avoided = ask.avoid.contains(&endpoint.listing.id);
            let cost = self.cost(endpoint, ask, now) + if avoided { FAILURE_MS } else { 0.0 };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, endpoint));
            }
        }
        best.map(|(cost, endpoint)| Choice {
            endpoint: endpoint.listing.id.clone(),
            address: endpoint.listing.address,
            expected: Duration::from_secs_f64(cost / 1_000.0),
            flights: endpoint.load(self.share_ttl, now).flights,
            candidates,
        })
    }

    fn has_room(&self, endpoint: &Endpoint, ask: &Ask<'_>, now: Time) -> bool {
        let listing = &endpoint.listing;
        if listing.service != *ask.service || listing.leaving || now < endpoint.down_until {
            return false;
        }
        let load = endpoint.load(self.share_ttl, now);
        if load.flights >= endpoint.slots()
            || endpoint.dealt == 0
            || endpoint.own.flights >= ask.connections
        {
            return false;
        }
        let unread = tokens(load.unread);
        let slowness = self.slowness(endpoint);
        let reading_ms = (unread + tokens(ask.demand.prompt)) * TOKEN_MS * slowness;
        (unread <= 0.0 || reading_ms <= UNREAD_MS)
            && (slowness <= BRISK || keeps_pauses(endpoint, ask, reading_ms))
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

    fn cost(&self, endpoint: &Endpoint, ask: &Ask<'_>, now: Time) -> f64 {
        let load = endpoint.load(self.share_ttl, now);
        let slowness = self.slowness(endpoint) * endpoint.pace(now);
        let prompt = tokens(ask.demand.prompt);
        let reading = (tokens(load.unread) + prompt) * TOKEN_MS;
        let crowd = CROWD_MS * f64::from(load.flights) / f64::from(endpoint.slots());
        let generating = (self.slowness(endpoint) - 1.0).max(0.0) * tokens(ask.demand.output);
        endpoint.distance.ms()
            + slowness * (BASE_MS + reading + crowd)
            + generating * OUTPUT_MS
            + FAILURE_MS * endpoint.failure_rate(now)
    }

    /// Notes a request that is being sent.
    pub fn begin(&mut self, id: &EndpointId, demand: Demand) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own.flights += 1;
            self.tallies.entry(endpoint.listing.service.clone()).or_default().own += 1;
            endpoint.dealt = endpoint.dealt.saturating_sub(1);
            endpoint.own.unread.0 += demand.prompt.0;
        }
    }

    /// Notes the first answer of a request: its prompt has been read.
    pub fn first(&mut self, id: &EndpointId, demand: Demand) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own.unread.0 = endpoint.own.unread.0.saturating_sub(demand.prompt.0);
            endpoint.down_for = DOWN_MIN;
        }
    }

    /// Learns from the pause before some events of a stream.
    pub fn pause(&mut self, id: &EndpointId, pause: Duration, events: u32) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let seen = pause.as_secs_f64() * 1_000.0 / f64::from(events.max(1)).min(PAUSE_EVENTS);
        let usual = endpoint.pause_ms.unwrap_or(seen);
        let step = if seen < usual { -3.0 * PAUSE_STEP } else { PAUSE_STEP };
        endpoint.pause_ms = Some(usual * (1.0 + step));
    }

    /// Takes over a report that came with an answer.
    pub fn gauge(&mut self, id: &EndpointId, gauge: Gauge, now: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.pace = gauge.pace.clamp(SLOWNESS.0, SLOWNESS.1);
            endpoint.pace_at = now;
        }
    }

    /// Learns for how long an answer held its slot.
    pub fn hold(&mut self, id: &EndpointId, hold: Duration) {
        let seen = hold.as_secs_f64() * 1_000.0;
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let usual = endpoint.hold_ms.unwrap_or(seen);
            endpoint.hold_ms = Some(usual + HOLD_WEIGHT * (seen - usual));
        }
    }

    /// Notes the end of a request; `read` says whether its first answer had come.
    pub fn end(
        &mut self,
        id: &EndpointId,
        demand: Demand,
        read: bool,
        outcome: Outcome,
        now: Time,
    ) {
        if !read {
            self.first(id, demand);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.own.flights = endpoint.own.flights.saturating_sub(1);
        let tally = self.tallies.entry(endpoint.listing.service.clone()).or_default();
        tally.own = tally.own.saturating_sub(1);
        if tally.to_give > 0 {
            tally.to_give -= 1;
        } else {
            endpoint.dealt += 1;
        }
        match outcome {
            Outcome::Whole => endpoint.note(false, now),
            Outcome::Failed => endpoint.note(true, now),
            Outcome::Full => endpoint.down_until = now + DOWN_MIN / 5,
            Outcome::Misplaced => endpoint.down_until = now + MISPLACED,
            Outcome::Unreachable => endpoint.back_off(now),
            Outcome::Dropped => {}
        }
    }

    /// States whether requests wait here for a service, and how many slots other nodes miss.
    pub fn set_wants(&mut self, service: &ServiceId, waits: bool, missing_elsewhere: u32) {
        let tally = self.tallies.entry(service.clone()).or_default();
        tally.waits = waits;
        tally.missing_elsewhere = missing_elsewhere;
    }

    /// Slots of a service that this node misses.
    #[must_use]
    pub fn missing(&self, service: &ServiceId) -> u32 {
        self.tallies.get(service).map_or(0, |tally| tally.missing)
    }

    /// Counts the slots of all services. Requests of endpoints that are gone have ended or will,
    /// and are left out.
    fn count(&mut self, now: Time) {
        for tally in self.tallies.values_mut() {
            (tally.slots, tally.own, tally.free) = (0, 0, 0);
        }
        for endpoint in self.endpoints.values() {
            let tally = self.tallies.entry(endpoint.listing.service.clone()).or_default();
            tally.own += endpoint.own.flights;
            if !endpoint.listing.leaving {
                let taken = endpoint.load(self.share_ttl, now).flights;
                tally.slots += endpoint.slots();
                tally.free += endpoint.slots().saturating_sub(taken);
            }
        }
    }

    /// Decides for each service what this node misses and what it gives up.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "parts of slot counts"
    )]
    fn settle(&mut self, mut draw: impl FnMut() -> f64) {
        for tally in self.tallies.values_mut() {
            let fair = self.part * f64::from(tally.slots);
            let own = f64::from(tally.own);
            let missing = if tally.waits { (HUNGRY * fair - own).max(0.0) } else { 0.0 };
            tally.missing = missing as u32;
            let given = GIVEN * f64::from(tally.missing_elsewhere) * own / f64::from(tally.slots);
            let given = if own > fair { (given + draw()).floor() } else { 0.0 };
            tally.to_give = given as u32;
        }
    }

    /// Deals this node its part of the free slots of every endpoint.
    ///
    /// `part` gives the part by distance, `interval` the time to the next deal; `draw` gives numbers
    /// from 0 to 1 that round it.
    pub fn deal(
        &mut self,
        part: impl Fn(Distance) -> f64,
        interval: Duration,
        mut draw: impl FnMut() -> f64,
        now: Time,
    ) {
        self.learn_usual();
        self.part += PART_WEIGHT * (part(Distance::Far).clamp(0.0, 1.0) - self.part);
        self.count(now);
        self.settle(&mut draw);
        for endpoint in self.endpoints.values_mut() {
            let free = endpoint.slots().saturating_sub(endpoint.load(self.share_ttl, now).flights);
            let turns = endpoint.turns(interval);
            let part = part(endpoint.distance).clamp(0.0, 1.0);
            let tally = self.tallies.get(&endpoint.listing.service).copied().unwrap_or_default();
            let dealt = f64::from(free) * turns * tally.dealt_part(part);
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a part of a slot count"
            )]
            let whole = (dealt + draw()).floor() as u32;
            endpoint.dealt = whole;
        }
    }

    /// What this node has in flight.
    pub fn shares(&self) -> impl Iterator<Item = (&EndpointId, Share)> {
        let busy = self.endpoints.iter().filter(|(_, e)| e.own != Share::default());
        busy.map(|(id, endpoint)| (id, endpoint.own))
    }

    /// Takes over what a peer has in flight; endpoints it does not name are free of its requests.
    pub fn hear(&mut self, peer: &InstanceId, shares: &HashMap<EndpointId, Share>, now: Time) {
        for (id, endpoint) in &mut self.endpoints {
            match shares.get(id) {
                Some(share) => {
                    endpoint.peers.insert(peer.clone(), (*share, now));
                }
                None => {
                    endpoint.peers.remove(peer);
                }
            }
        }
    }

    /// Forgets what a peer had in flight.
    pub fn forget(&mut self, peer: &InstanceId) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.peers.remove(peer);
        }
    }
}

/// Slots of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Slots without a request.
    pub free: u32,
    /// All slots.
    pub slots: u32,
}

//! One cell of endpoints, as its owner keeps it.
//!
//! All state here is soft. After the owner's death the holders register their
//! waiting requests with the next owner and tell it which permits they use;
//! until they have, the endpoints' load reports stand in for those permits.
//!
//! A holder repeats a registration until it is answered. When the request was
//! granted already, the grant was lost or is on its way: the same grant is sent
//! again, so that a lost message costs no second permit.

use crate::{
    fair::Queue,
    job::{Grant, Job, Outcome, Reason, RunnerUp, Shed},
    placement::Demand,
    prefix::Cache,
    route::CellId,
    window::{Change, Window},
};
use codes::Code;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};
use units::{
    EndpointId, Fingerprint, InstanceId, OrganisationId, Permit, RequestId, Time, Tokens, Work,
};

/// Time after taking over during which load reports stand in for unknown permits.
const TAKEOVER: Duration = Duration::from_secs(3);
/// Suspect jobs that may be passed over in one search.
const MAX_PASSED: usize = 16;
/// Length of a bucket in which granted work is counted.
const PACE_BUCKET: Duration = Duration::from_millis(250);
/// Runners-up that a grant names.
const RUNNERS_UP: usize = 2;
/// Requests with the same fingerprint in flight before one of them was answered whole.
const MAX_TWINS: u32 = 2;
/// Fingerprints that are remembered as answered whole.
const MAX_PROVEN: usize = 1024;
/// Age of a grant without an answer at which a repeated registration gets it again.
const REGRANT_AFTER: Duration = Duration::from_millis(200);
/// Part of the expected time to the answer's end that must fit before the deadline.
const DEADLINE_MARGIN: f64 = 0.8;

/// Limits of a cell's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Most requests that wait.
    pub max_waiting: usize,
    /// Most work that waits, as time at the measured pace.
    pub max_backlog: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self { max_waiting: 10_000, max_backlog: Duration::from_millis(1500) }
    }
}

/// Load report of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
}

/// What a round of decisions produced.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Rights to send, in order.
    pub grants: Vec<Grant>,
    /// Refusals.
    pub sheds: Vec<Shed>,
}

#[derive(Debug, Default)]
struct Slot {
    window: Window,
    cache: Cache,
    leaving: bool,
    suspects: u32,
}

#[derive(Debug)]
struct Use {
    request: RequestId,
    fingerprint: Fingerprint,
    endpoint: EndpointId,
    holder: InstanceId,
    organisation: OrganisationId,
    prompt: Tokens,
    charged: Work,
    suspect: bool,
}

impl Use {
    fn new(job: &Job, holder: &InstanceId, endpoint: &EndpointId) -> Self {
        Self {
            request: job.request,
            fingerprint: job.fingerprint,
            endpoint: endpoint.clone(),
            holder: holder.clone(),
            organisation: job.organisation.clone(),
            prompt: job.prompt,
            charged: job.work(),
            suspect: job.suspect,
        }
    }
}

#[derive(Debug, Default)]
struct Pace {
    bucket: Time,
    granted: u64,
    starved: bool,
    rate: Option<f64>,
}

/// Owner's view of a cell.
#[derive(Debug)]
pub struct Cell {
    id: CellId,
    config: Config,
    queue: Queue,
    slots: BTreeMap<EndpointId, Slot>,
    uses: BTreeMap<Permit, Use>,
    unanswered: HashMap<RequestId, (Grant, Time)>,
    repeats: Vec<Grant>,
    twins: HashMap<Fingerprint, u32>,
    proven: VecDeque<Fingerprint>,
    next_permit: u64,
    taken: Time,
    pace: Pace,
}

struct Candidate<'a> {
    endpoint: &'a EndpointId,
    expected: Duration,
    cached: Tokens,
}

impl Cell {
    /// Cell taken over at `now`; permits are numbered from `first_permit`.
    #[must_use]
    pub fn new(id: CellId, config: Config, first_permit: u64, now: Time) -> Self {
        Self {
            id,
            config,
            queue: Queue::new(),
            slots: BTreeMap::new(),
            uses: BTreeMap::new(),
            unanswered: HashMap::new(),
            repeats: Vec::new(),
            twins: HashMap::new(),
            proven: VecDeque::new(),
            next_permit: first_permit,
            taken: now,
            pace: Pace { bucket: now, ..Pace::default() },
        }
    }

    /// Name of the cell.
    #[must_use]
    pub const fn id(&self) -> &CellId {
        &self.id
    }

    /// Requests waiting.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Permits in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.uses.len()
    }

    /// Endpoints with their permits in use and window limits.
    pub fn windows(&self) -> impl Iterator<Item = (&EndpointId, usize, f64)> {
        self.slots.iter().map(|(id, slot)| (id, slot.window.in_flight(), slot.window.limit()))
    }

    /// Time that the waiting work takes at the measured pace.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        match self.pace.rate {
            Some(rate) if rate > 0.0 => {
                Duration::from_secs_f64((self.queue.work().0 as f64 / rate).min(3600.0))
            }
            _ => Duration::ZERO,
        }
    }

    /// Demand for the cell, for placement.
    #[must_use]
    pub fn demand(&self) -> Demand {
        let capacity =
            self.slots.values().filter(|slot| !slot.leaving).map(|s| s.window.limit()).sum();
        let backlog = if self.queue.is_empty() { Duration::ZERO } else { self.backlog() };
        Demand { service: self.id.service.clone(), backlog, in_use: self.uses.len(), capacity }
    }

    /// Sets the cell's endpoints; what is known of those that stay is kept.
    pub fn set_endpoints(&mut self, endpoints: &[EndpointId]) {
        self.slots.retain(|id, _| endpoints.contains(id));
        for id in endpoints {
            self.slots.entry(id.clone()).or_default();
        }
    }

    /// Sets whether an endpoint is leaving.
    pub fn set_leaving(&mut self, endpoint: &EndpointId, leaving: bool) {
        if let Some(slot) = self.slots.get_mut(endpoint) {
            slot.leaving = leaving;
        }
    }

    /// Adds a job to the queue and sheds what exceeds its limits, lowest tier first.
    pub fn register(&mut self, job: Job, now: Time) -> Vec<Shed> {
        if self.repeat_grant(job.request, now) {
            return Vec::new();
        }
        self.queue.push(job);
        let mut sheds = Vec::new();
        while self.is_over_limit() {
            let Some(victim) = self.queue.victim().map(|job| job.request) else {
                break;
            };
            let lowest = self.queue.lowest_tier();
            if let Some(job) = self.queue.remove(victim) {
                assert_eq!(Some(job.rank), lowest, "a higher tier was shed before a lower one");
                sheds.push(shed(&job, Code::QueueFull));
            }
        }
        sheds
    }

    /// Repeats an unanswered grant of this request; false when there is none to repeat.
    fn repeat_grant(&mut self, request: RequestId, now: Time) -> bool {
        let Some((grant, at)) = self.unanswered.get_mut(&request) else {
            return false;
        };
        if self.slots.get(&grant.endpoint).is_none_or(|slot| slot.leaving) {
            let permit = grant.permit;
            self.release(permit, Outcome::Returned, now);
            return false;
        }
        if now.since(*at) > REGRANT_AFTER {
            *at = now;
            if let Some(slot) = self.slots.get_mut(&grant.endpoint) {
                slot.window.restart_timer(grant.permit, now);
            }
            self.repeats.push(grant.clone());
        }
        true
    }

    fn is_over_limit(&self) -> bool {
        if self.queue.len() > self.config.max_waiting {
            return true;
        }
        let few = 2 * self.slots.len().max(1);
        self.queue.len() > few && self.backlog() > self.config.max_backlog
    }

    /// Takes a job out of the queue.
    pub fn cancel(&mut self, request: RequestId) {
        self.queue.remove(request);
    }

    /// Whether the request waits here.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.queue.contains(request) || self.unanswered.contains_key(&request)
    }

    /// Grants what the windows have room for and refuses what cannot end in time.
    pub fn decide(&mut self, now: Time) -> Decisions {
        let mut grants = std::mem::take(&mut self.repeats);
        grants.retain(|grant| self.slots.get(&grant.endpoint).is_some_and(|slot| !slot.leaving));
        let mut decisions = Decisions { grants, sheds: Vec::new() };
        for request in self.queue.expired(now) {
            if let Some(job) = self.queue.remove(request) {
                decisions.sheds.push(shed(&job, Code::DeadlineUnmeetable));
            }
        }
        while self.grant_next(now, &mut decisions) {}
        self.close_bucket(now);
        decisions
    }

    /// Grants or refuses one job; false when nothing can be placed now.
    fn grant_next(&mut self, now: Time, decisions: &mut Decisions) -> bool {
        let Some((request, choice)) = self.next_placement(now) else {
            return false;
        };
        let Some(choice) = choice else {
            if let Some(job) = self.queue.remove(request) {
                decisions.sheds.push(shed(&job, Code::DeadlineUnmeetable));
            }
            return true;
        };
        let Some(job) = self.queue.serve(request) else {
            return false;
        };
        self.pace.granted += job.work().0;
        decisions.grants.push(self.issue(&job, choice, now));
        true
    }

    /// First job in order that can be placed, and where; without a place it is too late for it.
    fn next_placement(&self, now: Time) -> Option<(RequestId, Option<Choice>)> {
        for (passed, job) in self.queue.heads().enumerate() {
            let (candidates, isolated) = self.candidates(job, now);
            if let Some(choice) = choose(&candidates) {
                let needed = choice.expected.mul_f64(DEADLINE_MARGIN);
                let in_time = now + needed <= job.deadline;
                return Some((job.request, in_time.then_some(choice)));
            }
            // A job that only waits for room must not be overtaken by a smaller one.
            if !isolated || passed == MAX_PASSED {
                return None;
            }
        }
        None
    }

    /// Endpoints with room for the job, and whether only isolation stands in its way.
    fn candidates(&self, job: &Job, now: Time) -> (Vec<Candidate<'_>>, bool) {
        if self.is_unproven(job.fingerprint) {
            return (Vec::new(), true);
        }
        let mut isolated = false;
        let mut candidates = Vec::with_capacity(self.slots.len());
        for (endpoint, slot) in &self.slots {
            if slot.leaving {
                continue;
            }
            let cached = slot.cache.longest_match(&job.prefixes);
            let uncached = Tokens(job.prompt.0.saturating_sub(cached.0));
            if !slot.window.has_room(uncached, now) {
                continue;
            }
            if job.suspect && slot.suspects > 0 {
                isolated = true;
                continue;
            }
            let output = u32::try_from(job.output.0).unwrap_or(u32::MAX);
            let first = slot.window.expected_first(uncached, now);
            let answer = (slot.window.gap() * output).mul_f64(slot.window.crowding());
            let expected = first + answer;
            candidates.push(Candidate { endpoint, expected, cached });
        }
        (candidates, isolated)
    }

    /// Whether as many requests of this kind are in flight as one poison request may cost.
    fn is_unproven(&self, fingerprint: Fingerprint) -> bool {
        let twins = self.twins.get(&fingerprint).copied().unwrap_or(0);
        twins >= MAX_TWINS && !self.proven.contains(&fingerprint)
    }

    fn count_twin(&mut self, fingerprint: Fingerprint) {
        *self.twins.entry(fingerprint).or_default() += 1;
    }

    fn uncount_twin(&mut self, fingerprint: Fingerprint, whole: bool) {
        if let Some(twins) = self.twins.get_mut(&fingerprint) {
            *twins -= 1;
            if *twins == 0 {
                self.twins.remove(&fingerprint);
            }
        }
        // Only kinds that come more than once are worth remembering.
        if whole && self.twins.contains_key(&fingerprint) && !self.proven.contains(&fingerprint) {
            self.proven.push_back(fingerprint);
            if self.proven.len() > MAX_PROVEN {
                self.proven.pop_front();
            }
        }
    }

    fn issue(&mut self, job: &Job, choice: Choice, now: Time) -> Grant {
        self.next_permit = self.next_permit.wrapping_add(1);
        let permit = Permit(self.next_permit);
        if let Some(slot) = self.slots.get_mut(&choice.endpoint) {
            assert!(!slot.leaving, "a leaving endpoint was granted");
            let uncached = Tokens(job.prompt.0.saturating_sub(choice.cached.0));
            slot.window.record_grant(permit, uncached, now);
            slot.cache.insert(&job.prefixes);
            slot.suspects += u32::from(job.suspect);
        }
        let used = Use::new(job, &job.holder, &choice.endpoint);
        self.uses.insert(permit, used);
        self.count_twin(job.fingerprint);
        let grant = Grant {
            request: job.request,
            holder: job.holder.clone(),
            permit,
            endpoint: choice.endpoint,
            reason: choice.reason,
            runners_up: choice.runners_up,
        };
        self.unanswered.insert(job.request, (grant.clone(), now));
        grant
    }

    fn close_bucket(&mut self, now: Time) {
        self.pace.starved |= self.queue.is_empty();
        let span = now.since(self.pace.bucket);
        if span < PACE_BUCKET {
            return;
        }
        let seen = self.pace.granted as f64 / span.as_secs_f64();
        if !self.pace.starved {
            let rate = self.pace.rate.unwrap_or(seen);
            self.pace.rate = Some(rate + 0.3 * (seen - rate));
        } else if self.pace.rate.is_some_and(|rate| seen > rate) {
            self.pace.rate = Some(seen);
        }
        self.pace.bucket = now;
        self.pace.granted = 0;
        self.pace.starved = self.queue.is_empty();
        self.queue.prune();
    }

    /// Notes a first token.
    pub fn record_first_token(
        &mut self,
        permit: Permit,
        took: Duration,
        now: Time,
    ) -> Option<(EndpointId, Change)> {
        let used = self.uses.get(&permit)?;
        let endpoint = used.endpoint.clone();
        self.unanswered.remove(&used.request);
        let slot = self.slots.get_mut(&endpoint)?;
        slot.window.mark_reachable();
        let change = slot.window.record_first_token(permit, took, now)?;
        Some((endpoint, change))
    }

    /// Notes that running answers of an endpoint are `ratio` times slower than usual.
    pub fn record_slowdown(
        &mut self,
        endpoint: &EndpointId,
        ratio: f64,
        now: Time,
    ) -> Option<Change> {
        self.slots.get_mut(endpoint)?.window.record_slowdown(ratio, now)
    }

    /// Takes back a permit.
    pub fn release(
        &mut self,
        permit: Permit,
        outcome: Outcome,
        now: Time,
    ) -> Option<(EndpointId, Change)> {
        let used = self.uses.remove(&permit)?;
        self.answered(used.request, permit);
        self.uncount_twin(used.fingerprint, matches!(outcome, Outcome::Completed { .. }));
        let actual = match outcome {
            Outcome::Completed { output, .. } => Work::of(used.prompt, output),
            Outcome::Cancelled | Outcome::Interrupted => used.charged,
            Outcome::Unreachable | Outcome::Declined | Outcome::Returned => Work(0),
        };
        self.queue.correct(&used.organisation, used.charged, actual);
        let slot = self.slots.get_mut(&used.endpoint)?;
        slot.window.release(permit);
        slot.suspects = slot.suspects.saturating_sub(u32::from(used.suspect));
        let change = match outcome {
            Outcome::Completed { gap_us, .. } => {
                slot.window.mark_reachable();
                slot.window.record_token_gap(gap_us, now)
            }
            Outcome::Unreachable | Outcome::Interrupted => {
                slot.window.mark_unreachable(now);
                slot.cache.clear();
                Some(Change::Reduced)
            }
            Outcome::Declined => {
                slot.leaving = true;
                None
            }
            Outcome::Cancelled | Outcome::Returned => None,
        };
        Some((used.endpoint, change?))
    }

    /// Learns that a permit of this cell is still in use.
    pub fn renew(&mut self, permit: Permit, now: Time) {
        let Some(used) = self.uses.get(&permit) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&used.endpoint) {
            slot.window.renew(permit, now);
        }
        self.unanswered.remove(&used.request);
    }

    /// Notes that a grant arrived, unless its request has a newer one.
    fn answered(&mut self, request: RequestId, permit: Permit) {
        let newest = self.unanswered.get(&request).map(|(grant, _)| grant.permit);
        if newest == Some(permit) {
            self.unanswered.remove(&request);
        }
    }

    /// Takes over a permit that a former owner granted to `holder`.
    pub fn adopt(
        &mut self,
        holder: &InstanceId,
        job: &Job,
        permit: Permit,
        endpoint: &EndpointId,
        now: Time,
    ) {
        if self.uses.contains_key(&permit) {
            self.renew(permit, now);
            return;
        }
        let Some(slot) = self.slots.get_mut(endpoint) else {
            return;
        };
        slot.window.adopt(permit, now);
        slot.cache.insert(&job.prefixes);
        slot.suspects += u32::from(job.suspect);
        let used = Use::new(job, holder, endpoint);
        self.uses.insert(permit, used);
        self.count_twin(job.fingerprint);
    }

    /// Corrects an endpoint's window by its load report.
    pub fn record_load(&mut self, endpoint: &EndpointId, load: Load, now: Time) {
        let fresh = now.since(self.taken) < TAKEOVER;
        if let Some(slot) = self.slots.get_mut(endpoint) {
            slot.window.record_load(load.running + load.waiting, fresh);
        }
    }

    /// Drops the jobs and permits of a gateway that died.
    pub fn drop_holder(&mut self, holder: &InstanceId, now: Time) {
        self.queue.retain(|job| job.holder != *holder);
        let orphaned: Vec<Permit> =
            self.uses.iter().filter(|(_, used)| used.holder == *holder).map(|(p, _)| *p).collect();
        for permit in orphaned {
            self.release(permit, Outcome::Cancelled, now);
        }
    }

    /// Takes back permits without news.
    pub fn reclaim(&mut self, now: Time) {
        let idle: Vec<Permit> =
            self.slots.values().flat_map(|slot| slot.window.idle(now)).collect();
        for permit in idle {
            self.release(permit, Outcome::Cancelled, now);
        }
    }
}

struct Choice {
    endpoint: EndpointId,
    expected: Duration,
    cached: Tokens,
    reason: Reason,
    runners_up: Box<[RunnerUp]>,
}

fn choose(candidates: &[Candidate<'_>]) -> Option<Choice> {
    let mut ranked: Vec<&Candidate<'_>> = candidates.iter().collect();
    ranked.sort_by_key(|candidate| candidate.expected);
    let (best, rest) = ranked.split_first()?;
    let reason = match rest.first() {
        None => Reason::OnlyRoom,
        Some(next) if best.cached > next.cached => Reason::CachedPrefix,
        Some(_) => Reason::EarliestEnd,
    };
    let runners_up = rest
        .iter()
        .take(RUNNERS_UP)
        .map(|c| RunnerUp { endpoint: c.endpoint.clone(), expected: c.expected })
        .collect();
    Some(Choice {
        endpoint: best.endpoint.clone(),
        expected: best.expected,
        cached: best.cached,
        reason,
        runners_up,
    })
}

fn shed(job: &Job, code: Code) -> Shed {
    Shed { request: job.request, holder: job.holder.clone(), code }
}

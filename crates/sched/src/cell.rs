//! One cell of endpoints, as managed by its owner.
//!
//! All state here is soft. After the owner fails, the holders register their
//! waiting requests with the next owner and report the permits that they use.
//! Until they have done so, the endpoints' load reports account for those
//! permits.
//!
//! A holder resends a registration until it gets a grant or a rejection. When
//! the request has been granted already, the grant was lost or is still in
//! transit: the same grant is sent again, so that a lost message does not use a
//! second permit.

use crate::{
    fair::{LOWEST_RANK, Queue},
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

/// Time after a takeover during which load reports account for permits not yet reported.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(3);
/// Held-back jobs that one search may skip.
const MAX_SKIPPED: usize = 16;
/// Interval over which granted work is measured.
const THROUGHPUT_INTERVAL: Duration = Duration::from_millis(250);
/// Runners-up that a grant lists.
const RUNNERS_UP: usize = 2;
/// Requests with the same fingerprint that may be in flight before one of them has completed.
const MAX_UNPROVEN_DUPLICATES: u32 = 2;
/// Fingerprints that are remembered as completed.
const MAX_PROVEN: usize = 1024;
/// Age of an unconfirmed grant from which a repeated registration gets it again.
const RESEND_AFTER: Duration = Duration::from_millis(200);
/// Fraction of the expected time to completion that must fit before the deadline.
const DEADLINE_MARGIN: f64 = 0.8;

/// Limits of a cell's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Requests that may wait.
    pub max_waiting: usize,
    /// Work that may wait, as time at the measured throughput.
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
    /// Requests queued inside the engine.
    pub waiting: u32,
}

/// Result of a scheduling round.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Grants, in order.
    pub grants: Vec<Grant>,
    /// Rejections.
    pub sheds: Vec<Shed>,
}

#[derive(Debug, Default)]
struct Endpoint {
    window: Window,
    cache: Cache,
    leaving: bool,
    suspects: u32,
}

#[derive(Debug)]
struct Allocation {
    request: RequestId,
    fingerprint: Fingerprint,
    endpoint: EndpointId,
    holder: InstanceId,
    organisation: OrganisationId,
    prompt: Tokens,
    charged: Work,
    suspect: bool,
}

impl Allocation {
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
struct Throughput {
    interval_start: Time,
    granted: u64,
    was_empty: bool,
    rate: Option<f64>,
}

/// State of a cell at its owner.
#[derive(Debug)]
pub struct Cell {
    id: CellId,
    config: Config,
    queue: Queue,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    active_permits: BTreeMap<Permit, Allocation>,
    unconfirmed_grants: HashMap<RequestId, (Grant, Time)>,
    resends: Vec<Grant>,
    duplicates: HashMap<Fingerprint, u32>,
    proven: VecDeque<Fingerprint>,
    next_permit: u64,
    taken_over_at: Time,
    throughput: Throughput,
}

struct Candidate<'a> {
    endpoint: &'a EndpointId,
    expected: Duration,
    cached: Tokens,
}

impl Cell {
    /// Cell taken over at `now`; permits are numbered from `permit_base + 1`.
    #[must_use]
    pub fn new(id: CellId, config: Config, permit_base: u64, now: Time) -> Self {
        Self {
            id,
            config,
            queue: Queue::new(),
            endpoints: BTreeMap::new(),
            active_permits: BTreeMap::new(),
            unconfirmed_grants: HashMap::new(),
            resends: Vec::new(),
            duplicates: HashMap::new(),
            proven: VecDeque::new(),
            next_permit: permit_base,
            taken_over_at: now,
            throughput: Throughput { interval_start: now, ..Throughput::default() },
        }
    }

    /// Id of the cell.
    #[must_use]
    pub const fn id(&self) -> &CellId {
        &self.id
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of permits in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.active_permits.len()
    }

    /// Endpoints with their requests in flight and window limits.
    pub fn windows(&self) -> impl Iterator<Item = (&EndpointId, usize, f64)> {
        self.endpoints
            .iter()
            .map(|(id, state)| (id, state.window.in_flight(), state.window.limit()))
    }

    /// Time to serve the waiting work at the measured throughput; at most one hour.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        match self.throughput.rate {
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
            self.endpoints.values().filter(|state| !state.leaving).map(|s| s.window.limit()).sum();
        let backlog = if self.queue.is_empty() { Duration::ZERO } else { self.backlog() };
        Demand {
            service: self.id.service.clone(),
            backlog,
            in_use: self.active_permits.len(),
            capacity,
        }
    }

    /// Sets the cell's endpoints; keeps the state of those that remain.
    pub fn set_endpoints(&mut self, endpoints: &[EndpointId]) {
        self.endpoints.retain(|id, _| endpoints.contains(id));
        for id in endpoints {
            self.endpoints.entry(id.clone()).or_default();
        }
    }

    /// Sets whether an endpoint is leaving.
    pub fn set_leaving(&mut self, endpoint: &EndpointId, leaving: bool) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.leaving = leaving;
        }
    }

    /// Adds a job to the queue and sheds jobs beyond its limits, lowest tier first.
    pub fn register(&mut self, mut job: Job, now: Time) -> Vec<Shed> {
        // A peer's frame may contain any number; tiers beyond the last count as the last.
        job.rank = job.rank.min(LOWEST_RANK);
        if self.resend_grant(job.request, now) {
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

    /// Sends an unconfirmed grant of this request again; false if there is none.
    fn resend_grant(&mut self, request: RequestId, now: Time) -> bool {
        let Some((grant, at)) = self.unconfirmed_grants.get_mut(&request) else {
            return false;
        };
        if self.endpoints.get(&grant.endpoint).is_none_or(|state| state.leaving) {
            let permit = grant.permit;
            self.release(permit, Outcome::Returned, now);
            return false;
        }
        if now.since(*at) > RESEND_AFTER {
            *at = now;
            if let Some(state) = self.endpoints.get_mut(&grant.endpoint) {
                state.window.restart_timer(grant.permit, now);
            }
            self.resends.push(grant.clone());
        }
        true
    }

    fn is_over_limit(&self) -> bool {
        if self.queue.len() > self.config.max_waiting {
            return true;
        }
        let min_queue = 2 * self.endpoints.len().max(1);
        self.queue.len() > min_queue && self.backlog() > self.config.max_backlog
    }

    /// Removes a job from the queue.
    pub fn cancel(&mut self, request: RequestId) {
        self.queue.remove(request);
    }

    /// Whether the request waits here or has an unconfirmed grant.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.queue.contains(request) || self.unconfirmed_grants.contains_key(&request)
    }

    /// Grants jobs while the windows have capacity, and rejects jobs that cannot complete in time.
    pub fn decide(&mut self, now: Time) -> Decisions {
        let mut grants = std::mem::take(&mut self.resends);
        grants.retain(|grant| {
            self.endpoints.get(&grant.endpoint).is_some_and(|state| !state.leaving)
        });
        let mut decisions = Decisions { grants, sheds: Vec::new() };
        for request in self.queue.expired(now) {
            if let Some(job) = self.queue.remove(request) {
                decisions.sheds.push(shed(&job, Code::DeadlineUnmeetable));
            }
        }
        while self.grant_next(now, &mut decisions) {}
        self.update_throughput(now);
        decisions
    }

    /// Grants or rejects one job; false when no job can be placed now.
    fn grant_next(&mut self, now: Time, decisions: &mut Decisions) -> bool {
        let Some((request, choice)) = self.next_choice(now) else {
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
        self.throughput.granted += job.work().0;
        decisions.grants.push(self.issue(&job, choice, now));
        true
    }

    /// First job in order that can be placed, and its endpoint; `None` as the endpoint means that
    /// the job cannot complete in time.
    fn next_choice(&self, now: Time) -> Option<(RequestId, Option<Choice>)> {
        for (skipped, job) in self.queue.heads().enumerate() {
            let (candidates, held_back) = self.candidates(job, now);
            if let Some(choice) = choose(&candidates) {
                let needed = choice.expected.mul_f64(DEADLINE_MARGIN);
                let in_time = now + needed <= job.deadline;
                return Some((job.request, in_time.then_some(choice)));
            }
            // A job that only waits for capacity must not be overtaken by a smaller one.
            if !held_back || skipped == MAX_SKIPPED {
                return None;
            }
        }
        None
    }

    /// Endpoints with capacity for the job, and whether the job is held back for another reason:
    /// isolation of suspects, or unproven duplicates.
    fn candidates(&self, job: &Job, now: Time) -> (Vec<Candidate<'_>>, bool) {
        if self.is_unproven(job.fingerprint) {
            return (Vec::new(), true);
        }
        let mut held_back = false;
        let mut candidates = Vec::with_capacity(self.endpoints.len());
        for (endpoint, state) in &self.endpoints {
            if state.leaving {
                continue;
            }
            let cached = state.cache.longest_match(&job.prefixes);
            let uncached = Tokens(job.prompt.0.saturating_sub(cached.0));
            if !state.window.has_capacity(uncached, now) {
                continue;
            }
            if job.suspect && state.suspects > 0 {
                held_back = true;
                continue;
            }
            let output = u32::try_from(job.output.0).unwrap_or(u32::MAX);
            let first_token = state.window.expected_first(uncached, now);
            let generation = (state.window.gap() * output).mul_f64(state.window.load_factor());
            let expected = first_token + generation;
            candidates.push(Candidate { endpoint, expected, cached });
        }
        (candidates, held_back)
    }

    /// Whether a request must wait until a duplicate in flight has completed: if it is a poison
    /// request, it must not bring down more than [`MAX_UNPROVEN_DUPLICATES`] endpoints.
    fn is_unproven(&self, fingerprint: Fingerprint) -> bool {
        let duplicates = self.duplicates.get(&fingerprint).copied().unwrap_or(0);
        duplicates >= MAX_UNPROVEN_DUPLICATES && !self.proven.contains(&fingerprint)
    }

    fn count_duplicate(&mut self, fingerprint: Fingerprint) {
        *self.duplicates.entry(fingerprint).or_default() += 1;
    }

    fn uncount_duplicate(&mut self, fingerprint: Fingerprint, completed: bool) {
        if let Some(duplicates) = self.duplicates.get_mut(&fingerprint) {
            *duplicates -= 1;
            if *duplicates == 0 {
                self.duplicates.remove(&fingerprint);
            }
        }
        // Only fingerprints with other requests in flight are worth remembering.
        if completed
            && self.duplicates.contains_key(&fingerprint)
            && !self.proven.contains(&fingerprint)
        {
            self.proven.push_back(fingerprint);
            if self.proven.len() > MAX_PROVEN {
                self.proven.pop_front();
            }
        }
    }

    fn issue(&mut self, job: &Job, choice: Choice, now: Time) -> Grant {
        self.next_permit = self.next_permit.wrapping_add(1);
        let permit = Permit(self.next_permit);
        if let Some(state) = self.endpoints.get_mut(&choice.endpoint) {
            assert!(!state.leaving, "a leaving endpoint was granted");
            let uncached = Tokens(job.prompt.0.saturating_sub(choice.cached.0));
            state.window.record_grant(permit, uncached, now);
            state.cache.insert(&job.prefixes);
            state.suspects += u32::from(job.suspect);
        }
        let active = Allocation::new(job, &job.holder, &choice.endpoint);
        self.active_permits.insert(permit, active);
        self.count_duplicate(job.fingerprint);
        let grant = Grant {
            request: job.request,
            holder: job.holder.clone(),
            permit,
            endpoint: choice.endpoint,
            reason: choice.reason,
            runners_up: choice.runners_up,
        };
        self.unconfirmed_grants.insert(job.request, (grant.clone(), now));
        grant
    }

    fn update_throughput(&mut self, now: Time) {
        self.throughput.was_empty |= self.queue.is_empty();
        let span = now.since(self.throughput.interval_start);
        if span < THROUGHPUT_INTERVAL {
            return;
        }
        let measured = self.throughput.granted as f64 / span.as_secs_f64();
        if !self.throughput.was_empty {
            let rate = self.throughput.rate.unwrap_or(measured);
            self.throughput.rate = Some(rate + 0.3 * (measured - rate));
        } else if self.throughput.rate.is_some_and(|rate| measured > rate) {
            self.throughput.rate = Some(measured);
        }
        self.throughput.interval_start = now;
        self.throughput.granted = 0;
        self.throughput.was_empty = self.queue.is_empty();
        self.queue.prune();
    }

    /// Records a first token, `took` after the request was dispatched.
    pub fn record_first_token(
        &mut self,
        permit: Permit,
        took: Duration,
        now: Time,
    ) -> Option<(EndpointId, Change)> {
        let active = self.active_permits.get(&permit)?;
        let endpoint = active.endpoint.clone();
        self.unconfirmed_grants.remove(&active.request);
        let state = self.endpoints.get_mut(&endpoint)?;
        state.window.mark_reachable();
        let change = state.window.record_first_token(permit, took, now)?;
        Some((endpoint, change))
    }

    /// Records that the running responses of an endpoint are `ratio` times slower than usual.
    pub fn record_slowdown(
        &mut self,
        endpoint: &EndpointId,
        ratio: f64,
        now: Time,
    ) -> Option<Change> {
        self.endpoints.get_mut(endpoint)?.window.record_slowdown(ratio, now)
    }

    /// Releases a permit.
    pub fn release(
        &mut self,
        permit: Permit,
        outcome: Outcome,
        now: Time,
    ) -> Option<(EndpointId, Change)> {
        let active = self.active_permits.remove(&permit)?;
        self.confirm_grant(active.request, permit);
        self.uncount_duplicate(active.fingerprint, matches!(outcome, Outcome::Completed { .. }));
        let actual = match outcome {
            Outcome::Completed { output, .. } => Work::of(active.prompt, output),
            Outcome::Cancelled | Outcome::Interrupted => active.charged,
            Outcome::Unreachable | Outcome::Declined | Outcome::Returned => Work(0),
        };
        self.queue.correct(&active.organisation, active.charged, actual);
        let state = self.endpoints.get_mut(&active.endpoint)?;
        state.window.release(permit);
        state.suspects = state.suspects.saturating_sub(u32::from(active.suspect));
        let change = match outcome {
            Outcome::Completed { gap_us, .. } => {
                state.window.mark_reachable();
                state.window.record_token_gap(gap_us, now)
            }
            Outcome::Unreachable | Outcome::Interrupted => {
                state.window.mark_unreachable(now);
                state.cache.clear();
                Some(Change::Reduced)
            }
            Outcome::Declined => {
                state.leaving = true;
                None
            }
            Outcome::Cancelled | Outcome::Returned => None,
        };
        Some((active.endpoint, change?))
    }

    /// Records that a permit of this cell is still in use.
    pub fn renew(&mut self, permit: Permit, now: Time) {
        let Some(active) = self.active_permits.get(&permit) else {
            return;
        };
        if let Some(state) = self.endpoints.get_mut(&active.endpoint) {
            state.window.renew(permit, now);
        }
        self.unconfirmed_grants.remove(&active.request);
    }

    /// Marks a grant as received, unless its request has a newer one.
    fn confirm_grant(&mut self, request: RequestId, permit: Permit) {
        let newest = self.unconfirmed_grants.get(&request).map(|(grant, _)| grant.permit);
        if newest == Some(permit) {
            self.unconfirmed_grants.remove(&request);
        }
    }

    /// Restores a permit that a previous owner granted to `holder`, or renews it if already known.
    pub fn restore_permit(
        &mut self,
        holder: &InstanceId,
        job: &Job,
        permit: Permit,
        endpoint: &EndpointId,
        now: Time,
    ) {
        if self.active_permits.contains_key(&permit) {
            self.renew(permit, now);
            return;
        }
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        state.window.restore_permit(permit, now);
        state.cache.insert(&job.prefixes);
        state.suspects += u32::from(job.suspect);
        let active = Allocation::new(job, holder, endpoint);
        self.active_permits.insert(permit, active);
        self.count_duplicate(job.fingerprint);
    }

    /// Applies an endpoint's load report to its window.
    pub fn record_load(&mut self, endpoint: &EndpointId, load: Load, now: Time) {
        let recent_takeover = now.since(self.taken_over_at) < TAKEOVER_PERIOD;
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.window.record_load(load.running + load.waiting, recent_takeover);
        }
    }

    /// Drops the jobs and permits of a failed gateway.
    pub fn drop_holder(&mut self, holder: &InstanceId, now: Time) {
        self.queue.retain(|job| job.holder != *holder);
        let orphaned: Vec<Permit> = self
            .active_permits
            .iter()
            .filter(|(_, active)| active.holder == *holder)
            .map(|(p, _)| *p)
            .collect();
        for permit in orphaned {
            self.release(permit, Outcome::Cancelled, now);
        }
    }

    /// Releases permits that have not been renewed in time.
    pub fn reclaim(&mut self, now: Time) {
        let expired: Vec<Permit> =
            self.endpoints.values().flat_map(|state| state.window.expired(now)).collect();
        for permit in expired {
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

//! Adaptive concurrency window of an endpoint.
//!
//! An engine accepts every request and queues it internally, where the
//! scheduler cannot see or reorder it, so the window keeps that queue short.
//! Three limits apply together:
//! * Requests in flight. The limit grows while the window is full and first
//!   tokens arrive as predicted; it is reduced when first tokens are late or
//!   the gap between tokens grows.
//! * Prompt tokens of requests that have no first token yet.
//! * No further requests while a first token is overdue or running responses
//!   are several times slower than usual: a straggler's window closes within
//!   moments, whatever its load report says. While the endpoint is slow, it is
//!   probed with one request at a time.
//!
//! The predicted time to first token is `base + cost × prompt tokens ahead`;
//! both parameters adapt slowly. `inflation`, the ratio of the observed to the
//! predicted time, adapts quickly and decays to 1, so that a recovered endpoint
//! is tried again.

use std::{collections::BTreeMap, time::Duration};
use units::{Permit, Time, Tokens};

/// Initial limit of requests in flight.
const INITIAL_LIMIT: f64 = 4.0;
/// Assumed time between tokens of a new endpoint, in µs; short, so that the endpoint is tried.
const INITIAL_GAP_US: f64 = 8_000.0;
/// Assumed time to first token of a new endpoint without the prompt, in seconds.
const INITIAL_BASE_S: f64 = 0.010;
/// First tokens after which the predicted latency is considered reliable.
const SETTLED_SAMPLES: u32 = 8;
/// Assumed time per prompt token of a new endpoint, in seconds.
const INITIAL_COST_S: f64 = 0.000_06;
/// Relative growth of a response's expected duration from an empty to a full window.
const LOAD_GROWTH: f64 = 1.0;
/// Largest limit of requests in flight.
const MAX_LIMIT: f64 = 256.0;
/// Limit of prompt tokens without a first token, in seconds of predicted prefill.
const MAX_PENDING_PREFILL_S: f64 = 0.25;
/// Multiple of the predicted latency after which a first token is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Least time beyond the prediction before a first token is overdue.
const OVERDUE_SLACK: Duration = Duration::from_millis(120);
/// Inflation above which the limit is reduced.
const REDUCE_INFLATION: f64 = 2.0;
/// Inflation below which the limit may grow.
const GROW_INFLATION: f64 = 1.5;
/// Upper bound of the inflation.
const MAX_INFLATION: f64 = 20.0;
/// Delay beyond the prediction that does not indicate queueing.
const LATE_SLACK: Duration = Duration::from_millis(60);
/// Least time between two reductions.
const REDUCE_INTERVAL: Duration = Duration::from_millis(250);
/// Target time between tokens, in µs.
const GAP_TARGET_US: f64 = 25_000.0;
/// Allowed growth of the time between tokens over the shortest observed; fuller batches are slower.
const GAP_GROWTH: f64 = 2.0;
/// Half-life of the inflation's excess over 1, in seconds.
const INFLATION_HALF_LIFE_S: f64 = 1.0;
/// Slowdown of running responses from which no further request is sent.
const MAX_SLOWDOWN: f64 = 3.0;
/// Time for which a report of slow responses is valid.
const SLOWDOWN_VALIDITY: Duration = Duration::from_millis(300);
/// First backoff after an endpoint was unreachable; doubles each time.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest backoff after an endpoint was unreachable.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time without renewal after which a permit expires.
const PERMIT_TTL: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Request {
    granted: Time,
    renewed: Time,
    ahead: f64,
    tokens: f64,
    predicted: Duration,
    ran_alone: bool,
    has_first_token: bool,
}

/// Concurrency window of one endpoint.
#[derive(Debug)]
pub struct Window {
    limit: f64,
    threshold: f64,
    requests: BTreeMap<Permit, Request>,
    pending_tokens: f64,
    base_s: f64,
    cost_s: f64,
    samples: u32,
    inflation: f64,
    inflation_at: Time,
    gap_us: f64,
    best_gap_us: f64,
    last_reduction: Time,
    backoff_until: Time,
    next_backoff: Duration,
    unaccounted: u32,
    slow_until: Time,
}

/// Change of a window that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The limit was reduced, or the endpoint became slow or unreachable.
    Reduced,
    /// First tokens arrive on time again.
    Restored,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            threshold: MAX_LIMIT,
            requests: BTreeMap::new(),
            pending_tokens: 0.0,
            base_s: INITIAL_BASE_S,
            cost_s: INITIAL_COST_S,
            samples: 0,
            inflation: 1.0,
            inflation_at: Time::ZERO,
            gap_us: INITIAL_GAP_US,
            best_gap_us: f64::MAX,
            last_reduction: Time::ZERO,
            backoff_until: Time::ZERO,
            next_backoff: MIN_BACKOFF,
            unaccounted: 0,
            slow_until: Time::ZERO,
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn token_count(tokens: Tokens) -> f64 {
    tokens.0 as f64
}

impl Window {
    /// Window of a new endpoint.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Limit of requests in flight.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Expected time between tokens.
    #[must_use]
    pub fn gap(&self) -> Duration {
        Duration::from_secs_f64(self.gap_us / 1e6)
    }

    /// Whether one more request with `prompt` uncached tokens may be sent.
    #[must_use]
    pub fn has_capacity(&self, prompt: Tokens, now: Time) -> bool {
        if now < self.backoff_until || now < self.slow_until || self.is_overdue(now) {
            return false;
        }
        let probing = self.inflation_at(now) > REDUCE_INFLATION;
        if probing && self.requests.values().any(|request| !request.has_first_token) {
            return false;
        }
        let used = self.requests.len() + usize::try_from(self.unaccounted).unwrap_or(0);
        if used > 0 && used as f64 + 1.0 > self.limit {
            return false;
        }
        let max_pending = MAX_PENDING_PREFILL_S / self.cost_s;
        self.pending_tokens <= 0.0 || self.pending_tokens + token_count(prompt) <= max_pending
    }

    /// Whether a first token is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        self.requests.values().any(|request| {
            !request.has_first_token
                && now.since(request.granted) > overdue_after(request.predicted)
        })
    }

    /// Factor by which the requests in flight slow down a response.
    #[must_use]
    pub fn load_factor(&self) -> f64 {
        let used = self.requests.len() as f64;
        1.0 + LOAD_GROWTH * used / self.limit.max(1.0)
    }

    /// Expected time to first token of a prompt with `uncached` tokens.
    #[must_use]
    pub fn expected_first(&self, uncached: Tokens, now: Time) -> Duration {
        let unloaded = self.predict(self.pending_tokens + token_count(uncached));
        unloaded.mul_f64(self.inflation_at(now))
    }

    fn predict(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(self.base_s + self.cost_s * tokens)
    }

    fn inflation_at(&self, now: Time) -> f64 {
        let age = now.since(self.inflation_at).as_secs_f64();
        1.0 + (self.inflation - 1.0) * 0.5f64.powf(age / INFLATION_HALF_LIFE_S)
    }

    /// Records a granted request.
    pub fn record_grant(&mut self, permit: Permit, uncached: Tokens, now: Time) {
        let tokens = token_count(uncached);
        let ahead = self.pending_tokens + tokens;
        let predicted = self.predict(ahead);
        let ran_alone = self.requests.is_empty() && self.unaccounted == 0;
        let request = Request {
            granted: now,
            renewed: now,
            ahead,
            tokens,
            predicted,
            ran_alone,
            has_first_token: false,
        };
        self.pending_tokens += tokens;
        self.requests.insert(permit, request);
    }

    /// Restores a permit that a previous owner granted, or renews it if already known.
    pub fn restore_permit(&mut self, permit: Permit, now: Time) {
        let predicted = self.predict(0.0);
        let request = Request {
            granted: now,
            renewed: now,
            ahead: 0.0,
            tokens: 0.0,
            predicted,
            ran_alone: false,
            has_first_token: true,
        };
        self.requests.entry(permit).or_insert(request).renewed = now;
        self.unaccounted = self.unaccounted.saturating_sub(1);
    }

    /// Records the first token of a request, `took` after its dispatch.
    pub fn record_first_token(
        &mut self,
        permit: Permit,
        took: Duration,
        now: Time,
    ) -> Option<Change> {
        let request = self.requests.get_mut(&permit)?;
        request.renewed = now;
        if request.has_first_token {
            return None;
        }
        request.has_first_token = true;
        let request = *request;
        self.pending_tokens = (self.pending_tokens - request.tokens).max(0.0);
        let was_late = self.inflation_at(now) > REDUCE_INFLATION;
        let ratio = took.as_secs_f64() / request.predicted.as_secs_f64().max(0.001);
        let late = ratio > REDUCE_INFLATION && took > request.predicted + LATE_SLACK;
        self.update_prediction(request, took, late);
        let ratio = if late { ratio } else { ratio.min(REDUCE_INFLATION) };
        self.inflation = 0.5 * self.inflation_at(now) + 0.5 * ratio.clamp(0.5, MAX_INFLATION);
        self.inflation_at = now;
        if late {
            return self.reduce(0.7, now);
        }
        if ratio < GROW_INFLATION {
            self.grow();
        }
        (was_late && self.inflation < GROW_INFLATION).then_some(Change::Restored)
    }

    /// Updates the latency prediction. Once it is settled, late first tokens count only for
    /// requests that ran alone.
    fn update_prediction(&mut self, request: Request, took: Duration, late: bool) {
        let settled = self.samples >= SETTLED_SAMPLES;
        if settled && late && !request.ran_alone {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = match (settled, request.ran_alone) {
            (false, _) => 0.4,
            (true, true) => 0.2,
            (true, false) => 0.08,
        };
        let observed = took.as_secs_f64();
        if request.ahead < 64.0 {
            self.base_s += weight * (observed - self.base_s);
        } else {
            let cost = ((observed - self.base_s) / request.ahead).max(1e-6);
            self.cost_s += weight * (cost - self.cost_s);
        }
    }

    fn grow(&mut self) {
        let used = self.requests.len() as f64;
        if used + 1.5 < self.limit {
            return;
        }
        self.limit = if self.limit < self.threshold {
            (self.limit * 1.25 + 0.25).min(self.threshold)
        } else {
            self.limit + 1.0 / self.limit
        };
        self.limit = self.limit.min(MAX_LIMIT);
    }

    fn reduce(&mut self, factor: f64, now: Time) -> Option<Change> {
        if now.since(self.last_reduction) < REDUCE_INTERVAL && self.last_reduction != Time::ZERO {
            return None;
        }
        self.last_reduction = now;
        let used = (self.requests.len() as f64).min(self.limit);
        self.threshold = (used * 0.9).max(2.0);
        self.limit = (used * factor).max(1.0);
        Some(Change::Reduced)
    }

    /// Restarts the timers of a request whose lost grant is sent again: its first token is due only
    /// after that.
    pub fn restart_timer(&mut self, permit: Permit, now: Time) {
        if let Some(request) = self.requests.get_mut(&permit) {
            request.granted = now;
            request.renewed = now;
        }
    }

    /// Records that a request is still running.
    pub fn renew(&mut self, permit: Permit, now: Time) {
        if let Some(request) = self.requests.get_mut(&permit) {
            request.renewed = now;
        }
    }

    /// Releases a permit; false if it is unknown.
    pub fn release(&mut self, permit: Permit) -> bool {
        let Some(request) = self.requests.remove(&permit) else {
            return false;
        };
        if !request.has_first_token {
            self.pending_tokens = (self.pending_tokens - request.tokens).max(0.0);
        }
        true
    }

    /// Records the mean time between tokens of a completed response, in µs; 0 when unknown.
    pub fn record_token_gap(&mut self, gap_us: u32, now: Time) -> Option<Change> {
        if gap_us == 0 {
            return None;
        }
        let gap = f64::from(gap_us);
        let weight = if self.best_gap_us == f64::MAX { 1.0 } else { 0.2 };
        self.gap_us += weight * (gap - self.gap_us);
        self.best_gap_us = self.best_gap_us.min(gap);
        let allowed = GAP_TARGET_US.max(GAP_GROWTH * self.best_gap_us);
        if self.gap_us > allowed { self.reduce(0.9, now) } else { None }
    }

    /// Records that running responses are `ratio` times slower than usual.
    pub fn record_slowdown(&mut self, ratio: f64, now: Time) -> Option<Change> {
        // Prefill of a long prompt slows down concurrent responses; the overdue check covers it.
        if ratio < MAX_SLOWDOWN || self.pending_tokens > 0.0 {
            return None;
        }
        let was_slow = now < self.slow_until;
        self.slow_until = now + SLOWDOWN_VALIDITY;
        self.inflation = self.inflation_at(now).max(ratio.min(MAX_INFLATION));
        self.inflation_at = now;
        (!was_slow).then_some(Change::Reduced)
    }

    /// Backs off from an unreachable endpoint and resets its limit.
    pub fn mark_unreachable(&mut self, now: Time) {
        self.backoff_until = now + self.next_backoff;
        self.next_backoff = (self.next_backoff * 2).min(MAX_BACKOFF);
        self.limit = 2.0;
    }

    /// Ends the backoff: the endpoint responded.
    pub fn mark_reachable(&mut self) {
        self.next_backoff = MIN_BACKOFF;
        self.backoff_until = Time::ZERO;
    }

    /// Counts requests of a previous owner, by the endpoint's load report; only after a takeover.
    pub fn record_load(&mut self, running: u32, recent_takeover: bool) {
        let tracked = u32::try_from(self.requests.len()).unwrap_or(u32::MAX);
        self.unaccounted = if recent_takeover { running.saturating_sub(tracked) } else { 0 };
    }

    /// Permits that have not been renewed in time.
    #[must_use]
    pub fn expired(&self, now: Time) -> Vec<Permit> {
        let expired = |request: &Request| now.since(request.renewed) > PERMIT_TTL;
        self.requests
            .iter()
            .filter(|(_, request)| expired(request))
            .map(|(permit, _)| *permit)
            .collect()
    }
}

fn overdue_after(predicted: Duration) -> Duration {
    predicted.mul_f64(OVERDUE_FACTOR).max(predicted + OVERDUE_SLACK)
}

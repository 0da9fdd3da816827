//! Window of requests that an endpoint is given at once, learned from service.
//!
//! An engine admits whatever it is sent and queues it out of sight, so its
//! queue is kept short from outside. Three limits hold together:
//! * requests in flight, grown while the window is used and first tokens
//!   arrive as predicted, cut when they arrive late or tokens come slowly;
//! * prompt tokens sent and not yet answered by a first token;
//! * nothing more once a first token is overdue, or the tokens of running
//!   answers come several times slower than usual: a straggler loses its window
//!   within moments, whatever its load report says. While it is slow it is
//!   tried with one request at a time.
//!
//! Predictions are `base + cost × prompt tokens ahead`, both learned slowly;
//! `inflation` follows the ratio of seen to predicted quickly and decays to 1,
//! so that an endpoint that recovered is tried again.

use std::{collections::BTreeMap, time::Duration};
use units::{Permit, Time, Tokens};

/// Requests in flight that a new endpoint is given.
const INITIAL_LIMIT: f64 = 4.0;
/// Time between tokens that a new endpoint is credited with, short so that it is tried.
const UNKNOWN_GAP_US: f64 = 8_000.0;
/// Time to a first token, without its prompt, that a new endpoint is credited with, in seconds.
const UNKNOWN_BASE_S: f64 = 0.010;
/// First tokens after which the usual latency is taken for known.
const SETTLED_SAMPLES: u32 = 8;
/// Time for a prompt token that a new endpoint is credited with, in seconds.
const UNKNOWN_COST_S: f64 = 0.000_06;
/// Growth of an answer's expected length in time from an empty to a full window.
const CROWDING: f64 = 1.0;
/// Most requests in flight.
const MAX_LIMIT: f64 = 256.0;
/// Prompt tokens awaiting a first token, in seconds of predicted prefill.
const PREFILL_HORIZON_S: f64 = 0.25;
/// Part of the predicted latency that may pass before a first token is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Time beyond the prediction before a first token is overdue.
const OVERDUE_SLACK: Duration = Duration::from_millis(120);
/// Inflation above which the window is cut.
const CUT_INFLATION: f64 = 2.0;
/// Inflation below which the window may grow.
const GROW_INFLATION: f64 = 1.5;
/// Highest inflation that is remembered.
const MAX_INFLATION: f64 = 20.0;
/// Lateness that is never taken for a sign of queueing.
const LATE_SLACK: Duration = Duration::from_millis(60);
/// Least time between two cuts.
const CUT_INTERVAL: Duration = Duration::from_millis(250);
/// Target time between tokens.
const GAP_TARGET_US: f64 = 25_000.0;
/// Growth of the time between tokens, over the shortest seen, that a fuller batch may cost.
const GAP_GROWTH: f64 = 2.0;
/// Time in which inflation decays by half.
const INFLATION_HALF_LIFE_S: f64 = 1.0;
/// Slowness of running answers at which nothing more is sent.
const SLOW_PACE: f64 = 3.0;
/// Time for which a report of slow answers counts.
const SLOW_HOLD: Duration = Duration::from_millis(300);
/// First back-off after an unreachable endpoint, doubled each time.
const DOWN_MIN: Duration = Duration::from_millis(200);
/// Longest back-off after an unreachable endpoint.
const DOWN_MAX: Duration = Duration::from_secs(5);
/// Time without news after which a permit is taken back.
const PERMIT_IDLE: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Flight {
    granted: Time,
    renewed: Time,
    ahead: f64,
    tokens: f64,
    predicted: Duration,
    alone: bool,
    started: bool,
}

/// Window of one endpoint.
#[derive(Debug)]
pub struct Window {
    limit: f64,
    threshold: f64,
    flights: BTreeMap<Permit, Flight>,
    pending_tokens: f64,
    base_s: f64,
    cost_s: f64,
    samples: u32,
    inflation: f64,
    inflation_at: Time,
    gap_us: f64,
    best_gap_us: f64,
    last_cut: Time,
    down_until: Time,
    down_for: Duration,
    external: u32,
    slow_until: Time,
}

/// Change that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The window was cut.
    Reduced,
    /// First tokens arrive in time again.
    Restored,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            threshold: MAX_LIMIT,
            flights: BTreeMap::new(),
            pending_tokens: 0.0,
            base_s: UNKNOWN_BASE_S,
            cost_s: UNKNOWN_COST_S,
            samples: 0,
            inflation: 1.0,
            inflation_at: Time::ZERO,
            gap_us: UNKNOWN_GAP_US,
            best_gap_us: f64::MAX,
            last_cut: Time::ZERO,
            down_until: Time::ZERO,
            down_for: DOWN_MIN,
            external: 0,
            slow_until: Time::ZERO,
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn tokens_f(tokens: Tokens) -> f64 {
    tokens.0 as f64
}

impl Window {
    /// Window of an endpoint that nothing is known of.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Requests that may be in flight now.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Expected time between tokens.
    #[must_use]
    pub fn gap(&self) -> Duration {
        Duration::from_secs_f64(self.gap_us / 1e6)
    }

    /// Whether one more request may be sent.
    #[must_use]
    pub fn has_room(&self, prompt: Tokens, now: Time) -> bool {
        if now < self.down_until || now < self.slow_until || self.is_overdue(now) {
            return false;
        }
        let doubtful = self.inflation_at(now) > CUT_INFLATION;
        if doubtful && self.flights.values().any(|flight| !flight.started) {
            return false;
        }
        let used = self.flights.len() + usize::try_from(self.external).unwrap_or(0);
        if used > 0 && used as f64 + 1.0 > self.limit {
            return false;
        }
        let horizon = PREFILL_HORIZON_S / self.cost_s;
        self.pending_tokens <= 0.0 || self.pending_tokens + tokens_f(prompt) <= horizon
    }

    /// Whether a first token is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        self.flights.values().any(|flight| {
            !flight.started && now.since(flight.granted) > overdue_after(flight.predicted)
        })
    }

    /// Factor by which answers take longer beside the requests in flight.
    #[must_use]
    pub fn crowding(&self) -> f64 {
        let used = self.flights.len() as f64;
        1.0 + CROWDING * used / self.limit.max(1.0)
    }

    /// Expected time to the first token of a prompt with `uncached` tokens.
    #[must_use]
    pub fn expected_first(&self, uncached: Tokens, now: Time) -> Duration {
        let plain = self.predict(self.pending_tokens + tokens_f(uncached));
        plain.mul_f64(self.inflation_at(now))
    }

    fn predict(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(self.base_s + self.cost_s * tokens)
    }

    fn inflation_at(&self, now: Time) -> f64 {
        let age = now.since(self.inflation_at).as_secs_f64();
        1.0 + (self.inflation - 1.0) * 0.5f64.powf(age / INFLATION_HALF_LIFE_S)
    }

    /// Notes a request that was granted.
    pub fn record_grant(&mut self, permit: Permit, uncached: Tokens, now: Time) {
        let tokens = tokens_f(uncached);
        let ahead = self.pending_tokens + tokens;
        let predicted = self.predict(ahead);
        let alone = self.flights.is_empty() && self.external == 0;
        let flight =
            Flight { granted: now, renewed: now, ahead, tokens, predicted, alone, started: false };
        self.pending_tokens += tokens;
        self.flights.insert(permit, flight);
    }

    /// Notes a request that a former owner granted.
    pub fn adopt(&mut self, permit: Permit, now: Time) {
        let predicted = self.predict(0.0);
        let flight = Flight {
            granted: now,
            renewed: now,
            ahead: 0.0,
            tokens: 0.0,
            predicted,
            alone: false,
            started: true,
        };
        self.flights.entry(permit).or_insert(flight).renewed = now;
        self.external = self.external.saturating_sub(1);
    }

    /// Notes the first token of a request.
    pub fn record_first_token(
        &mut self,
        permit: Permit,
        took: Duration,
        now: Time,
    ) -> Option<Change> {
        let flight = self.flights.get_mut(&permit)?;
        flight.renewed = now;
        if flight.started {
            return None;
        }
        flight.started = true;
        let flight = *flight;
        self.pending_tokens = (self.pending_tokens - flight.tokens).max(0.0);
        let was_late = self.inflation_at(now) > CUT_INFLATION;
        let ratio = took.as_secs_f64() / flight.predicted.as_secs_f64().max(0.001);
        let late = ratio > CUT_INFLATION && took > flight.predicted + LATE_SLACK;
        self.learn(flight, took, late);
        let ratio = if late { ratio } else { ratio.min(CUT_INFLATION) };
        self.inflation = 0.5 * self.inflation_at(now) + 0.5 * ratio.clamp(0.5, MAX_INFLATION);
        self.inflation_at = now;
        if late {
            return self.cut(0.7, now);
        }
        if ratio < GROW_INFLATION {
            self.grow();
        }
        (was_late && self.inflation < GROW_INFLATION).then_some(Change::Restored)
    }

    /// Learns the usual latency. Once it is known, late answers teach only when they were alone.
    fn learn(&mut self, flight: Flight, took: Duration, late: bool) {
        let settled = self.samples >= SETTLED_SAMPLES;
        if settled && late && !flight.alone {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = match (settled, flight.alone) {
            (false, _) => 0.4,
            (true, true) => 0.2,
            (true, false) => 0.08,
        };
        let seen = took.as_secs_f64();
        if flight.ahead < 64.0 {
            self.base_s += weight * (seen - self.base_s);
        } else {
            let cost = ((seen - self.base_s) / flight.ahead).max(1e-6);
            self.cost_s += weight * (cost - self.cost_s);
        }
    }

    fn grow(&mut self) {
        let used = self.flights.len() as f64;
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

    fn cut(&mut self, factor: f64, now: Time) -> Option<Change> {
        if now.since(self.last_cut) < CUT_INTERVAL && self.last_cut != Time::ZERO {
            return None;
        }
        self.last_cut = now;
        let used = (self.flights.len() as f64).min(self.limit);
        self.threshold = (used * 0.9).max(2.0);
        self.limit = (used * factor).max(1.0);
        Some(Change::Reduced)
    }

    /// Notes that a request is granted again since its grant was lost; only now it can be awaited.
    pub fn restart_timer(&mut self, permit: Permit, now: Time) {
        if let Some(flight) = self.flights.get_mut(&permit) {
            flight.granted = now;
            flight.renewed = now;
        }
    }

    /// Notes that a request is still running.
    pub fn renew(&mut self, permit: Permit, now: Time) {
        if let Some(flight) = self.flights.get_mut(&permit) {
            flight.renewed = now;
        }
    }

    /// Takes back a permit.
    pub fn release(&mut self, permit: Permit) -> bool {
        let Some(flight) = self.flights.remove(&permit) else {
            return false;
        };
        if !flight.started {
            self.pending_tokens = (self.pending_tokens - flight.tokens).max(0.0);
        }
        true
    }

    /// Notes the pace of an answer that ended.
    pub fn record_token_gap(&mut self, gap_us: u32, now: Time) -> Option<Change> {
        if gap_us == 0 {
            return None;
        }
        let gap = f64::from(gap_us);
        let weight = if self.best_gap_us == f64::MAX { 1.0 } else { 0.2 };
        self.gap_us += weight * (gap - self.gap_us);
        self.best_gap_us = self.best_gap_us.min(gap);
        let allowed = GAP_TARGET_US.max(GAP_GROWTH * self.best_gap_us);
        if self.gap_us > allowed { self.cut(0.9, now) } else { None }
    }

    /// Notes that running answers are `ratio` times slower than usual.
    pub fn record_slowdown(&mut self, ratio: f64, now: Time) -> Option<Change> {
        // Reading a long prompt slows the answers beside it; the overdue check covers that time.
        if ratio < SLOW_PACE || self.pending_tokens > 0.0 {
            return None;
        }
        let was_slow = now < self.slow_until;
        self.slow_until = now + SLOW_HOLD;
        self.inflation = self.inflation_at(now).max(ratio.min(MAX_INFLATION));
        self.inflation_at = now;
        (!was_slow).then_some(Change::Reduced)
    }

    /// Takes an unreachable endpoint out of service for a while.
    pub fn mark_unreachable(&mut self, now: Time) {
        self.down_until = now + self.down_for;
        self.down_for = (self.down_for * 2).min(DOWN_MAX);
        self.limit = 2.0;
    }

    /// Notes that the endpoint answered.
    pub fn mark_reachable(&mut self) {
        self.down_for = DOWN_MIN;
        self.down_until = Time::ZERO;
    }

    /// Corrects the count of requests by a load report, for owners that are new to the endpoint.
    pub fn record_load(&mut self, running: u32, fresh_owner: bool) {
        let own = u32::try_from(self.flights.len()).unwrap_or(u32::MAX);
        self.external = if fresh_owner { running.saturating_sub(own) } else { 0 };
    }

    /// Permits without news for too long.
    #[must_use]
    pub fn idle(&self, now: Time) -> Vec<Permit> {
        let idle = |flight: &Flight| now.since(flight.renewed) > PERMIT_IDLE;
        self.flights.iter().filter(|(_, flight)| idle(flight)).map(|(permit, _)| *permit).collect()
    }
}

fn overdue_after(predicted: Duration) -> Duration {
    predicted.mul_f64(OVERDUE_FACTOR).max(predicted + OVERDUE_SLACK)
}

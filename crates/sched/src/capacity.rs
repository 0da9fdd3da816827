//! Estimates of what the endpoints of a service can do, learned from their responses.
//!
//! Load: endpoints of one service differ in speed by a factor of five, and engines of different
//! deployments differ in the time that they take to read a prompt. A constant of one engine
//! understates the prefill of a slower one, so that prompts queue inside its endpoints although
//! others have room.
//!
//! *Prefill.* [`Service`] fits a line through the times to a first event against the prompt tokens
//! ahead, over all endpoints of the service and divided by their factors; its slope is the time per
//! prompt token. [`Endpoint`] keeps the factor of one endpoint. Prompts of other nodes that were not
//! known at dispatch only add to a time, so times above the line weigh less than those below it.
//! Prompts ahead of the request may be partly read already, so that a time weighs by the part of the
//! tokens that are the request's own.
//!
//! The slowdown that is known from the gaps between events is the factor of an endpoint without
//! recent prompts, but is not used beside them: a long prompt stretches the gaps and so the slowdown
//! until its own first event, which made the learned time half of the actual one in the replay.
//!
//! *Plain calls.* A call tells nothing about its work, so that only averages over calls are compared
//! with those of the service. [`Service`] fits a line through hold times against the concurrency,
//! divided by the endpoints' speeds: a loaded endpoint that is as slow as others under that load is
//! not a slow one. [`Endpoint`] keeps two averages of the hold time relative to that line: a long
//! one for its speed, and a short one that follows noisy neighbours within some hundred milliseconds
//! and fades as fast. Deviations that chance explains count as none, so that nodes that see the same
//! do not all turn to the endpoint whose last calls were short.
//!
//! *Concurrency.* See `capacity::concurrency`; for plain calls only. The gaps of streams grow with the prompts
//! that are read beside them, which is not the concurrency's doing.
//!
//! Estimates of an endpoint age, so that an endpoint without traffic is tried again.

mod concurrency;

use concurrency::Curve;
use std::time::Duration;
use units::{Time, Tokens};

/// Samples over which a line's memory extends; follows a change within some seconds of traffic.
const LINE_MEMORY: f64 = 200.0;
/// Weight of the samples before a line is used.
const MIN_LINE_WEIGHT: f64 = 10.0;
/// Weight of a sample above the line; one below it has the weight 1.
const ABOVE_WEIGHT: f64 = 0.33;
/// Limit of a sample, as a multiple of the line's value.
const MAX_OUTLIER: f64 = 3.0;
/// Spread of the prompt tokens from which a slope is known, as a standard deviation: the prefill of
/// about 2 ms on the known engines.
const MIN_TOKEN_SPREAD: f64 = 200.0;
/// Bounds of the time per prompt token, in ms; ten times wider than the known engines.
const TOKEN_MS_BOUNDS: (f64, f64) = (1.0 / 1_000.0, 1.0 / 6.0);
/// Prefill from which a sample tells an endpoint's factor, in ms: about two steps of an engine.
const MIN_PREFILL_MS: f64 = 6.0;
/// Weight of a sample in an endpoint's prefill factor; converges within about ten prompts.
const PREFILL_WEIGHT: f64 = 0.15;
/// Bounds of an endpoint's prefill factor; wider than the speeds of the data sheets, 0.55 to 2.8.
const PREFILL_BOUNDS: (f64, f64) = (0.3, 8.0);
/// Half-life of an endpoint's factor, in seconds.
const FACTOR_HALF_LIFE_S: f64 = 10.0;

/// Weight of a call in an endpoint's long average; converges within about 50 calls.
const HOLD_WEIGHT: f64 = 0.03;
/// Weight of a call in the short average; follows a change within about six calls.
const RECENT_WEIGHT: f64 = 0.25;
/// Half-life of the short average, in seconds; neighbours' load changes every 600 ms.
const RECENT_HALF_LIFE_S: f64 = 0.3;
/// Deviation of the long average that chance explains: twice its standard deviation for calls whose
/// work varies as much as its mean.
const SPEED_TOLERANCE: f64 = 1.25;
/// Same, for the short average.
const RECENT_TOLERANCE: f64 = 1.6;
/// Spread of the concurrency from which a line through hold times is used, as a standard deviation.
const MIN_CONCURRENCY_SPREAD: f64 = 0.5;
/// Bounds of a call's hold time, as a multiple of the service's.
const HOLD_BOUNDS: (f64, f64) = (0.05, 10.0);
/// Bounds of an endpoint's speed; wider than the speeds of the data sheets, 0.55 to 2.8.
const SPEED_BOUNDS: (f64, f64) = (0.3, 8.0);

/// Part of a factor that exceeds what chance explains.
fn beyond(factor: f64, tolerance: f64) -> f64 {
    if factor > 1.0 { (factor / tolerance).max(1.0) } else { (factor * tolerance).min(1.0) }
}

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn count(tokens: Tokens) -> f64 {
    tokens.0 as f64
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn decay(age: Duration, half_life_s: f64) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life_s)
}

/// First event of a stream.
#[derive(Debug, Clone, Copy)]
pub struct First {
    /// Prompt tokens of the request.
    pub own: Tokens,
    /// Prompt tokens that the endpoint had to read at dispatch, including those of the request.
    pub ahead: Tokens,
    /// Time since the dispatch.
    pub elapsed: Duration,
    /// Slowdown of the endpoint relative to its service, by the gaps of its streams.
    pub slowdown: f64,
}

/// Line through samples, with exponential forgetting.
#[derive(Debug, Clone, Copy, Default)]
struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Line {
    /// Adds a sample; values far above the line are limited and all values above it weigh less.
    fn add(&mut self, x: f64, y: f64, weight: f64, spread: f64) {
        let expected = self.fit(spread).map(|(base, slope)| base + slope * x);
        let above = expected.is_some_and(|e| y > e);
        let weight = if above { weight * ABOVE_WEIGHT } else { weight };
        let y = expected.map_or(y, |e| y.min(MAX_OUTLIER * e));
        self.add_weighted(x, y, weight);
    }

    fn add_weighted(&mut self, x: f64, y: f64, weight: f64) {
        let keep = 1.0 - 1.0 / LINE_MEMORY;
        for (sum, sample) in [
            (&mut self.weight, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
        ] {
            *sum = *sum * keep + weight * sample;
        }
    }

    /// Adds a sample of a mean, in which large values count as much as small ones.
    fn add_evenly(&mut self, x: f64, y: f64) {
        self.add_weighted(x, y, 1.0);
    }

    /// Value at 0 and slope, once the samples' positions spread enough.
    fn fit(&self, spread: f64) -> Option<(f64, f64)> {
        if self.weight < MIN_LINE_WEIGHT {
            return None;
        }
        let (x, y) = (self.x / self.weight, self.y / self.weight);
        let variance = self.xx / self.weight - x * x;
        if variance < spread * spread {
            return None;
        }
        let slope = ((self.xy / self.weight - x * y) / variance).max(0.0);
        let base = y - slope * x;
        // A line below 0 comes from a few large samples; one through 0 is closer to all of them.
        Some(if base < 0.0 { (0.0, self.xy / self.xx) } else { (base, slope) })
    }
}

/// Factor by which an endpoint differs from its service; ages towards a value that is known
/// otherwise.
#[derive(Debug, Clone, Copy, Default)]
struct Factor {
    log: f64,
    trust: f64,
    at: Time,
}

impl Factor {
    fn trust_at(&self, now: Time) -> f64 {
        self.trust * decay(now.since(self.at), FACTOR_HALF_LIFE_S)
    }

    fn at(&self, otherwise: f64, now: Time) -> f64 {
        let trust = self.trust_at(now);
        if trust <= 0.0 {
            return otherwise;
        }
        (trust * self.log + (1.0 - trust) * otherwise.ln()).exp()
    }

    fn add(&mut self, sample: f64, weight: f64, now: Time) {
        // The first samples count more, since there is little to average them with.
        let trust = self.trust_at(now);
        let weight = weight / (weight + trust * (1.0 - weight));
        self.log += weight * (sample.ln() - self.log);
        self.trust = trust + weight * (1.0 - trust);
        self.at = now;
    }
}

/// Averages of an endpoint's hold times, relative to its service.
#[derive(Debug, Clone, Copy, Default)]
struct Hold {
    usual: f64,
    recent: f64,
    trust: f64,
    at: Time,
}

impl Hold {
    fn usual(&self, now: Time) -> f64 {
        let trust = self.trust * decay(now.since(self.at), FACTOR_HALF_LIFE_S);
        trust * self.usual + (1.0 - trust)
    }

    /// Recent average relative to the usual one.
    fn change(&self, now: Time) -> f64 {
        if self.trust <= 0.0 {
            return 1.0;
        }
        let fresh = decay(now.since(self.at), RECENT_HALF_LIFE_S);
        1.0 + (beyond(self.recent / self.usual, RECENT_TOLERANCE) - 1.0) * fresh
    }

    /// Recent average relative to the usual one, with what chance explains.
    fn drift(&self, now: Time) -> f64 {
        if self.trust <= 0.0 {
            return 1.0;
        }
        let fresh = decay(now.since(self.at), RECENT_HALF_LIFE_S);
        1.0 + (self.recent / self.usual - 1.0).max(0.0) * fresh
    }

    fn add(&mut self, sample: f64, now: Time) {
        let age = now.since(self.at);
        let trust = self.trust * decay(age, FACTOR_HALF_LIFE_S);
        // The first samples count more, since there is little to average them with.
        let weight = HOLD_WEIGHT / (HOLD_WEIGHT + trust * (1.0 - HOLD_WEIGHT));
        let fresh = decay(age, RECENT_HALF_LIFE_S);
        self.usual += weight * (sample - self.usual);
        let recent = self.usual + (self.recent - self.usual) * fresh;
        self.recent = recent + RECENT_WEIGHT * (sample - recent);
        self.trust = trust + weight.min(RECENT_WEIGHT) * (1.0 - trust);
        self.at = now;
    }
}

/// Estimates of a service.
#[derive(Debug, Clone, Default)]
pub struct Service {
    prefill: Line,
    /// Hold times of plain calls against the concurrency.
    hold: Line,
}

impl Service {
    /// Time per prompt token at an endpoint of usual speed, in ms, once it is known.
    #[must_use]
    pub fn token_ms(&self) -> Option<f64> {
        let (_, slope) = self.prefill.fit(MIN_TOKEN_SPREAD)?;
        Some(slope.clamp(TOKEN_MS_BOUNDS.0, TOKEN_MS_BOUNDS.1))
    }

    /// Records a first event at one of the service's endpoints.
    pub fn record_first(&mut self, endpoint: &mut Endpoint, first: First, now: Time) {
        let tokens = count(first.ahead);
        let elapsed = ms(first.elapsed);
        let factor = endpoint.prefill_factor(first.slowdown, now);
        if !(elapsed / factor).is_finite() {
            return;
        }
        if let Some((base, slope)) = self.prefill.fit(MIN_TOKEN_SPREAD)
            && slope * tokens >= MIN_PREFILL_MS
        {
            let sample = elapsed / (base + slope * tokens);
            let sample = sample.clamp(PREFILL_BOUNDS.0, PREFILL_BOUNDS.1);
            endpoint.prefill.add(sample, PREFILL_WEIGHT, now);
        }
        let weight = if tokens > 0.0 { (count(first.own) / tokens).min(1.0) } else { 1.0 };
        self.prefill.add(tokens, elapsed / factor, weight, MIN_TOKEN_SPREAD);
    }

    /// Hold time of a plain call that runs alone at an endpoint of usual speed, and its growth by each
    /// further call, in ms, once they are known.
    #[must_use]
    pub fn hold_ms(&self) -> Option<(f64, f64)> {
        if self.hold.weight < MIN_LINE_WEIGHT {
            return None;
        }
        let usual = self.hold.y / self.hold.weight;
        Some(self.hold.fit(MIN_CONCURRENCY_SPREAD).unwrap_or((usual, 0.0)))
    }

    /// Records the hold time of a plain call that was sent beside `others`.
    pub fn record_hold(&mut self, endpoint: &mut Endpoint, others: u32, hold: Duration, now: Time) {
        let others = f64::from(others);
        let hold = ms(hold);
        let speed = endpoint.usual_speed(now);
        if let Some((alone, growth)) = self.hold_ms() {
            let sample = hold / (alone + growth * others).max(f64::MIN_POSITIVE);
            endpoint.hold.add(sample.clamp(HOLD_BOUNDS.0, HOLD_BOUNDS.1), now);
        }
        self.hold.add_evenly(others, hold / speed);
    }
}

/// Change of an endpoint's concurrency limit; none means all its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// Limit before.
    pub before: Option<u32>,
    /// Limit now.
    pub after: Option<u32>,
}

/// Estimates of one endpoint, relative to its service.
#[derive(Debug, Clone, Default)]
pub struct Endpoint {
    prefill: Factor,
    hold: Hold,
    curve: Curve,
}

impl Endpoint {
    /// Factor of its time per prompt token; `slowdown` is known from other observations.
    #[must_use]
    pub fn prefill_factor(&self, slowdown: f64, now: Time) -> f64 {
        self.prefill.at(slowdown, now)
    }

    /// Usual hold time of its plain calls, relative to its service.
    #[must_use]
    pub fn usual_speed(&self, now: Time) -> f64 {
        self.hold.usual(now).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }

    /// Present hold time of its plain calls, relative to its service, as far as it exceeds what
    /// chance explains.
    #[must_use]
    pub fn speed(&self, now: Time) -> f64 {
        let speed = beyond(self.usual_speed(now), SPEED_TOLERANCE) * self.hold.change(now);
        speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }

    /// Records the hold time of a plain call against the mean concurrency, after
    /// [`Service::record_hold`]. `slowdown` is what the endpoint reported. Returns a change of the
    /// limit.
    pub fn record_concurrency(
        &mut self,
        concurrency: u32,
        hold: Duration,
        slowdown: f64,
        slots: u32,
        now: Time,
    ) -> Option<LimitChange> {
        // Calls pile up at an endpoint while its neighbours slow it down; that is not its own load.
        let hold = ms(hold) / slowdown.max(self.hold.drift(now));
        let (before, after) = self.curve.record(concurrency, hold, slots, now)?;
        Some(LimitChange { before, after })
    }

    /// Concurrency beyond which a further plain call costs the others more than it gains; none if it
    /// uses all its slots well, or is not known.
    #[must_use]
    pub fn limit(&self, now: Time) -> Option<u32> {
        self.curve.limit(now)
    }

    /// Time since the last plain call.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        (self.hold.trust > 0.0).then(|| now.since(self.hold.at))
    }
}

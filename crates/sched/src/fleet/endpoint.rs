//! What a node believes of one endpoint, learned from its own answers.

use super::{Distance, Listing, LoadReport, Outcome, Size, Usage};
use std::{collections::HashMap, time::Duration};
use units::{InstanceId, Time, Tokens};

/// Slots of an endpoint that states none, fewer than any that states them.
const UNKNOWN_SLOTS: u32 = 4;
/// Slots that a node may take at an endpoint before the first deal; all nodes hear of it at once.
const INITIAL_ALLOCATION: u32 = 1;
/// Step by which the usual pause follows a longer one; it follows a shorter one by three steps, so
/// that it settles at the lower quartile, which pauses during reading do not reach.
const PAUSE_STEP: f64 = 0.02;
/// Weight of a new hold in the usual hold; settles within some twenty calls.
const HOLD_WEIGHT: f64 = 0.1;
/// Times that a slot is allocated between two digests, at most; calls are not shorter than 5 ms.
const TURNS_MOST: f64 = 20.0;
/// Most events that one pause is divided by; more come together only after a standstill.
const PAUSE_EVENTS: f64 = 8.0;
/// Time in which a reported pace loses half of its weight; neighbours change it each 600 ms.
const SLOWDOWN_HALF_LIFE_S: f64 = 0.3;
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
/// Longest stretch of a pause by reading, in usual pauses: a piece of a prompt takes five times as
/// long as the step between two pieces.
const READING_STRETCH: f64 = 5.0;
/// Part of a stream's target that a pause may be expected to take.
const PAUSE_MARGIN: f64 = 0.9;
/// Bounds of the learned slowness, beyond the speeds of the sheets (0.55 to 2.8).
pub(super) const SLOWNESS: (f64, f64) = (0.3, 8.0);

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) listing: Listing,
    pub(super) distance: Distance,
    pub(super) listed_at: Time,
    pub(super) own: Usage,
    pub(super) allocated: u32,
    /// Usual time for which a request holds a slot.
    hold_ms: Option<f64>,
    pub(super) peers: HashMap<InstanceId, (Usage, Time)>,
    pub(super) pause_ms: Option<f64>,
    slowdown: f64,
    slowdown_at: Time,
    failures: f64,
    failed_at: Time,
    down_until: Time,
    down_for: Duration,
}

impl Endpoint {
    pub(super) fn new(listing: Listing, distance: Distance) -> Self {
        Self {
            listing,
            distance,
            listed_at: Time::ZERO,
            own: Usage::default(),
            allocated: INITIAL_ALLOCATION,
            hold_ms: None,
            peers: HashMap::new(),
            pause_ms: None,
            slowdown: 1.0,
            slowdown_at: Time::ZERO,
            failures: 0.0,
            failed_at: Time::ZERO,
            down_until: Time::ZERO,
            down_for: DOWN_MIN,
        }
    }

    pub(super) fn slots(&self) -> u32 {
        if self.listing.slots == 0 { UNKNOWN_SLOTS } else { self.listing.slots }
    }

    pub(super) fn load(&self, ttl: Duration, now: Time) -> Usage {
        let fresh = self.peers.values().filter(|(_, at)| now.since(*at) < ttl);
        fresh.fold(self.own, |sum, (usage, _)| Usage {
            in_flight: sum.in_flight + usage.in_flight,
            pending_prefill: Tokens(sum.pending_prefill.0 + usage.pending_prefill.0),
        })
    }

    /// Times that a free slot may be used before the next deal. Streams hold a slot for as long as
    /// they generate, which their number hides while most of them are short.
    pub(super) fn turns(&self, interval: Duration) -> f64 {
        match self.hold_ms {
            Some(hold) if self.pause_ms.is_none() => {
                (interval.as_secs_f64() * 1_000.0 / hold).clamp(1.0, TURNS_MOST)
            }
            _ => 1.0,
        }
    }

    pub(super) fn failure_rate(&self, now: Time) -> f64 {
        self.failures * decay(now.since(self.failed_at), FAILURE_HALF_LIFE_S)
    }

    pub(super) fn slowdown(&self, now: Time) -> f64 {
        1.0 + (self.slowdown - 1.0) * decay(now.since(self.slowdown_at), SLOWDOWN_HALF_LIFE_S)
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

    /// Whether it takes no request now, since it failed to take one.
    pub(super) fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Whether its streams keep a longest pause while it reads.
    pub(super) fn keeps_pauses(&self, target: Option<Duration>, reading_ms: f64) -> bool {
        let (Some(target), Some(usual)) = (target, self.pause_ms) else { return true };
        let expected = usual + reading_ms.min(READING_STRETCH * usual);
        expected <= PAUSE_MARGIN * target.as_secs_f64() * 1_000.0
    }

    /// Notes a request that is being sent.
    pub(super) fn start(&mut self, size: Size) {
        self.own.in_flight += 1;
        self.allocated = self.allocated.saturating_sub(1);
        self.own.pending_prefill.0 += size.prompt.0;
    }

    /// Notes the first answer of a request.
    pub(super) fn record_first_response(&mut self, size: Size) {
        self.own.pending_prefill.0 = self.own.pending_prefill.0.saturating_sub(size.prompt.0);
        self.down_for = DOWN_MIN;
    }

    /// Notes the end of a request.
    pub(super) fn finish(&mut self, outcome: Outcome, now: Time) {
        self.own.in_flight = self.own.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Completed => self.note(false, now),
            Outcome::Failed => self.note(true, now),
            Outcome::AtCapacity => self.down_until = now + DOWN_MIN / 5,
            Outcome::WrongEndpoint => self.down_until = now + MISPLACED,
            Outcome::Unreachable => self.back_off(now),
            Outcome::Cancelled => {}
        }
    }

    /// Learns from the pause before some events of a stream.
    pub(super) fn record_gap(&mut self, gap: Duration, events: u32) {
        let seen = gap.as_secs_f64() * 1_000.0 / f64::from(events.max(1)).min(PAUSE_EVENTS);
        let usual = self.pause_ms.unwrap_or(seen);
        let step = if seen < usual { -3.0 * PAUSE_STEP } else { PAUSE_STEP };
        self.pause_ms = Some(usual * (1.0 + step));
    }

    /// Takes over a report that came with an answer.
    pub(super) fn record_load(&mut self, report: LoadReport, now: Time) {
        self.slowdown = report.slowdown.clamp(SLOWNESS.0, SLOWNESS.1);
        self.slowdown_at = now;
    }

    /// Learns for how long an answer held its slot.
    pub(super) fn record_hold_time(&mut self, hold: Duration) {
        let seen = hold.as_secs_f64() * 1_000.0;
        let usual = self.hold_ms.unwrap_or(seen);
        self.hold_ms = Some(usual + HOLD_WEIGHT * (seen - usual));
    }
}

fn decay(age: Duration, half_life_s: f64) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life_s)
}

//! State of one endpoint as known to this node, learned from the endpoint's responses.

use super::{Distance, Limit, Listing, Load, Outcome, Size, Usage, limit::Bucket};
use crate::capacity;
use std::{collections::HashMap, time::Duration};
use units::{InstanceId, Time, Tokens};

/// Assumed slots of an endpoint that reports none; fewer than any endpoint reports.
const UNKNOWN_SLOTS: u32 = 4;
/// Limit of the slots that an endpoint states; thousands of endpoints together stay far below 2^32.
const MAX_SLOTS: u32 = 100_000;
/// Slots that a node may use at an endpoint before the first allocation; all nodes learn of a new
/// endpoint at once.
const INITIAL_ALLOCATION: u32 = 1;
/// Relative step by which the usual gap follows a longer one. It follows a shorter one by three
/// steps and so converges to the lower quartile, which excludes gaps during prefill.
const GAP_STEP: f64 = 0.02;
/// Weight of a new sample in the usual hold time; converges within about twenty calls.
const HOLD_WEIGHT: f64 = 0.1;
/// Hold time up to which calls are short, in ms: half of the shortest digest interval.
const MAX_SHORT_HOLD_MS: f64 = 50.0;
/// Limit of the times that a slot is used between two digests; calls take at least 5 ms.
const MAX_TURNOVER: f64 = 20.0;
/// Limit of the events by which one gap is divided; more arrive together only after a stall.
const MAX_GAP_EVENTS: f64 = 8.0;
/// Half-life of a reported slowdown, in seconds; it changes every 600 ms with the neighbours' load.
const SLOWDOWN_HALF_LIFE_S: f64 = 0.3;
/// Weight of a new outcome in the failure rate; converges within about twenty requests.
const FAILURE_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate, in seconds, so that a failed endpoint is tried again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// Failure rate from which an endpoint of plain calls counts as failing: five failures in a row.
const MAX_FAILURE_RATE: f64 = 0.5;
/// First backoff after an endpoint was unreachable, doubled each time; shorter than a connection's
/// timeout.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff; an endpoint is back a few seconds after a crash.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Longest time for which an endpoint may ask for no requests.
const MAX_REFUSAL: Duration = Duration::from_secs(300);
/// Backoff after another endpoint responded at the address; meanwhile the listing expires or
/// changes.
const WRONG_ENDPOINT_BACKOFF: Duration = Duration::from_secs(3);
/// Limit of a gap's growth during prefill, in usual gaps: a chunk of a prompt takes five times as
/// long as the step between two chunks.
const MAX_PREFILL_STRETCH: f64 = 5.0;
/// Fraction of a stream's target gap that the expected gap may take.
const GAP_MARGIN: f64 = 0.9;
/// Bounds of the slowdown; wider than the speeds of the data sheets, 0.55 to 2.8.
pub(super) const SLOWDOWN_BOUNDS: (f64, f64) = (0.3, 8.0);

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) listing: Listing,
    pub(super) distance: Distance,
    pub(super) listed_at: Time,
    pub(super) own: Usage,
    pub(super) allocated: u32,
    /// Usual time for which a request holds a slot, in ms.
    hold_ms: Option<f64>,
    pub(super) peers: HashMap<InstanceId, (Usage, Time)>,
    pub(super) gap_ms: Option<f64>,
    slowdown: f64,
    slowdown_at: Time,
    failures: f64,
    failed_at: Time,
    backoff_until: Time,
    /// Time until which it wants no requests of this node.
    refuses_until: Time,
    /// Whether a response of its process has said that it is leaving.
    says_leaving: bool,
    next_backoff: Duration,
    /// This node's share of its limit, if it names one.
    pub(super) bucket: Option<Bucket>,
    /// When a response last named a limit or none.
    pub(super) limit_at: Option<Time>,
    /// When the limit last changed.
    pub(super) limit_changed: Option<Time>,
    /// Estimates, where its service learns.
    pub(super) learned: capacity::Endpoint,
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
            gap_ms: None,
            slowdown: 1.0,
            slowdown_at: Time::ZERO,
            failures: 0.0,
            failed_at: Time::ZERO,
            backoff_until: Time::ZERO,
            refuses_until: Time::ZERO,
            says_leaving: false,
            next_backoff: MIN_BACKOFF,
            bucket: None,
            limit_at: None,
            limit_changed: None,
            learned: capacity::Endpoint::default(),
        }
    }

    pub(super) fn slots(&self) -> u32 {
        if self.listing.slots == 0 { UNKNOWN_SLOTS } else { self.listing.slots.min(MAX_SLOTS) }
    }

    /// Slots within its learned concurrency limit, if it has one.
    pub(super) fn usable_slots(&self, now: Time) -> u32 {
        self.learned.limit(now).map_or(self.slots(), |limit| limit.min(self.slots()))
    }

    pub(super) fn load(&self, ttl: Duration, now: Time) -> Usage {
        let fresh = self.peers.values().filter(|(_, at)| now.since(*at) < ttl);
        fresh.fold(self.own, |sum, (usage, _)| Usage {
            in_flight: sum.in_flight.saturating_add(usage.in_flight),
            pending_prefill: Tokens(sum.pending_prefill.0.saturating_add(usage.pending_prefill.0)),
        })
    }

    /// Times that a free slot can be used before the next allocation. This is 1 for endpoints with
    /// streams: a stream holds its slot while it generates, which the usual hold time hides when
    /// most streams are short.
    pub(super) fn turnover(&self, interval: Duration) -> f64 {
        match self.hold_ms {
            Some(hold) if self.gap_ms.is_none() => {
                (interval.as_secs_f64() * 1_000.0 / hold).clamp(1.0, MAX_TURNOVER)
            }
            _ => 1.0,
        }
    }

    pub(super) fn failure_rate(&self, now: Time) -> f64 {
        self.failures * decay(now.since(self.failed_at), FAILURE_HALF_LIFE_S)
    }

    pub(super) fn reported_slowdown(&self, now: Time) -> f64 {
        1.0 + (self.slowdown - 1.0) * decay(now.since(self.slowdown_at), SLOWDOWN_HALF_LIFE_S)
    }

    fn record_outcome(&mut self, failed: bool, now: Time) {
        let rate = self.failure_rate(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures = rate + FAILURE_WEIGHT * (sample - rate);
        self.failed_at = now;
    }

    fn back_off(&mut self, now: Time) {
        self.backoff_until = now + self.next_backoff;
        self.next_backoff = (self.next_backoff * 2).min(MAX_BACKOFF);
    }

    /// Whether it gets no requests now, after it failed to accept one.
    pub(super) fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until || self.is_refusing(now)
    }

    /// Whether an endpoint of plain calls fails most of them or accepts none. A zone may have no other
    /// one, so that its calls must go to another zone. Endpoints with streams are many.
    pub(super) fn is_failing_calls(&self, now: Time) -> bool {
        self.gap_ms.is_none()
            && (self.is_backing_off(now) || self.failure_rate(now) >= MAX_FAILURE_RATE)
    }

    /// Whether it has asked for no requests of this node for a time that is not over.
    pub(super) fn is_refusing(&self, now: Time) -> bool {
        now < self.refuses_until
    }

    /// Records that it wants no requests of this node for a while.
    pub(super) fn record_refusal(&mut self, wait: Duration, now: Time) {
        self.refuses_until = self.refuses_until.max(now + wait.min(MAX_REFUSAL));
    }

    /// Whether it is leaving, by its entry or by its own word.
    pub(super) fn is_leaving(&self) -> bool {
        self.listing.leaving || self.says_leaving
    }

    /// Records that a response says that it is leaving; true if that is new.
    pub(super) fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.says_leaving, true)
    }

    /// Takes over a changed entry of the same process. One that is ready again does not leave.
    pub(super) fn relist(&mut self, listing: Listing) {
        self.says_leaving &= listing.leaving || !self.listing.leaving;
        self.listing = listing;
    }

    /// Whether its streams stay within a target gap during `prefill_ms` of prefill.
    pub(super) fn keeps_target_gap(&self, target: Option<Duration>, prefill_ms: f64) -> bool {
        let (Some(target), Some(usual)) = (target, self.gap_ms) else { return true };
        let expected = usual + prefill_ms.min(MAX_PREFILL_STRETCH * usual);
        expected <= GAP_MARGIN * target.as_secs_f64() * 1_000.0
    }

    /// Records a request that is being sent.
    pub(super) fn start(&mut self, size: Size) {
        self.own.in_flight += 1;
        self.allocated = self.allocated.saturating_sub(1);
        self.own.pending_prefill.0 = self.own.pending_prefill.0.saturating_add(size.prompt.0);
    }

    /// Records the first response of a request.
    pub(super) fn record_first_response(&mut self, size: Size) {
        self.own.pending_prefill.0 = self.own.pending_prefill.0.saturating_sub(size.prompt.0);
        self.next_backoff = MIN_BACKOFF;
    }

    /// Whether a request may use a free slot that is not allocated to this node: a plain call, if
    /// they are short here.
    pub(super) fn admits_unallocated(&self, streamed: bool) -> bool {
        !streamed
            && self.gap_ms.is_none()
            && self.hold_ms.is_none_or(|hold| hold <= MAX_SHORT_HOLD_MS)
    }

    /// Records the end of a request.
    pub(super) fn finish(&mut self, outcome: Outcome, now: Time) {
        self.own.in_flight = self.own.in_flight.saturating_sub(1);
        self.record_end(outcome, now);
    }

    /// Records the outcome of a request.
    pub(super) fn record_end(&mut self, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Completed => self.record_outcome(false, now),
            Outcome::Failed => self.record_outcome(true, now),
            Outcome::AtCapacity => self.backoff_until = now + MIN_BACKOFF / 5,
            Outcome::WrongEndpoint => self.backoff_until = now + WRONG_ENDPOINT_BACKOFF,
            Outcome::Unreachable => self.back_off(now),
            Outcome::Cancelled => {}
        }
    }

    /// Records the gap before `events` events of a stream.
    pub(super) fn record_gap(&mut self, gap: Duration, events: u32) {
        let sample = gap.as_secs_f64() * 1_000.0 / f64::from(events.max(1)).min(MAX_GAP_EVENTS);
        let usual = self.gap_ms.unwrap_or(sample);
        let step = if sample < usual { -3.0 * GAP_STEP } else { GAP_STEP };
        self.gap_ms = Some(usual * (1.0 + step));
    }

    /// Records a load report; one whose slowdown is not a number says nothing.
    pub(super) fn record_load(&mut self, report: Load, now: Time) {
        if !report.slowdown.is_finite() {
            return;
        }
        self.slowdown = report.slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown_at = now;
    }

    /// Whether its limit allows this node another request now.
    pub(super) fn is_within_limit(&self, now: Time) -> bool {
        self.bucket.is_none_or(|bucket| bucket.has_token(now))
    }

    /// Records the limit that a response named; true if it changes.
    pub(super) fn record_limit(&mut self, limit: Limit, now: Time) -> bool {
        if self.limit_at.is_some_and(|at| limit.at < at) {
            return false;
        }
        self.limit_at = Some(limit.at);
        let known = self.bucket.map(|bucket| bucket.rate);
        if known == limit.rate {
            return false;
        }
        self.limit_changed = Some(now);
        match (&mut self.bucket, limit.rate) {
            (Some(bucket), Some(rate)) => bucket.set(rate, bucket.share(), now),
            (bucket, rate) => *bucket = rate.map(|rate| Bucket::new(rate, now)),
        }
        true
    }

    /// Records for how long a request held its slot.
    pub(super) fn record_hold_time(&mut self, hold: Duration) {
        let sample = hold.as_secs_f64() * 1_000.0;
        let usual = self.hold_ms.unwrap_or(sample);
        self.hold_ms = Some(usual + HOLD_WEIGHT * (sample - usual));
    }
}

fn decay(age: Duration, half_life_s: f64) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life_s)
}

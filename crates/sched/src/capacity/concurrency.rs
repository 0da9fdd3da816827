//! Concurrency limit of one endpoint of plain calls.
//!
//! Load: an endpoint slows down long before all its slots are taken, so that each further call
//! delays the others by more than it gains. [`Curve`] keeps the mean hold time for each concurrency
//! and takes the concurrency with the best score, throughput over a power of the hold time. The limit
//! falls after several evaluations in a row have found a clearly better one, and rises by one from
//! time to time to find out whether the endpoint has recovered.

use super::decay;
use std::time::Duration;
use units::Time;

/// Largest concurrency that is told apart; beyond it, there is no limit.
const MAX_CONCURRENCY: usize = 32;
/// Power of the hold time in a score. At 1 an endpoint whose throughput stays the same would have no
/// best concurrency; at 2 one that gains half of each further call would be limited.
const HOLD_POWER: f64 = 1.25;
/// Ratio of scores from which a lower concurrency is clearly better. With 1.25, slow phases set limits
/// at endpoints without a knee.
const CLEARLY_BETTER: f64 = 1.5;
/// Calls from which the mean of a concurrency is used. With 15 calls, of the last seconds only, slow
/// phases of 600 ms set limits at endpoints without a knee.
const MIN_CALLS: f64 = 40.0;
/// Calls over which a mean extends.
const MAX_CALLS: f64 = 300.0;
/// Half-life of the number of calls, in seconds.
const HALF_LIFE_S: f64 = 30.0;
/// Interval between evaluations: several calls.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);
/// Evaluations in a row that lower the limit.
const MIN_EVALUATIONS: u32 = 3;
/// Time from a fall of the limit to the next attempt to raise it.
const RAISE_AFTER_FALL: Duration = Duration::from_secs(3);
/// Time between two rises: enough for the calls and evaluations that lower it again.
const RAISE_INTERVAL: Duration = Duration::from_secs(2);
/// Calls at the limit without which it does not rise: under a light load, a rise shows nothing.
const MIN_REACHED: u32 = 20;
/// Time without calls after which a limit is dropped.
const MAX_AGE: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, Default)]
struct Bin {
    calls: f64,
    mean: f64,
    at: Time,
}

impl Bin {
    fn calls_at(&self, now: Time) -> f64 {
        self.calls * decay(now.since(self.at), HALF_LIFE_S)
    }

    fn add(&mut self, hold_ms: f64, now: Time) {
        let calls = (self.calls_at(now) + 1.0).min(MAX_CALLS);
        self.mean += (hold_ms - self.mean) / calls;
        self.calls = calls;
        self.at = now;
    }
}

/// Mean hold times by concurrency, and the limit that follows from them.
#[derive(Debug, Clone, Default)]
pub(super) struct Curve {
    bins: Vec<Bin>,
    limit: Option<u32>,
    evaluations: u32,
    evaluated: Time,
    changed: Time,
    raise_after: Duration,
    /// Calls at the limit since it last changed.
    reached: u32,
}

/// Neighbouring concurrencies with one mean: a further call never makes the others faster, so that a
/// lower mean at a higher concurrency is chance.
struct Block {
    last: u32,
    calls: f64,
    mean: f64,
}

impl Curve {
    /// Limit; none if all slots are used well.
    pub(super) fn limit(&self, now: Time) -> Option<u32> {
        self.limit.filter(|_| now.since(self.evaluated) < MAX_AGE)
    }

    /// Records a call; returns the limits before and after if the limit changes.
    pub(super) fn record(
        &mut self,
        concurrency: u32,
        hold_ms: f64,
        slots: u32,
        now: Time,
    ) -> Option<(Option<u32>, Option<u32>)> {
        let index = concurrency.max(1) as usize - 1;
        if index >= MAX_CONCURRENCY {
            return None;
        }
        if self.bins.len() <= index {
            self.bins.resize(index + 1, Bin::default());
        }
        self.bins[index].add(hold_ms, now);
        if self.limit.is_some_and(|limit| concurrency >= limit) {
            self.reached += 1;
        }
        if now.since(self.evaluated) < EVALUATION_INTERVAL {
            return None;
        }
        let before = self.limit;
        if now.since(self.evaluated) >= MAX_AGE {
            self.limit = None;
        }
        self.evaluated = now;
        self.evaluate(slots, now);
        (before != self.limit).then_some((before, self.limit))
    }

    fn evaluate(&mut self, slots: u32, now: Time) {
        match self.better(now) {
            Some(better) if self.limit.is_none_or(|limit| better < limit) => {
                self.evaluations += 1;
                if self.evaluations >= MIN_EVALUATIONS {
                    // What lies above is learned anew when the limit rises.
                    self.bins.truncate(better as usize);
                    self.set(Some(better), RAISE_AFTER_FALL, now);
                }
            }
            _ => {
                self.evaluations = 0;
                if let Some(limit) = self.limit
                    && now.since(self.changed) >= self.raise_after
                    && self.reached >= MIN_REACHED
                {
                    let raised = Some(limit + 1).filter(|raised| *raised < slots);
                    self.set(raised, RAISE_INTERVAL, now);
                }
            }
        }
    }

    fn set(&mut self, limit: Option<u32>, raise_after: Duration, now: Time) {
        self.limit = limit;
        self.raise_after = raise_after;
        self.changed = now;
        self.evaluations = 0;
        self.reached = 0;
    }

    /// Concurrency that is clearly better than the highest one that was seen lately.
    fn better(&self, now: Time) -> Option<u32> {
        let mut blocks: Vec<Block> = Vec::new();
        for (last, bin) in (1..).zip(&self.bins) {
            let calls = bin.calls_at(now);
            if calls < MIN_CALLS {
                continue;
            }
            let mut block = Block { last, calls, mean: bin.mean };
            while let Some(lower) = blocks.pop_if(|lower| lower.mean >= block.mean) {
                let calls = lower.calls + block.calls;
                block.mean = (lower.mean * lower.calls + block.mean * block.calls) / calls;
                block.calls = calls;
            }
            blocks.push(block);
        }
        let score = |block: &Block| f64::from(block.last) / block.mean.powf(HOLD_POWER);
        let top = score(blocks.last()?);
        let best = blocks.iter().max_by(|a, b| score(a).total_cmp(&score(b)))?;
        (score(best) > CLEARLY_BETTER * top).then_some(best.last)
    }
}

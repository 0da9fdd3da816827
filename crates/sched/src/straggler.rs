//! Detection of slow endpoints by their running streams.
//!
//! The holder compares the latest gaps between tokens with the endpoint's usual
//! gap. The endpoint counts as slow only when every response that it streams to
//! this holder is slow, so that a single long response or slow reader has no
//! effect.

use std::time::Duration;
use units::Time;

/// Weight of a new gap in the usual gap.
const WEIGHT: f64 = 0.05;
/// Slowdown from which gaps do not change the usual gap.
const MAX_LEARNED_SLOWDOWN: f64 = 2.5;
/// Lower bound of the usual gap that gaps are compared with.
const MIN_USUAL_GAP: Duration = Duration::from_millis(10);
/// Time since the last token up to which a stream is not considered stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(120);

/// Progress of a running response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time of the latest token.
    pub last: Time,
    /// Time between the latest tokens.
    pub gap: Duration,
}

/// Straggler detector of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detector {
    usual_s: f64,
}

impl Detector {
    /// Slowdown of the endpoint by its running streams, 1 being usual; updates the usual gap.
    pub fn observe(&mut self, streams: &[Progress], now: Time) -> f64 {
        let slowdown = |stream: &Progress| self.slowdown(stream, now);
        let lowest = streams.iter().map(slowdown).min_by(f64::total_cmp).unwrap_or(1.0);
        if lowest < MAX_LEARNED_SLOWDOWN {
            for stream in streams {
                self.learn(stream.gap);
            }
        }
        lowest
    }

    fn slowdown(&self, stream: &Progress, now: Time) -> f64 {
        let silence = now.since(stream.last);
        let observed = if silence > STALL_THRESHOLD { silence.max(stream.gap) } else { stream.gap };
        let usual = self.usual_s.max(MIN_USUAL_GAP.as_secs_f64());
        observed.as_secs_f64() / usual
    }

    fn learn(&mut self, gap: Duration) {
        if gap.is_zero() {
            return;
        }
        let gap = gap.as_secs_f64();
        if self.usual_s == 0.0 {
            self.usual_s = gap;
        }
        self.usual_s += WEIGHT * (gap - self.usual_s);
    }
}

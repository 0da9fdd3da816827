//! Pace of running answers at one endpoint, as their holder sees it.
//!
//! The holder compares the newest gaps between tokens with those that are
//! usual for the endpoint. An endpoint counts as slow only when every answer
//! that it streams to this holder is slow, so that one long answer or one slow
//! reader says nothing.

use std::time::Duration;
use units::Time;

/// Weight of a new gap in the usual one.
const WEIGHT: f64 = 0.05;
/// Slowness above which a gap does not change the usual one.
const UNUSUAL: f64 = 2.5;
/// Shortest usual gap that ratios are taken of.
const SHORTEST: Duration = Duration::from_millis(10);
/// Silence that never counts as slow.
const PATIENCE: Duration = Duration::from_millis(120);

/// Answer in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Time of its newest token.
    pub last: Time,
    /// Time between its newest tokens.
    pub gap: Duration,
}

/// Usual pace of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detector {
    usual_s: f64,
}

impl Detector {
    /// Slowness of the endpoint by its answers in progress; 1 is usual.
    pub fn observe(&mut self, streams: &[Progress], now: Time) -> f64 {
        let slowness = |stream: &Progress| self.slowness(stream, now);
        let lowest = streams.iter().map(slowness).min_by(f64::total_cmp).unwrap_or(1.0);
        if lowest < UNUSUAL {
            for stream in streams {
                self.learn(stream.gap);
            }
        }
        lowest
    }

    fn slowness(&self, stream: &Progress, now: Time) -> f64 {
        let silence = now.since(stream.last);
        let seen = if silence > PATIENCE { silence.max(stream.gap) } else { stream.gap };
        let usual = self.usual_s.max(SHORTEST.as_secs_f64());
        seen.as_secs_f64() / usual
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

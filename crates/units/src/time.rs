//! Monotonic timestamps.

use crate::common;
use std::{
    fmt,
    ops::{Add, Sub},
    time::{Duration, Instant},
};

common! {
    /// Monotonic timestamp in microseconds since the start of its [`Clock`].
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct Time(pub u64);
}

/// Longest duration that [`duration`] returns, in seconds: beyond any timeout, and short enough to
/// be multiplied.
const MAX_SECONDS: f64 = 1e9;

/// Duration of a computed number of seconds; zero if that is negative or not a number.
#[must_use]
pub fn duration(seconds: f64) -> Duration {
    if seconds > 0.0 { Duration::from_secs_f64(seconds.min(MAX_SECONDS)) } else { Duration::ZERO }
}

impl Time {
    /// Start of the clock.
    pub const ZERO: Self = Self(0);

    /// Timestamp at `ms` milliseconds.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Whole milliseconds since the start of the clock.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Duration since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.as_millis())
    }
}

/// Source of [`Time`] timestamps.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Clock that starts at zero now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Current timestamp.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

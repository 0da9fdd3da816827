//! Progress of running streamed responses.

use super::Inner;
use sched::{CellId, straggler::Progress};
use std::{
    collections::HashMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use units::{EndpointId, InstanceId, Time};

/// Slowdown from which an endpoint is reported to the cell's owner, in hundredths.
const REPORTED_SLOWDOWN: u32 = 300;

/// Recorder of the newest token's time and the smoothed token gap of one response; written by the
/// response's reader, read by the dispatcher.
#[derive(Debug, Default)]
pub struct Recorder {
    last_us: AtomicU64,
    gap_us: AtomicU64,
}

impl Recorder {
    /// Records a token; the gap is a moving average over the last few.
    pub fn record_token(&self, now: Time) {
        let last = self.last_us.swap(now.0, Ordering::Relaxed);
        if last == 0 {
            return;
        }
        let gap = now.0.saturating_sub(last);
        let mean = self.gap_us.load(Ordering::Relaxed);
        let new_mean = if mean == 0 { gap } else { (2 * mean + gap) / 3 };
        self.gap_us.store(new_mean, Ordering::Relaxed);
    }

    fn read(&self) -> Option<Progress> {
        let last = self.last_us.load(Ordering::Relaxed);
        let gap = self.gap_us.load(Ordering::Relaxed);
        (last > 0 && gap > 0)
            .then_some(Progress { last: Time(last), gap: Duration::from_micros(gap) })
    }
}

/// Owner, cell, endpoint and its slowdown in hundredths.
type SlowEndpoint = (InstanceId, CellId, EndpointId, u32);

impl Inner {
    /// Endpoints whose responses in progress have reached [`REPORTED_SLOWDOWN`].
    pub(super) fn slow_endpoints(&mut self, now: Time) -> Vec<SlowEndpoint> {
        let mut streams: HashMap<(InstanceId, CellId, EndpointId), Vec<Progress>> = HashMap::new();
        for ((cell, _), used) in &self.in_use {
            if let Some(progress) = used.progress.read() {
                let key = (used.owner.clone(), cell.clone(), used.endpoint.clone());
                streams.entry(key).or_default().push(progress);
            }
        }
        let mut slow = Vec::new();
        for ((owner, cell, endpoint), responses) in streams {
            let detector = self.detectors.entry(endpoint.clone()).or_default();
            let ratio = detector.observe(&responses, now);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
            let hundredths = (ratio * 100.0).clamp(0.0, 1e6) as u32;
            if hundredths >= REPORTED_SLOWDOWN {
                slow.push((owner, cell, endpoint, hundredths));
            }
        }
        slow
    }
}

//! Pace of answers in progress.

use super::Inner;
use sched::{CellId, straggler::Progress};
use std::{
    collections::HashMap,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use units::{EndpointId, InstanceId, Time};

/// Slowness, in hundredths, that is worth a message.
const NOTABLE: u32 = 300;

/// Newest tokens of one answer; written by its reader, read by the dispatcher.
#[derive(Debug, Default)]
pub struct Pace {
    last_us: AtomicU64,
    gap_us: AtomicU64,
}

impl Pace {
    /// Notes a token; the gap is smoothed over the last few.
    pub fn beat(&self, now: Time) {
        let last = self.last_us.swap(now.0, Ordering::Relaxed);
        if last == 0 {
            return;
        }
        let gap = now.0.saturating_sub(last);
        let smooth = self.gap_us.load(Ordering::Relaxed);
        let next = if smooth == 0 { gap } else { (2 * smooth + gap) / 3 };
        self.gap_us.store(next, Ordering::Relaxed);
    }

    fn read(&self) -> Option<Progress> {
        let last = self.last_us.load(Ordering::Relaxed);
        let gap = self.gap_us.load(Ordering::Relaxed);
        (last > 0 && gap > 0)
            .then_some(Progress { last: Time(last), gap: Duration::from_micros(gap) })
    }
}

/// Owner, cell, endpoint and its slowness in hundredths.
type Slow = (InstanceId, CellId, EndpointId, u32);

impl Inner {
    /// Endpoints whose answers in progress are notably slow.
    pub(super) fn slow_endpoints(&mut self, now: Time) -> Vec<Slow> {
        let mut streams: HashMap<(InstanceId, CellId, EndpointId), Vec<Progress>> = HashMap::new();
        for ((cell, _), used) in &self.in_use {
            if let Some(beat) = used.pace.read() {
                let key = (used.owner.clone(), cell.clone(), used.endpoint.clone());
                streams.entry(key).or_default().push(beat);
            }
        }
        let mut slow = Vec::new();
        for ((owner, cell, endpoint), beats) in streams {
            let tempo = self.tempos.entry(endpoint.clone()).or_default();
            let ratio = tempo.observe(&beats, now);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
            let hundredths = (ratio * 100.0).clamp(0.0, 1e6) as u32;
            if hundredths >= NOTABLE {
                slow.push((owner, cell, endpoint, hundredths));
            }
        }
        slow
    }
}

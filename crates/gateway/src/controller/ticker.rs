//! Periodic tasks of the process: timers of the dispatcher, metrics, and
//! detection of pauses.
//!
//! A process that was paused must not act on its old state. When two ticks are
//! too far apart, no request is dispatched until the directory has been read
//! again or [`REFRESH_TIMEOUT`] has passed; meanwhile peers send their facts.

use crate::blackboard::{Blackboard, STALL_THRESHOLD};
use codes::Event;
use slog::warn;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use units::Time;

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(20);
/// Interval between reports of permits in use.
const HELD_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between checks of the progress of responses.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reports of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a pause at which dispatching continues even without a reply from the directory.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs until the process ends.
pub async fn run(board: Arc<Blackboard>) {
    let mut last = board.now();
    let mut stalled = Time::ZERO;
    let mut held_reported = last;
    let mut progress_checked = last;
    let mut metrics_reported = last;
    board.last_tick.store(last.0, Ordering::Relaxed);
    loop {
        tokio::time::sleep(TICK).await;
        let now = board.now();
        if now.since(last) > STALL_THRESHOLD {
            stalled = now;
            begin_refresh(&board, now.since(last));
        }
        if board.stale.load(Ordering::Relaxed) && now.since(stalled) > REFRESH_TIMEOUT {
            board.stale.store(false, Ordering::Relaxed);
        }
        last = now;
        board.last_tick.store(now.0, Ordering::Relaxed);
        board.dispatcher.tick(&board);
        if now.since(held_reported) >= HELD_INTERVAL {
            held_reported = now;
            board.dispatcher.report_held(&board);
            board.strikes.lock().prune(now);
        }
        if now.since(progress_checked) >= PROGRESS_INTERVAL {
            progress_checked = now;
            board.dispatcher.report_slow_endpoints(&board);
        }
        if now.since(metrics_reported) >= METRICS_INTERVAL {
            metrics_reported = now;
            report_metrics(&board);
        }
    }
}

fn begin_refresh(board: &Blackboard, pause: Duration) {
    board.stalled_at.store(board.now().0, Ordering::Relaxed);
    board.stale.store(true, Ordering::Relaxed);
    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    warn!(board.log, "paused"; Event::Stalled, "pause_ms" => pause_ms);
    super::membership::request_sync(board);
}

fn report_metrics(board: &Blackboard) {
    let sizes = board.dispatcher.sizes();
    let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
    board.metrics.gauge("waiting", count(sizes.waiting));
    board.metrics.gauge("in_use", count(sizes.in_use));
    board.metrics.gauge("cells", count(sizes.cells));
    board.metrics.gauge("members", count(board.roster.lock().live().count()));
    board.metrics.gauge("version", board.version().get());
    board.metrics.gauge("store_up", u64::from(board.store_up.load(Ordering::Relaxed)));
}

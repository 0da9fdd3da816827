//! Tick of the process: timers of the dispatcher, and detection of pauses.
//!
//! A process that was paused must not act on what it knew before. When two
//! ticks are too far apart, nothing is sent until the directory has answered
//! or [`REFRESH_LIMIT`] has passed, in which peers have told their facts.

use crate::blackboard::{Blackboard, STALL_THRESHOLD};
use codes::Event;
use slog::warn;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use units::Time;

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(20);
/// Interval of reports about permits in use.
const HELD_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the pace of answers is looked at.
const PACE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a paused process goes on although nobody answers.
const REFRESH_LIMIT: Duration = Duration::from_secs(2);

/// Runs until the process ends.
pub async fn run(board: Arc<Blackboard>) {
    let mut last = board.now();
    let mut stalled = Time::ZERO;
    let mut held = last;
    let mut paced = last;
    let mut measured = last;
    board.last_tick.store(last.0, Ordering::Relaxed);
    loop {
        tokio::time::sleep(TICK).await;
        let now = board.now();
        if now.since(last) > STALL_THRESHOLD {
            stalled = now;
            begin_refresh(&board, now.since(last));
        }
        if board.stale.load(Ordering::Relaxed) && now.since(stalled) > REFRESH_LIMIT {
            board.stale.store(false, Ordering::Relaxed);
        }
        last = now;
        board.last_tick.store(now.0, Ordering::Relaxed);
        board.dispatcher.tick(&board);
        if now.since(held) >= HELD_INTERVAL {
            held = now;
            board.dispatcher.report_held(&board);
            board.ledger.lock().prune(now);
        }
        if now.since(paced) >= PACE_INTERVAL {
            paced = now;
            board.dispatcher.watch_pace(&board);
        }
        if now.since(measured) >= METRICS_INTERVAL {
            measured = now;
            report(&board);
        }
    }
}

fn begin_refresh(board: &Blackboard, pause: Duration) {
    board.stalled_at.store(board.now().0, Ordering::Relaxed);
    board.stale.store(true, Ordering::Relaxed);
    let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    warn!(board.log, "paused"; Event::Stalled, "pause_ms" => pause_ms);
    super::membership::ask_all(board);
}

fn report(board: &Blackboard) {
    let sizes = board.dispatcher.sizes();
    let level = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
    board.metrics.gauge("waiting", level(sizes.waiting));
    board.metrics.gauge("in_use", level(sizes.in_use));
    board.metrics.gauge("cells", level(sizes.cells));
    board.metrics.gauge("members", level(board.roster.lock().live().count()));
    board.metrics.gauge("version", board.version().get());
    board.metrics.gauge("store_up", u64::from(board.store_up.load(Ordering::Relaxed)));
}

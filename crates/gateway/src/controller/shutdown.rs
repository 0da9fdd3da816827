//! Graceful shutdown.
//!
//! The first SIGTERM or SIGINT stops readiness; what was accepted is finished.
//! A second one, or the shutdown deadline, refuses what still waits and ends
//! running answers with a truthful error.

use crate::blackboard::{Blackboard, Phase};
use codes::{Code, Event};
use slog::info;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval at which the work in progress is looked at.
const STEP: Duration = Duration::from_millis(20);
/// Time for ended answers to reach their callers.
const LINGER: Duration = Duration::from_millis(300);

/// Waits for the signal and for the work in progress.
pub async fn wait(board: &Arc<Blackboard>) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    next(&mut terminate, &mut interrupt).await;
    board.phase.send_replace(Phase::Draining);
    info!(board.log, "draining"; Event::Draining,
        "in_progress" => board.in_progress.load(Ordering::Relaxed));
    tokio::select! {
        () = finished(board) => {}
        () = next(&mut terminate, &mut interrupt) => end(board).await,
        () = tokio::time::sleep(board.settings.limits.shutdown) => end(board).await,
    }
}

async fn next(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn finished(board: &Blackboard) {
    while board.in_progress.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(STEP).await;
    }
    tokio::time::sleep(LINGER).await;
}

async fn end(board: &Blackboard) {
    board.phase.send_replace(Phase::Ending);
    board.dispatcher.refuse_all(board, Code::Draining);
    let _ = tokio::time::timeout(Duration::from_secs(2), finished(board)).await;
}

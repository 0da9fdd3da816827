//! Graceful shutdown.
//!
//! After the first SIGTERM or SIGINT the gateway reports not ready and finishes
//! the accepted requests. A second signal, or the shutdown deadline, refuses
//! the requests that still wait and ends running ones with an error that tells
//! whether they may have been executed.

use crate::blackboard::{Blackboard, Phase};
use codes::{Code, Event};
use slog::info;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval of checks for requests in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for finished responses to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Waits for a signal, then for the requests in progress.
pub async fn wait(board: &Arc<Blackboard>) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    next_signal(&mut terminate, &mut interrupt).await;
    board.phase.send_replace(Phase::Draining);
    info!(board.log, "draining"; Event::Draining,
        "in_progress" => board.in_progress.load(Ordering::Relaxed));
    tokio::select! {
        () = drained(board) => {}
        () = next_signal(&mut terminate, &mut interrupt) => force_end(board).await,
        () = tokio::time::sleep(board.settings.limits.shutdown) => force_end(board).await,
    }
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn drained(board: &Blackboard) {
    while board.in_progress.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    tokio::time::sleep(FLUSH_TIME).await;
}

async fn force_end(board: &Blackboard) {
    board.phase.send_replace(Phase::Ending);
    board.dispatcher.refuse_all(board, Code::Draining);
    let _ = tokio::time::timeout(Duration::from_secs(2), drained(board)).await;
}

//! Logger construction.
//!
//! Records are JSON lines on standard output, written by a thread of their
//! own. When its channel is full the newest records are dropped and their
//! number is reported by the next record that fits: a gateway never waits for
//! its log, and goes on when nobody reads it. [`Overflow::Block`] is for short commands, which wait instead.

use slog::{Drain, Logger, o};
use slog_async::OverflowStrategy;

/// Records that may wait for the writing thread.
const CHANNEL_RECORDS: usize = 16_384;

/// What happens when the channel to the writing thread is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overflow {
    /// Drop the newest records and report how many.
    DropAndReport,
    /// Wait for room.
    Block,
}

/// Logger to standard output, with the guard that flushes it.
pub fn root_logger(overflow: Overflow) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(std::io::stdout()).ignore_res();
    let strategy = match overflow {
        Overflow::DropAndReport => OverflowStrategy::DropAndReport,
        Overflow::Block => OverflowStrategy::Block,
    };
    let (drain, guard) = slog_async::Async::new(json)
        .chan_size(CHANNEL_RECORDS)
        .overflow_strategy(strategy)
        .build_with_guard();
    (Logger::root(drain.ignore_res(), o!()), guard)
}

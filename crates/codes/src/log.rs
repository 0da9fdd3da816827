//! Logger construction.
//!
//! Records are written as JSON lines to standard output by a separate thread.
//! When the channel to that thread is full, the newest records are dropped and
//! the next record that fits reports their number. A gateway therefore never
//! waits for its log and keeps running when nobody reads it. Short commands
//! can use [`Overflow::Block`] and wait instead.

use slog::{Drain, Logger, o};
use slog_async::OverflowStrategy;

/// Capacity of the channel to the writing thread, in records.
const CHANNEL_RECORDS: usize = 16_384;

/// Behaviour when the channel to the writing thread is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overflow {
    /// Drop the newest records and report how many.
    DropAndReport,
    /// Wait until the channel has room.
    Block,
}

/// Logger to standard output, with a guard that flushes it when dropped.
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

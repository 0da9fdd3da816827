//! Counts of one endpoint.

use serde::Serialize;
use std::collections::HashMap;

/// What an endpoint has done.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Stats {
    /// Requests admitted.
    pub requests: u64,
    /// Requests answered whole.
    pub whole: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Prompt tokens read.
    pub prefill: u64,
    /// Prompt tokens read for answers that were cancelled or cut.
    pub prefill_wasted: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Longest queue inside the engine.
    pub longest_queue: usize,
    /// Crashes.
    pub crashes: u64,
    /// Orders followed, by fencing number, in order.
    pub orders: Vec<(u64, Box<str>)>,
    /// Orders refused for an old fencing number.
    pub orders_fenced: u64,
    /// Requests that were running when an order was followed.
    pub orders_while_running: u64,
    /// Milliseconds since the newest request came in.
    pub last_request_ms: u64,
    /// Runs of each marked request or idempotency key.
    pub runs: HashMap<Box<str>, u32>,
}

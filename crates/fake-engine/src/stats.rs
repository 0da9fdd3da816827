//! Statistics of one endpoint.

use serde::Serialize;
use std::collections::HashMap;

/// Counters of an endpoint since its process started.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Stats {
    /// Requests admitted.
    pub requests: u64,
    /// Requests completed.
    pub whole: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Prompt tokens prefilled.
    pub prefill: u64,
    /// Prompt tokens prefilled for requests that were cancelled or lost in a crash.
    pub prefill_wasted: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Longest queue inside the engine, in requests.
    pub longest_queue: usize,
    /// Crashes.
    pub crashes: u64,
    /// Placement orders followed, oldest first: fencing number and service.
    pub orders: Vec<(u64, Box<str>)>,
    /// Orders refused because of an old fencing number.
    pub orders_fenced: u64,
    /// Requests that were running when an order was followed, summed over all orders.
    pub orders_while_running: u64,
    /// Time since the newest request arrived, in milliseconds.
    pub last_request_ms: u64,
    /// Runs by request id or idempotency key.
    pub runs: HashMap<Box<str>, u32>,
}

//! Fleet files.

use serde::Deserialize;
use units::{EndpointId, RegionId, ServiceId, ZoneId};

/// Fleet file: endpoints hosted by one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Endpoints.
    #[serde(rename = "endpoint")]
    pub endpoints: Vec<Spec>,
}

/// One endpoint.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name.
    pub id: EndpointId,
    /// Service.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// Base duration of a step, or service time of a plain service, in microseconds.
    pub step_us: u64,
    /// Time that each generating request adds to a step, in microseconds.
    #[serde(default)]
    pub per_request_us: u64,
    /// Prompt tokens prefilled per second.
    #[serde(default = "default_prefill")]
    pub prefill_per_s: u64,
    /// Largest number of requests that run at once.
    pub batch: usize,
    /// Size of the prefix cache, in tokens.
    #[serde(default = "default_cache")]
    pub cache_tokens: u64,
    /// Age of the load figures that the endpoint reports, in milliseconds.
    #[serde(default = "default_lag")]
    pub report_lag_ms: u64,
    /// Time that the endpoint is down after a crash, in milliseconds.
    #[serde(default = "default_restart")]
    pub restart_ms: u64,
    /// Whether orders with an old fencing number are refused.
    #[serde(default = "default_fencing")]
    pub checks_fencing: bool,
    /// Time to load another service's model, in milliseconds.
    #[serde(default = "default_load")]
    pub load_ms: u64,
    /// Whether a crash ends the process.
    #[serde(skip)]
    pub aborts: bool,
}

const fn default_prefill() -> u64 {
    8_000
}

const fn default_cache() -> u64 {
    100_000
}

const fn default_lag() -> u64 {
    1_000
}

const fn default_restart() -> u64 {
    1_500
}

const fn default_fencing() -> bool {
    true
}

const fn default_load() -> u64 {
    1_500
}

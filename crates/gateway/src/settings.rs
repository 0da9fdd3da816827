//! Settings of a gateway, read from a TOML file and validated.

use anyhow::{Context, Result, bail};
use sched::policy::Policy;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};
use units::{Bytes, InstanceId, RegionId, ZoneId};

/// Addresses that the gateway binds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// Other gateways, over QUIC.
    pub peers: SocketAddr,
    /// Operators: health, readiness, status, drain.
    #[serde(default = "loopback")]
    pub operators: SocketAddr,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Files for mutual TLS authentication between gateways.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Certificate of this gateway, PEM.
    pub certificate: PathBuf,
    /// Private key of the certificate, PEM.
    pub key: PathBuf,
    /// Trusted authorities, PEM; two during key rotation.
    pub authorities: Vec<PathBuf>,
    /// Peers to join through, in addition to those listed by the directory.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Addresses of the platform's services.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Table store.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Directory.
    pub directory: SocketAddr,
    /// Time limit for one call.
    #[serde(default = "default_call_timeout", rename = "timeout_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Whether this gateway registers itself with the directory.
    #[serde(default)]
    pub register: bool,
}

const fn default_call_timeout() -> Duration {
    Duration::from_millis(1500)
}

/// Limits on callers' requests and on the queue.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Time limit for receiving a request body.
    #[serde(rename = "body_timeout_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub body_timeout: Duration,
    /// Maximum size of the request headers.
    pub header: Bytes,
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Maximum number of requests, waiting and running.
    pub requests: usize,
    /// Deadline of requests that set none.
    #[serde(rename = "default_deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_deadline: Duration,
    /// Longest deadline; later ones are shortened to it.
    #[serde(rename = "max_deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_deadline: Duration,
    /// Maximum backlog of a cell, as the estimated time to process it.
    #[serde(rename = "horizon_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub horizon: Duration,
    /// Time a request waits in the home region before it is also queued in another region.
    #[serde(rename = "spill_after_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub spill_after: Duration,
    /// Rate limit for traffic of requests queued in other regions, as estimated bytes per second.
    pub cross_region: Bytes,
    /// Time limit for requests in progress after SIGTERM or SIGINT.
    #[serde(rename = "shutdown_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub shutdown: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Bytes(1024 * 1024),
            body_timeout: Duration::from_secs(10),
            header: Bytes(32 * 1024),
            connections: 4096,
            requests: 4096,
            default_deadline: Duration::from_secs(60),
            max_deadline: Duration::from_secs(600),
            horizon: Duration::from_millis(1500),
            spill_after: Duration::from_millis(150),
            cross_region: Bytes(250_000),
            shutdown: Duration::from_secs(60),
        }
    }
}

/// Settings of a gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique among running instances.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// Addresses to bind.
    pub listen: Listen,
    /// Mutual authentication with peers.
    pub peers: Peers,
    /// Services of the platform.
    pub platform: Platform,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// Policy by which endpoints are chosen.
    #[serde(default)]
    pub policy: Policy,
    /// Receiver of StatsD metrics over UDP; without it none are sent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Reads and checks a settings file.
///
/// # Errors
/// The first error found: a syntax or type error with its file and line, or a value out of range
/// with its key.
pub fn read(path: &Path) -> Result<Settings> {
    let name = path.display();
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {name}"))?;
    let settings: Settings = toml::from_str(&text).map_err(|e| {
        let start = e.span().map_or(0, |span| span.start).min(text.len());
        let line = text[..start].matches('\n').count() + 1;
        anyhow::anyhow!("{name}:{line}: {}", e.message())
    })?;
    check(&settings).with_context(|| format!("checking {name}"))?;
    Ok(settings)
}

fn check(settings: &Settings) -> Result<()> {
    let limits = &settings.limits;
    if limits.requests == 0 || limits.connections == 0 {
        bail!("key `limits.requests`, `limits.connections`: allowed: 1 or more");
    }
    if limits.body.get() == 0 || limits.body.get() > 64 * 1024 * 1024 {
        bail!("key `limits.body`: {}; allowed: 1 to 67108864", limits.body);
    }
    if limits.default_deadline > limits.max_deadline {
        bail!("key `limits.default_deadline_ms`: allowed: at most `limits.max_deadline_ms`");
    }
    if limits.horizon.is_zero() {
        bail!("key `limits.horizon_ms`: allowed: 1 or more");
    }
    if settings.peers.authorities.is_empty() {
        bail!("key `peers.authorities`: allowed: at least one file");
    }
    if settings.listen.peers.ip().is_unspecified() {
        bail!("key `listen.peers`: allowed: the address that peers reach this gateway by");
    }
    let addresses = [settings.listen.callers, settings.listen.operators];
    if addresses[0].port() != 0 && addresses[0] == addresses[1] {
        bail!("key `listen.operators`: allowed: an address other than `listen.callers`");
    }
    Ok(())
}

//! The two example deployments in the form in which they are measured.

use anyhow::{Context, Result};
use harness::{Cluster, Profile, Topology};
use load::{Mix, Request};
use serde::Deserialize;
use std::path::PathBuf;

/// Gateways of each deployment.
pub const GATEWAYS: usize = 7;

/// One deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name.
    pub name: Box<str>,
    /// Workload mix of its callers.
    pub mix: Mix,
    /// Model endpoints.
    pub engines: Vec<Engine>,
    folder: PathBuf,
}

/// Performance parameters of an engine in a fleet file.
#[derive(Debug, Clone, Deserialize)]
pub struct Engine {
    /// Name.
    pub id: Box<str>,
    /// Prompt tokens per second; absent for plain services.
    #[serde(default)]
    pub prefill_per_s: f64,
    /// Base time of a decoding step, in microseconds.
    pub step_us: f64,
    /// Time that each running request adds to a step, in microseconds.
    #[serde(default)]
    pub per_request_us: f64,
    /// Maximum batch size, in requests.
    pub batch: f64,
}

#[derive(Debug, Deserialize)]
struct Fleet {
    endpoint: Vec<Engine>,
}

impl Deployment {
    /// Loads a deployment by name.
    ///
    /// # Errors
    /// The name is unknown, or the example cannot be read.
    pub fn named(name: &str) -> Result<Self> {
        let mix =
            Mix::named(name).context("unknown deployment; allowed: roofcare, saddlewright")?;
        let folder = PathBuf::from("examples").join(name);
        let text = std::fs::read_to_string(folder.join("fleet.toml"))
            .context("cannot read the example; run this in the root of the repository")?;
        let fleet: Fleet = toml::from_str(&text)?;
        let engines = fleet.endpoint.into_iter().filter(|e| e.prefill_per_s > 0.0).collect();
        Ok(Self { name: name.into(), mix, engines, folder })
    }

    /// Starts the deployment with a dispatch policy.
    ///
    /// # Errors
    /// A process cannot be started.
    pub async fn start(&self, policy: &str) -> Result<Cluster> {
        let locations = match &*self.name {
            "saddlewright" => [
                ("puget-a", "cascadia-west"),
                ("puget-b", "cascadia-west"),
                ("salem-a", "willamette"),
            ],
            _ => [("adajan", "tapi-west"), ("rander", "tapi-west"), ("naroda", "sabar-north")],
        };
        let topology = Topology {
            profile: Profile::Release,
            fleet: self.folder.join("fleet.toml"),
            services: self.folder.join("services"),
            gateways: GATEWAYS,
            policy: policy.into(),
            locations: locations.iter().map(|(z, r)| ((*z).into(), (*r).into())).collect(),
            limits: "".into(),
            directory_lag_ms: 300,
            isolated: Vec::new(),
        };
        Cluster::start(topology).await
    }

    /// Time that a request takes on an average engine with its shared prefix cached, in milliseconds.
    #[allow(clippy::cast_precision_loss, reason = "token counts are small")]
    pub fn cost_ms(&self, request: &Request) -> f64 {
        let shared = self.mix.tiers[request.tier].shared_prefix;
        let own = request.prompt.saturating_sub(shared) as f64;
        own * self.prompt_ms() + request.output as f64 * self.token_ms()
    }

    fn prompt_ms(&self) -> f64 {
        let rate: f64 = self.engines.iter().map(|e| e.prefill_per_s).sum();
        1000.0 * self.engines.len() as f64 / rate
    }

    fn token_ms(&self) -> f64 {
        let rate: f64 = self
            .engines
            .iter()
            .map(|e| 1e6 * e.batch / (e.step_us + e.per_request_us * e.batch))
            .sum();
        1000.0 * self.engines.len() as f64 / rate
    }

    /// Requests per second of the mix that the engines can serve according to their parameters.
    pub fn nominal_rate(&self) -> f64 {
        let plan = load::Plan::new(7)
            .with_steady(std::time::Duration::from_secs(20), 100.0)
            .build(&self.mix);
        let total: f64 = plan.iter().map(|request| self.cost_ms(request)).sum();
        let mean = total / plan.len() as f64;
        1000.0 * self.engines.len() as f64 / mean
    }
}

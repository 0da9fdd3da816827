//! A store, workers and the operator's configuration, ready for nodes.

use crate::{Defect, Limits, Node, Request, Store, Worker};
use anyhow::{Result, bail};
use http::StatusCode;
use serde_json::{Value, json};
use std::{
    path::Path,
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

/// Number of a node's last lines in an error.
const SHOWN_LINES: usize = 30;
/// Interval at which a worker writes its entry; the platform's `heartbeat_ms`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Longest wait for a readiness status.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins around the nodes under test.
#[derive(Debug)]
pub struct Testbed {
    /// Store.
    pub store: Store,
    /// Workers of the service `llm`.
    pub workers: Vec<Worker>,
    version: u64,
}

/// Route to the service `llm`.
#[must_use]
pub fn route(name: &str, prefix: &str, kind: &str, attempts: usize, resume: bool) -> Value {
    json!({"name": name, "host": "a.example", "prefix": prefix, "route_type": kind,
        "timeout_ms": 8000, "target_latency_ms": 500, "priority": 1, "service": "llm",
        "max_attempts": attempts, "anonymous": false, "stream_resume": resume,
        "target_gap_ms": 250})
}

/// Organisation with a quota in tokens, unlimited at a rate of 0; requests that state no size count
/// as 200 tokens.
#[must_use]
pub fn organisation(name: &str, keys: &[&str], rate: usize, burst: usize) -> Value {
    json!({"name": name, "api_keys": keys, "unit": "token_based", "uncached_tokens": 200,
        "rate_per_s": rate, "burst": burst})
}

/// Configuration with one route of each kind and one organisation.
#[must_use]
pub fn configuration() -> Value {
    json!({"version": 1,
        "routes": [
            route("safe", "/safe/", "idempotent", 2, false),
            route("once", "/once/", "non_idempotent", 1, false),
            route("stream", "/stream/", "streaming", 1, false),
            route("resume", "/resume/", "streaming", 2, true),
        ],
        "services": [{"name": "llm", "health_path": "/healthz", "max_connections": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [organisation("org-1", &["key-1"], 0, 0)]})
}

/// The default [`configuration`] with one organisation that holds these keys.
#[must_use]
pub fn configuration_with_keys(keys: &[&str]) -> Value {
    let mut document = configuration();
    document["tenants"] = json!([organisation("org-1", keys, 0, 0)]);
    document
}

impl Testbed {
    /// Starts a store and workers, without a configuration.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn unconfigured(workers: usize) -> Result<Self> {
        let store = Store::start().await?;
        let mut testbed = Self { store, workers: Vec::new(), version: 0 };
        for number in 0..workers {
            testbed.add_worker(&format!("w-{number}")).await?;
        }
        Ok(testbed)
    }

    /// Starts a store and workers, with the default [`configuration`].
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn start(workers: usize) -> Result<Self> {
        let mut testbed = Self::unconfigured(workers).await?;
        testbed.configure(configuration());
        Ok(testbed)
    }

    /// Starts another worker and registers it as ready.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn add_worker(&mut self, id: &str) -> Result<()> {
        let worker = Worker::start(id).await?;
        self.register(&worker, "ready");
        self.workers.push(worker);
        Ok(())
    }

    /// Writes a worker's entry to the store.
    pub fn register(&self, worker: &Worker, state: &str) {
        self.store.put("servers", &worker.id(), &worker.entry("llm", "z1", state));
    }

    /// Writes a worker's entry again and again, like the workers of the platform, until the task is
    /// aborted.
    #[must_use]
    pub fn beat(&self, worker: &Worker) -> JoinHandle<()> {
        let (store, worker) = (self.store.clone(), worker.clone());
        tokio::spawn(async move {
            for number in 2_u64.. {
                tokio::time::sleep(HEARTBEAT).await;
                let mut entry = worker.entry("llm", "z1", "ready");
                entry["seq"] = number.into();
                store.put("servers", &worker.id(), &entry);
            }
        })
    }

    /// Writes a configuration to the store under a higher version, which is returned.
    pub fn configure(&mut self, mut document: Value) -> u64 {
        self.version += 3;
        document["version"] = self.version.into();
        self.store.put("op", "config", &document);
        self.version
    }

    /// Starts a node and waits until it is ready.
    ///
    /// # Errors
    /// The node does not start or does not become ready.
    pub async fn start_node(&self, program: &Path, name: &str) -> Result<Node> {
        self.start_node_with(program, name, Limits::default()).await
    }

    /// Starts a node with other limits in its settings file and waits until it is ready.
    ///
    /// # Errors
    /// The node does not start or does not become ready.
    pub async fn start_node_with(
        &self,
        program: &Path,
        name: &str,
        limits: Limits,
    ) -> Result<Node> {
        let node = Node::start_with(program, name, "z1", self.store.address, limits)?;
        wait_for_status(&node, StatusCode::OK).await?;
        Ok(node)
    }

    /// Starts a node that carries out rollouts and waits until it is ready.
    ///
    /// # Errors
    /// The node does not start or does not become ready.
    pub async fn start_rollout_node(&self, program: &Path, name: &str) -> Result<Node> {
        let node = Node::start_with_rollouts(program, name, "z1", self.store.address)?;
        wait_for_status(&node, StatusCode::OK).await?;
        Ok(node)
    }

    /// Starts workers of a version and registers them as ready.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn add_version(
        &mut self,
        version: &str,
        count: usize,
        defect: Option<&Defect>,
    ) -> Result<()> {
        for number in 0..count {
            let worker = Worker::start(&format!("{version}-{number}")).await?;
            worker.set_version(version);
            worker.set_defect(defect.cloned());
            self.register(&worker, "ready");
            self.workers.push(worker);
        }
        Ok(())
    }

    /// Number of runs of an attempt, over all workers.
    #[must_use]
    pub fn run_count(&self, attempt: &str) -> usize {
        let runs = self.workers.iter().flat_map(Worker::runs);
        runs.filter(|run| run.attempt == attempt).count()
    }
}

/// Waits until a node's readiness check returns a status.
///
/// # Errors
/// It does not return that status within the timeout.
pub async fn wait_for_status(node: &Node, status: StatusCode) -> Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    while Instant::now() < until {
        let response = Request::new("/readyz", "").send(node.readiness).await;
        if response.is_ok_and(|response| response.status == status) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let output = node.output();
    let last = &output[output.len().saturating_sub(SHOWN_LINES)..];
    bail!(
        "the readiness check did not return {status} within {READY_TIMEOUT:?}; last lines:\n{}",
        last.join("\n")
    )
}

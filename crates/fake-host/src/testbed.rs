//! A store, workers and the operator's document, ready for nodes.

use crate::{Node, Request, Store, Worker};
use anyhow::{Result, bail};
use http::StatusCode;
use serde_json::{Value, json};
use std::{
    path::Path,
    time::{Duration, Instant},
};

/// Longest wait for a node to be ready.
const PATIENCE: Duration = Duration::from_secs(20);

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

/// Organisation whose requests without a stated size count 200 tokens; no allotment at a rate of 0.
#[must_use]
pub fn organisation(name: &str, keys: &[&str], rate: usize, burst: usize) -> Value {
    json!({"name": name, "api_keys": keys, "unit": "token_based", "uncached_tokens": 200,
        "rate_per_s": rate, "burst": burst})
}

/// Document with one route of each kind and one organisation.
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

impl Testbed {
    /// Store and workers, without a configuration.
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

    /// Store, workers and the usual configuration.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn start(workers: usize) -> Result<Self> {
        let mut testbed = Self::unconfigured(workers).await?;
        testbed.configure(configuration());
        Ok(testbed)
    }

    /// Adds a worker.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn add_worker(&mut self, id: &str) -> Result<()> {
        let worker = Worker::start(id).await?;
        self.register(&worker, "ready");
        self.workers.push(worker);
        Ok(())
    }

    /// Writes a worker's entry.
    pub fn register(&self, worker: &Worker, state: &str) {
        self.store.put("servers", &worker.id(), &worker.entry("llm", "z1", state));
    }

    /// Writes a configuration under the next version.
    pub fn configure(&mut self, mut document: Value) -> u64 {
        self.version += 3;
        document["version"] = self.version.into();
        self.store.put("op", "config", &document);
        self.version
    }

    /// Starts a node and waits until it is ready.
    ///
    /// # Errors
    /// It does not become ready.
    pub async fn start_node(&self, program: &Path, name: &str) -> Result<Node> {
        let node = Node::start(program, name, "z1", self.store.address)?;
        wait_for_status(&node, StatusCode::OK).await?;
        Ok(node)
    }

    /// Runs of an attempt at all workers.
    #[must_use]
    pub fn run_count(&self, attempt: &str) -> usize {
        let runs = self.workers.iter().flat_map(Worker::runs);
        runs.filter(|run| run.attempt == attempt).count()
    }
}

/// Waits until a node's readiness has a status.
///
/// # Errors
/// It does not come to that.
pub async fn wait_for_status(node: &Node, status: StatusCode) -> Result<()> {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let answer = Request::new("/readyz", "").send(node.readiness).await;
        if answer.is_ok_and(|answer| answer.status == status) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("the node does not answer {status} to readiness checks")
}

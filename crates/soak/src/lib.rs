//! Randomised soak test of the relay: runs real node processes, injects faults
//! from outside and checks the guarantees on what callers and workers observe.
//!
//! A seed determines which faults occur and when ([`plan`]). [`environment`]
//! owns the processes, the stand-ins and the links between them ([`proxy`]),
//! [`caller`] generates requests, [`record`] holds the observations, and
//! [`check`] finds the guarantees that they violate. The same seed gives the
//! same plan, but timing within a run varies. Seeds that once failed are kept
//! in [`regression`].
//!
//! Clocks are not stepped, since nodes use the wall clock only to order their
//! own incarnations. Links between nodes are not cut, since nodes announce
//! their own addresses; freezing a node makes it unreachable to the others.

pub mod caller;
pub mod check;
pub mod deadly;
pub mod environment;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod regression;

use anyhow::Result;
use caller::Pool;
use check::Violation;
use environment::Environment;
use plan::{Plan, Size, Worker};
use record::Kind;
use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time after the end of all faults within which every request must be served; the platform's
/// `recover_s`.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two attempts to get every kind of request served.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a worker that has crashed under a request is away.
const CRASHED_TIME: Duration = Duration::from_secs(2);
/// Interval at which crashed workers are looked for.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the last response in which an abandoned request could still run.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
    /// Number of requests.
    pub calls: usize,
    /// Number of requests that got status 200.
    pub served: usize,
    /// Number of runs at workers.
    pub runs: usize,
    /// Output lines of each node.
    pub outputs: Vec<Vec<String>>,
}

/// Runs the test with one seed.
///
/// # Errors
/// The environment cannot be set up, or a node cannot be started or signalled.
pub async fn run(program: &Path, seed: u64, size: Size) -> Result<Report> {
    let plan = Plan::new(seed, size);
    let is_deadly = size.workers_do == Worker::Crash;
    let deadly = is_deadly.then(|| deadly::Difference::new(seed).deadly());
    let mut environment = Environment::start(program, size, deadly).await?;
    let pool = Pool::new(seed, environment.start, environment.addresses());
    let callers = (0..size.callers).map(|number| {
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        tokio::spawn(caller::run(pool.clone(), number))
    });
    let mut callers: Vec<_> = callers.collect();
    if is_deadly {
        for kind in [Kind::Deadly, Kind::Similar] {
            callers.push(tokio::spawn(deadly::run(pool.clone(), seed, kind)));
        }
    }
    for step in &plan.steps {
        loop {
            environment.replace_crashed(Some(CRASHED_TIME)).await?;
            let left = step.at.saturating_sub(environment.start.elapsed());
            if left.is_zero() {
                break;
            }
            tokio::time::sleep(if is_deadly { left.min(CRASH_POLL_INTERVAL) } else { left }).await;
        }
        environment.apply(step.action).await?;
    }
    pool.calm();
    tokio::time::sleep(if is_deadly { SETTLE_TIME } else { Duration::ZERO }).await;
    environment.replace_crashed(None).await?;
    environment.clear_faults().await?;
    let kinds = Kind::all(environment.prefix());
    let recovering = (0..size.nodes).map(|node| tokio::spawn(recover(pool.clone(), node, kinds)));
    let recovering: Vec<_> = recovering.collect();
    let mut unrecovered = Vec::new();
    for node in recovering {
        unrecovered.extend(node.await?);
    }
    pool.stop();
    for caller in callers {
        caller.await?;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let outputs = environment.outputs();
    let mut record = environment.into_record();
    record.calls = pool.take_calls();
    record.unrecovered = unrecovered;
    let served = record.calls.iter().filter(|call| call.outcome.status() == Some(200)).count();
    Ok(Report {
        seed,
        violations: check::check(&record),
        calls: record.calls.len(),
        served,
        runs: record.runs.len(),
        outputs,
    })
}

/// Sends each kind of request to a node until the node has served it once; returns the kinds that
/// were not served in time. The callers continue meanwhile, so a single refusal proves nothing.
async fn recover(pool: Arc<Pool>, node: usize, kinds: [Kind; 7]) -> Option<Box<str>> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut unserved = kinds.to_vec();
    loop {
        unserved = pool.unserved(node, &unserved).await;
        if unserved.is_empty() {
            return None;
        }
        if Instant::now() >= deadline {
            return Some(format!("n-{node}: {unserved:?}").into());
        }
        tokio::time::sleep(RECOVERY_INTERVAL).await;
    }
}

//! Randomised soak: real nodes as processes, faults from outside, promises
//! checked on what callers and workers saw.
//!
//! A seed decides which faults come and when ([`plan`]). [`stage`] holds the
//! processes, the stand-ins and the links between them ([`proxy`]);
//! [`caller`] keeps requests coming; [`record`] is what was seen, and
//! [`check`] finds the promises that it breaks. The same seed gives the same
//! plan, though not the same moments within it. Seeds that once failed are kept
//! in [`regression`].
//!
//! Clocks are not stepped: nodes use the wall clock only to order their own
//! lifetimes. Links between nodes are not cut, since nodes announce their own
//! addresses; freezing a node silences it to the others.

pub mod caller;
pub mod check;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod regression;
pub mod stage;

use anyhow::Result;
use caller::Crowd;
use check::Breach;
use plan::{Plan, Size};
use record::Kind;
use stage::Stage;
use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time after the end of all trouble until everything is served; `recover_s` of the platform.
const RECOVERY: Duration = Duration::from_secs(15);
/// Pause between two looks at recovery.
const LOOK: Duration = Duration::from_millis(300);
/// Time after the last answer in which a request that was given up could still run.
const AFTERMATH: Duration = Duration::from_secs(1);

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Broken promises.
    pub breaches: Vec<Breach>,
    /// Requests.
    pub calls: usize,
    /// Those that were answered with success.
    pub served: usize,
    /// Runs at workers.
    pub runs: usize,
    /// Output of the nodes.
    pub outputs: Vec<Vec<String>>,
}

/// Plays one seed.
///
/// # Errors
/// The stage cannot be set up.
pub async fn run(program: &Path, seed: u64, size: Size) -> Result<Report> {
    let plan = Plan::new(seed, size);
    let mut stage = Stage::start(program, size).await?;
    let crowd = Crowd::new(seed, stage.start, stage.addresses());
    let callers = (0..size.callers).map(|number| {
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        tokio::spawn(caller::run(crowd.clone(), number))
    });
    let callers: Vec<_> = callers.collect();
    for step in &plan.steps {
        tokio::time::sleep(step.at.saturating_sub(stage.start.elapsed())).await;
        stage.act(step.action).await?;
    }
    stage.heal().await?;
    let kinds = Kind::all(stage.prefix());
    let recovering = (0..size.nodes).map(|node| tokio::spawn(recover(crowd.clone(), node, kinds)));
    let recovering: Vec<_> = recovering.collect();
    let mut unrecovered = Vec::new();
    for node in recovering {
        unrecovered.extend(node.await?);
    }
    crowd.stop();
    for caller in callers {
        caller.await?;
    }
    tokio::time::sleep(AFTERMATH).await;
    let outputs = stage.outputs();
    let mut record = stage.into_record();
    record.calls = crowd.take_calls();
    record.unrecovered = unrecovered;
    let served = record.calls.iter().filter(|call| call.outcome.status() == Some(200)).count();
    Ok(Report {
        seed,
        breaches: check::check(&record),
        calls: record.calls.len(),
        served,
        runs: record.runs.len(),
        outputs,
    })
}

/// Asks a node for each kind of request until it has served it once; what it did not serve in time.
/// Callers go on beside, so single refusals are no sign.
async fn recover(crowd: Arc<Crowd>, node: usize, kinds: [Kind; 7]) -> Option<Box<str>> {
    let until = Instant::now() + RECOVERY;
    let mut unserved = kinds.to_vec();
    loop {
        unserved = crowd.unserved(node, &unserved).await;
        if unserved.is_empty() {
            return None;
        }
        if Instant::now() >= until {
            return Some(format!("n-{node}: {unserved:?}").into());
        }
        tokio::time::sleep(LOOK).await;
    }
}

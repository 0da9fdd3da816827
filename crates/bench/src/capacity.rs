//! Capacity of a deployment, measured by saturating its engines directly.

use crate::deployment::Deployment;
use anyhow::Result;
use harness::{Client, Cluster};
use load::{Plan, Request};
use ntex::http::Method;
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Time before counting starts.
const WARMUP: Duration = Duration::from_secs(2);
/// Time during which completed work is counted.
const COUNTED: Duration = Duration::from_secs(8);

/// Capacity of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Cost served per second, in milliseconds of an average engine.
    pub cost_ms: f64,
    /// Fraction of the nominal capacity, which the engines' parameters give.
    pub nominal_fraction: f64,
}

/// Measures the capacity as the larger result of two saturating runs.
///
/// # Errors
/// The deployment or the client cannot be started.
pub async fn measure_capacity(deployment: &Deployment) -> Result<Capacity> {
    let cluster = deployment.start("permits").await?;
    let first = measure(deployment, &cluster).await?;
    let second = measure(deployment, &cluster).await?;
    let cost_ms = first.max(second);
    #[allow(clippy::cast_precision_loss, reason = "few engines")]
    let nominal_fraction = cost_ms / (1000.0 * deployment.engines.len() as f64);
    println!(
        "{}",
        serde_json::json!({"capacity_ms_per_s": cost_ms, "part_of_nominal": nominal_fraction})
    );
    Ok(Capacity { cost_ms, nominal_fraction })
}

/// Cost that saturated engines serve per second, in milliseconds of an average engine.
///
/// # Errors
/// The client cannot be created.
async fn measure(deployment: &Deployment, cluster: &Cluster) -> Result<f64> {
    let plan = Plan::new(99).with_steady(Duration::from_secs(30), 200.0).build(&deployment.mix);
    let queue = Rc::new(RefCell::new(plan));
    let served = Rc::new(RefCell::new(0.0));
    let client = Client::new().await?;
    let start = Instant::now();
    let mut workers = Vec::new();
    for engine in &deployment.engines {
        let Some(address) = cluster.endpoint_addresses.get(&*engine.id).copied() else {
            continue;
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
        let concurrency = engine.batch as usize + 2;
        for _ in 0..concurrency {
            let (queue, served) = (Rc::clone(&queue), Rc::clone(&served));
            let (client, deployment) = (client.clone(), deployment.clone());
            workers.push(ntex::rt::spawn(async move {
                while start.elapsed() < WARMUP + COUNTED {
                    let Some(request) = next(&queue) else { return };
                    let body = request.body(&deployment.mix);
                    let sent =
                        client.call(Method::POST, address, "/v1/chat/completions", &[], &body);
                    let complete = sent.await.is_ok_and(|response| response.complete);
                    let at = start.elapsed();
                    if complete && at > WARMUP && at < WARMUP + COUNTED {
                        *served.borrow_mut() += deployment.cost_ms(&request);
                    }
                }
            }));
        }
    }
    for worker in workers {
        let _ = worker.await;
    }
    let total = *served.borrow();
    Ok(total / COUNTED.as_secs_f64())
}

fn next(queue: &Rc<RefCell<Vec<Request>>>) -> Option<Request> {
    queue.borrow_mut().pop()
}

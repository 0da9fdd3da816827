//! Capacity, measured by saturating the engines directly.

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

/// Time before counting begins.
const WARM: Duration = Duration::from_secs(2);
/// Time that is counted.
const COUNTED: Duration = Duration::from_secs(8);

/// Capacity of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Cost served a second, in milliseconds of an average engine.
    pub cost_ms: f64,
    /// Part of what the engines' constants promise.
    pub part: f64,
}

/// Capacity as the larger of two direct saturations.
///
/// # Errors
/// The engines do not answer.
pub async fn measure_capacity(deployment: &Deployment) -> Result<Capacity> {
    let guild = deployment.start("permits").await?;
    let first = measure(deployment, &guild).await?;
    let second = measure(deployment, &guild).await?;
    let cost_ms = first.max(second);
    #[allow(clippy::cast_precision_loss, reason = "few engines")]
    let part = cost_ms / (1000.0 * deployment.engines.len() as f64);
    println!("{}", serde_json::json!({"capacity_ms_per_s": cost_ms, "part_of_nominal": part}));
    Ok(Capacity { cost_ms, part })
}

/// Cost that the engines serve a second when each is kept full, in milliseconds of an average engine.
///
/// # Errors
/// The engines do not answer.
async fn measure(deployment: &Deployment, guild: &Cluster) -> Result<f64> {
    let plan = Plan::new(99).with_steady(Duration::from_secs(30), 200.0).build(&deployment.mix);
    let queue = Rc::new(RefCell::new(plan));
    let served = Rc::new(RefCell::new(0.0));
    let client = Client::new().await?;
    let start = Instant::now();
    let mut workers = Vec::new();
    for engine in &deployment.engines {
        let Some(address) = guild.endpoint_addresses.get(&*engine.id).copied() else {
            continue;
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
        let streams = engine.batch as usize + 2;
        for _ in 0..streams {
            let (queue, served) = (Rc::clone(&queue), Rc::clone(&served));
            let (client, deployment) = (client.clone(), deployment.clone());
            workers.push(ntex::rt::spawn(async move {
                while start.elapsed() < WARM + COUNTED {
                    let Some(request) = next(&queue) else { return };
                    let body = request.body(&deployment.mix);
                    let sent =
                        client.call(Method::POST, address, "/v1/chat/completions", &[], &body);
                    let whole = sent.await.is_ok_and(|answer| answer.complete);
                    let at = start.elapsed();
                    if whole && at > WARM && at < WARM + COUNTED {
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

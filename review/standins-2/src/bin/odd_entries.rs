//! Another writer leaves unreadable entries beside those of the workers, and then a worker drains.
//!
//! The entries name no worker, and the others must hold: later than `drain_ms` after the store has the
//! draining entry, no request may reach that worker.

use anyhow::{Context, Result};
use fake_host::{Request, Testbed, testbed};
use http::StatusCode;
use review_standins_2::{Case, needs, run};
use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

/// Number of unreadable entries.
const ODD_ENTRIES: usize = 150;
/// Pause between two of them, at which they stay below the 400 writing calls a second of the sheet.
const ODD_PAUSE: Duration = Duration::from_millis(3);
/// Bytes of an entry, as many as `max_row_bytes` allows.
const ODD_BYTES: usize = 65_536;
/// Largest `drain_ms` of the deployments.
const DRAIN_TIME: Duration = Duration::from_millis(4_000);
/// Time after the draining entry in which requests are sent.
const SENDING: Duration = Duration::from_secs(12);
/// Pause between two requests to a node.
const PAUSE: Duration = Duration::from_millis(40);

#[tokio::main]
async fn main() -> ExitCode {
    run(play).await
}

async fn play(case: Case) -> Result<usize> {
    let record = &case.record;
    let mut bed = Testbed::unconfigured(3).await?;
    bed.configure(testbed::configuration());
    let mut nodes = Vec::new();
    for name in ["edge-1", "edge-2"] {
        nodes.push(bed.start_node(&case.program, name).await?);
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    if case.trouble {
        for number in 0..ODD_ENTRIES {
            let bytes: Vec<u8> = (0..ODD_BYTES).map(|at| ((at * 7 + number) % 251) as u8).collect();
            bed.store.put_raw("servers", &format!("odd-{number}"), &bytes);
            tokio::time::sleep(ODD_PAUSE).await;
        }
        record
            .add(format!("{ODD_ENTRIES} unreadable entries of {ODD_BYTES} bytes are in the store"));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let leaving = bed.workers[0].clone();
    bed.register(&leaving, "draining");
    let drained = Instant::now();
    record.add(format!("the store has the entry of {}: draining", leaving.id()));
    let mut sent = 0;
    while drained.elapsed() < SENDING {
        for (number, node) in nodes.iter().enumerate() {
            let attempt = format!("at-{sent}-{number}");
            let request = Request::new("/once/", &attempt).with_body(b"x");
            let response = request.send(node.callers).await.context("an answer")?;
            needs(response.status == StatusCode::OK, "the other workers serve")?;
        }
        sent += 1;
        tokio::time::sleep(PAUSE).await;
    }
    let mut late = 0;
    for run in leaving.runs() {
        let after = run.started_at.saturating_duration_since(drained);
        if after > DRAIN_TIME {
            late += 1;
            record.add(format!(
                "{} reaches {} {:.3} s after the store had its draining entry",
                run.attempt,
                leaving.id(),
                after.as_secs_f64()
            ));
        }
    }
    record.add(format!("{} requests sent, {late} reached the leaving worker too late", 2 * sent));
    for (number, node) in nodes.iter().enumerate() {
        if let Some(line) = node.log_lines(&["store lost"]).last() {
            record.add(format!("log of edge-{}: {line}", number + 1));
        }
    }
    Ok(late)
}

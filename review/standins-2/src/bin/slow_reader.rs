//! Callers that stop reading for some seconds in the middle of an answer.
//!
//! Each caller gets one answer on its connection, and then sends the request that counts. The node
//! is told that its settings file has changed, or to stop, as planned work. The callers that are
//! disturbed read on after `PAUSE`, well within the time limit of their request.

use anyhow::{Context, Result};
use fake_host::{Limits, Testbed, testbed};
use review_standins_2::{Caller, Case, needs, request, run};
use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

/// Time for which a caller reads nothing.
const PAUSE: Duration = Duration::from_millis(5_000);
/// Time limit of a request, and of its route.
const LIMIT_MS: u64 = 12_000;
/// Receive buffer of a caller.
const BUFFER_BYTES: u32 = 8_192;
/// Number of callers of a node.
const CALLERS: usize = 6;
/// Events of a stream, each of some 70 bytes; the longest one of the sheet's site file has 360.
const EVENTS: u64 = 300;
/// Bytes that are added to the data of an event.
const EVENT_BYTES: usize = 46;
/// Time in which the node reads a request and passes it on.
const PASS_TIME: Duration = Duration::from_millis(300);
/// Number of cut answers that the rule allows on kept connections without planned work.
const ALLOWED: usize = 3;

#[tokio::main]
async fn main() -> ExitCode {
    run(play).await
}

async fn play(case: Case) -> Result<usize> {
    let mut cut = 0;
    for signal in [None, Some("HUP"), Some("TERM")] {
        cut += play_one(&case, signal).await?;
    }
    Ok(cut)
}

/// One node with one worker and some callers; the number of answers that break the rule.
async fn play_one(case: &Case, signal: Option<&str>) -> Result<usize> {
    let record = &case.record;
    let name = signal.map_or("no planned work".to_owned(), |signal| format!("SIG{signal}"));
    record.add(format!("== {name}"));
    let mut bed = Testbed::unconfigured(1).await?;
    let mut document = testbed::configuration();
    for route in document["routes"].as_array_mut().context("a list")? {
        route["timeout_ms"] = LIMIT_MS.into();
    }
    bed.configure(document);
    let limits = Limits { memory_mb: 160, max_fds: 4_100 };
    let mut node = bed.start_node_with(&case.program, "edge-1", limits).await?;
    let worker = bed.workers[0].clone();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = Caller::connect(node.callers, Some(BUFFER_BYTES)).await?;
        let attempt = format!("{name}-{number}-first").replace(' ', "-");
        caller.send(&request("GET", "/safe/", &attempt, LIMIT_MS, "", "")).await?;
        let answer = caller.read(Duration::from_secs(5)).await;
        needs(answer.complete && answer.status == Some(200), "the first request is answered")?;
        callers.push(caller);
    }
    worker.set_stream(EVENTS, Duration::from_millis(1));
    worker.set_event_padding(EVENT_BYTES);
    if signal == Some("HUP") {
        node.signal("HUP")?;
        record.add("SIGHUP sent");
    }
    let sent = Instant::now();
    let mut reading = Vec::new();
    for (number, mut caller) in callers.into_iter().enumerate() {
        let attempt = format!("{name}-{number}").replace(' ', "-");
        let size = "X-Token-Usage: 100,300\r\n";
        caller.send(&request("POST", "/stream/", &attempt, LIMIT_MS, size, "x")).await?;
        record.add(format!("{attempt}: POST /stream/ sent on a kept connection"));
        let pause = if case.trouble { PAUSE } else { Duration::ZERO };
        reading.push(tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            (attempt, caller.read(Duration::from_secs(7)).await, sent.elapsed())
        }));
    }
    tokio::time::sleep(PASS_TIME).await;
    if signal == Some("TERM") {
        node.signal("TERM")?;
        record.add("SIGTERM sent");
    }
    let mut cut = 0;
    for task in reading {
        let (attempt, answer, after) = task.await?;
        let runs = bed.run_count(&attempt);
        record.add(format!(
            "{attempt}: runs {runs}, status {:?}, {} bytes, complete {}, {} ({:.1} s after it was sent)",
            answer.status,
            answer.bytes,
            answer.complete,
            answer.error.as_deref().unwrap_or("open"),
            after.as_secs_f64(),
        ));
        let in_time = after < Duration::from_millis(LIMIT_MS);
        cut += usize::from(runs > 0 && !answer.complete && in_time);
    }
    if signal != Some("TERM") {
        needs(node.is_running(), "the node runs")?;
    }
    // The rule allows some cuts on kept connections, but none around planned work.
    let broken = if signal.is_some() || cut > ALLOWED { cut } else { 0 };
    record.add(format!("{name}: {cut} answers cut, {broken} against the rule"));
    Ok(broken)
}

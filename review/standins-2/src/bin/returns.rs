//! Two machines, one after the other, lose the store for two seconds and return; a worker leaves without
//! notice.
//!
//! The other two machines always reach the store. Later than `drain_ms` after the worker's entry is
//! gone, no request may reach the worker from them. It serves a little longer than that, and exits.

use anyhow::{Context, Result};
use fake_host::{Node, Request, Store, Testbed, Worker, testbed};
use http::StatusCode;
use review_standins_2::{Case, Record, needs, run};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// `drain_ms` of the small deployments.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time that the worker serves beyond that.
const LITTLE_LONGER: Duration = Duration::from_millis(300);
/// Length of a cut.
const CUT_TIME: Duration = Duration::from_millis(2_000);
/// Time between the two cuts.
const CUT_STEP: Duration = Duration::from_millis(2_100);
/// Time from the first return until the worker's entry is gone.
const LEAVE_DELAY: Duration = Duration::from_millis(1_300);
/// Interval at which each worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time without any disturbance before the cuts.
const CALM: Duration = Duration::from_secs(5);
/// Callers of each machine that is never cut.
const CALLERS: usize = 3;
/// Time that a booking takes at a worker.
const WORK: Duration = Duration::from_millis(60);

/// Path from a machine to the store that can be cut.
struct Link {
    address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Link {
    async fn start(store: SocketAddr, number: u8) -> Result<Self> {
        let listener =
            TcpListener::bind((IpAddr::V4(Ipv4Addr::new(127, 38, 10, number)), 0)).await?;
        let address = listener.local_addr()?;
        let (cut, is_cut) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut is_cut = is_cut.clone();
                tokio::spawn(async move {
                    if *is_cut.borrow() {
                        return;
                    }
                    let Ok(mut other) = TcpStream::connect(store).await else { return };
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut stream, &mut other) => {}
                        _ = is_cut.wait_for(|cut| *cut) => {}
                    }
                });
            }
        });
        Ok(Self { address, cut })
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    run(play).await
}

/// Sends one booking after the other until `until`; the attempts and whether each was answered with
/// success.
async fn book(callers: SocketAddr, name: String, until: Instant) -> Vec<(String, String)> {
    let mut outcomes = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        let attempt = format!("{name}-{number}");
        let request = Request::new("/once/", &attempt).with_body(b"x");
        let outcome = match request.send(callers).await {
            Ok(response) => response.status.as_u16().to_string(),
            Err(error) => format!("no answer: {error:#}"),
        };
        outcomes.push((attempt, outcome));
        number += 1;
    }
    outcomes
}

/// Writes a worker's entry again and again, until the task is aborted.
fn beat(store: &Store, worker: &Worker, offset: u32) -> JoinHandle<()> {
    let (store, worker) = (store.clone(), worker.clone());
    tokio::spawn(async move {
        tokio::time::sleep(HEARTBEAT * offset / 3).await;
        for number in 2_u64.. {
            let mut entry = worker.entry("llm", "z1", "ready");
            entry["seq"] = number.into();
            store.put("servers", &worker.id(), &entry);
            tokio::time::sleep(HEARTBEAT).await;
        }
    })
}

/// Removes the entry of a worker and ends the worker a little later than `drain_ms`.
async fn leave(bed: &Testbed, worker: &Worker, record: &Record) -> Instant {
    bed.store.remove("servers", &worker.id());
    let gone = Instant::now();
    record.add(format!("the entry of {} is gone from the store", worker.id()));
    tokio::time::sleep(DRAIN_TIME + LITTLE_LONGER).await;
    worker.crash().await;
    record.add(format!("{} has ended", worker.id()));
    gone
}

async fn play(case: Case) -> Result<usize> {
    let record = &case.record;
    let mut bed = Testbed::unconfigured(3).await?;
    bed.configure(testbed::configuration());
    bed.workers.iter().for_each(|worker| worker.set_work(WORK));
    let beats: Vec<_> =
        (0..).zip(&bed.workers).map(|(number, worker)| beat(&bed.store, worker, number)).collect();
    let mut nodes = Vec::new();
    let mut links = Vec::new();
    for number in 1..=4_u8 {
        let link = Arc::new(Link::start(bed.store.address, number).await?);
        let name = format!("edge-{number}");
        let node = Node::start(&case.program, &name, "z1", link.address)?;
        testbed::wait_for_status(&node, StatusCode::OK).await?;
        nodes.push(node);
        links.push(link);
    }
    tokio::time::sleep(CALM).await;
    if case.trouble {
        for (number, link) in links.iter().enumerate().skip(2) {
            let (link, record) = (Arc::clone(link), record.clone());
            let begin = CUT_STEP * u32::try_from(number - 2)?;
            tokio::spawn(async move {
                tokio::time::sleep(begin).await;
                link.cut.send_replace(true);
                record.add(format!("edge-{} is cut from the store", number + 1));
                tokio::time::sleep(CUT_TIME).await;
                link.cut.send_replace(false);
                record.add(format!("edge-{} reaches the store again", number + 1));
            });
        }
    }
    let end = Instant::now() + CUT_TIME + LEAVE_DELAY + DRAIN_TIME + 2 * CUT_TIME;
    let mut booking: Vec<JoinHandle<Vec<(String, String)>>> = Vec::new();
    for number in 0..2 {
        for caller in 0..CALLERS {
            let name = format!("edge-{}-{caller}", number + 1);
            booking.push(tokio::spawn(book(nodes[number].callers, name, end)));
        }
    }
    tokio::time::sleep(CUT_TIME + LEAVE_DELAY).await;
    let leaving = bed.workers[0].clone();
    beats[0].abort();
    let gone = leave(&bed, &leaving, record).await;
    let mut outcomes = Vec::new();
    for task in booking {
        outcomes.extend(task.await?);
    }
    needs(outcomes.len() > 100, "bookings were sent")?;
    let mut late = 0;
    for run in leaving.runs() {
        let after = run.started_at.saturating_duration_since(gone);
        if after <= DRAIN_TIME {
            continue;
        }
        late += 1;
        let outcome = outcomes.iter().find(|(attempt, _)| *attempt == run.attempt);
        let (_, outcome) = outcome.context("every run is of a booking")?;
        record.add(format!(
            "{} reaches {} {:.3} s after its entry was gone; its caller gets {outcome}",
            run.attempt,
            leaving.id(),
            after.as_secs_f64()
        ));
    }
    let lost =
        outcomes.iter().filter(|(attempt, outcome)| outcome != "200" && bed.run_count(attempt) > 0);
    record.add(format!(
        "{} bookings, {late} reached the worker that is gone too late, {} ran and lost their answer",
        outcomes.len(),
        lost.count()
    ));
    Ok(late)
}

//! LOST: requests that still wait for a worker when a node stops are dropped
//! without an answer.

use crate::{
    Verdict,
    caller::Request,
    cases,
    record::Record,
    relay::Relay,
    store::Store,
    worker::{Answers, Call, Worker},
};
use anyhow::Result;
use std::{
    cell::RefCell,
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{io::AsyncWriteExt, net::TcpStream, task::spawn_local};

/// Number of bookings that are sent at once.
const BOOKINGS: usize = 6;
/// Requests that the worker runs at the same time.
const SLOTS: u32 = 2;
/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(5_000);
/// Time that a client waits.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time from the bookings to the signal.
const STOP_AFTER: Duration = Duration::from_millis(1_000);
/// `loss_slack_ms` of the settings.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);

struct Desk {
    record: Rc<Record>,
    passed_on: RefCell<BTreeSet<String>>,
}

impl Answers for Desk {
    async fn answer(&self, stream: &mut TcpStream, call: Call) -> Result<bool> {
        let attempt = call.attempt().to_owned();
        self.record.write(&format!("desk: {attempt} runs"));
        self.passed_on.borrow_mut().insert(attempt.clone());
        tokio::time::sleep(WORK).await;
        let signature = format!("X-Response-Signature: desk.{attempt}\r\n");
        stream.write_all(&call.answer("200 OK", &signature, b"booked")).await?;
        Ok(true)
    }
}

/// Plays the case.
///
/// # Errors
/// The case cannot run.
pub async fn play(record: &Rc<Record>, trouble: bool) -> Result<Verdict> {
    let store = Store::start().await?;
    let route = cases::route("/book/", "non_idempotent", "desk", 20_000, 15_000);
    cases::configure(&store, &[route], &["desk"]);
    let desk = Rc::new(Desk { record: Rc::clone(record), passed_on: RefCell::default() });
    let worker = Worker::start("i-desk", Rc::clone(&desk)).await?;
    store.put("servers", &worker.id, &worker.entry("desk", "adajan", SLOTS, "ready"));
    let mut relay = Relay::start(record, "edge-adajan-1", "adajan", store.address)?;
    relay.wait_stable().await?;
    let mut clients = Vec::new();
    for number in 0..BOOKINGS {
        let (address, record) = (relay.callers, Rc::clone(record));
        clients.push(spawn_local(async move {
            let attempt = format!("booking-{number}");
            let mut request = Request::new("POST /book/visit", &attempt, DEADLINE);
            request.body = b"one visit".to_vec();
            record.write(&format!("client: {attempt} sent"));
            let sent = Instant::now();
            let answer = request.send(address).await?;
            record.write(&format!("client: {attempt}: {answer}"));
            anyhow::Ok((attempt, answer, sent.elapsed()))
        }));
    }
    tokio::time::sleep(STOP_AFTER).await;
    let stopped = Instant::now();
    if trouble {
        relay.signal("TERM")?;
    }
    let mut verdict = Verdict::Held;
    for client in clients {
        let (attempt, answer, took) = client.await??;
        // A run in progress at the end of the grace period is excused; a request that no worker
        // has got is not.
        let excused = desk.passed_on.borrow().contains(&attempt) || answer.timed_out;
        if !answer.is_complete() && !excused && took > LOSS_SLACK {
            record.write(&format!("LOST: {attempt}, read and queued, ended without an answer"));
            verdict = Verdict::Broken;
        }
    }
    if trouble {
        while relay.ended()?.is_none() && stopped.elapsed() < GRACE {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let ended = relay.ended()?;
        record.write(&format!(
            "{} {:?} after the signal: {ended:?}",
            relay.name,
            stopped.elapsed()
        ));
    }
    Ok(verdict)
}

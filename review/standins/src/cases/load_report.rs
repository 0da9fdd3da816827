//! LOST: one spoiled load figure of a worker makes a node drop the answers of
//! sound workers, and all later requests for the service.

use crate::{
    Verdict,
    caller::{Connection, Request},
    cases,
    record::Record,
    relay::Relay,
    store::Store,
    worker::{Answers, Call, Worker},
};
use anyhow::Result;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{io::AsyncWriteExt, net::TcpStream, task::spawn_local};

/// Number of workers; the first one is faulty: a third of them, of the 0.35 that the site names.
const WORKERS: usize = 3;
/// Requests that a worker runs at the same time.
const SLOTS: u32 = 6;
/// Every so many of its answers, the faulty worker spoils one: 0.02, as the site names.
const SPOILED_INTERVAL: u32 = 50;
/// Time for which it does so, from the first answer; the site names up to 6.87 s.
const SPOILED_FOR: Duration = Duration::from_millis(6_500);
/// Time that a call takes.
const WORK: Duration = Duration::from_millis(100);
/// Number of clients, with one kept connection each.
const CLIENTS: usize = 40;
/// Time of the traffic.
const TRAFFIC: Duration = Duration::from_secs(12);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Time that a client waits; also `timeout_ms` of the route.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Number of lost answers that the rule allows.
const LOST_ALLOWED: usize = 3;

#[derive(Default)]
struct Runs(RefCell<BTreeMap<String, usize>>);

struct Desk {
    number: usize,
    record: Rc<Record>,
    runs: Rc<Runs>,
    is_faulty: bool,
    first_answer: Cell<Option<Instant>>,
    answers: Cell<u32>,
}

impl Answers for Desk {
    async fn answer(&self, stream: &mut TcpStream, call: Call) -> Result<bool> {
        let attempt = call.attempt().to_owned();
        self.runs.0.borrow_mut().insert(attempt.clone(), self.number);
        self.record.write(&format!("desk {}: {attempt} runs", self.number));
        tokio::time::sleep(WORK).await;
        self.answers.set(self.answers.get() + 1);
        let first = self.first_answer.get().unwrap_or_else(Instant::now);
        self.first_answer.set(Some(first));
        let is_spoiled = self.is_faulty
            && self.answers.get().is_multiple_of(SPOILED_INTERVAL)
            && first.elapsed() < SPOILED_FOR;
        let percent = if is_spoiled { "nan" } else { "100" };
        if is_spoiled {
            self.record.write(&format!("desk {}: spoils a figure of {attempt}", self.number));
        }
        let headers = format!(
            "X-Server-Load: 1,0,{SLOTS},{percent}\r\nX-Response-Signature: desk.{attempt}\r\n"
        );
        stream.write_all(&call.answer("200 OK", &headers, b"found")).await?;
        Ok(true)
    }
}

#[derive(Default)]
struct Counts {
    answered: Cell<usize>,
    unanswered: Cell<usize>,
    lost: Cell<usize>,
}

async fn client(
    number: usize,
    address: SocketAddr,
    record: Rc<Record>,
    runs: Rc<Runs>,
    counts: Rc<Counts>,
) -> Result<()> {
    let until = Instant::now() + TRAFFIC;
    let mut connection = Connection::open(address).await?;
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let attempt = format!("view-{number}-{count}");
        let is_kept = connection.answers > 0;
        record.write(&format!("client: {attempt} sent, kept connection: {is_kept}"));
        let answer = connection.send(&Request::new("GET /view/visit", &attempt, DEADLINE)).await;
        record.write(&format!("client: {attempt}: {answer}"));
        let count = if answer.status.is_some() { &counts.answered } else { &counts.unanswered };
        count.set(count.get() + 1);
        let worker = runs.0.borrow().get(&attempt).copied();
        if answer.status.is_none() && !answer.timed_out && is_kept && worker.is_some_and(|w| w > 0)
        {
            record.write(&format!("LOST: {attempt} was passed on to desk {worker:?}, a sound one"));
            counts.lost.set(counts.lost.get() + 1);
        }
        if !answer.is_complete() {
            connection = Connection::open(address).await?;
        }
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}

/// Plays the case.
///
/// # Errors
/// The case cannot run.
pub async fn play(record: &Rc<Record>, trouble: bool) -> Result<Verdict> {
    let store = Store::start().await?;
    let route = cases::route("/view/", "idempotent", "desk", 2_000, 300);
    cases::configure(&store, &[route], &["desk"]);
    let runs = Rc::new(Runs::default());
    for number in 0..WORKERS {
        let desk = Rc::new(Desk {
            number,
            record: Rc::clone(record),
            runs: Rc::clone(&runs),
            is_faulty: trouble && number == 0,
            first_answer: Cell::default(),
            answers: Cell::default(),
        });
        let worker = Worker::start(&format!("i-desk-{number}"), desk).await?;
        store.put("servers", &worker.id, &worker.entry("desk", "adajan", SLOTS, "ready"));
    }
    let mut relay = Relay::start(record, "edge-adajan-1", "adajan", store.address)?;
    relay.wait_stable().await?;
    let counts = Rc::new(Counts::default());
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, runs, counts) = (Rc::clone(record), Rc::clone(&runs), Rc::clone(&counts));
        clients.push(spawn_local(client(number, relay.callers, record, runs, counts)));
    }
    for client in clients {
        client.await??;
    }
    let Counts { answered, unanswered, lost } = &*counts;
    record.write(&format!(
        "{} answered, {} not answered, of these {} passed on to a sound worker from a kept connection",
        answered.get(),
        unanswered.get(),
        lost.get()
    ));
    let ended = relay.ended()?;
    record.write(&format!("{}: {ended:?}", relay.name));
    Ok(if lost.get() > LOST_ALLOWED { Verdict::Broken } else { Verdict::Held })
}

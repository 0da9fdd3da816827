//! TWICE: a late second copy of a rejection is taken as the answer to the next
//! sending of the same request.

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
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Time of the traffic.
const TRAFFIC: Duration = Duration::from_millis(8_000);
/// Part of it in which the faulty worker sends late second copies; the site names 5 s.
const GARBLED: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_millis(6_500));
/// Every so many bookings, both workers are full for their other callers.
const FULL_INTERVAL: u32 = 10;
/// Least number of answers of the faulty worker from one late copy to the next: one in 40, of the
/// 3 in 100 that the site names.
const COPY_INTERVAL: u32 = 40;
/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(20);
/// Time that a client waits.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Number of workers. The first one is faulty: half of them, of the 0.6 that the site names.
const WORKERS: usize = 2;

/// What both workers know of the bookings.
#[derive(Default)]
struct Bookings {
    /// Begin of the traffic.
    started: Cell<Option<Instant>>,
    /// Booking for which the workers are full, until each has rejected it once.
    full_for: RefCell<String>,
    runs: RefCell<BTreeMap<String, u32>>,
}

impl Bookings {
    fn runs(&self, attempt: &str) -> u32 {
        self.runs.borrow().get(attempt).copied().unwrap_or_default()
    }
}

struct Desk {
    number: usize,
    record: Rc<Record>,
    bookings: Rc<Bookings>,
    is_faulty: bool,
    answers: Cell<u32>,
    copied_at: Cell<u32>,
    rejected: RefCell<BTreeSet<String>>,
    /// Copies that are still to be sent, by connection.
    late: RefCell<BTreeMap<usize, Vec<u8>>>,
}

impl Desk {
    /// Whether the worker sends a late copy of its next answer.
    fn is_garbling(&self) -> bool {
        let elapsed = self.bookings.started.get().map(|started| started.elapsed());
        self.is_faulty
            && elapsed.is_some_and(|elapsed| GARBLED.0 <= elapsed && elapsed < GARBLED.1)
            && self.answers.get() >= self.copied_at.get() + COPY_INTERVAL
    }
}

impl Answers for Desk {
    async fn answer(&self, stream: &mut TcpStream, call: Call) -> Result<bool> {
        let (number, attempt) = (self.number, call.attempt().to_owned());
        self.answers.set(self.answers.get() + 1);
        let late = self.late.borrow_mut().remove(&call.connection);
        if let Some(copy) = late {
            self.record.write(&format!(
                "desk {number}: late second copy of a rejection, as {attempt} comes"
            ));
            stream.write_all(&copy).await?;
        }
        let is_full = *self.bookings.full_for.borrow() == attempt;
        if is_full && self.rejected.borrow_mut().insert(attempt.clone()) {
            self.record.write(&format!("desk {number}: {attempt} rejected, not run"));
            let status = "503 Service Unavailable";
            let answer = call.answer(status, "X-Not-Executed: 1\r\n", b"full");
            stream.write_all(&answer).await?;
            if self.is_garbling() {
                self.copied_at.set(self.answers.get());
                self.late.borrow_mut().insert(call.connection, answer);
            }
            return Ok(true);
        }
        *self.bookings.runs.borrow_mut().entry(attempt.clone()).or_default() += 1;
        self.record.write(&format!("desk {number}: {attempt} runs: {}", call.request.line));
        tokio::time::sleep(WORK).await;
        let signature = format!("X-Response-Signature: desk-{number}.{attempt}\r\n");
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
    let route = cases::route("/book/", "non_idempotent", "desk", 2_000, 300);
    cases::configure(&store, &[route], &["desk"]);
    let bookings = Rc::new(Bookings::default());
    for number in 0..WORKERS {
        let desk = Rc::new(Desk {
            number,
            record: Rc::clone(record),
            bookings: Rc::clone(&bookings),
            is_faulty: trouble && number == 0,
            answers: Cell::default(),
            copied_at: Cell::default(),
            rejected: RefCell::default(),
            late: RefCell::default(),
        });
        let worker = Worker::start(&format!("i-desk-{number}"), desk).await?;
        store.put("servers", &worker.id, &worker.entry("desk", "adajan", 6, "ready"));
    }
    let relay = Relay::start(record, "edge-adajan-1", "adajan", store.address)?;
    relay.wait_stable().await?;
    let started = Instant::now();
    bookings.started.set(Some(started));
    let mut verdict = Verdict::Held;
    let mut count = 0;
    while started.elapsed() < TRAFFIC {
        count += 1;
        let attempt = format!("booking-{count}");
        if count % FULL_INTERVAL == 0 {
            bookings.full_for.replace(attempt.clone());
        }
        let mut request = Request::new("POST /book/visit", &attempt, DEADLINE);
        request.body = b"one visit".to_vec();
        record.write(&format!("client: {attempt} sent"));
        let answer = request.send(relay.callers).await?;
        let runs = bookings.runs(&attempt);
        record.write(&format!("client: {attempt}: {answer}; runs so far: {runs}"));
    }
    tokio::time::sleep(DEADLINE).await;
    for (attempt, runs) in &*bookings.runs.borrow() {
        if *runs > 1 {
            record.write(&format!("TWICE: {attempt} ran {runs} times"));
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

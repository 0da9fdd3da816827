//! LOST: a stream whose worker pauses is taken away from the worker; its slot
//! goes to a waiting request, no other is found, and the answer is cut.

use crate::{
    Verdict, cases,
    record::Record,
    relay::Relay,
    store::Store,
    worker::{Answers, Call, Worker},
};
use anyhow::{Result, ensure};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Requests that the worker runs at the same time.
const SLOTS: u32 = 2;
/// Number of streams that are sent, one shortly after the other.
const STREAMS: usize = 4;
/// Time between two of them.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);
/// Events of a stream.
const EVENTS: u32 = 40;
/// Usual time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Event after which the newest request is preempted.
const PREEMPTED_AFTER: u32 = 10;
/// Time until it goes on: until the other request has ended and its prompt is read again.
const PREEMPTED_FOR: Duration = Duration::from_millis(3_000);
/// `target_latency_ms` of the route.
const TARGET: u32 = 1_000;
/// Gap after which a client leaves: four times the objective, which is longer than two seconds and
/// than eight times `target_gap_ms`.
const PATIENCE: Duration = Duration::from_millis(4_000);
/// Time from the first request to the signal.
const STOP_AFTER: Duration = Duration::from_millis(500);

struct Engine {
    record: Rc<Record>,
    trouble: bool,
    started: Cell<u32>,
    passed_on: RefCell<BTreeSet<String>>,
}

impl Engine {
    async fn write(stream: &mut TcpStream, text: &str) -> Result<()> {
        let mut byte = [0];
        // A read of zero bytes means that the node has closed the connection.
        ensure!(!matches!(stream.try_read(&mut byte), Ok(0)), "closed");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await?;
        Ok(())
    }

    async fn pause(&self, stream: &mut TcpStream) -> Result<()> {
        let mut byte = [0];
        // The run is dropped when its connection closes.
        match timeout(PREEMPTED_FOR, stream.read(&mut byte)).await {
            Ok(_) => anyhow::bail!("closed"),
            Err(_) => Ok(()),
        }
    }

    async fn run(&self, stream: &mut TcpStream, call: &Call) -> Result<()> {
        let attempt = call.attempt().to_owned();
        self.started.set(self.started.get() + 1);
        let is_newest = self.started.get() == SLOTS;
        let after = call.request.headers.get("last-event-id").and_then(|text| text.parse().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: e.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for number in after.unwrap_or(0) + 1..=EVENTS {
            sleep(EVENT_INTERVAL).await;
            Self::write(stream, &format!("id: {number}\ndata: part {number}\n\n")).await?;
            if self.trouble && is_newest && number == PREEMPTED_AFTER {
                self.record.write(&format!("engine: {attempt} preempted after event {number}"));
                self.pause(stream).await?;
                self.record.write(&format!("engine: {attempt} goes on"));
            }
        }
        stream.write_all(b"0\r\n\r\n").await?;
        Ok(())
    }
}

impl Answers for Engine {
    async fn answer(&self, stream: &mut TcpStream, call: Call) -> Result<bool> {
        let attempt = call.attempt().to_owned();
        let after = call.request.headers.get("last-event-id");
        self.record.write(&format!("engine: {attempt} begins, after event {after:?}"));
        self.passed_on.borrow_mut().insert(attempt.clone());
        let result = self.run(stream, &call).await;
        let end = if result.is_ok() { "complete" } else { "its connection was closed" };
        self.record.write(&format!("engine: {attempt} ends: {end}"));
        result.map(|()| true)
    }
}

#[derive(Debug, Default)]
struct Stream {
    text: String,
    gave_up: bool,
}

impl Stream {
    fn is_success(&self) -> bool {
        self.text.starts_with("HTTP/1.1 200")
    }

    fn is_complete(&self) -> bool {
        self.text.ends_with("\r\n0\r\n\r\n")
    }
}

async fn request(address: SocketAddr, attempt: &str) -> Result<Stream> {
    let mut connection = TcpStream::connect(address).await?;
    let head = format!(
        "GET /plan/roof HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Api-Key: key-1\r\nX-Deadline-Ms: 15000\r\nX-Model: m\r\nX-Token-Usage: 600,400\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await?;
    let mut stream = Stream::default();
    let mut buffer = Vec::new();
    loop {
        buffer.clear();
        match timeout(PATIENCE, connection.read_buf(&mut buffer)).await {
            Err(_) => {
                stream.gave_up = true;
                return Ok(stream);
            }
            // A reset ends the answer, like a close.
            Ok(Ok(0) | Err(_)) => return Ok(stream),
            Ok(Ok(_)) => stream.text.push_str(&String::from_utf8_lossy(&buffer)),
        }
        if stream.is_complete() || !stream.text.is_empty() && !stream.is_success() {
            return Ok(stream);
        }
    }
}

/// Plays the case.
///
/// # Errors
/// The case cannot run.
pub async fn play(record: &Rc<Record>, trouble: bool) -> Result<Verdict> {
    let store = Store::start().await?;
    let mut route = cases::route("/plan/", "streaming", "engine", 15_000, TARGET);
    route["stream_resume"] = true.into();
    route["max_attempts"] = 2.into();
    cases::configure(&store, &[route], &["engine"]);
    let engine = Rc::new(Engine {
        record: Rc::clone(record),
        trouble,
        started: Cell::default(),
        passed_on: RefCell::default(),
    });
    let worker = Worker::start("i-engine", Rc::clone(&engine)).await?;
    store.put("servers", &worker.id, &worker.entry("engine", "adajan", SLOTS, "ready"));
    let mut relay = Relay::start(record, "edge-adajan-1", "adajan", store.address)?;
    relay.wait_stable().await?;
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (address, record) = (relay.callers, Rc::clone(record));
        clients.push(spawn_local(async move {
            sleep(STREAM_INTERVAL * u32::try_from(number)?).await;
            let attempt = format!("plan-{number}");
            record.write(&format!("client: {attempt} sent"));
            let stream = request(address, &attempt).await?;
            let status = stream.text.lines().next().unwrap_or("no answer").to_owned();
            let events = stream.text.matches("data: part").count();
            record.write(&format!(
                "client: {attempt}: {status}, {events} events, complete: {}, gave up: {}",
                stream.is_complete(),
                stream.gave_up
            ));
            anyhow::Ok((attempt, stream))
        }));
    }
    sleep(STOP_AFTER).await;
    if trouble {
        relay.signal("TERM")?;
    }
    let mut verdict = Verdict::Held;
    for client in clients {
        let (attempt, stream) = client.await??;
        let passed_on = engine.passed_on.borrow().contains(&attempt);
        let ended = stream.text.is_empty() || stream.is_success() && !stream.is_complete();
        if trouble && ended && passed_on && !stream.gave_up {
            record.write(&format!("LOST: {attempt} was cut, though its worker was still at work"));
            verdict = Verdict::Broken;
        }
    }
    let ended = relay.ended()?;
    record.write(&format!("{}: {ended:?}", relay.name));
    Ok(verdict)
}

//! FAULT: bodies that are sent in chunks are not counted against the memory of a
//! node until they are whole, so a burst of them makes it exceed its limit.

use crate::{
    Verdict, cases,
    record::Record,
    relay::{MEMORY_LIMIT, Relay},
    store::Store,
    worker::{Answers, Call, Worker},
};
use anyhow::{Result, ensure};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::spawn_local,
};

/// Nodes, each on a machine of its own.
const NODES: usize = 2;
/// Clients that send a body to a node at the same time in usual traffic.
const USUAL_CLIENTS: usize = 27;
/// Same in a burst: 1.9 times as many, as the site names.
const BURST_CLIENTS: usize = 51;
/// Size of a body, in bytes; `max_body_bytes` of the configuration is 4,194,304.
const BODY: usize = 4_000_000;
/// Number of chunks of a body.
const CHUNKS: usize = 50;
/// Time in which a client sends a body.
const SENDING: Duration = Duration::from_secs(6);
/// Number of bursts; the rule counts a machine whose process ends three times.
const BURSTS: usize = 3;
/// Time from one burst to the next.
const BURST_INTERVAL: Duration = Duration::from_secs(14);
/// Time after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
/// Interval at which the platform reads the memory of a process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);

struct Desk;

impl Answers for Desk {
    async fn answer(&self, stream: &mut TcpStream, call: Call) -> Result<bool> {
        tokio::time::sleep(Duration::from_millis(15)).await;
        let signature = format!("X-Response-Signature: desk.{}\r\n", call.attempt());
        stream.write_all(&call.answer("200 OK", &signature, b"stored")).await?;
        Ok(true)
    }
}

/// Sends one body and returns the status; none if the connection ends before it.
async fn upload(address: SocketAddr, attempt: String) -> Result<Option<u16>> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) = stream.into_split();
    let head = format!(
        "POST /store/photo HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Api-Key: key-1\r\nX-Deadline-Ms: 12000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let sending = async {
        writer.write_all(head.as_bytes()).await?;
        let size = BODY / CHUNKS;
        let chunk = [format!("{size:x}\r\n").as_bytes(), &vec![b'.'; size], b"\r\n"].concat();
        for _ in 0..CHUNKS {
            writer.write_all(&chunk).await?;
            tokio::time::sleep(SENDING / u32::try_from(CHUNKS)?).await;
        }
        writer.write_all(b"0\r\n\r\n").await?;
        std::future::pending::<Result<()>>().await
    };
    let answer = async {
        let mut text = Vec::new();
        while !text.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            ensure!(reader.read_buf(&mut text).await? > 0, "closed");
        }
        Ok(String::from_utf8_lossy(&text).split(' ').nth(1).and_then(|s| s.parse().ok()))
    };
    tokio::select! {
        sent = sending => sent.map(|()| None),
        status = answer => status,
    }
}

/// Kills the process of a node whenever its memory exceeds the limit, and starts it again.
async fn supervise(
    relay: Rc<RefCell<Relay>>,
    most: Rc<Cell<u64>>,
    ends: Rc<Cell<usize>>,
    record: Rc<Record>,
) -> Result<()> {
    loop {
        tokio::time::sleep(MEMORY_INTERVAL).await;
        let memory = relay.borrow().memory()?;
        most.set(most.get().max(memory));
        if memory <= MEMORY_LIMIT {
            continue;
        }
        record.write(&format!("platform: {} uses {memory} bytes", relay.borrow().name));
        relay.borrow_mut().kill()?;
        ends.set(ends.get() + 1);
        tokio::time::sleep(RESTART_DELAY).await;
        relay.borrow_mut().restart()?;
    }
}

/// Plays the case.
///
/// # Errors
/// The case cannot run.
pub async fn play(record: &Rc<Record>, trouble: bool) -> Result<Verdict> {
    let store = Store::start().await?;
    let route = cases::route("/store/", "non_idempotent", "desk", 12_000, 8_000);
    cases::configure(&store, &[route], &["desk"]);
    for number in 0..3 {
        let worker = Worker::start(&format!("i-desk-{number}"), Rc::new(Desk)).await?;
        store.put("servers", &worker.id, &worker.entry("desk", "adajan", 6, "ready"));
    }
    let mut nodes = Vec::new();
    for number in 1..=NODES {
        let relay =
            Relay::start(record, &format!("edge-adajan-{number}"), "adajan", store.address)?;
        relay.wait_ready().await?;
        let relay = Rc::new(RefCell::new(relay));
        let (most, ends) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let (relay_, most_, ends_) = (Rc::clone(&relay), Rc::clone(&most), Rc::clone(&ends));
        let platform = spawn_local(supervise(relay_, most_, ends_, Rc::clone(record)));
        nodes.push((relay, most, ends, platform));
    }
    tokio::time::sleep(Duration::from_millis(4_200)).await;
    for burst in 0..BURSTS {
        let started = Instant::now();
        let mut clients = Vec::new();
        let count = if trouble { BURST_CLIENTS } else { USUAL_CLIENTS };
        record.write(&format!("clients: {count} send a body to each node"));
        for (relay, ..) in &nodes {
            let (name, address) = (relay.borrow().name.clone(), relay.borrow().callers);
            for number in 0..count {
                let attempt = format!("photo-{burst}-{name}-{number}");
                clients.push(spawn_local(async move {
                    let status = upload(address, attempt.clone()).await.ok().flatten();
                    (attempt, status)
                }));
            }
        }
        let mut answered = 0;
        let mut unanswered = 0;
        for client in clients {
            let (attempt, status) = client.await?;
            record.write(&format!("client: {attempt}: {status:?}"));
            *(if status.is_some() { &mut answered } else { &mut unanswered }) += 1;
        }
        record.write(&format!("clients: {answered} answered, {unanswered} cut off"));
        tokio::time::sleep(BURST_INTERVAL.saturating_sub(started.elapsed())).await;
    }
    let mut often = 0;
    for (relay, most, ends, platform) in &nodes {
        platform.abort();
        let (name, most, ends) = (relay.borrow().name.clone(), most.get(), ends.get());
        record
            .write(&format!("{name}: at most {most} of {MEMORY_LIMIT} bytes; ended {ends} times"));
        often += usize::from(ends >= 3);
    }
    Ok(if often >= 2 { Verdict::Broken } else { Verdict::Held })
}

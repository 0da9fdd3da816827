//! LOST: a node that stops exits while the last part of an answer still waits in
//! its memory to be sent.

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
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{io::AsyncWriteExt, net::TcpStream, task::spawn_local};

/// Size of the answer, in bytes.
const ANSWER: usize = 14_000_000;
/// Rate of the client's link, in bytes per second: 20 Mbit/s, of the 30 between two regions.
const RATE: usize = 2_500_000;
/// Time that a client waits.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time from the request to the signal.
const STOP_AFTER: Duration = Duration::from_millis(500);

struct Archive {
    record: Rc<Record>,
}

impl Answers for Archive {
    async fn answer(&self, stream: &mut TcpStream, call: Call) -> Result<bool> {
        let attempt = call.attempt().to_owned();
        self.record.write(&format!("archive: {attempt} runs"));
        let signature = format!("X-Response-Signature: archive.{attempt}\r\n");
        stream.write_all(&call.answer("200 OK", &signature, &vec![b'.'; ANSWER])).await?;
        self.record.write(&format!("archive: {attempt} answered whole"));
        Ok(true)
    }
}

/// Plays the case.
///
/// # Errors
/// The case cannot run.
pub async fn play(record: &Rc<Record>, trouble: bool) -> Result<Verdict> {
    let store = Store::start().await?;
    let route = cases::route("/records/", "idempotent", "archive", 20_000, 10_000);
    cases::configure(&store, &[route], &["archive"]);
    let archive = Rc::new(Archive { record: Rc::clone(record) });
    let worker = Worker::start("i-archive", archive).await?;
    store.put("servers", &worker.id, &worker.entry("archive", "adajan", 6, "ready"));
    let mut relay = Relay::start(record, "edge-adajan-1", "adajan", store.address)?;
    relay.wait_stable().await?;
    let address = relay.callers;
    let started = Instant::now();
    let client = spawn_local(async move {
        let mut request = Request::new("GET /records/all", "records-1", DEADLINE);
        request.rate = Some(RATE);
        request.send(address).await
    });
    record.write("client: records-1 sent");
    tokio::time::sleep(STOP_AFTER).await;
    if trouble {
        relay.signal("TERM")?;
    }
    let answer = client.await??;
    record.write(&format!("client: records-1: {answer} after {:?}", started.elapsed()));
    let ended = relay.ended()?;
    record.write(&format!("{}: {ended:?}", relay.name));
    if answer.is_complete() || answer.timed_out {
        return Ok(Verdict::Held);
    }
    record.write("LOST: records-1 was passed on and answered by its worker, and was cut");
    Ok(Verdict::Broken)
}

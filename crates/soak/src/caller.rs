//! Callers that keep using their connections until they are closed.

use crate::record::{Call, Kind, Outcome, Prefix};
use fake_host::{Connection, Response};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Longest wait of a caller: beyond the timeout of the routes.
const PATIENCE: Duration = Duration::from_secs(6);
/// Time that a caller states to have, beyond the timeout of the routes.
const DEADLINE_MS: &str = "5000";
/// Longest wait for a connection.
const CONNECTING: Duration = Duration::from_millis(500);
/// Pause between two requests of a caller, in ms.
const PAUSES_MS: std::ops::Range<u64> = 2..60;
/// Part of the streams that are left in the middle.
const LEAVING: f64 = 0.1;
/// When they are left, in ms; a stream lasts longer by more than the nodes have to notice.
const LEAVING_MS: std::ops::Range<u64> = 20..100;
/// Part of the connections that callers close after a request.
const CLOSING: f64 = 0.03;
/// Longest body, in bytes.
const BODY: usize = 30_000;

/// What all callers of a run share.
#[derive(Debug)]
pub struct Crowd {
    seed: u64,
    start: Instant,
    addresses: Vec<SocketAddr>,
    count: AtomicU64,
    over: AtomicBool,
    calls: Mutex<Vec<Call>>,
}

struct Offer {
    call: fake_host::Request,
    attempt: Box<str>,
    kind: Kind,
    organisation: &'static str,
}

impl Crowd {
    /// Crowd before its first request.
    #[must_use]
    pub fn new(seed: u64, start: Instant, addresses: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            seed,
            start,
            addresses,
            count: AtomicU64::new(0),
            over: AtomicBool::new(false),
            calls: Mutex::default(),
        })
    }

    /// Ends all callers after their present requests.
    pub fn stop(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Requests so far.
    #[must_use]
    pub fn take_calls(&self) -> Vec<Call> {
        std::mem::take(&mut *self.calls.lock())
    }

    fn offer(&self, kind: Kind, random: &mut Pcg64Mcg) -> Offer {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("s{}-{number}", self.seed);
        let (path, key, organisation) = match kind {
            Kind::Safe => ("/safe/", "key-1", "org-1"),
            Kind::Once => ("/once/", "key-1", "org-1"),
            Kind::Stream => ("/stream/", "key-1", "org-1"),
            Kind::Resume => ("/resume/", "key-1", "org-1"),
            Kind::Moving(prefix) => (prefix.path(), "key-1", "org-1"),
            Kind::Withdrawn => ("/safe/", "key-3", "org-3"),
            Kind::Metered => ("/safe/", "key-2", "org-2"),
        };
        let path = format!("{path}{attempt}?q={number}");
        let mut call = fake_host::Request::new(&path, &attempt)
            .with_header("x-api-key", key)
            .with_header("x-deadline-ms", DEADLINE_MS)
            .with_header("x-retention", "9")
            .with_header("kv-from", "w-0");
        if kind.is_stream() {
            call = call.streamed();
        }
        if !kind.is_repeatable() || random.random_bool(0.3) {
            let length = random.random_range(1..BODY);
            let body: Vec<u8> = attempt.bytes().cycle().take(length).collect();
            call = call.with_body(&body);
        }
        Offer { call, attempt: attempt.into(), kind, organisation }
    }

    /// Sends a request and keeps what came of it; the status, if there was one.
    async fn send(
        &self,
        line: &mut Connection,
        node: usize,
        offer: Offer,
        leave: Option<Duration>,
    ) -> Outcome {
        let sent = self.start.elapsed();
        let patience = leave.unwrap_or(PATIENCE);
        let outcome = match tokio::time::timeout(patience, line.send(&offer.call)).await {
            Ok(Ok(answer)) => answered(&answer),
            Ok(Err(_)) => Outcome::Closed,
            Err(_) => Outcome::Left,
        };
        let path = format!("{} {}", offer.call.method, offer.call.path);
        self.calls.lock().push(Call {
            attempt: offer.attempt,
            kind: offer.kind,
            node,
            organisation: offer.organisation,
            line: path.into(),
            body: offer.call.body.into(),
            sent,
            ended: self.start.elapsed(),
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Sends one request of each kind to a node and returns the kinds that were not served, as far
    /// as the node's allotment allows.
    pub async fn unserved(&self, node: usize, kinds: &[Kind]) -> Vec<Kind> {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed);
        let mut unserved = Vec::new();
        for kind in kinds {
            let offer = self.offer(*kind, &mut random);
            let status = match self.connect(node).await {
                Some(mut line) => self.send(&mut line, node, offer, None).await.status(),
                None => None,
            };
            let served = status == Some(200) || (*kind == Kind::Metered && status == Some(429));
            if !served {
                unserved.push(*kind);
            }
        }
        unserved
    }

    async fn connect(&self, node: usize) -> Option<Connection> {
        let connecting = Connection::connect(self.addresses[node]);
        tokio::time::timeout(CONNECTING, connecting).await.ok()?.ok()
    }
}

fn answered(answer: &Response) -> Outcome {
    let header = |name| answer.header(name).map(Box::<str>::from);
    Outcome::Answered {
        status: answer.status.as_u16(),
        attempt: header("x-attempt-id"),
        receipt: header("x-response-signature"),
        text: answer.text().into(),
        whole: answer.complete,
    }
}

fn draw(random: &mut Pcg64Mcg) -> Kind {
    match random.random_range(0..9) {
        0 | 1 => Kind::Safe,
        2 | 3 => Kind::Once,
        4 => Kind::Stream,
        5 => Kind::Resume,
        6 if random.random_bool(0.5) => Kind::Moving(Prefix::Here),
        6 => Kind::Moving(Prefix::There),
        7 => Kind::Withdrawn,
        _ => Kind::Metered,
    }
}

/// One caller, until the crowd is stopped.
pub async fn run(crowd: Arc<Crowd>, number: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(crowd.seed ^ (number << 32));
    let mut line: Option<(usize, Connection)> = None;
    while !crowd.over.load(Ordering::Relaxed) {
        let pause = Duration::from_millis(random.random_range(PAUSES_MS));
        tokio::time::sleep(pause).await;
        let (node, mut open) = match line.take() {
            Some(kept) => kept,
            None => {
                let node = random.random_range(0..crowd.addresses.len());
                let Some(open) = crowd.connect(node).await else { continue };
                (node, open)
            }
        };
        let offer = crowd.offer(draw(&mut random), &mut random);
        let leaves = offer.kind.is_stream() && random.random_bool(LEAVING);
        let leave = leaves.then(|| Duration::from_millis(random.random_range(LEAVING_MS)));
        let outcome = crowd.send(&mut open, node, offer, leave).await;
        let whole = matches!(outcome, Outcome::Answered { whole: true, .. });
        if whole && !random.random_bool(CLOSING) && open.is_open().await {
            line = Some((node, open));
        }
    }
}

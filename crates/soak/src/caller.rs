//! Callers, which reuse their connections until these are closed.

use crate::{
    deadly::Difference,
    record::{Call, Kind, Outcome, Prefix},
};
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

/// Longest wait of a caller for a response, above the timeout of the routes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Deadline that callers send, in ms, above the timeout of the routes.
const DEADLINE_MS: &str = "5000";
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before each request of a caller, in ms.
const PAUSE_MS: std::ops::Range<u64> = 2..60;
/// Probability that a caller abandons a stream.
const ABANDON_PROBABILITY: f64 = 0.1;
/// Time after which a stream is abandoned, in ms. Streams last longer than this plus the time in
/// which a node must stop the work, so that continued work is detected.
const ABANDON_AFTER_MS: std::ops::Range<u64> = 20..100;
/// Probability that a caller closes its connection after a request.
const CLOSE_PROBABILITY: f64 = 0.03;
/// Upper bound of the length of a body, exclusive.
const MAX_BODY_BYTES: usize = 30_000;

/// State that all callers of a run share.
#[derive(Debug)]
pub struct Pool {
    seed: u64,
    start: Instant,
    addresses: Vec<SocketAddr>,
    count: AtomicU64,
    stopped: AtomicBool,
    /// Whether deadly requests have ended.
    calmed: AtomicBool,
    calls: Mutex<Vec<Call>>,
}

struct Prepared {
    request: fake_host::Request,
    attempt: Box<str>,
    kind: Kind,
    organisation: &'static str,
}

impl Pool {
    /// Creates a pool without requests.
    #[must_use]
    pub fn new(seed: u64, start: Instant, addresses: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            seed,
            start,
            addresses,
            count: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            calmed: AtomicBool::new(false),
            calls: Mutex::default(),
        })
    }

    /// Stops all callers after their current requests.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Stops the deadly requests and those that resemble them.
    pub fn calm(&self) {
        self.calmed.store(true, Ordering::Relaxed);
    }

    /// Whether they have been stopped.
    #[must_use]
    pub fn has_calmed(&self) -> bool {
        self.calmed.load(Ordering::Relaxed)
    }

    /// Removes and returns the requests recorded so far.
    #[must_use]
    pub fn take_calls(&self) -> Vec<Call> {
        std::mem::take(&mut *self.calls.lock())
    }

    fn prepare(&self, kind: Kind, random: &mut Pcg64Mcg) -> Prepared {
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
            Kind::Deadly | Kind::Similar => ("", "key-1", "org-1"),
        };
        let is_plain = !matches!(kind, Kind::Deadly | Kind::Similar);
        let request = if is_plain {
            fake_host::Request::new(&format!("{path}{attempt}?q={number}"), &attempt)
        } else {
            Difference::new(self.seed).request(kind, &attempt, number)
        };
        let mut request = request
            .with_header("x-api-key", key)
            .with_header("x-deadline-ms", DEADLINE_MS)
            .with_header("x-retention", "9")
            .with_header("kv-from", "w-0");
        if kind.is_stream() {
            request = request.streamed();
        }
        if !kind.is_repeatable() || is_plain && random.random_bool(0.3) {
            let length = random.random_range(1..MAX_BODY_BYTES);
            let body: Vec<u8> = attempt.bytes().cycle().take(length).collect();
            request = request.with_body(&body);
        }
        Prepared { request, attempt: attempt.into(), kind, organisation }
    }

    /// Sends a request, records its outcome and returns it.
    ///
    /// The caller gives up after `abandon_after`, or else after [`RESPONSE_TIMEOUT`].
    async fn send(
        &self,
        connection: &mut Connection,
        node: usize,
        prepared: Prepared,
        abandon_after: Option<Duration>,
    ) -> Outcome {
        let sent_at = self.start.elapsed();
        let timeout = abandon_after.unwrap_or(RESPONSE_TIMEOUT);
        let outcome = match tokio::time::timeout(timeout, connection.send(&prepared.request)).await
        {
            Ok(Ok(response)) => responded(&response),
            Ok(Err(_)) => Outcome::Closed,
            Err(_) => Outcome::Abandoned,
        };
        let request_line = format!("{} {}", prepared.request.method, prepared.request.path);
        self.calls.lock().push(Call {
            attempt: prepared.attempt,
            kind: prepared.kind,
            node,
            organisation: prepared.organisation,
            request_line: request_line.into(),
            body: prepared.request.body.into(),
            sent_at,
            ended_at: self.start.elapsed(),
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Sends one request to a node at random, on a new connection.
    pub async fn send_one(&self, kind: Kind, random: &mut Pcg64Mcg) {
        let node = random.random_range(0..self.addresses.len());
        if let Some(mut connection) = self.connect(node).await {
            let prepared = self.prepare(kind, random);
            self.send(&mut connection, node, prepared, None).await;
        }
    }

    /// Sends one request of each kind to a node and returns the kinds that were not served.
    ///
    /// A refusal over quota counts as served.
    pub async fn unserved(&self, node: usize, kinds: &[Kind]) -> Vec<Kind> {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed);
        let mut unserved = Vec::new();
        for kind in kinds {
            let prepared = self.prepare(*kind, &mut random);
            let status = match self.connect(node).await {
                Some(mut connection) => {
                    self.send(&mut connection, node, prepared, None).await.status()
                }
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
        let connect = Connection::connect(self.addresses[node]);
        tokio::time::timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()
    }
}

fn responded(response: &Response) -> Outcome {
    let header = |name| response.header(name).map(Box::<str>::from);
    Outcome::Responded {
        status: response.status.as_u16(),
        attempt: header("x-attempt-id"),
        receipt: header("x-response-signature"),
        text: response.text().into(),
        complete: response.complete,
    }
}

fn random_kind(random: &mut Pcg64Mcg) -> Kind {
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

/// Runs one caller until the pool is stopped.
pub async fn run(pool: Arc<Pool>, number: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(pool.seed ^ (number << 32));
    let mut kept: Option<(usize, Connection)> = None;
    while !pool.stopped.load(Ordering::Relaxed) {
        let pause = Duration::from_millis(random.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
        let (node, mut connection) = match kept.take() {
            Some(open) => open,
            None => {
                let node = random.random_range(0..pool.addresses.len());
                let Some(connection) = pool.connect(node).await else { continue };
                (node, connection)
            }
        };
        let prepared = pool.prepare(random_kind(&mut random), &mut random);
        let abandons = prepared.kind.is_stream() && random.random_bool(ABANDON_PROBABILITY);
        let abandon_after =
            abandons.then(|| Duration::from_millis(random.random_range(ABANDON_AFTER_MS)));
        let outcome = pool.send(&mut connection, node, prepared, abandon_after).await;
        let complete = matches!(outcome, Outcome::Responded { complete: true, .. });
        if complete && !random.random_bool(CLOSE_PROBABILITY) && connection.is_open().await {
            kept = Some((node, connection));
        }
    }
}

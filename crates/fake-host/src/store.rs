//! Stand-in for the platform's store.

use anyhow::{Result, ensure};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::net::TcpListener;

/// Interval at which a feed request polls for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time of the store's clock at its start.
const CLOCK_START_MS: u64 = 70_000;
/// Header with the number of times that the store has come back from a copy.
const ERA: HeaderName = HeaderName::from_static("store-era");
/// Prefix of the keys of orders and of their status.
const ROLLOUT_ROWS: &str = "rollout/";

/// Largest number of earlier states that are kept.
const MAX_COPIES: usize = 2_000;

type Key = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

/// Change of a rollout's status.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Time at which the store held it.
    pub at: Instant,
    /// Service.
    pub service: String,
    /// Value of the row.
    pub value: Value,
}

/// State at an earlier time.
#[derive(Debug)]
struct Copy {
    at: Instant,
    rows: BTreeMap<Key, Row>,
    version: u64,
}

#[derive(Debug)]
struct State {
    started: Instant,
    statuses: Vec<Status>,
    rows: BTreeMap<Key, Row>,
    version: u64,
    /// Changes up to this version are no longer in the feed's history.
    history_start: u64,
    /// Number of times that the store has come back from a copy.
    era: u64,
    /// Earlier states, oldest first.
    copies: VecDeque<Copy>,
    down: bool,
    /// Requests take effect but get no response.
    drop_responses: bool,
    delay: Duration,
    requests: u64,
}

impl State {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            statuses: Vec::new(),
            rows: BTreeMap::new(),
            version: 0,
            history_start: 0,
            era: 0,
            copies: VecDeque::new(),
            down: false,
            drop_responses: false,
            delay: Duration::ZERO,
            requests: 0,
        }
    }

    /// Time of the store's steady clock.
    fn timestamp(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX) + CLOCK_START_MS
    }

    /// Keeps a copy of the state after a change.
    fn keep_copy(&mut self) {
        let (rows, version) = (self.rows.clone(), self.version);
        self.copies.push_back(Copy { at: Instant::now(), rows, version });
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }

    fn record_status(&mut self, key: &Key, value: Option<&str>) {
        let Some(service) = key.2.strip_prefix(ROLLOUT_ROWS).filter(|_| key.0 == "status") else {
            return;
        };
        let bytes = value.and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default();
        let value = serde_json::from_slice(&bytes).unwrap_or_default();
        self.statuses.push(Status { at: Instant::now(), service: service.to_owned(), value });
    }
}

/// Handle of a running store.
#[derive(Debug, Clone)]
pub struct Store {
    /// Address that it serves at.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts a store on the current Tokio runtime.
    ///
    /// # Errors
    /// No address can be bound.
    pub async fn start() -> Result<Self> {
        let listener = TcpListener::bind((crate::unused_address(), 0)).await?;
        let state = Arc::new(Mutex::new(State::new()));
        let store = Self { address: listener.local_addr()?, state };
        let state = Arc::clone(&store.state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&state);
                let service = service_fn(move |request| handle(Arc::clone(&state), request));
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(serving);
            }
        });
        Ok(store)
    }

    /// Writes a row as JSON, like the operator and workers.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_raw(table, key, value.to_string().as_bytes());
    }

    /// Writes a row of arbitrary bytes.
    pub fn put_raw(&self, table: &str, key: &str, value: &[u8]) {
        self.set(table, key, Some(STANDARD.encode(value)));
    }

    /// Deletes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    /// Whether a row exists.
    #[must_use]
    pub fn contains(&self, table: &str, key: &str) -> bool {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.state.lock().rows.get(&key).is_some_and(|row| row.value.is_some())
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(key, Row { value, version });
        state.keep_copy();
    }

    /// Comes back from a copy of `age`: later changes are gone, and their versions are given out again.
    pub fn restore(&self, age: Duration) {
        let mut state = self.state.lock();
        let until = Instant::now().checked_sub(age);
        while state.copies.back().is_some_and(|copy| until.is_none_or(|until| copy.at > until)) {
            state.copies.pop_back();
        }
        let copy = state.copies.back().map(|copy| (copy.rows.clone(), copy.version));
        (state.rows, state.version) = copy.unwrap_or_default();
        state.era += 1;
    }

    /// Newest version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.state.lock().version
    }

    /// Orders a rollout of a service, like the operator.
    pub fn order(&self, service: &str, to: &str, duration_s: u64) {
        let order = json!({"service": service, "to": to, "duration_s": duration_s});
        self.put("op", &format!("{ROLLOUT_ROWS}{service}"), &order);
    }

    /// Status rows written for a service, oldest first.
    #[must_use]
    pub fn statuses(&self, service: &str) -> Vec<Status> {
        let state = self.state.lock();
        state.statuses.iter().filter(|status| status.service == service).cloned().collect()
    }

    /// Refuses every request while `down`.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Executes requests but closes their connections without a response while `drop`.
    pub fn set_drop_responses(&self, drop: bool) {
        self.state.lock().drop_responses = drop;
    }

    /// Delays every request.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Drops the feed's history of changes; feeds that ask for older changes get status 410.
    pub fn forget_history(&self) {
        let mut state = self.state.lock();
        state.history_start = state.version;
    }

    /// Requests received so far.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.state.lock().requests
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>> {
    let (down, delay) = {
        let mut state = state.lock();
        state.requests += 1;
        (state.down, state.delay)
    };
    tokio::time::sleep(delay).await;
    if down {
        let era = state.lock().era;
        return Ok(respond(StatusCode::SERVICE_UNAVAILABLE, era, &Value::Null));
    }
    let (parts, body) = request.into_parts();
    let query = query(parts.uri.query().unwrap_or_default());
    let (status, mut value) = match parts.uri.path() {
        "/rows-get" => (StatusCode::OK, page(&state.lock(), &query)),
        "/rows-feed" => feed(&state, &query).await,
        "/rows-tx" => {
            let body = body.collect().await.map(http_body_util::Collected::to_bytes);
            transact(&mut state.lock(), &body.unwrap_or_default())
        }
        _ => (StatusCode::NOT_FOUND, Value::Null),
    };
    let era = {
        let state = state.lock();
        ensure!(!state.drop_responses, "response dropped");
        if let Some(fields) = value.as_object_mut() {
            fields.insert("timestamp_ms".into(), state.timestamp().into());
        }
        state.era
    };
    Ok(respond(status, era, &value))
}

fn respond(status: StatusCode, era: u64, value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response.headers_mut().insert(ERA, era.into());
    response
}

fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.replace("%00", "\0").replace("%2F", "/")))
        .collect()
}

fn field<'a>(query: &'a BTreeMap<String, String>, name: &str) -> &'a str {
    query.get(name).map_or("", String::as_str)
}

fn entry(key: &Key, row: &Row) -> Value {
    json!({"table": key.0, "part": key.1, "key": key.2, "value": row.value,
        "row_version": row.version, "removed": row.value.is_none()})
}

fn page(state: &State, query: &BTreeMap<String, String>) -> Value {
    let limit = field(query, "max_items").parse().unwrap_or(500);
    let (table, from) = (field(query, "table"), field(query, "start_key"));
    let found: Vec<Value> = state
        .rows
        .iter()
        .filter(|(key, row)| key.0 == table && row.value.is_some() && key.2.as_str() >= from)
        .map(|(key, row)| entry(key, row))
        .collect();
    json!({"has_more": found.len() > limit, "rows": found[..found.len().min(limit)],
        "row_version": state.version})
}

async fn feed(state: &Mutex<State>, query: &BTreeMap<String, String>) -> (StatusCode, Value) {
    let after: u64 = field(query, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(field(query, "wait_ms").parse().unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        {
            let state = state.lock();
            if state.down {
                return (StatusCode::SERVICE_UNAVAILABLE, Value::Null);
            }
            if after < state.history_start || after > state.version {
                return (StatusCode::GONE, Value::Null);
            }
            let table = field(query, "table");
            let mut changed: Vec<(&Key, &Row)> = state
                .rows
                .iter()
                .filter(|(key, row)| key.0 == table && row.version > after)
                .collect();
            if !changed.is_empty() || Instant::now() >= until {
                changed.sort_by_key(|(_, row)| row.version);
                let rows: Vec<Value> = changed.iter().map(|(key, row)| entry(key, row)).collect();
                return (StatusCode::OK, json!({"rows": rows, "row_version": state.version}));
            }
        }
        tokio::time::sleep(FEED_POLL_INTERVAL).await;
    }
}

fn transact(state: &mut State, body: &[u8]) -> (StatusCode, Value) {
    let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
        return (StatusCode::BAD_REQUEST, Value::Null);
    };
    let key = |entry: &Value| -> Key {
        let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
        (text("table"), text("part"), text("key"))
    };
    for condition in transaction["expected_revision"].as_array().into_iter().flatten() {
        let known = state.rows.get(&key(condition)).filter(|row| row.value.is_some());
        if known.map_or(0, |row| row.version) != condition["row_version"].as_u64().unwrap_or(0) {
            return (StatusCode::PRECONDITION_FAILED, json!({"rows": []}));
        }
    }
    state.version += 1;
    let version = state.version;
    for write in transaction["write"].as_array().into_iter().flatten() {
        let value = write["value"].as_str().map(str::to_owned);
        state.record_status(&key(write), value.as_deref());
        state.rows.insert(key(write), Row { value, version });
    }
    for row in transaction["delete"].as_array().into_iter().flatten() {
        state.rows.insert(key(row), Row { value: None, version });
    }
    state.keep_copy();
    (StatusCode::OK, json!({"row_version": version}))
}

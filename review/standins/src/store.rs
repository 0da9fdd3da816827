//! Stand-in for the platform's store: rows, their changes, and transactions.

use crate::{http, net};
use anyhow::Result;
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Time of a call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Interval at which a waiting call looks for changes.
const FEED_INTERVAL: Duration = Duration::from_millis(10);
/// Rows in a page.
const PAGE_ROWS: usize = 500;
/// Tables that only the operator and the workers write.
const RESERVED_TABLES: [&str; 2] = ["op", "servers"];

/// Table, part and key.
type Key = (String, String, String);

#[derive(Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

/// Store that serves until the case ends.
#[derive(Debug)]
pub struct Store {
    /// Address that it serves at.
    pub address: SocketAddr,
    state: Rc<RefCell<State>>,
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    /// No address can be bound.
    pub async fn start() -> Result<Self> {
        let listener = TcpListener::bind((net::unused_address(), 0)).await?;
        let store = Self { address: listener.local_addr()?, state: Rc::default() };
        let state = Rc::clone(&store.state);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Rc::clone(&state);
                // An error means that the node has closed the connection.
                spawn_local(async move { serve(stream, &state).await.ok() });
            }
        });
        Ok(store)
    }

    /// Writes a row, as the operator or a worker.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.state.borrow_mut();
        state.version += 1;
        let version = state.version;
        let value = Some(STANDARD.encode(value.to_string()));
        state.rows.insert((table.into(), String::new(), key.into()), Row { value, version });
    }
}

async fn serve(mut stream: TcpStream, state: &RefCell<State>) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(call) = http::read(&mut stream, &mut buffer).await? {
        tokio::time::sleep(CALL_TIME).await;
        let mut words = call.line.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = parse(query);
        let (status, body) = match (method, path) {
            ("GET", "/rows-get") => ("200 OK", page(&state.borrow(), &query)),
            ("GET", "/rows-feed") => ("200 OK", feed(state, &query).await),
            ("POST", "/rows-tx") => transact(&mut state.borrow_mut(), &call.body),
            _ => ("404 Not Found", Value::Null),
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await?;
    }
    Ok(())
}

fn parse(query: &str) -> BTreeMap<&str, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name, unescape(value))).collect()
}

fn unescape(text: &str) -> String {
    let mut parts = text.split('%');
    let mut plain = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (code, rest) = part.split_at_checked(2).unwrap_or((part, ""));
        plain.extend(u8::from_str_radix(code, 16).map(char::from));
        plain.push_str(rest);
    }
    plain
}

fn entry((table, part, key): &Key, row: &Row) -> Value {
    json!({"table": table, "part": part, "key": key, "value": row.value,
        "row_version": row.version, "removed": row.value.is_none()})
}

fn page(state: &State, query: &BTreeMap<&str, String>) -> Value {
    let text = |name: &str| query.get(name).map_or("", String::as_str);
    let limit = text("max_items").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
    let found: Vec<Value> = state
        .rows
        .iter()
        .filter(|((table, part, key), row)| {
            table == text("table")
                && part == text("part")
                && key.as_str() >= text("start_key")
                && row.value.is_some()
        })
        .map(|(key, row)| entry(key, row))
        .collect();
    json!({"rows": found[..found.len().min(limit)], "has_more": found.len() > limit,
        "row_version": state.version, "timestamp_ms": 0})
}

async fn feed(state: &RefCell<State>, query: &BTreeMap<&str, String>) -> Value {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let table = query.get("table").cloned().unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    loop {
        {
            let state = state.borrow();
            let rows = state.rows.iter();
            let mut changed: Vec<(&Key, &Row)> = rows
                .filter(|((of, ..), row)| *of == table && row.version > number("after"))
                .collect();
            if !changed.is_empty() || Instant::now() >= until {
                changed.sort_by_key(|(_, row)| row.version);
                let rows: Vec<Value> = changed.iter().map(|(key, row)| entry(key, row)).collect();
                return json!({"rows": rows, "row_version": state.version, "timestamp_ms": 0});
            }
        }
        tokio::time::sleep(FEED_INTERVAL).await;
    }
}

fn transact(state: &mut State, body: &[u8]) -> (&'static str, Value) {
    let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
        return ("400 Bad Request", Value::Null);
    };
    let entries = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    let key = |entry: &Value| -> Key {
        let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
        (text("table"), text("part"), text("key"))
    };
    let (writes, deletions) = (entries("write"), entries("delete"));
    if writes.iter().chain(&deletions).any(|entry| RESERVED_TABLES.contains(&&*key(entry).0)) {
        return ("403 Forbidden", Value::Null);
    }
    for condition in entries("expected_revision") {
        let known = state.rows.get(&key(&condition)).filter(|row| row.value.is_some());
        if known.map_or(0, |row| row.version) != condition["row_version"].as_u64().unwrap_or(0) {
            return ("412 Precondition Failed", json!({"rows": []}));
        }
    }
    state.version += 1;
    let version = state.version;
    for write in writes {
        let value = write["value"].as_str().map(str::to_owned);
        state.rows.insert(key(&write), Row { value, version });
    }
    for deletion in deletions {
        state.rows.insert(key(&deletion), Row { value: None, version });
    }
    ("200 OK", json!({"row_version": version, "timestamp_ms": 0}))
}

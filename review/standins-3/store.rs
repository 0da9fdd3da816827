//! Stand-in of the platform's metadata store: rows, transactions, change feed.

use crate::{
    http::Reader,
    json::{self, Json},
};
use std::{
    collections::BTreeMap,
    io::{Result, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    /// Value in base64; none if the row was deleted.
    value: Option<String>,
    version: u64,
}

struct State {
    rows: BTreeMap<Key, Row>,
    /// All changes, in order.
    history: Vec<(Key, Row)>,
    version: u64,
    started: Instant,
    /// Whether no call is answered.
    silent: bool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State {
            rows: BTreeMap::new(),
            history: Vec::new(),
            version: 1,
            started: Instant::now(),
            silent: false,
        };
        let store = Self { address: listener.local_addr()?, state: Arc::new(Mutex::new(state)) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, like the operator and the workers.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.set(table, key, Some(json::base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    /// Takes a worker's ping; false if the store does not answer. An entry changes only when more than
    /// its `seq` changes, so that a ping writes a row only if there is none.
    pub fn ping(&self, id: &str, entry: &str) -> bool {
        let key = ("servers".to_owned(), String::new(), id.to_owned());
        let state = self.state.lock().unwrap();
        if state.silent {
            return false;
        }
        let is_listed = state.rows.get(&key).is_some_and(|row| row.value.is_some());
        drop(state);
        if !is_listed {
            self.put("servers", id, entry);
        }
        true
    }

    /// From now on, no call is answered, or all are again.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    fn is_silent(&self) -> bool {
        self.state.lock().unwrap().silent
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.change((table.into(), String::new(), key.into()), Row { value, version });
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message(false) {
            let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), unescape(value)))
                .collect();
            let field = |name: &str| query.get(name).cloned().unwrap_or_default();
            if self.is_silent() {
                thread::sleep(Duration::from_secs(60));
                return;
            }
            let (status, body) = match path {
                "/rows-get" => ("200 OK", self.page(&field)),
                "/rows-feed" => ("200 OK", self.feed(&field)),
                "/rows-tx" => self.transact(&request.body),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            if self.is_silent() {
                // Nothing more comes on a connection on which an answer was lost.
                thread::sleep(Duration::from_secs(60));
                return;
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if reader.stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn page(&self, field: &dyn Fn(&str) -> String) -> String {
        thread::sleep(Duration::from_millis(4));
        let state = self.state.lock().unwrap();
        let most: usize = field("max_items").parse().unwrap_or(500);
        let (table, part, from) = (field("table"), field("part"), field("start_key"));
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|(key, row)| key.0 == table && key.1 == part && row.value.is_some())
            .filter(|(key, _)| key.2.as_bytes() >= from.as_bytes())
            .map(|(key, row)| render(key, row))
            .collect();
        let more = rows.len() > most;
        state.answer(&rows[..rows.len().min(most)], more)
    }

    fn feed(&self, field: &dyn Fn(&str) -> String) -> String {
        let (table, after) = (field("table"), field("after").parse().unwrap_or(0));
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            {
                let state = self.state.lock().unwrap();
                let changed: Vec<&(Key, Row)> = state
                    .history
                    .iter()
                    .filter(|(key, row)| key.0 == table && row.version > after)
                    .collect();
                if !changed.is_empty() || Instant::now() >= until {
                    let rows: Vec<String> =
                        changed.iter().map(|(key, row)| render(key, row)).collect();
                    return state.answer(&rows, false);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        thread::sleep(Duration::from_millis(4));
        let Some(transaction) = json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let key = |entry: &Json| -> Key {
            let text = |name: &str| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.state.lock().unwrap();
        for condition in transaction.get("expected_revision").items() {
            let known = state.rows.get(&key(condition)).filter(|row| row.value.is_some());
            if known.map_or(0, |row| row.version) != condition.get("row_version").number() {
                return ("412 Precondition Failed", state.answer(&[], false));
            }
        }
        let writes = transaction.get("write").items().iter();
        let deletes = transaction.get("delete").items().iter();
        if writes
            .clone()
            .chain(deletes.clone())
            .any(|e| ["op", "servers"].contains(&e.get("table").text()))
        {
            return ("403 Forbidden", "{}".to_owned());
        }
        state.version += 1;
        let version = state.version;
        for entry in writes {
            let value = Some(entry.get("value").text().to_owned());
            state.change(key(entry), Row { value, version });
        }
        for entry in deletes {
            state.change(key(entry), Row { value: None, version });
        }
        ("200 OK", state.answer(&[], false))
    }
}

impl State {
    fn change(&mut self, key: Key, row: Row) {
        self.history.push((key.clone(), row.clone()));
        self.rows.insert(key, row);
    }

    fn answer(&self, rows: &[String], has_more: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"row_version\":{},\"timestamp_ms\":{},\"has_more\":{has_more}}}",
            rows.join(","),
            self.version,
            70_000 + self.started.elapsed().as_millis()
        )
    }
}

fn render((table, part, key): &Key, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"row_version\":{},{value}}}",
        row.version
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut at, mut plain) = (0, Vec::new());
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            plain.push(byte);
            at += 3;
        } else {
            plain.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

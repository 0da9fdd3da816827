//! Stand-ins of the platform's store, of servers and of clients, and the processes of the project.
//! Standard library only. All addresses are loopback addresses.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Host of all routes.
pub const HOST: &str = "a.example";
/// Key of the only tenant.
pub const KEY: &str = "key-1";

static ADDRESSES: AtomicU32 = AtomicU32::new(0);

/// Loopback address that nothing else in this process uses.
pub fn address() -> IpAddr {
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    let last = u8::try_from(number % 250 + 2).unwrap_or(2);
    IpAddr::V4(Ipv4Addr::new(127, 2 + high % 250, low, last))
}

/// Whether the case is played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.0.0.elapsed()
    }

    pub fn add(&self, line: &str) {
        let at = self.now();
        let mut file = self.0.1.lock().unwrap();
        writeln!(file, "{:9.3} s  {line}", at.as_secs_f64()).ok();
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Head of an HTTP message: its first line, and its headers in lower case.
pub struct Head {
    pub line: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; none at the end of the connection. Further bytes stay in `buffer`.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        let mut chunk = [0; 8192];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = text.trim_end().split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Ok(Some(Head { line, headers: headers.collect() }))
}

/// Reads `length` bytes of a body.
pub fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        let mut chunk = [0; 65536];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
    Ok(buffer.drain(..length).collect())
}

// ---------------------------------------------------------------- store

type Key = (String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

/// Platform's store: rows of the empty part, reads, the feed and transactions.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    started: Instant,
    record: Record,
}

/// Address at which one machine reaches the store. Its path can be cut.
#[derive(Clone)]
pub struct StorePath {
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    cut: Arc<AtomicBool>,
    feeds: Arc<AtomicU64>,
}

impl StorePath {
    /// Answers nothing from now on.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    /// Answers again, on new connections.
    pub fn heal(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        self.cut.store(false, Ordering::SeqCst);
    }

    /// Answers so far to calls for changes of the servers.
    pub fn feeds(&self) -> u64 {
        self.feeds.load(Ordering::SeqCst)
    }
}

impl Store {
    pub fn new(record: &Record) -> Self {
        Self { rows: Arc::default(), started: Instant::now(), record: record.clone() }
    }

    /// Opens another address of the store.
    pub fn path(&self) -> io::Result<StorePath> {
        let listener = TcpListener::bind((address(), 0))?;
        let address = listener.local_addr()?;
        let (open, cut, feeds) = (Arc::default(), Arc::default(), Arc::default());
        let path = StorePath { address, open, cut, feeds };
        let (store, served) = (self.clone(), path.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).ok();
                served.open.lock().unwrap().extend(stream.try_clone());
                let (store, path) = (store.clone(), served.clone());
                thread::spawn(move || store.serve(stream, &path).ok());
            }
        });
        Ok(path)
    }

    /// Writes a row, like the operator or a server; the time of the confirmation.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Duration {
        self.set(table, key, Some(base64(value.as_bytes())));
        self.record.add(&format!("store: {table}/{key} is {value}"));
        self.record.now()
    }

    /// Removes a row, like a server that has left; the time of the confirmation.
    pub fn remove(&self, table: &str, key: &str) -> Duration {
        self.set(table, key, None);
        self.record.add(&format!("store: {table}/{key} is removed"));
        self.record.now()
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (value, version));
    }

    fn serve(&self, mut stream: TcpStream, at: &StorePath) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer)? {
            let body = read_body(&mut stream, &mut buffer, head.length())?;
            if at.cut.load(Ordering::SeqCst) {
                // The connection delivers nothing further.
                thread::sleep(Duration::from_secs(30));
                return Ok(());
            }
            let target = head.line.split(' ').nth(1).unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| {
                    let value = value.replace("%2F", "/").replace("%00", "\0");
                    (name.to_owned(), value)
                })
                .collect();
            let (status, fields) = match path {
                "/rows-get" => ("200 OK", self.page(&query)),
                "/rows-feed" => ("200 OK", self.feed(&query)),
                "/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => ("404 Not Found", String::from("\"rows\":[]")),
            };
            let now = self.started.elapsed().as_millis();
            let body = format!("{{{fields},\"timestamp_ms\":{now}}}");
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if at.cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_secs(30));
                return Ok(());
            }
            stream.write_all(format!("{head}{body}").as_bytes())?;
            if path == "/rows-feed" && query.get("table").is_some_and(|table| table == "servers") {
                at.feeds.fetch_add(1, Ordering::SeqCst);
            }
        }
        Ok(())
    }

    fn row(key: &Key, value: Option<&str>, version: u64) -> String {
        let value = value.map_or(String::from("null"), |value| format!("\"{value}\""));
        let removed = value == "null";
        format!(
            "{{\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\",\"value\":{value},\
             \"row_version\":{version},\"removed\":{removed}}}",
            key.0, key.1
        )
    }

    fn page(&self, query: &BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let (table, from) = (text("table"), text("start_key"));
        let limit: usize = text("max_items").parse().unwrap_or(500);
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|(key, row)| {
            key.0 == table && row.0.is_some() && key.1.as_str() >= from
        });
        let found: Vec<String> =
            found.map(|(key, row)| Self::row(key, row.0.as_deref(), row.1)).collect();
        let shown = &found[..found.len().min(limit)];
        format!(
            "\"rows\":[{}],\"has_more\":{},\"row_version\":{}",
            shown.join(","),
            found.len() > limit,
            rows.version
        )
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            {
                let rows = self.rows.lock().unwrap();
                let mut changed: Vec<(&Key, &(Option<String>, u64))> = rows
                    .rows
                    .iter()
                    .filter(|(key, row)| key.0 == text("table") && row.1 > after)
                    .collect();
                if !changed.is_empty() || Instant::now() >= until {
                    changed.sort_by_key(|(_, row)| row.1);
                    let shown: Vec<String> = changed
                        .iter()
                        .map(|(key, row)| Self::row(key, row.0.as_deref(), row.1))
                        .collect();
                    return format!("\"rows\":[{}],\"row_version\":{}", shown.join(","), rows.version);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Applies a transaction of the project, whose entries are flat objects of texts and numbers.
    fn transact(&self, body: &str) -> (&'static str, String) {
        let list = |name: &str| -> Vec<BTreeMap<String, String>> {
            let start = body.find(&format!("\"{name}\":["));
            let Some(start) = start.map(|at| at + name.len() + 4) else { return Vec::new() };
            let end = start + body[start..].find(']').unwrap_or(0);
            let entries = body[start..end].split('}').filter(|entry| entry.contains('{'));
            entries.map(fields).collect()
        };
        let mut rows = self.rows.lock().unwrap();
        let key = |entry: &BTreeMap<String, String>| (entry["table"].clone(), entry["key"].clone());
        for condition in list("expected_revision") {
            let known = rows.rows.get(&key(&condition)).filter(|row| row.0.is_some());
            let version = known.map_or(0, |row| row.1).to_string();
            if version != condition["row_version"] {
                return ("412 Precondition Failed", String::from("\"rows\":[]"));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for entry in list("write") {
            rows.rows.insert(key(&entry), (Some(entry["value"].clone()), version));
        }
        for entry in list("delete") {
            rows.rows.insert(key(&entry), (None, version));
        }
        ("200 OK", format!("\"row_version\":{version}"))
    }
}

/// Fields of a flat JSON object.
fn fields(text: &str) -> BTreeMap<String, String> {
    let text = &text[text.find('{').map_or(0, |at| at + 1)..];
    let pairs = text.split(",\"").filter_map(|pair| pair.split_once("\":"));
    let clean = |text: &str| text.trim_matches('"').to_owned();
    pairs.map(|(name, value)| (clean(name), clean(value))).collect()
}

// ---------------------------------------------------------------- configuration

/// Route to the service `llm`.
pub fn route(name: &str, kind: &str, attempts: u32, resume: bool, timeout_ms: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":500,\"priority\":1,\"service\":\"llm\",\
         \"max_attempts\":{attempts},\"anonymous\":false,\"stream_resume\":{resume},\
         \"target_gap_ms\":300}}"
    )
}

/// Configuration with the limits of the users' pages.
pub fn configuration(version: u64, routes: &[String]) -> String {
    configuration_with(version, routes, 16_384, &[KEY])
}

/// The same with another limit on the heads of requests, and other keys of the tenant.
pub fn configuration_with(
    version: u64,
    routes: &[String],
    max_header_bytes: usize,
    keys: &[&str],
) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"llm\",\
         \"health_path\":\"/healthz\",\"max_connections\":300}}],\"limits\":{{\
         \"max_header_bytes\":{max_header_bytes},\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"org-1\",\"api_keys\":[{keys}],\
         \"unit\":\"token_based\",\"uncached_tokens\":200,\"rate_per_s\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}

// ---------------------------------------------------------------- servers

/// Request at a server.
pub struct Arrival {
    pub head: Head,
    pub body: Vec<u8>,
    pub attempt: String,
}

/// Server of the service `llm`. `answer` runs a request and writes its answer; false closes the
/// connection.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub zone: &'static str,
    seq: AtomicU64,
    gone: Arc<AtomicBool>,
}

type Answer = dyn Fn(&mut TcpStream, &Arrival, &str) -> io::Result<bool> + Send + Sync;

impl Server {
    pub fn start(
        id: &str,
        slots: u32,
        zone: &'static str,
        answer: impl Fn(&mut TcpStream, &Arrival, &str) -> io::Result<bool> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((address(), 0))?;
        let address = listener.local_addr()?;
        let (name, answer): (String, Arc<Answer>) = (id.to_owned(), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).ok();
                let (name, answer) = (name.clone(), Arc::clone(&answer));
                thread::Builder::new()
                    .stack_size(256 << 10)
                    .spawn(move || serve(stream, &name, &*answer).ok())
                    .ok();
            }
        });
        let gone = Arc::default();
        Ok(Self { id: id.into(), address, slots, zone, seq: AtomicU64::new(1), gone })
    }

    fn entry(&self, state: &str) -> String {
        let (seq, zone) = (self.seq.fetch_add(1, Ordering::Relaxed), self.zone);
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"concurrency\":{},\"state\":\"{state}\",\"warmup_left_ms\":0,\"seq\":{seq},\
             \"born\":1790000000000}}",
            self.address, self.slots
        )
    }

    /// Registers the server and writes its entry again at each interval.
    pub fn register(&self, store: &Store) {
        store.put("servers", &self.id, &self.entry("ready"));
    }

    /// Entry is written again, as each `heartbeat_ms`, unless the server has left.
    pub fn beat(&self, store: &Store) {
        if !self.gone.load(Ordering::SeqCst) {
            store.set("servers", &self.id, Some(base64(self.entry("ready").as_bytes())));
        }
    }

    /// Leaves without reporting `draining`: the entry is removed. The time of the confirmation.
    pub fn leave(&self, store: &Store) -> Duration {
        self.gone.store(true, Ordering::SeqCst);
        store.remove("servers", &self.id)
    }
}

fn serve(mut stream: TcpStream, id: &str, answer: &Answer) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer)? {
        let body = read_body(&mut stream, &mut buffer, head.length())?;
        let attempt = head.header("x-attempt-id").to_owned();
        let arrival = Arrival { head, body, attempt };
        let target = arrival.head.header("x-target-instance");
        if !target.is_empty() && target != id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\nX-Instance-Id: {id}\r\n\
                 Content-Length: 0\r\n\r\n",
                arrival.attempt
            );
            stream.write_all(head.as_bytes())?;
            continue;
        }
        if !answer(&mut stream, &arrival, id)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Head of a success, without framing.
pub fn success(arrival: &Arrival, id: &str) -> String {
    let attempt = &arrival.attempt;
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {id}.{attempt}\r\n\
         X-Server-Load: 1,0,11,100\r\n"
    )
}

// ---------------------------------------------------------------- processes of the project

/// Settings of a machine that differ between cases.
#[derive(Clone)]
pub struct Machine {
    pub name: &'static str,
    pub zone: &'static str,
    pub memory_mb: u64,
    pub max_fds: u32,
}

/// Process with the command of the deploy file.
pub struct Node {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub child: Child,
    directory: PathBuf,
}

fn free_port(ip: IpAddr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Node {
    pub fn start(machine: &Machine, store: SocketAddr) -> io::Result<Self> {
        let ip = address();
        let frontend = SocketAddr::new(ip, free_port(ip)?);
        let readiness = SocketAddr::new(ip, free_port(ip)?);
        let peers = free_port(ip)?;
        let Machine { name, zone, memory_mb, max_fds } = machine;
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"relay\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r1\"\nport_range = [{peers},{peers}]\n\
             bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"quota\",\"platform\"]\n\
             [zones]\nz1 = \"r1\"\nz2 = \"r1\"\nz3 = \"r2\"\n\
             [listen]\nfrontend = \"{frontend}\"\nreadiness = \"{readiness}\"\n\
             [limits]\ncpu_quota = 0.25\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n\
             bandwidth_mbps = 1000.0\ndisk_mb = 0\n\
             [bounds]\nstable_ms = 4000\ndrain_ms = 2500\ngrace_s = 8\nconfig_apply_ms = 2500\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_burst = 54\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\n"
        );
        let directory =
            std::env::temp_dir().join(format!("bamboo-review-{}-{name}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let path = directory.join("settings.toml");
        fs::write(&path, settings)?;
        let child = Command::new("target/release/bamboo-relay")
            .env("BAMBOOROAD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(File::create(directory.join("log"))?)
            .stderr(File::create(directory.join("errors"))?)
            .spawn()?;
        Ok(Self { frontend, readiness, child, directory })
    }

    /// Waits until the readiness check returns 200.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if get(self.readiness, "/readyz").is_ok_and(|status| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Peak of the resident set, in bytes.
    pub fn peak_resident(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.and_then(|text| text.trim().parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    /// Resident set now, in bytes.
    pub fn resident(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes.and_then(|text| text.trim().parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status().ok();
    }

    /// What the process has written.
    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        if std::env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.directory).ok();
        }
    }
}

fn get(address: SocketAddr, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())?;
    let head = read_head(&mut stream, &mut Vec::new())?;
    Ok(head.map_or(0, |head| head.status()))
}

// ---------------------------------------------------------------- clients

/// Bytes of a client's request.
pub fn request(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u32,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    request_with_key(method, path, attempt, deadline_ms, more, body, KEY)
}

/// The same with another key.
pub fn request_with_key(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u32,
    more: &str,
    body: &[u8],
    key: &str,
) -> Vec<u8> {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Api-Key: {key}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n{more}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Answer that a client received.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer is whole by its own framing.
    pub complete: bool,
    pub error: String,
}

/// Reads an answer with a length or in chunks. `pause` is called before the body is read.
pub fn read_reply(stream: &mut TcpStream, buffer: &mut Vec<u8>, mut pause: impl FnMut()) -> Reply {
    let mut reply = Reply { status: 0, body: Vec::new(), complete: false, error: String::new() };
    let head = match read_head(stream, buffer) {
        Ok(Some(head)) => head,
        Ok(None) => {
            reply.error = "closed before an answer".into();
            return reply;
        }
        Err(error) => {
            reply.error = format!("before an answer: {error}");
            return reply;
        }
    };
    reply.status = head.status();
    pause();
    let result = if head.header("transfer-encoding") == "chunked" {
        read_chunks(stream, buffer, &mut reply.body)
    } else {
        let length = head.length();
        loop {
            let part = buffer.len().min(length - reply.body.len());
            reply.body.extend(buffer.drain(..part));
            if reply.body.len() == length {
                break Ok(());
            }
            if let Err(error) = more(stream, buffer) {
                break Err(error);
            }
        }
    };
    match result {
        Ok(()) => reply.complete = true,
        Err(error) => reply.error = format!("inside the answer: {error}"),
    }
    reply
}

fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    let mut chunk = [0; 16384];
    let count = stream.read(&mut chunk)?;
    if count == 0 {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
    }
    buffer.extend_from_slice(&chunk[..count]);
    Ok(())
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let end = loop {
            if let Some(at) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                break at;
            }
            more(stream, buffer)?;
        };
        let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
        while buffer.len() < end + 2 + size + 2 {
            more(stream, buffer)?;
        }
        body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return Ok(());
        }
    }
}

// ---------------------------------------------------------------- sockets

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Limits the bytes that the kernel takes for a reader that does not read.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    use std::os::fd::AsRawFd;
    // SOL_SOCKET and SO_RCVBUF on Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &raw const bytes, 4) };
}

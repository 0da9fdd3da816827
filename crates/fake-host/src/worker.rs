//! Stand-in for a worker: plain and streamed responses, with injected faults.
//!
//! HTTP is written directly to the socket, because some faults send bytes that
//! an HTTP library would refuse to send.

use anyhow::{Context, Result};
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Status of a worker that is full.
const UNAVAILABLE: &str = "503 Service Unavailable";
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Repetitions of the filler in each piece that is sent without end.
const FILLER_REPETITIONS: usize = 4_096;
/// Pause between these pieces.
const FILLER_INTERVAL: Duration = Duration::from_millis(1);

/// Time in which a response is acknowledged before a [`Hook`] gets its connection.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(10);

/// Interval at which a crash checks whether connections are refused.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Requests are rejected with status 503 and not run.
    Reject,
    /// The first sending of each attempt is rejected, and the rejection is sent once more when the
    /// next request comes on its connection.
    RejectAndRepeat,
    /// Every third request is rejected, and every other plain response or rejection is sent once
    /// more when the next request comes on its connection.
    LateCopies,
    /// Requests with a body are rejected before the body is read.
    EarlyRejection,
    /// Requests run, and bytes that are no response come in place of one.
    Garbage,
    /// Requests run, and a rejection that names no request precedes the response.
    UnnamedRejection,
    /// Requests run, and the connection is closed without a response.
    DropResponse,
    /// Streams end in the middle of the event after this number.
    TruncateAfter(u64),
    /// Streams send nothing more after this number of events, and stay open.
    SilentAfter(u64),
    /// Each plain response is sent twice.
    ExtraResponse,
    /// Responses carry no receipt.
    Unsigned,
    /// Requests for a stream get a plain response.
    PlainResponse,
    /// Requests run and get a response with status 500.
    Error,
    /// Requests are rejected with status 503, and the body of the response never ends.
    RejectWithoutEnd,
    /// Requests run, and the head of the response never ends.
    HeadWithoutEnd,
    /// Requests run, and bytes that are no response follow the head without end.
    BodyWithoutEnd,
}

/// What is done to a connection that has carried a plain response.
pub type Hook = fn(&TcpStream) -> std::io::Result<()>;

/// Defect of a version: some of its responses are bad. All conditions must hold.
#[derive(Debug, Clone, Default)]
pub struct Defect {
    /// One of this number of responses is bad, at random; all, if it is at most 1.
    pub one_of: u32,
    /// Time that a bad response takes in addition; it is a failure if there is none.
    pub delay: Option<Duration>,
    /// Number of requests that run before the first bad response.
    pub after: usize,
    /// Number of concurrent requests from which on responses are bad.
    pub load: usize,
    /// Start of the paths whose responses are bad.
    pub path: String,
}

impl Defect {
    /// Some responses are failures.
    #[must_use]
    pub fn failing(one_of: u32) -> Self {
        Self { one_of, ..Self::default() }
    }

    /// Some responses take longer.
    #[must_use]
    pub fn slow(one_of: u32, delay: Duration) -> Self {
        Self { one_of, delay: Some(delay), ..Self::default() }
    }

    /// Only on paths that start with this.
    #[must_use]
    pub fn on_path(self, path: &str) -> Self {
        Self { path: path.to_owned(), ..self }
    }

    /// Only after a number of requests.
    #[must_use]
    pub fn after(self, requests: usize) -> Self {
        Self { after: requests, ..self }
    }

    /// Only with at least this number of concurrent requests.
    #[must_use]
    pub fn under_load(self, requests: usize) -> Self {
        Self { load: requests, ..self }
    }

    /// Whether the response to a request is bad; `number` tells how many ran before it.
    fn applies(&self, run: &Run, number: usize, concurrent: usize) -> bool {
        let path = run.request_line.split(' ').nth(1).unwrap_or_default();
        path.starts_with(&self.path)
            && number >= self.after
            && concurrent >= self.load
            && (self.one_of <= 1 || mix(number).is_multiple_of(u64::from(self.one_of)))
    }
}

/// Requests under which a worker crashes when it begins to run them. All conditions must hold.
#[derive(Debug, Clone, Default)]
pub struct Deadly {
    method: Option<Box<str>>,
    target: Option<Box<str>>,
    header: Option<(Box<str>, Box<str>)>,
    part: Option<Box<str>>,
}

impl Deadly {
    /// Requests with this path and query.
    #[must_use]
    pub fn target(target: &str) -> Self {
        Self { target: Some(target.into()), ..Self::default() }
    }

    /// Requests with a part of a prompt.
    #[must_use]
    pub fn part(part: &str) -> Self {
        Self { part: Some(part.into()), ..Self::default() }
    }

    /// Only with this method.
    #[must_use]
    pub fn with_method(self, method: &str) -> Self {
        Self { method: Some(method.into()), ..self }
    }

    /// Only with a header of this value; its name is in lower case.
    #[must_use]
    pub fn with_header(self, name: &str, value: &str) -> Self {
        Self { header: Some((name.into(), value.into())), ..self }
    }

    fn applies(&self, run: &Run) -> bool {
        let mut words = run.request_line.split(' ');
        let (method, target) = (words.next(), words.next());
        let header = |name: &str| run.headers.get(name).map(String::as_str);
        let prompt = header("x-prompt-prefix").unwrap_or_default();
        let mut parts = prompt.split(',').filter_map(|part| part.split(':').next());
        self.method.as_deref().is_none_or(|deadly| method == Some(deadly))
            && self.target.as_deref().is_none_or(|deadly| target == Some(deadly))
            && self.header.as_ref().is_none_or(|(name, value)| header(name) == Some(value))
            && self.part.as_deref().is_none_or(|deadly| parts.any(|part| part == deadly))
    }
}

/// Spreads numbers evenly, the same in each run of a test.
fn mix(number: usize) -> u64 {
    let number = u64::try_from(number).unwrap_or_default().wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// Attempt id.
    pub attempt: String,
    /// Request line.
    pub request_line: String,
    /// Headers, by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Time the request was received.
    pub started_at: Instant,
    /// Time the response was written or the connection lost.
    pub ended_at: Option<Instant>,
    /// Whether the response was bad by the version's [`Defect`].
    pub bad: bool,
    /// Time a stream was found to have lost its connection.
    pub disconnected_at: Option<Instant>,
}

/// Rejection of a request.
#[derive(Debug, Clone)]
pub struct Rejection {
    /// Attempt id.
    pub attempt: String,
    /// Time the request was received.
    pub at: Instant,
}

#[derive(Debug)]
struct State {
    id: String,
    fault: Fault,
    runs: Vec<Run>,
    rejections: Vec<Rejection>,
    /// Requests received with [`Fault::LateCopies`].
    received: usize,
    /// Attempts rejected with [`Fault::RejectAndRepeat`].
    rejected: BTreeSet<String>,
    events: u64,
    pause: Duration,
    /// Bytes that are appended to the data of each event.
    event_padding: usize,
    answered_hook: Option<Hook>,
    /// Time for which nothing of a request's body is read.
    read_pause: Duration,
    /// Time that a plain request takes.
    work: Duration,
    /// Bytes that are appended to plain responses.
    padding: usize,
    /// Requests under which the worker crashes.
    deadly: Option<Deadly>,
    crashed_at: Option<Instant>,
    /// Whether responses end with their connection, without a length or chunks.
    unframed: bool,
    /// Load that responses state.
    load: Box<str>,
    /// Further header lines of all responses.
    headers: Box<str>,
    /// Limit that responses name, in requests per second.
    limit: Option<Box<str>>,
    /// Version of its software.
    version: Box<str>,
    defect: Option<Defect>,
    /// Requests that run now.
    running: usize,
    stop: watch::Sender<bool>,
}

impl State {
    /// Records a rejection and returns it.
    fn reject(&mut self, attempt: &str) -> String {
        self.rejections.push(Rejection { attempt: attempt.to_owned(), at: Instant::now() });
        rejection(UNAVAILABLE, &format!("X-Attempt-Id: {attempt}\r\n{}", self.headers))
    }

    fn crashes_under(&self, run: &Run) -> bool {
        self.deadly.as_ref().is_some_and(|deadly| deadly.applies(run))
    }

    /// Ends all connections and the listener.
    fn stop(&mut self) {
        self.crashed_at.get_or_insert_with(Instant::now);
        self.stop.send_replace(true);
    }
}

/// Handle of a running worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Address that it serves at.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Worker {
    /// Starts a worker on the current Tokio runtime.
    ///
    /// # Errors
    /// No address can be bound.
    pub async fn start(id: &str) -> Result<Self> {
        let listener = TcpListener::bind((crate::unused_address(), 0)).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            fault: Fault::None,
            runs: Vec::new(),
            rejections: Vec::new(),
            received: 0,
            rejected: BTreeSet::new(),
            events: 5,
            pause: Duration::from_millis(5),
            event_padding: 0,
            answered_hook: None,
            read_pause: Duration::ZERO,
            work: Duration::ZERO,
            padding: 0,
            deadly: None,
            crashed_at: None,
            unframed: false,
            load: "1,0,4,100".into(),
            headers: Box::default(),
            limit: None,
            version: "v1".into(),
            defect: None,
            running: 0,
            stop,
        }));
        tokio::spawn(accept(listener, Arc::clone(&state), stopped));
        Ok(Self { address, state })
    }

    /// Identifier.
    #[must_use]
    pub fn id(&self) -> String {
        self.state.lock().id.clone()
    }

    /// Value of the worker's entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        json!({"service": service, "address": self.address.to_string(), "zone": zone,
            "version": &*self.state.lock().version, "concurrency": 4, "state": state, "warmup_left_ms": 0, "seq": 1,
            "born": 1_790_000_000_000_u64})
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().fault = fault;
    }

    /// Sets the version of its software.
    pub fn set_version(&self, version: &str) {
        self.state.lock().version = version.into();
    }

    /// Version of its software.
    #[must_use]
    pub fn version(&self) -> String {
        self.state.lock().version.to_string()
    }

    /// Sets the defect of its version, or none.
    pub fn set_defect(&self, defect: Option<Defect>) {
        self.state.lock().defect = defect;
    }

    /// Sets the length of streams and the pause between their events.
    pub fn set_stream(&self, events: u64, pause: Duration) {
        let mut state = self.state.lock();
        state.events = events;
        state.pause = pause;
    }

    /// Sets the number of bytes that are appended to the data of each event.
    pub fn set_event_padding(&self, padding: usize) {
        self.state.lock().event_padding = padding;
    }

    /// Sets what is done to a connection that has carried a plain response.
    pub fn set_answered_hook(&self, hook: Hook) {
        self.state.lock().answered_hook = Some(hook);
    }

    /// Sets the time for which nothing of a request's body is read.
    pub fn set_read_pause(&self, pause: Duration) {
        self.state.lock().read_pause = pause;
    }

    /// Sets the time that a plain request takes.
    pub fn set_work(&self, work: Duration) {
        self.state.lock().work = work;
    }

    /// Sets the number of bytes that are appended to plain responses.
    pub fn set_padding(&self, padding: usize) {
        self.state.lock().padding = padding;
    }

    /// Sets the requests under which the worker crashes when it begins to run them.
    pub fn set_deadly(&self, deadly: Deadly) {
        self.state.lock().deadly = Some(deadly);
    }

    /// Changes the identifier, as if another worker had started at the address.
    pub fn rename(&self, id: &str) {
        self.state.lock().id = id.to_owned();
    }

    /// Sends responses that have neither a length nor chunks and end with their connection.
    pub fn set_unframed(&self) {
        self.state.lock().unframed = true;
    }

    /// Names a limit in responses, in requests per second, or none.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.state.lock().limit = limit.map(|limit| limit.to_string().into());
    }

    /// Names a limit in responses, which need not be a number.
    pub fn set_limit_text(&self, limit: &str) {
        self.state.lock().limit = Some(limit.into());
    }

    /// Adds a header to all responses, in place of the last one that was added.
    pub fn set_header(&self, name: &str, value: &str) {
        self.state.lock().headers = format!("{name}: {value}\r\n").into();
    }

    /// Sets the load that responses state, which need not be valid.
    pub fn set_load(&self, load: &str) {
        self.state.lock().load = load.into();
    }

    /// Whether the worker has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        *self.state.lock().stop.borrow()
    }

    /// Time at which the worker crashed.
    #[must_use]
    pub fn crashed_at(&self) -> Option<Instant> {
        self.state.lock().crashed_at
    }

    /// Closes the listener and all connections, like a crash, and waits until connections are
    /// refused.
    pub async fn crash(&self) {
        self.state.lock().stop();
        while TcpStream::connect(self.address).await.is_ok() {
            tokio::time::sleep(CRASH_POLL_INTERVAL).await;
        }
    }

    /// Rejections so far.
    #[must_use]
    pub fn rejections(&self) -> Vec<Rejection> {
        self.state.lock().rejections.clone()
    }

    /// Runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }
}

/// Accepts connections until the worker crashes. As at the end of a process, the port refuses
/// connections before those that are open are closed.
async fn accept(listener: TcpListener, state: Arc<Mutex<State>>, mut stop: watch::Receiver<bool>) {
    let (end, ended) = watch::channel(false);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                let (state, mut ended) = (Arc::clone(&state), ended.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = serve(stream, state) => {}
                        _ = ended.wait_for(|ended| *ended) => {}
                    }
                });
            }
            _ = stop.wait_for(|stop| *stop) => break,
        }
    }
    drop(listener);
    end.send_replace(true);
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) -> Result<()> {
    let mut buffer = Vec::new();
    let mut late = None;
    while let Some((mut run, length)) = read_head(&mut stream, &mut buffer).await? {
        let is_early = length > 0 && state.lock().fault == Fault::EarlyRejection;
        if is_early {
            let response = state.lock().reject(&run.attempt);
            stream.write_all(response.as_bytes()).await?;
        }
        if buffer.len() < length {
            let pause = state.lock().read_pause;
            tokio::time::sleep(pause).await;
        }
        while buffer.len() < length {
            anyhow::ensure!(
                stream.read_buf(&mut buffer).await? > 0,
                "connection closed within the request body"
            );
        }
        run.body = buffer.drain(..length).collect();
        if !is_early && !respond(&mut stream, &state, run, &mut late).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads the head of a request; its body has the returned length.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Option<(Run, usize)>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        anyhow::ensure!(buffer.len() < MAX_HEAD_BYTES, "request head too large");
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8(buffer[..end].to_vec())?;
    let mut lines = head.trim_end().split("\r\n");
    let line = lines.next().context("no request line")?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").map_or(Ok(0), |text| text.parse())?;
    buffer.drain(..end);
    let attempt = headers.get("x-attempt-id").cloned().unwrap_or_default();
    let run = Run {
        attempt,
        request_line: line,
        headers,
        body: Vec::new(),
        started_at: Instant::now(),
        ended_at: None,
        bad: false,
        disconnected_at: None,
    };
    Ok(Some((run, length)))
}

/// Response that states that a request was not run.
fn rejection(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Counts a request as running until it is dropped.
struct Running<'a> {
    state: &'a Mutex<State>,
    index: usize,
}

impl<'a> Running<'a> {
    fn new(state: &'a Mutex<State>, index: usize, locked: &mut State) -> Self {
        locked.running += 1;
        Self { state, index }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        state.running -= 1;
        state.runs[self.index].ended_at = Some(Instant::now());
    }
}

/// Runs one request and writes the response; false if the connection must be closed. `late` is the
/// copy of an earlier response on the connection that is still to be sent.
async fn respond(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    mut run: Run,
    late: &mut Option<String>,
) -> Result<bool> {
    let (id, fault) = {
        let state = state.lock();
        (state.id.clone(), state.fault)
    };
    let attempt = run.attempt.clone();
    if let Some(copy) = late.take() {
        stream.write_all(copy.as_bytes()).await?;
    }
    let named = format!("X-Attempt-Id: {attempt}\r\n");
    if run.headers.get("x-target-instance").is_some_and(|target| *target != id) {
        let headers = format!("{named}X-Instance-Id: {id}\r\n");
        stream.write_all(rejection("421 Misdirected Request", &headers).as_bytes()).await?;
        return Ok(true);
    }
    let is_first = fault == Fault::RejectAndRepeat && state.lock().rejected.insert(attempt.clone());
    let number = {
        let mut state = state.lock();
        state.received += usize::from(fault == Fault::LateCopies);
        state.received
    };
    let is_third = fault == Fault::LateCopies && number % 3 == 0;
    let is_copied = fault == Fault::LateCopies && number % 2 == 0;
    if fault == Fault::Reject || is_first || is_third {
        let response = state.lock().reject(&attempt);
        stream.write_all(response.as_bytes()).await?;
        *late = (is_first || is_copied).then_some(response);
        return Ok(true);
    }
    if fault == Fault::RejectWithoutEnd {
        let head = format!("HTTP/1.1 {UNAVAILABLE}\r\n{named}X-Not-Executed: 1\r\n\r\n");
        return write_without_end(stream, &head, "x").await;
    }
    if fault == Fault::UnnamedRejection {
        stream.write_all(rejection(UNAVAILABLE, "").as_bytes()).await?;
    }
    let streamed = run.headers.contains_key("x-token-usage") && fault != Fault::PlainResponse;
    let after = run.headers.get("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
    let (running, bad_delay) = {
        let mut locked = state.lock();
        if locked.crashes_under(&run) {
            locked.stop();
        }
        let (number, concurrent) = (locked.runs.len(), locked.running + 1);
        let defect = locked.defect.clone().filter(|d| d.applies(&run, number, concurrent));
        run.bad = defect.is_some();
        locked.runs.push(run);
        (Running::new(state, number, &mut locked), defect.map(|defect| defect.delay))
    };
    let index = running.index;
    if state.lock().stop.borrow().to_owned() {
        // The task is dropped here, without a response.
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(bad_delay.flatten().unwrap_or_default()).await;
    let fault = if bad_delay == Some(None) { Fault::Error } else { fault };
    if fault == Fault::DropResponse {
        return Ok(false);
    }
    if fault == Fault::Garbage {
        stream.write_all(b"\x00\xffno response\r\n\r\n").await?;
        return Ok(false);
    }
    let signature = if fault == Fault::Unsigned {
        String::new()
    } else {
        format!("X-Response-Signature: {id}.{attempt}\r\n")
    };
    let status = if fault == Fault::Error { "500 Internal Server Error" } else { "200 OK" };
    let (load, limit) = {
        let state = state.lock();
        let limit = state.limit.as_ref().map(|limit| format!("Server-Limit: {limit}\r\n"));
        let load = format!("X-Server-Load: {}\r\n{}", state.load, state.headers);
        (load, limit.unwrap_or_default())
    };
    let head = format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n{load}{limit}{signature}");
    match fault {
        Fault::HeadWithoutEnd => return write_without_end(stream, &head, "X-Pad: pad\r\n").await,
        Fault::BodyWithoutEnd => {
            return write_without_end(stream, &format!("{head}\r\n"), "no response ").await;
        }
        _ => {}
    }
    if streamed {
        let written = write_events(stream, state, &head, after, fault).await;
        if written.is_err() {
            state.lock().runs[index].disconnected_at = Some(Instant::now());
        }
        return written;
    }
    let (work, padding) = {
        let state = state.lock();
        (state.work, " ".repeat(state.padding))
    };
    tokio::time::sleep(work).await;
    let body = format!("answer to {attempt} by {id}{padding}");
    if state.lock().unframed {
        stream.write_all(format!("{head}\r\n{body}").as_bytes()).await?;
        return Ok(false);
    }
    let response = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).await?;
    if fault == Fault::ExtraResponse {
        stream.write_all(response.as_bytes()).await?;
    }
    let hook = state.lock().answered_hook;
    if let Some(hook) = hook {
        tokio::time::sleep(ACKNOWLEDGEMENT_TIME).await;
        hook(stream)?;
    }
    *late = is_copied.then_some(response);
    Ok(true)
}

/// Writes `head` and then `filler` until the peer closes the connection.
async fn write_without_end(stream: &mut TcpStream, head: &str, filler: &str) -> Result<bool> {
    stream.write_all(head.as_bytes()).await?;
    let filler = filler.repeat(FILLER_REPETITIONS);
    loop {
        stream.write_all(filler.as_bytes()).await?;
        tokio::time::sleep(FILLER_INTERVAL).await;
    }
}

async fn write_events(
    stream: &mut TcpStream,
    state: &Mutex<State>,
    head: &str,
    after: u64,
    fault: Fault,
) -> Result<bool> {
    let (count, pause, unframed, padding) = {
        let state = state.lock();
        (state.events, state.pause, state.unframed, "x".repeat(state.event_padding))
    };
    let framing = if unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
    let kind = "Content-Type: text/event-stream\r\n";
    stream.write_all(format!("{head}{kind}{framing}\r\n").as_bytes()).await?;
    let frame = |text: &str| match unframed {
        true => text.to_owned(),
        false => format!("{:x}\r\n{text}\r\n", text.len()),
    };
    for number in after + 1..=count {
        tokio::time::sleep(pause).await;
        let event = format!("id: {number}\ndata: token {number}{padding}\n\n");
        if matches!(fault, Fault::SilentAfter(last) if number > last) {
            // Ends when the caller disconnects.
            stream.read_u8().await?;
        }
        if matches!(fault, Fault::TruncateAfter(last) if number > last) {
            let half = &event[..event.len() / 2];
            stream.write_all(frame(half).as_bytes()).await?;
            return Ok(false);
        }
        stream.write_all(frame(&event).as_bytes()).await?;
        // A read of zero bytes means that the caller has disconnected.
        let mut byte = [0];
        let disconnected = matches!(stream.try_read(&mut byte), Ok(0));
        anyhow::ensure!(!disconnected, "caller disconnected");
    }
    if unframed {
        return Ok(false);
    }
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

//! What the cases of the second review share: their record, and a caller that reads as it likes.

use anyhow::{Context, Result, ensure};
use std::{
    future::Future,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Exit code of a case that could not run.
const NOT_RUN: u8 = 2;
/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case has seen, with the time since its start.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.started.elapsed().as_secs_f64(), line.as_ref());
        println!("{line}");
        self.lines.lock().expect("no panic while locked").push(line);
    }

    fn text(&self) -> String {
        self.lines.lock().expect("no panic while locked").join("\n") + "\n"
    }
}

/// A case: the program under test, its record, and whether the disruption happens.
#[derive(Debug, Clone)]
pub struct Case {
    /// Program of a node.
    pub program: PathBuf,
    /// Record.
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// Runs a case, which returns how often the rule was broken, and writes its record. Exits with 1 if
/// the rule was broken, 0 if it held, and 2 if the case could not run.
pub async fn run<F: Future<Output = Result<usize>>>(play: impl FnOnce(Case) -> F) -> ExitCode {
    let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(program), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("arguments: PROGRAM RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.add(if trouble { "with the disruption" } else { "without the disruption" });
    let playing = play(Case { program, record: record.clone(), trouble });
    let result = tokio::time::timeout(LIMIT, playing).await;
    let code = match result.unwrap_or_else(|_| Err(anyhow::anyhow!("no end within {LIMIT:?}"))) {
        Ok(0) => {
            record.add("the rule held");
            ExitCode::SUCCESS
        }
        Ok(count) => {
            record.add(format!("the rule was broken {count} times"));
            ExitCode::FAILURE
        }
        Err(error) => {
            record.add(format!("the case could not run: {error:#}"));
            ExitCode::from(NOT_RUN)
        }
    };
    match std::fs::write(&path, record.text()) {
        Ok(()) => code,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::from(NOT_RUN)
        }
    }
}

/// Answer as a caller has received it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status; none if not even a head arrived.
    pub status: Option<u16>,
    /// Received part of the answer, head included.
    pub bytes: usize,
    /// Whether the body was received to its end.
    pub complete: bool,
    /// Error that ended the connection.
    pub error: Option<String>,
    /// Text of what was received.
    pub text: String,
}

/// Connection of a caller.
#[derive(Debug)]
pub struct Caller(TcpStream);

impl Caller {
    /// Connects with a receive buffer of a size, or that of the system.
    pub async fn connect(address: SocketAddr, buffer: Option<u32>) -> Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        Ok(Self(socket.connect(address).await.context("connecting to the node")?))
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.0.write_all(bytes).await.context("sending a request")
    }

    /// Reads an answer to its end.
    pub async fn read(&mut self, limit: Duration) -> Answer {
        let mut bytes = Vec::new();
        let until = Instant::now() + limit;
        let mut error = None;
        while !is_complete(&bytes) {
            let left = until.saturating_duration_since(Instant::now());
            match tokio::time::timeout(left, self.0.read_buf(&mut bytes)).await {
                Ok(Ok(0)) => error = Some("closed".to_owned()),
                Ok(Ok(_)) => continue,
                Ok(Err(e)) => error = Some(e.to_string()),
                Err(_) => error = Some(format!("no end within {limit:?}")),
            }
            break;
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
        Answer { status, bytes: bytes.len(), complete: is_complete(&bytes), error, text }
    }
}

/// Whether these bytes hold a whole answer, by its length or its chunks.
fn is_complete(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let value = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        line.map(|value| value.trim().to_owned())
    };
    let body = &bytes[end + 4..];
    if value("transfer-encoding").is_some_and(|coding| coding == "chunked") {
        return body.ends_with(b"0\r\n\r\n");
    }
    value("content-length")
        .and_then(|length| length.parse().ok())
        .is_some_and(|n: usize| body.len() >= n)
}

/// Request with an attempt id, a key and a time limit.
#[must_use]
pub fn request(
    method: &str,
    path: &str,
    attempt: &str,
    limit_ms: u64,
    more: &str,
    body: &str,
) -> Vec<u8> {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\nX-Api-Key: key-1\r\n\
         X-Deadline-Ms: {limit_ms}\r\n{more}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Fails if a condition that the case needs does not hold.
pub fn needs(condition: bool, what: &str) -> Result<()> {
    ensure!(condition, "{what}");
    Ok(())
}

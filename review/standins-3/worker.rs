//! Stand-in of a worker, in a process of its own so that a crash is a real one.
//!
//! It logs `MICROS WHAT ATTEMPT PATH` to its standard output, with Unix time.

use crate::{
    http::{Message, Reader},
    options::Options,
};
use std::{
    io::{Result, Write},
    net::{TcpListener, TcpStream},
    os::{fd::AsRawFd, unix::process::parent_id},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    /// Ends a listener, so that new connections are refused.
    fn shutdown(descriptor: i32, how: i32) -> i32;
}

struct Worker {
    options: Options,
    listener: i32,
    id: String,
    slots: u32,
    running: AtomicU32,
    waiting: AtomicU32,
    output: Mutex<()>,
}

pub fn micros() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros()
}

pub fn run(options: Options) -> Result<()> {
    let listener = TcpListener::bind(options.text("address"))?;
    let worker = Arc::new(Worker {
        id: options.text("id").to_owned(),
        slots: options.number("slots") as u32,
        listener: listener.as_raw_fd(),
        options,
        running: AtomicU32::new(0),
        waiting: AtomicU32::new(0),
        output: Mutex::new(()),
    });
    // No worker outlives the run that started it.
    let parent = parent_id();
    thread::spawn(move || {
        while parent_id() == parent {
            thread::sleep(Duration::from_millis(200));
        }
        process::exit(0);
    });
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                let worker = Arc::clone(&worker);
                thread::spawn(move || worker.serve(stream).ok());
            }
            // The worker crashes.
            Err(_) => thread::sleep(Duration::from_secs(1)),
        }
    }
}

impl Worker {
    fn log(&self, what: &str, request: &Message) {
        let _guard = self.output.lock();
        let attempt = request.header("x-attempt-id").unwrap_or("-");
        let mut output = std::io::stdout().lock();
        writeln!(output, "{} {what} {attempt} {}", micros(), request.path()).ok();
        output.flush().ok();
    }

    fn load(&self) -> String {
        let (running, waiting) =
            (self.running.load(Ordering::SeqCst), self.waiting.load(Ordering::SeqCst));
        format!("X-Server-Load: {running},{waiting},{},100\r\n", self.slots)
    }

    /// Header lines of every answer to a request.
    fn common(&self, request: &Message) -> String {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        format!("X-Attempt-Id: {attempt}\r\nKeep-Alive: timeout=20\r\n{}", self.load())
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message(false)? {
            if !request.complete {
                return Ok(());
            }
            if request.path().starts_with("/healthz") {
                let head = format!("X-Instance-Id: {}\r\n{}", self.id, self.load());
                write!(reader.stream, "HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r\n")?;
                continue;
            }
            let common = self.common(&request);
            let rejected = |status: &str| {
                format!(
                    "HTTP/1.1 {status}\r\n{common}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            };
            if request.header("x-target-instance") != Some(&self.id) {
                self.log("misdirected", &request);
                reader.stream.write_all(rejected("421 Misdirected Request").as_bytes())?;
                continue;
            }
            if self.waiting.load(Ordering::SeqCst) > 4 * self.slots {
                self.log("rejected", &request);
                reader.stream.write_all(rejected("503 Service Unavailable").as_bytes())?;
                continue;
            }
            self.execute(&mut reader.stream, &request)?;
        }
        Ok(())
    }

    fn execute(&self, stream: &mut TcpStream, request: &Message) -> Result<()> {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        while self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(1));
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let result = self.answer(stream, request);
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    /// Whether the worker crashes under the request.
    fn is_deadly(&self, request: &Message) -> bool {
        let (path, part) = (self.options.text("deadly-path"), self.options.text("deadly-part"));
        let prompt = request.header("x-prompt-prefix").unwrap_or_default();
        !path.is_empty() && request.path() == path
            || !part.is_empty() && prompt.split(',').any(|p| p.split(':').next() == Some(part))
    }

    /// Ends the process. Its port refuses connections before those that are open are closed.
    fn crash(&self, request: &Message) -> ! {
        self.log("crash", request);
        // SAFETY: the descriptor stays open as long as the process runs.
        unsafe { shutdown(self.listener, 2) };
        process::exit(1)
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> Result<()> {
        let first = Duration::from_millis(self.options.number("first-ms"));
        if request.header("x-prompt-prefix").is_some() {
            thread::sleep(first);
            self.log("run", request);
            return self.stream(stream, request);
        }
        self.log("run", request);
        if self.is_deadly(request) {
            self.crash(request);
        }
        thread::sleep(Duration::from_millis(self.options.number("work-ms")));
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let body = format!("{} answers {attempt} ", self.id);
        let body = body.repeat(1 + 800 / body.len());
        let head = format!("{}X-Response-Signature: sig.{attempt}\r\n", self.common(request));
        let length = body.len();
        write!(stream, "HTTP/1.1 200 OK\r\n{head}Content-Length: {length}\r\n\r\n{body}")?;
        self.log("done", request);
        Ok(())
    }

    fn stream(&self, stream: &mut TcpStream, request: &Message) -> Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let after: u64 =
            request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let is_framed = self.options.text("framing") != "none";
        let framing =
            if is_framed { "Transfer-Encoding: chunked\r\n" } else { "Connection: close\r\n" };
        let head = format!("{}X-Response-Signature: sig.{attempt}\r\n", self.common(request));
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{head}{framing}\r\n"
        )?;
        let gap = Duration::from_millis(self.options.number("gap-ms"));
        for id in after + 1..=self.options.number("events") {
            let event = format!("id: {id}\ndata: {}-{id}-{}\n\n", request.path(), "x".repeat(40));
            if is_framed {
                write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            } else {
                stream.write_all(event.as_bytes())?;
            }
            thread::sleep(gap);
            if self.is_deadly(request) {
                self.crash(request);
            }
        }
        if !is_framed {
            self.log("done", request);
            stream.shutdown(std::net::Shutdown::Both)?;
            return Ok(());
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.log("done", request);
        Ok(())
    }
}

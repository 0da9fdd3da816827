//! Client stand-in: one request and its answer.

use crate::http::{Message, Reader};
use std::{
    io::{Error, ErrorKind, Result, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub attempt: String,
    pub deadline_ms: u64,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &'static str, path: &str, attempt: &str, deadline_ms: u64) -> Self {
        let (path, attempt) = (path.to_owned(), attempt.to_owned());
        Self { method, path, attempt, deadline_ms, headers: Vec::new(), body: Vec::new() }
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn with_body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nX-Api-Key: key-1\r\n",
            self.method, self.path, self.attempt, self.deadline_ms
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection.
    pub fn send(&self, to: SocketAddr) -> Result<Message> {
        Connection::open(to)?.send(self)
    }
}

/// Kept connection of a client.
pub struct Connection(pub Reader);

impl Connection {
    pub fn open(to: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self(Reader::new(stream)))
    }

    pub fn send(&mut self, request: &Request) -> Result<Message> {
        let patience = Duration::from_millis(request.deadline_ms + 1_000);
        self.0.stream.set_read_timeout(Some(patience))?;
        self.0.stream.write_all(&request.bytes())?;
        let answer = self.0.message(true)?;
        answer.ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "closed without an answer"))
    }
}

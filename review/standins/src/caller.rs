//! Stand-in for a client: one request on a connection of its own.

use anyhow::{Context, Result};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Receive buffer of a client's connection, in bytes.
const RECEIVE_BUFFER: u32 = 64 * 1024;

/// Connection to a node, usable for several requests one after the other.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Number of complete answers so far.
    pub answers: u32,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// No connection was made.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        let stream = socket.connect(address).await.context("connecting to a node")?;
        Ok(Self { stream, answers: 0 })
    }

    /// Sends a request and reads the answer, as far as it arrives.
    pub async fn send(&mut self, request: &Request) -> Answer {
        let mut answer = Answer::default();
        let exchange = request.exchange(&mut self.stream, &mut answer);
        // An error means that the connection was reset; what arrived before is kept.
        answer.timed_out = tokio::time::timeout(request.deadline, exchange).await.is_err();
        self.answers += u32::from(answer.is_complete());
        answer
    }
}

/// Request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method and path.
    pub line: String,
    /// Attempt.
    pub attempt: String,
    /// Time that the client waits.
    pub deadline: Duration,
    /// Body.
    pub body: Vec<u8>,
}

/// What a client has received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Status; none if the connection ended before it.
    pub status: Option<u16>,
    /// Received bytes of the body.
    pub received: usize,
    /// Stated length of the body.
    pub length: Option<usize>,
    /// Whether the client gave up at its deadline.
    pub timed_out: bool,
    /// Header lines.
    pub head: String,
}

impl Answer {
    /// Whether the whole answer has arrived.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.status.is_some() && self.length == Some(self.received)
    }
}

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.status {
            None if self.timed_out => write!(f, "nothing until the client gave up"),
            None => write!(f, "connection closed without an answer"),
            Some(status) => {
                write!(f, "status {status}, {} of {:?} bytes", self.received, self.length)
            }
        }
    }
}

impl Request {
    /// Request of a method and path.
    #[must_use]
    pub fn new(line: &str, attempt: &str, deadline: Duration) -> Self {
        let (line, attempt) = (line.to_owned(), attempt.to_owned());
        Self { line, attempt, deadline, body: Vec::new() }
    }

    /// Sends the request on a new connection and reads the answer.
    ///
    /// # Errors
    /// No connection was made.
    pub async fn send(&self, address: SocketAddr) -> Result<Answer> {
        Ok(Connection::open(address).await?.send(self).await)
    }

    async fn exchange(&self, stream: &mut TcpStream, answer: &mut Answer) -> Result<()> {
        let head = format!(
            "{} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {}\r\nX-Api-Key: key-1\r\n\
             X-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            self.line,
            self.attempt,
            self.deadline.as_millis(),
            self.body.len()
        );
        stream.write_all(&[head.as_bytes(), &self.body].concat()).await?;
        let mut buffer = Vec::new();
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            anyhow::ensure!(stream.read_buf(&mut buffer).await? > 0, "closed");
        };
        answer.head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        answer.status = answer.head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let length = answer.head.lines().filter_map(|line| line.split_once(':'));
        answer.length = length
            .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .find_map(|(_, value)| value.trim().parse().ok());
        answer.received = buffer.len() - end;
        let mut piece = vec![0; 32 * 1024];
        while answer.length.is_none_or(|length| answer.received < length) {
            let read = stream.read(&mut piece).await?;
            if read == 0 {
                break;
            }
            answer.received += read;
        }
        Ok(())
    }
}

//! Pool of connections to endpoints.
//!
//! A connection serves one request at a time. It returns to the pool after a
//! complete response and is not reused for `SETTLE_TIME`: bytes that arrive in
//! this time belong to no request and close the connection.
//!
//! A second copy of a response may also arrive late, when the next one is
//! expected. Its attempt identifies it, unless the same attempt is sent again on
//! that connection. A connection is therefore never used twice for an attempt.

use crate::transport::{self, Monitor, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use units::{Time, time::Clock};
use xxhash_rust::xxh3::xxh3_64;

/// Connect timeout: twice the round trip to the farthest region plus one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a response before a connection is reused, in which stray bytes are detected.
const SETTLE_TIME: Duration = Duration::from_millis(8);
/// Idle timeout of a connection whose endpoint states none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Margin below the idle timeout that the endpoint states, so that it does not close a connection
/// just as it is reused.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Idle time after which a connection is not used for a request that may run at most once.
const MAX_RECENT_IDLE: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per endpoint.
const MAX_IDLE: usize = 32;
/// Number of unfinished attempts after which a connection is closed, since it must remember them.
const MAX_UNFINISHED: usize = 16;

/// Body of a request to an endpoint.
pub type Body = Full<Bytes>;

/// Connection in use.
#[derive(Debug)]
pub struct Connection {
    /// Request sender.
    pub sender: SendRequest<Body>,
    /// Whether it has carried an earlier request.
    pub reused: bool,
    address: SocketAddr,
    /// Hashes of the attempts that it has carried and that may be sent again.
    unfinished: Vec<u64>,
}

impl Connection {
    /// Records that an attempt that it has carried may be sent again.
    pub fn record_unfinished(&mut self, attempt: &str) {
        self.unfinished.push(xxh3_64(attempt.as_bytes()));
    }
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    unfinished: Vec<u64>,
    since: Time,
    until: Time,
}

/// Idle connections by address, and the number of all.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    max_open: u32,
    open: Rc<Cell<u32>>,
    monitor: Rc<Monitor>,
    clock: Clock,
}

/// Counts an open connection until it is dropped.
struct Guard(Rc<Cell<u32>>);

impl Guard {
    fn new(open: &Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// Empty pool of at most `max_open` connections, idle or in use.
    #[must_use]
    pub fn new(max_open: u32, monitor: Rc<Monitor>, clock: Clock) -> Self {
        Self { idle: RefCell::default(), max_open, open: Rc::default(), monitor, clock }
    }

    /// Takes an idle connection that has not carried `attempt`, or opens a new one. With
    /// `recent_only`, only recently used connections are taken.
    ///
    /// # Errors
    /// No connection can be opened.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        attempt: &str,
        recent_only: bool,
        now: Time,
    ) -> io::Result<Connection> {
        if let Some(Idle { sender, unfinished, .. }) =
            self.take_idle(address, attempt, recent_only, now)
        {
            return Ok(Connection { sender, reused: true, address, unfinished });
        }
        if self.open.get() >= self.max_open {
            // An idle connection gives way; its task ends when this one yields.
            self.close_one();
            tokio::task::yield_now().await;
            if self.open.get() >= self.max_open {
                let cause = "all connections to endpoints are in use";
                return Err(io::Error::new(io::ErrorKind::ResourceBusy, cause));
            }
        }
        let guard = Guard::new(&self.open);
        let stream = Stream::new(open(address).await?, &self.monitor, self.clock)?;
        let sender = handshake(stream, Some(guard)).await?;
        Ok(Connection { sender, reused: false, address, unfinished: Vec::new() })
    }

    /// Closes an idle connection.
    fn close_one(&self) {
        let mut idle = self.idle.borrow_mut();
        let Some(address) = idle.keys().next().copied() else { return };
        if let Some(connections) = idle.get_mut(&address) {
            connections.pop();
            if connections.is_empty() {
                idle.remove(&address);
            }
        }
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        attempt: &str,
        recent_only: bool,
        now: Time,
    ) -> Option<Idle> {
        let attempt = xxh3_64(attempt.as_bytes());
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| now < idle.until && !idle.sender.is_closed());
        let usable = |idle: &Idle| {
            let age = now.since(idle.since);
            idle.sender.is_ready()
                && age >= SETTLE_TIME
                && !(recent_only && age > MAX_RECENT_IDLE)
                && !idle.unfinished.contains(&attempt)
        };
        let at = connections.iter().rposition(usable)?;
        Some(connections.remove(at))
    }

    /// Returns a connection after a complete response, unless `max_idle` are idle already.
    pub fn release(
        &self,
        connection: Connection,
        keep_alive: Option<Duration>,
        max_idle: u32,
        now: Time,
    ) {
        let Connection { sender, address, unfinished, .. } = connection;
        if unfinished.len() >= MAX_UNFINISHED {
            return;
        }
        let idle_time =
            keep_alive.map_or(DEFAULT_IDLE_TIME, |timeout| timeout.saturating_sub(IDLE_MARGIN));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        let max_idle = usize::try_from(max_idle).unwrap_or(usize::MAX).min(MAX_IDLE);
        if connections.len() < max_idle && !idle_time.is_zero() {
            let until = now + idle_time;
            connections.push(Idle { sender, unfinished, since: now, until });
        }
    }

    /// Closes connections that are past their idle timeout.
    pub fn prune(&self, now: Time) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.until && !idle.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to an address.
    pub fn remove_address(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

/// Opens a connection for short exchanges with limits of their own, which the kernel closes if its
/// peer acknowledges or reads nothing.
///
/// # Errors
/// The connection is refused, or times out.
pub async fn connect(address: SocketAddr) -> io::Result<SendRequest<Body>> {
    let stream = open(address).await?;
    transport::enable_timeouts(&stream)?;
    handshake(stream, None).await
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn handshake(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    guard: Option<Guard>,
) -> io::Result<SendRequest<Body>> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 * 1024)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // A request in progress receives the connection's error; an idle connection is just dropped.
    tokio::task::spawn_local(async move {
        connection.await.ok();
        drop(guard);
    });
    Ok(sender)
}

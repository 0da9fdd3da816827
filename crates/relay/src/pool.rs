//! Connections to endpoints.
//!
//! A connection serves one request at a time. It returns to the pool once its
//! answer is whole, and waits there for `SETTLE` before it is used again:
//! bytes that come in that time belong to no request and end it.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, time::Duration};
use tokio::net::TcpStream;
use units::Time;

/// Time for a connection to be made; twice the round trip to the farthest region and a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which the kernel asks whether the other side lives.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Questions without an answer after which a connection is dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that a connection waits after an answer, for bytes that belong to no request.
const SETTLE_TIME: Duration = Duration::from_millis(8);
/// Idle time of a connection whose endpoint states none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Part of the stated idle time that is used, so that both sides do not race.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Idle time after which a connection is not trusted with a request that may run only once.
const MAX_RECENT_IDLE: Duration = Duration::from_millis(700);
/// Most idle connections to one endpoint.
const MAX_IDLE: usize = 32;

/// Body of a request to an endpoint.
pub type Body = Full<Bytes>;

/// Connection that is in use.
#[derive(Debug)]
pub struct Connection {
    /// Sender of requests.
    pub sender: SendRequest<Body>,
    /// Whether it has carried a request before.
    pub reused: bool,
    address: SocketAddr,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    since: Time,
    until: Time,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Idle connection, or a new one. `trusted` takes only a connection that was used just now.
    ///
    /// # Errors
    /// No connection could be made.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        recent_only: bool,
        now: Time,
    ) -> io::Result<Connection> {
        if let Some(sender) = self.take_idle(address, recent_only, now) {
            return Ok(Connection { sender, reused: true, address });
        }
        let sender = connect(address).await?;
        Ok(Connection { sender, reused: false, address })
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        recent_only: bool,
        now: Time,
    ) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| now < idle.until && !idle.sender.is_closed());
        let usable = |idle: &Idle| {
            let age = now.since(idle.since);
            idle.sender.is_ready() && age >= SETTLE_TIME && !(recent_only && age > MAX_RECENT_IDLE)
        };
        let at = connections.iter().rposition(usable)?;
        Some(connections.remove(at).sender)
    }

    /// Takes back a connection whose answer was whole, unless `most` are idle already.
    pub fn release(
        &self,
        connection: Connection,
        keep_alive: Option<Duration>,
        max_idle: u32,
        now: Time,
    ) {
        let idle_time =
            keep_alive.map_or(DEFAULT_IDLE_TIME, |timeout| timeout.saturating_sub(IDLE_MARGIN));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        let max_idle = usize::try_from(max_idle).unwrap_or(usize::MAX).min(MAX_IDLE);
        if connections.len() < max_idle && !idle_time.is_zero() {
            let until = now + idle_time;
            connections.push(Idle { sender: connection.sender, since: now, until });
        }
    }

    /// Closes connections that have been idle for too long.
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

/// Makes a socket notice a silent other side.
///
/// # Errors
/// The socket does not take the options.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Makes a connection.
///
/// # Errors
/// Refused, unreachable or not in time.
pub async fn connect(address: SocketAddr) -> io::Result<SendRequest<Body>> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    stream.set_nodelay(true)?;
    enable_keepalive(&stream)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 * 1024)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // The error of a connection reaches the request on it; an idle one is only dropped.
    tokio::task::spawn_local(async move { connection.await.ok() });
    Ok(sender)
}

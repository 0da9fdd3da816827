//! Listeners for callers, readiness checks and metrics.

use crate::{
    blackboard::{Blackboard, Phase},
    exchange,
    progress::{self, Unwritten},
};
use anyhow::{Context, Result};
use bytes::Bytes;
use codes::Event;
use futures_util::FutureExt;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use socket2::{Domain, Socket, Type};
use std::{
    cell::Cell, convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe, rc::Rc,
    time::Duration,
};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1_024;
/// Largest head of a request, in bytes; above any configured limit.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time for a request head to arrive, from the opening of the connection or the end of the previous
/// response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Fraction of the file descriptors for callers' connections, as a divisor.
const CALLER_DESCRIPTOR_DIVISOR: u32 = 2;

/// Opens a listener.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listen = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    listen().with_context(|| format!("binding {address}"))
}

/// Accepts callers' connections until the process exits.
pub async fn callers(board: Rc<Blackboard>, listener: Rc<TcpListener>) {
    let open = Rc::new(Cell::new(0_u32));
    let max_open = board.settings.descriptors / CALLER_DESCRIPTOR_DIVISOR;
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open.get() < max_open => {
                let guard = Guard::new(&open);
                let board = Rc::clone(&board);
                tokio::task::spawn_local(async move {
                    let serving = AssertUnwindSafe(serve_connection(Rc::clone(&board), stream));
                    if serving.catch_unwind().await.is_err() {
                        board.record_panic("connection");
                    }
                    drop(guard);
                });
            }
            Ok(_) => board.metrics.count("connections", "refused"),
            Err(e) => {
                warn!(board.log, "accept failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Counts an open connection until dropped.
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

async fn serve_connection(board: Rc<Blackboard>, stream: TcpStream) {
    let configured = stream.set_nodelay(true).and_then(|()| crate::pool::enable_keepalive(&stream));
    if let Err(e) = configured {
        info!(board.log, "setting socket options failed"; "error" => %e);
    }
    let unwritten = Unwritten::default();
    let stream = progress::Connection::new(stream, unwritten.clone());
    let handler = {
        let board = Rc::clone(&board);
        service_fn(move |request| exchange::handle(Rc::clone(&board), unwritten.clone(), request))
    };
    // A connection accepted while closing still gets one response, which tells the caller more than
    // a closed connection.
    let closing = board.phase() >= Phase::Closing;
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(!closing)
        .serve_connection(stream, handler);
    let mut connection = std::pin::pin!(connection);
    if closing {
        connection.await.ok();
        return;
    }
    tokio::select! {
        // Connection errors are not logged; each request logs its own outcome.
        result = connection.as_mut() => { result.ok(); }
        () = board.reached(Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await.ok();
        }
    }
}

/// Answers readiness checks until the process exits.
pub async fn readiness(board: Rc<Blackboard>, listener: Rc<TcpListener>) {
    let reported = Cell::new(false);
    serve_page(board, listener, move |board| {
        let ready = board.is_ready();
        if reported.replace(ready) != ready {
            info!(board.log, "readiness"; Event::Readiness, "ready" => ready,
                "phase" => format!("{:?}", board.phase()), "listed" => board.endpoints_read.get(),
                "version" => board.configuration.borrow().as_ref().map(|c| c.version.get()));
        }
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, String::new())
    })
    .await;
}

/// Serves the metrics until the process exits.
pub async fn metrics(board: Rc<Blackboard>, listener: Rc<TcpListener>) {
    serve_page(board, listener, |board| {
        let gauge = |name, value| board.metrics.set_gauge(name, value);
        gauge("in_progress", board.in_progress.get() as u64);
        gauge("waiting", board.dispatcher.borrow().waiting() as u64);
        gauge("quarantined", board.quarantine.borrow().suspected() as u64);
        gauge("peers", board.roster.borrow().live_count(board.now()) as u64);
        let version = board.configuration.borrow().as_ref().map_or(0, |c| c.version.get());
        gauge("configuration_version", version);
        (StatusCode::OK, board.metrics.render())
    })
    .await;
}

/// Serves the same page for every path.
async fn serve_page(
    board: Rc<Blackboard>,
    listener: Rc<TcpListener>,
    render: impl Fn(&Blackboard) -> (StatusCode, String) + 'static,
) {
    let render = Rc::new(render);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(board.log, "accept failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let board = Rc::clone(&board);
        let render = Rc::clone(&render);
        let handler = service_fn(move |_: Request<Incoming>| {
            let (status, text) = render(&board);
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), handler);
        // A failed write only means that the reader disconnected.
        tokio::task::spawn_local(async move { connection.await.ok() });
    }
}

//! Listeners for callers, readiness checks and metrics.

use crate::{
    blackboard::{Blackboard, Phase},
    connections::{self, Entry, Recent, Registration},
    exchange,
    progress::{self, Unwritten},
    transport::Stream,
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
use socket2::{Domain, SockRef, Socket, Type};
use std::{
    cell::Cell, convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe, rc::Rc,
    time::Duration,
};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1_024;
/// Largest buffer for reading from a caller, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Largest head of a request, as a multiple of the configured limit; callers may count it without
/// line ends.
const HEAD_MARGIN: f64 = 1.5;
/// Time for the request of a page to arrive.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Number of connections that may have to give way to one, since those that are to be closed still
/// count until their tasks have ended.
const RECLAIM_ATTEMPTS: u32 = 8;
/// Bytes that the kernel holds for a caller that does not read. On a path of 80 ms it allows 12 Mbit/s,
/// more than the slowest machines have.
const SEND_BUFFER_BYTES: usize = 128 << 10;

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
    let max_open = usize::try_from(board.shares.callers).unwrap_or(usize::MAX);
    loop {
        match listener.accept().await {
            Ok((stream, _)) if has_descriptor(&board, max_open).await => {
                let board = Rc::clone(&board);
                let registration = Registration::new(&board);
                tokio::task::spawn_local(async move {
                    let serving = serve_connection(&board, stream, &registration.entry);
                    if AssertUnwindSafe(serving).catch_unwind().await.is_err() {
                        board.record_panic("connection");
                    }
                    drop(registration);
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

/// Whether there is a descriptor for a connection; if there is none, another connection gives way.
async fn has_descriptor(board: &Blackboard, max_open: usize) -> bool {
    for _ in 0..RECLAIM_ATTEMPTS {
        if board.connections.len() < max_open {
            return true;
        }
        if !connections::reclaim_descriptor(board) {
            return false;
        }
        // Lets the task of the connection end.
        tokio::task::yield_now().await;
    }
    board.connections.len() < max_open
}

async fn serve_connection(board: &Rc<Blackboard>, stream: TcpStream, entry: &Rc<Entry>) {
    tokio::select! {
        biased;
        () = entry.closed() => {}
        () = exchange_requests(board, stream, entry) => {}
    }
}

/// Largest head of a request, in bytes.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "limits are far below 2^52"
)]
fn max_head_bytes(board: &Blackboard) -> usize {
    let limits = board.configuration.borrow().as_ref().map(|c| c.limits).unwrap_or_default();
    (limits.max_header.get() as f64 * HEAD_MARGIN) as usize
}

async fn exchange_requests(board: &Rc<Blackboard>, stream: TcpStream, entry: &Rc<Entry>) {
    let configured = stream.set_nodelay(true).and_then(|()| {
        SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        Stream::new(stream, &board.monitor, board.clock)
    });
    let stream = match configured {
        Ok(stream) => stream,
        Err(e) => return info!(board.log, "setting socket options failed"; "error" => %e),
    };
    let unwritten = Unwritten::default();
    let stream = progress::Connection::new(stream, unwritten.clone(), board, entry);
    let handler = {
        let (board, entry) = (Rc::clone(board), Rc::clone(entry));
        service_fn(move |request| {
            exchange::handle(Rc::clone(&board), Rc::clone(&entry), unwritten.clone(), request)
        })
    };
    // A connection accepted while closing still gets one response, which tells the caller more than
    // a closed connection.
    let closing = board.phase() >= Phase::Closing;
    let max_head = max_head_bytes(board);
    let connection = http1::Builder::new()
        // The time for a head is limited by [`connections`].
        .header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES.max(max_head))
        .max_header_size(max_head)
        .keep_alive(!closing)
        .serve_connection(TokioIo::new(stream), handler);
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
        gauge("connections", board.connections.len() as u64);
        gauge("unwritten_bytes", board.connections.unwritten());
        gauge("memory_free", board.body_memory.free());
        gauge("memory_total", board.body_memory.total());
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
    let mut open = Recent::new(board.shares.page);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(board.log, "accept failed"; "error" => %e);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if open.make_room() {
            board.metrics.count("connections", "page_closed");
        }
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
            .header_read_timeout(PAGE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), handler);
        // A failed write only means that the reader disconnected.
        open.push(tokio::task::spawn_local(async move {
            connection.await.ok();
        }));
    }
}

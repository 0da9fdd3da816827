//! HTTP servers for callers and operators.

mod admission;
mod chat;
mod events;
mod exchange;
mod operator;
mod plain;
mod reply;

use crate::blackboard::Blackboard;
use anyhow::Result;
use ntex::{
    SharedCfg,
    http::HttpServiceConfig,
    server::Server,
    time::Seconds,
    web::{self, App, HttpServer},
};
use std::{net::TcpListener, sync::Arc};

/// Number of threads that serve callers.
const WORKERS: usize = 2;
/// Time limit for receiving request headers.
const HEADER_TIMEOUT: Seconds = Seconds(5);
/// Minimum rate at which headers must arrive, in bytes per second.
const HEADER_RATE: u32 = 256;
/// Time limit for connections to close after every request has ended.
const STOP_TIMEOUT: Seconds = Seconds(2);
/// Time after which an idle connection from a caller is closed.
const KEEP_ALIVE: Seconds = Seconds(30);

/// Blackboard, as passed to handlers.
pub type Board = web::types::State<Arc<Blackboard>>;
/// Client for endpoints, as passed to handlers.
pub type Engines = web::types::State<engine::Client>;

/// Starts the servers on bound listeners.
///
/// # Errors
/// An unusable listener.
pub fn serve(
    board: &Arc<Blackboard>,
    callers: TcpListener,
    operators: TcpListener,
) -> Result<Vec<Server>> {
    Ok(vec![serve_callers(board, callers)?, serve_operators(board, operators)?])
}

fn serve_callers(board: &Arc<Blackboard>, listener: TcpListener) -> Result<Server> {
    let limits = &board.settings.limits;
    let header = usize::try_from(limits.header.get()).unwrap_or(usize::MAX);
    let connections = limits.connections.div_ceil(WORKERS);
    let config = HttpServiceConfig::new()
        .set_keepalive(KEEP_ALIVE)
        .set_max_buf_size(header)
        .set_headers_read_rate(HEADER_TIMEOUT, HEADER_TIMEOUT, HEADER_RATE);
    let board = Arc::clone(board);
    let factory = async move || {
        let engines = engine::Client::new().await.expect("building the HTTP client cannot fail");
        App::new()
            .state(Arc::clone(&board))
            .state(engines)
            .service((
                web::resource("/v1/chat/completions").route(web::post().to(chat::complete)),
                web::resource("/services/{service}/{path}*").to(plain::call),
            ))
            .default_service(web::route().to(reply::unknown_path))
    };
    // ntex applies `maxconn` to the whole process, so only this server may set it.
    Ok(HttpServer::new(factory)
        .config(SharedCfg::new("callers").add(config))
        .listen(listener)?
        .workers(WORKERS)
        .maxconn(connections)
        .shutdown_timeout(STOP_TIMEOUT)
        .disable_signals()
        .run())
}

fn serve_operators(board: &Arc<Blackboard>, listener: TcpListener) -> Result<Server> {
    let board = Arc::clone(board);
    let factory = async move || {
        App::new()
            .state(Arc::clone(&board))
            .state(web::types::PayloadConfig::new(wire::MAX_FRAME_BYTES))
            .service((
                web::resource("/health").route(web::get().to(operator::health)),
                web::resource("/ready").route(web::get().to(operator::ready)),
                web::resource("/status").route(web::get().to(operator::status)),
                web::resource("/publication").route(web::post().to(operator::publication)),
                web::resource("/drain/{endpoint}")
                    .route(web::post().to(operator::drain))
                    .route(web::delete().to(operator::cancel_drain)),
            ))
    };
    Ok(HttpServer::new(factory)
        .listen(listener)?
        .workers(1)
        .shutdown_timeout(STOP_TIMEOUT)
        .disable_signals()
        .run())
}

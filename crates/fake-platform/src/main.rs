//! Stand-in for the platform's table, object store and directory.
//!
//! All state is in memory. `POST /control` simulates outages, slow responses,
//! and responses lost after a write took effect. The directory shows changes
//! after a configured lag.

mod control;
mod state;

use anyhow::Result;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types::Path};
use state::State;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use store::{
    directory::Listing,
    table::{Keys, Transaction},
};

/// Stand-in for the platform.
#[derive(argh::FromArgs)]
struct Options {
    /// address to listen on; port 0 selects a free port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// delay until the directory shows a change, in milliseconds
    #[argh(option, default = "500")]
    directory_lag_ms: u64,
}

type Shared = web::types::State<Arc<State>>;

fn json<T: serde::Serialize>(status: u16, value: &T) -> HttpResponse {
    let code = ntex::http::StatusCode::from_u16(status).unwrap_or_default();
    HttpResponse::build(code).json(value)
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body).map_err(|e| HttpResponse::BadRequest().body(e.to_string()))
}

async fn transact(state: Shared, body: ntex::util::Bytes) -> HttpResponse {
    if let Some(refusal) = control::gate(&state).await {
        return refusal;
    }
    let transaction: Transaction = match parse(&body) {
        Ok(transaction) => transaction,
        Err(refusal) => return refusal,
    };
    let result = state.transact(&transaction);
    if state.lose_answer() {
        return HttpResponse::GatewayTimeout().finish();
    }
    match result {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(rows) => json(409, &rows),
    }
}

async fn read(state: Shared, body: ntex::util::Bytes) -> HttpResponse {
    if let Some(refusal) = control::gate(&state).await {
        return refusal;
    }
    match parse::<Keys>(&body) {
        Ok(keys) => json(200, &state.read(&keys)),
        Err(refusal) => refusal,
    }
}

async fn put_object(state: Shared, name: Path<String>, body: ntex::util::Bytes) -> HttpResponse {
    if let Some(refusal) = control::gate(&state).await {
        return refusal;
    }
    state.put_object(&name, body.to_vec());
    HttpResponse::Ok().finish()
}

async fn get_object(state: Shared, name: Path<String>) -> HttpResponse {
    if let Some(refusal) = control::gate(&state).await {
        return refusal;
    }
    match state.object(&name) {
        Some(bytes) => HttpResponse::Ok().body(bytes),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn list(state: Shared) -> HttpResponse {
    if let Some(refusal) = control::gate_directory(&state).await {
        return refusal;
    }
    json(200, &state.list())
}

async fn register(state: Shared, body: ntex::util::Bytes) -> HttpResponse {
    match parse::<Listing>(&body) {
        Ok(listing) => {
            state.register(listing);
            HttpResponse::Ok().finish()
        }
        Err(refusal) => refusal,
    }
}

async fn unregister(state: Shared, request: HttpRequest) -> HttpResponse {
    state.unregister(request.match_info().get("id").unwrap_or_default());
    HttpResponse::Ok().finish()
}

#[ntex::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let state = Arc::new(State::new(Duration::from_millis(options.directory_lag_ms)));
    let listener = std::net::TcpListener::bind(options.listen)?;
    println!("listening {}", listener.local_addr()?);
    let factory = async move || {
        App::new()
            .state(Arc::clone(&state))
            .state(web::types::PayloadConfig::new(16 * 1024 * 1024))
            .service((
                web::resource("/table/transact").route(web::post().to(transact)),
                web::resource("/table/read").route(web::post().to(read)),
                web::resource("/objects/{name}")
                    .route(web::put().to(put_object))
                    .route(web::get().to(get_object)),
                web::resource("/directory")
                    .route(web::get().to(list))
                    .route(web::post().to(register)),
                web::resource("/directory/{id}").route(web::delete().to(unregister)),
                web::resource("/control").route(web::post().to(control::control)),
                web::resource("/counters").route(web::get().to(control::counters)),
            ))
    };
    HttpServer::new(factory).listen(listener)?.workers(1).run().await?;
    Ok(())
}

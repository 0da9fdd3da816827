//! Control requests, statistics and registration with the platform.

use crate::endpoint::Endpoint;
use anyhow::{Context, Result};
use ntex::{
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, HttpServer},
};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Control request for an endpoint.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Control {
    /// Factor by which steps take longer, if above 1.
    slow: Option<f64>,
    /// Time during which no step starts.
    freeze_ms: Option<u64>,
    /// Crashes the endpoint.
    crash: bool,
    /// Closes the connections of running requests, which keep running.
    cut: bool,
    /// Registers the endpoint as leaving (`true`) or as live again.
    leaving: Option<bool>,
    /// Whether to refuse new requests.
    declines: Option<bool>,
}

type Endpoints = web::types::State<Arc<Vec<Arc<Endpoint>>>>;

/// Registers endpoints with the platform's directory.
pub async fn register(platform: SocketAddr, endpoints: &[Arc<Endpoint>]) -> Result<()> {
    let client = ntex::client::Client::new().await;
    for endpoint in endpoints {
        let listing = listing(endpoint, "live");
        client
            .post(format!("http://{platform}/directory"))
            .send_json(&listing)
            .await
            .map_err(|e| anyhow::anyhow!("{e}"))
            .context("registering with the platform")?;
    }
    Ok(())
}

fn listing(endpoint: &Endpoint, state: &str) -> serde_json::Value {
    serde_json::json!({
        "id": endpoint.spec.id,
        "service": *endpoint.service.lock(),
        "address": endpoint.address,
        "zone": endpoint.spec.zone,
        "region": endpoint.spec.region,
        "state": state,
    })
}

/// Serves control requests until the process ends.
pub async fn serve(
    listen: SocketAddr,
    endpoints: Vec<Arc<Endpoint>>,
    platform: Option<SocketAddr>,
) -> Result<()> {
    let listener = std::net::TcpListener::bind(listen)?;
    for endpoint in &endpoints {
        println!("endpoint {} {}", endpoint.spec.id, endpoint.address);
    }
    println!("listening {}", listener.local_addr()?);
    let endpoints = Arc::new(endpoints);
    let factory = async move || {
        App::new().state(Arc::clone(&endpoints)).state(platform).service((
            web::resource("/control/{id}").route(web::post().to(control)),
            web::resource("/stats").route(web::get().to(stats)),
        ))
    };
    HttpServer::new(factory).listen(listener)?.workers(1).run().await?;
    Ok(())
}

async fn control(
    endpoints: Endpoints,
    platform: web::types::State<Option<SocketAddr>>,
    http: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let id = http.match_info().get("id").unwrap_or_default().to_owned();
    let control: Control = match serde_json::from_slice(&body) {
        Ok(control) => control,
        Err(e) => return HttpResponse::BadRequest().body(e.to_string()),
    };
    let Some(endpoint) = endpoints.iter().find(|e| e.spec.id.as_str() == id) else {
        return HttpResponse::NotFound().finish();
    };
    apply(endpoint, &control);
    if let (Some(leaving), Some(platform)) = (control.leaving, platform.get_ref()) {
        let state = if leaving { "leaving" } else { "live" };
        let client = ntex::client::Client::new().await;
        let url = format!("http://{platform}/directory");
        let _ = client.post(url).send_json(&listing(endpoint, state)).await;
    }
    HttpResponse::Ok().finish()
}

fn apply(endpoint: &Endpoint, control: &Control) {
    let mut batch = endpoint.batch.lock();
    if let Some(slow) = control.slow {
        batch.slow = slow;
    }
    if let Some(ms) = control.freeze_ms {
        batch.frozen_until = Some(Instant::now() + Duration::from_millis(ms));
    }
    if let Some(declines) = control.declines {
        batch.declines = declines;
    }
    if control.cut {
        batch.disconnect();
    }
    if control.crash {
        endpoint.crash.notify_one();
    }
}

async fn stats(endpoints: Endpoints) -> HttpResponse {
    let mut all = BTreeMap::new();
    for endpoint in endpoints.iter() {
        let mut stats = endpoint.batch.lock().stats.clone();
        let age = endpoint.last_request_at.lock().elapsed();
        stats.last_request_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        all.insert(endpoint.spec.id.to_string(), stats);
    }
    HttpResponse::Ok().json(&all)
}

//! Threads, ports and HTTP handlers of the endpoints.

use crate::{
    admin,
    batch::{Batch, Chunk, Response, crashes_engine},
    fleet::{Fleet, Spec},
    plain,
};
use anyhow::Result;
use engine::{
    chat,
    client::{Load, Order},
};
use futures_util::stream;
use ntex::{
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, HttpServer},
};
use parking_lot::Mutex;
use std::{
    collections::VecDeque,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::{Notify, mpsc};
use units::ServiceId;

/// Response length of requests without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 64;
/// Longest wait of an idle engine between steps, and interval at which binding a port is retried.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Specification from the fleet file.
    pub spec: Spec,
    /// Address that it serves at.
    pub address: SocketAddr,
    /// Queue, batch and prefix cache of the engine.
    pub batch: Mutex<Batch>,
    /// Wakes the engine for a new request.
    pub work: Notify,
    /// Triggers a crash.
    pub crash: Notify,
    /// Service that it runs.
    pub service: Mutex<ServiceId>,
    /// Platform that it registers with.
    pub platform: Option<SocketAddr>,
    /// Recorded load figures with their times, oldest first.
    loads: Mutex<VecDeque<(Instant, Load)>>,
    /// Time of the newest request.
    pub last_request_at: Mutex<Instant>,
}

/// Endpoint, as passed to HTTP handlers.
pub type Shared = web::types::State<Arc<Endpoint>>;

/// Starts every endpoint of a fleet.
pub fn start_all(fleet: &Fleet, platform: Option<SocketAddr>) -> Result<Vec<Arc<Endpoint>>> {
    fleet.endpoints.iter().map(|spec| start(spec, platform)).collect()
}

fn start(spec: &Spec, platform: Option<SocketAddr>) -> Result<Arc<Endpoint>> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let endpoint = Arc::new(Endpoint {
        spec: spec.clone(),
        address: listener.local_addr()?,
        batch: Mutex::default(),
        work: Notify::new(),
        crash: Notify::new(),
        service: Mutex::new(spec.service.clone()),
        platform,
        loads: Mutex::default(),
        last_request_at: Mutex::new(Instant::now()),
    });
    let shared = Arc::clone(&endpoint);
    std::thread::spawn(move || {
        let name = shared.spec.id.to_string();
        let system = ntex::rt::System::new(&name, ntex::rt::DefaultRuntime);
        system.block_on(run(shared, listener));
    });
    Ok(endpoint)
}

/// Serves until the process ends. A crash closes the port and all connections for the restart time,
/// or ends the process if the endpoint runs alone.
async fn run(endpoint: Arc<Endpoint>, first: TcpListener) {
    ntex::rt::spawn(step_loop(Arc::clone(&endpoint)));
    let mut listener = Some(first);
    loop {
        let bound = match listener.take() {
            Some(bound) => bound,
            None => match TcpListener::bind(endpoint.address) {
                Ok(bound) => bound,
                Err(_) => {
                    tokio::time::sleep(IDLE_INTERVAL).await;
                    continue;
                }
            },
        };
        let Ok(server) = serve(&endpoint, bound) else {
            return;
        };
        endpoint.crash.notified().await;
        if endpoint.spec.aborts {
            std::process::exit(134);
        }
        endpoint.batch.lock().crash();
        server.stop(false).await;
        tokio::time::sleep(Duration::from_millis(endpoint.spec.restart_ms)).await;
    }
}

fn serve(endpoint: &Arc<Endpoint>, listener: TcpListener) -> Result<ntex::server::Server> {
    let endpoint = Arc::clone(endpoint);
    let factory = async move || {
        App::new()
            .state(Arc::clone(&endpoint))
            .state(web::types::PayloadConfig::new(16 * 1024 * 1024))
            .service((
                web::resource("/v1/chat/completions").route(web::post().to(complete)),
                web::resource("/v1/requests/{id}/events").route(web::get().to(resume)),
                web::resource("/v1/requests/{id}/cancel").route(web::post().to(cancel)),
                web::resource("/load").route(web::get().to(load)),
                web::resource("/orders").route(web::post().to(order)),
            ))
            .default_service(web::route().to(plain::call))
    };
    Ok(HttpServer::new(factory)
        .listen(listener)?
        .workers(1)
        .disable_signals()
        .shutdown_timeout(ntex::time::Seconds::ZERO)
        .run())
}

async fn step_loop(endpoint: Arc<Endpoint>) {
    let mut due = Instant::now();
    loop {
        let frozen = endpoint.batch.lock().frozen_until.filter(|until| *until > Instant::now());
        if let Some(until) = frozen {
            tokio::time::sleep_until(until.into()).await;
            due = Instant::now();
        }
        let step = endpoint.batch.lock().step(&endpoint.spec);
        record_load(&endpoint);
        match step {
            Some(length) => {
                due = (due + length).max(Instant::now() - length);
                tokio::time::sleep_until(due.into()).await;
                endpoint.batch.lock().finish_step(true);
            }
            None => {
                let _ = tokio::time::timeout(IDLE_INTERVAL, endpoint.work.notified()).await;
                due = Instant::now();
            }
        }
    }
}

/// Records the current load and drops figures older than the one to report, which lags by
/// `report_lag_ms`.
fn record_load(endpoint: &Endpoint) {
    let load = {
        let batch = endpoint.batch.lock();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            running: count(batch.running.len()),
            waiting: count(batch.waiting.len()),
            leaving: false,
        }
    };
    let now = Instant::now();
    let lag = Duration::from_millis(endpoint.spec.report_lag_ms);
    let mut loads = endpoint.loads.lock();
    loads.push_back((now, load));
    while loads.len() > 1 && now.duration_since(loads[1].0) >= lag {
        loads.pop_front();
    }
}

async fn load(endpoint: Shared) -> HttpResponse {
    let oldest = endpoint.loads.lock().front().map(|(_, load)| *load);
    let load = oldest.unwrap_or(Load { running: 0, waiting: 0, leaving: false });
    HttpResponse::Ok().json(&load)
}

async fn complete(endpoint: Shared, http: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(request) = chat::parse(&body) else {
        return HttpResponse::BadRequest().body("malformed");
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    if crashes_engine(&text) {
        record_run(&endpoint, "crash-engine");
        endpoint.crash.notify_one();
        tokio::time::sleep(Duration::from_secs(5)).await;
        return HttpResponse::InternalServerError().finish();
    }
    if endpoint.batch.lock().declines {
        return HttpResponse::ServiceUnavailable().header("x-endpoint-leaving", "1").finish();
    }
    *endpoint.last_request_at.lock() = Instant::now();
    let id: Box<str> = header(&http, "x-request-id").into();
    record_run(&endpoint, &id);
    let output = request.max_output.map_or(DEFAULT_OUTPUT_TOKENS, |t| t.0).max(1);
    let prefixes: Vec<_> = request.prefixes.iter().map(|(h, t)| (*h, t.0)).collect();
    let (sink, chunks) = mpsc::unbounded_channel();
    let prompt = request.prompt.0;
    let response = Arc::new(Response { id, marker: marker(&text), prompt, model: request.model });
    endpoint.batch.lock().enqueue(Arc::clone(&response), output, &prefixes, &endpoint.spec, sink);
    endpoint.work.notify_one();
    event_stream(response, chunks, 0)
}

fn record_run(endpoint: &Endpoint, id: &str) {
    *endpoint.batch.lock().stats.runs.entry(id.into()).or_default() += 1;
}

/// Value of a header; empty if absent or not text.
pub fn header(http: &HttpRequest, name: &str) -> String {
    let value = http.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Text between `<<` and `>>` in the request, which every token repeats.
fn marker(text: &str) -> Box<str> {
    let inner = text.split_once("<<").and_then(|(_, rest)| rest.split_once(">>"));
    inner.map_or("none", |(marker, _)| marker).into()
}

/// Server-sent event of a chunk; `number` is the number of tokens so far.
fn event(response: &Response, chunk: Chunk, number: u64) -> String {
    match chunk {
        Chunk::Token(index) => format!(
            "id: {index}\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\
                 \"model\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{}:{index} \"}},\
                 \"finish_reason\":null}}]}}\n\n",
            response.id, response.model, response.marker
        ),
        Chunk::End => format!(
            "id: {}\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\
                 \"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"stop\"}}],\
                 \"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{number}}}}}\n\n\
                 data: [DONE]\n\n",
            number + 1,
            response.id,
            response.model,
            response.prompt
        ),
    }
}

/// Streams the tokens after number `after`. If the channel closes before the end, the response is
/// truncated.
fn event_stream(
    response: Arc<Response>,
    chunks: mpsc::UnboundedReceiver<Chunk>,
    after: u64,
) -> HttpResponse {
    let state = (response, chunks, after, false);
    let events = stream::unfold(state, |(response, mut chunks, last, ended)| async move {
        if ended {
            return None;
        }
        match chunks.recv().await {
            Some(chunk) => {
                let last = if let Chunk::Token(index) = chunk { index } else { last };
                let text = event(&response, chunk, last);
                let state = (response, chunks, last, chunk == Chunk::End);
                Some((Ok(Bytes::from(text)), state))
            }
            None => {
                let error = std::io::Error::other("engine stopped");
                Some((Err(error), (response, chunks, last, true)))
            }
        }
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(events))
}

async fn resume(endpoint: Shared, http: HttpRequest) -> HttpResponse {
    let id: Box<str> = http.match_info().get("id").unwrap_or_default().into();
    let after: u64 = header(&http, "last-event-id").parse().unwrap_or(0);
    let (sink, chunks) = mpsc::unbounded_channel();
    let missed = sink.clone();
    let Some((generated, response)) = endpoint.batch.lock().resume(&id, sink) else {
        return HttpResponse::NotFound().finish();
    };
    for index in after + 1..=generated {
        let _ = missed.send(Chunk::Token(index));
    }
    event_stream(response, chunks, after)
}

async fn cancel(endpoint: Shared, http: HttpRequest) -> HttpResponse {
    endpoint.batch.lock().cancel(http.match_info().get("id").unwrap_or_default());
    HttpResponse::Ok().finish()
}

/// Loads another service's model, unless the order's fencing number is outdated.
async fn order(endpoint: Shared, body: Bytes) -> HttpResponse {
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    {
        let mut batch = endpoint.batch.lock();
        let highest = batch.stats.orders.iter().map(|(fence, _)| *fence).max().unwrap_or(0);
        if endpoint.spec.checks_fencing && order.fence < highest {
            batch.stats.orders_fenced += 1;
            return HttpResponse::Conflict().finish();
        }
        if *endpoint.service.lock() == order.service {
            return HttpResponse::Ok().finish();
        }
        batch.stats.orders_while_running += batch.running.len() as u64;
        batch.stats.orders.push((order.fence, order.service.as_str().into()));
    }
    let endpoint = Arc::clone(&endpoint);
    ntex::rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(endpoint.spec.load_ms)).await;
        *endpoint.service.lock() = order.service;
        if let Some(platform) = endpoint.platform {
            let _ = admin::register(platform, std::slice::from_ref(&endpoint)).await;
        }
    });
    HttpResponse::Ok().finish()
}

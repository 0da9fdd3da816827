//! Open-loop execution of a plan against gateways.

use crate::{mix::Mix, plan::Request};
use anyhow::Result;
use engine::sse::Decoder;
use ntex::{
    SharedCfg,
    client::{Client, Connector},
    http::Payload,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Threads that send requests.
const THREADS: usize = 4;
/// Time past a request's deadline after which its response is no longer awaited.
const RESPONSE_GRACE: Duration = Duration::from_secs(15);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The response was complete and carried the expected content.
    Complete,
    /// The request was refused and never run; carries the result code.
    Refused(u16),
    /// An error reported after the request was dispatched; carries the result code.
    Failed(u16),
    /// The response was incomplete, and no error said so.
    Truncated,
    /// The response carried content that does not belong to the request.
    Mismatched,
    /// No response arrived.
    Lost,
}

/// Result of one request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Request as planned.
    pub request: Request,
    /// Id that the gateway assigned.
    pub request_id: Box<str>,
    /// How it ended.
    pub verdict: Verdict,
    /// Time to the first token.
    pub first_token: Duration,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Time until the response ended or the driver gave up.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u64,
}

/// Sends a plan's requests to gateways; returns the outcomes in the order of the plan.
///
/// # Errors
/// No gateway is given, or the sending threads cannot be joined.
pub async fn drive(plan: &[Request], gateways: &[SocketAddr], mix: &Mix) -> Result<Vec<Outcome>> {
    anyhow::ensure!(!gateways.is_empty(), "no gateway is given");
    let start = Instant::now() + Duration::from_millis(200);
    let mut threads = Vec::new();
    for thread in 0..THREADS {
        let requests: Vec<Request> = plan.iter().skip(thread).step_by(THREADS).cloned().collect();
        let gateways = gateways.to_vec();
        let mix = Arc::new(mix.clone());
        threads.push(std::thread::spawn(move || {
            let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
            system.block_on(send_all(requests, gateways, mix, start))
        }));
    }
    let joined = tokio::task::spawn_blocking(move || {
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    let mut outcomes: Vec<Outcome> = joined.await?;
    outcomes.sort_by_key(|outcome| outcome.request.at);
    Ok(outcomes)
}

async fn send_all(
    requests: Vec<Request>,
    gateways: Vec<SocketAddr>,
    mix: Arc<Mix>,
    start: Instant,
) -> Vec<Outcome> {
    let client = Client::builder()
        .connector::<()>(Connector::new().limit(4096))
        .disable_timeout()
        .build(SharedCfg::default())
        .await;
    let Ok(client) = client else {
        return Vec::new();
    };
    let mut tasks = Vec::new();
    for request in requests {
        tokio::time::sleep_until((start + request.at).into()).await;
        let gateway = gateways[request.gateway_index % gateways.len()];
        tasks.push(ntex::rt::spawn(send(client.clone(), gateway, request, Arc::clone(&mix))));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        if let Ok(outcome) = task.await {
            outcomes.push(outcome);
        }
    }
    outcomes
}

async fn send(client: Client, gateway: SocketAddr, request: Request, mix: Arc<Mix>) -> Outcome {
    let started = Instant::now();
    let limit = mix.tiers[request.tier].deadline + RESPONSE_GRACE;
    let mut outcome = Outcome {
        request,
        request_id: "".into(),
        verdict: Verdict::Lost,
        first_token: Duration::ZERO,
        gaps: Vec::new(),
        total: Duration::ZERO,
        tokens: 0,
    };
    let _ =
        tokio::time::timeout(limit, exchange(client, gateway, &mix, &mut outcome, started)).await;
    outcome.total = started.elapsed();
    outcome
}

async fn exchange(
    client: Client,
    gateway: SocketAddr,
    mix: &Mix,
    outcome: &mut Outcome,
    started: Instant,
) {
    let tier = &mix.tiers[outcome.request.tier];
    let call = client
        .post(format!("http://{gateway}/v1/chat/completions"))
        .set_header("content-type", "application/json")
        .set_header("bamboo-organisation", mix.organisations[outcome.request.organisation].0)
        .set_header("bamboo-tier", tier.name)
        .set_header("bamboo-deadline-ms", tier.deadline.as_millis().to_string());
    let Ok(response) = call.send_body(outcome.request.body(mix)).await else {
        return;
    };
    let request_id = response.headers().get("bamboo-request-id");
    let request_id = request_id.and_then(|value| value.to_str().ok());
    outcome.request_id = request_id.unwrap_or_default().into();
    let status = response.status().as_u16();
    if status != 200 {
        let body = response.body().await.unwrap_or_default();
        let problem: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        outcome.verdict = refusal(&problem);
        return;
    }
    if outcome.request.stream {
        read_stream(response.take_payload(), outcome, started).await;
    } else {
        let body = response.body().limit(16 * 1024 * 1024).await.unwrap_or_default();
        read_body(&body, outcome, started);
    }
}

fn refusal(problem: &serde_json::Value) -> Verdict {
    let code = problem["code"].as_u64().and_then(|code| u16::try_from(code).ok()).unwrap_or(0);
    match problem["executed"].as_str() {
        Some("never") => Verdict::Refused(code),
        Some(_) => Verdict::Failed(code),
        None => Verdict::Truncated,
    }
}

async fn read_stream(mut payload: Payload, outcome: &mut Outcome, started: Instant) {
    let mut decoder = Decoder::new();
    let mut last = started;
    outcome.verdict = Verdict::Truncated;
    while let Some(Ok(bytes)) = payload.recv().await {
        for event in decoder.push(&bytes) {
            if event.is_done() {
                let complete = outcome.tokens == outcome.request.output;
                outcome.verdict = match outcome.verdict {
                    Verdict::Mismatched => Verdict::Mismatched,
                    _ if complete => Verdict::Complete,
                    _ => Verdict::Truncated,
                };
                return;
            }
            read_event(&event.data, outcome, started, &mut last);
        }
    }
}

fn read_event(data: &[u8], outcome: &mut Outcome, started: Instant, last: &mut Instant) {
    let chunk: serde_json::Value = serde_json::from_slice(data).unwrap_or_default();
    if chunk["code"].is_u64() {
        outcome.verdict = refusal(&chunk);
        return;
    }
    let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() else {
        return;
    };
    outcome.tokens += 1;
    if content != format!("{}:{} ", outcome.request.marker, outcome.tokens) {
        outcome.verdict = Verdict::Mismatched;
    }
    let now = Instant::now();
    if outcome.tokens == 1 {
        outcome.first_token = now.duration_since(started);
    } else {
        outcome.gaps.push(now.duration_since(*last));
    }
    *last = now;
}

fn read_body(body: &[u8], outcome: &mut Outcome, started: Instant) {
    let response: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let content = response["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    let marker = &outcome.request.marker;
    let expected: String = (1..=outcome.request.output).map(|i| format!("{marker}:{i} ")).collect();
    outcome.first_token = started.elapsed();
    outcome.tokens = u64::try_from(content.split_whitespace().count()).unwrap_or(0);
    outcome.verdict = if content == expected {
        Verdict::Complete
    } else if content.split_whitespace().all(|token| token.starts_with(marker.as_str())) {
        Verdict::Truncated
    } else {
        Verdict::Mismatched
    };
}

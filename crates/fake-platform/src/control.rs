//! Simulated outages, slow responses and lost responses.

use crate::{Shared, json, parse, state::State};
use ntex::web::HttpResponse;
use serde::Deserialize;
use std::time::Duration;

/// Simulated failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Failures {
    /// Table and object store refuse every request.
    pub outage: bool,
    /// The directory refuses to list.
    pub directory_outage: bool,
    /// Delay of each request, in milliseconds.
    pub slow_ms: u64,
    /// Number of transactions, from the next one on, that are executed but whose responses are lost.
    pub lose_answers: u32,
}

/// Replaces the simulated failures.
pub async fn control(state: Shared, body: ntex::util::Bytes) -> HttpResponse {
    match parse::<Failures>(&body) {
        Ok(failures) => {
            state.set_failures(failures);
            HttpResponse::Ok().finish()
        }
        Err(refusal) => refusal,
    }
}

/// Returns the request counts since the start.
pub async fn counters(state: Shared) -> HttpResponse {
    json(200, &state.counters())
}

/// Delays a request to the table or the object store; returns the refusal during an outage.
pub async fn gate(state: &State) -> Option<HttpResponse> {
    let failures = state.failures();
    delay(failures).await;
    failures.outage.then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Delays a request to the directory; returns the refusal during an outage.
pub async fn gate_directory(state: &State) -> Option<HttpResponse> {
    let failures = state.failures();
    delay(failures).await;
    failures.directory_outage.then(|| HttpResponse::ServiceUnavailable().finish())
}

async fn delay(failures: Failures) {
    if failures.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(failures.slow_ms)).await;
    }
}

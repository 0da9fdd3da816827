//! Switches for outage, slowness and lost answers.

use crate::{Shared, json, parse, state::State};
use ntex::web::HttpResponse;
use serde::Deserialize;
use std::time::Duration;

/// What goes wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switches {
    /// Table and object store refuse every call.
    pub outage: bool,
    /// The directory refuses every call as well.
    pub directory_outage: bool,
    /// Delay of each call in milliseconds.
    pub slow_ms: u64,
    /// Writes whose answers are lost after they took effect.
    pub lose_answers: u32,
}

/// Replaces the switches.
pub async fn control(state: Shared, body: ntex::util::Bytes) -> HttpResponse {
    match parse::<Switches>(&body) {
        Ok(switches) => {
            state.set_switches(switches);
            HttpResponse::Ok().finish()
        }
        Err(refusal) => refusal,
    }
}

/// Calls since the start.
pub async fn counters(state: Shared) -> HttpResponse {
    json(200, &state.counters())
}

/// Delays or refuses a call of the table or the object store.
pub async fn gate(state: &State) -> Option<HttpResponse> {
    let switches = state.switches();
    delay(switches).await;
    switches.outage.then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Delays or refuses a call of the directory.
pub async fn gate_directory(state: &State) -> Option<HttpResponse> {
    let switches = state.switches();
    delay(switches).await;
    switches.directory_outage.then(|| HttpResponse::ServiceUnavailable().finish())
}

async fn delay(switches: Switches) {
    if switches.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(switches.slow_ms)).await;
    }
}

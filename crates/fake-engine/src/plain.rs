//! Requests to a plain service.

use crate::{
    batch::crashes_engine,
    endpoint::{Shared, header},
};
use ntex::{
    util::Bytes,
    web::{HttpRequest, HttpResponse},
};
use std::time::Duration;

/// Responds to any request after the service time. Requests beyond the batch size wait for further
/// rounds of the service time.
pub async fn call(endpoint: Shared, http: HttpRequest, body: Bytes) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    if crashes_engine(&text) || crashes_engine(&header(&http, "content-type")) {
        endpoint.crash.notify_one();
        tokio::time::sleep(Duration::from_secs(5)).await;
        return HttpResponse::InternalServerError().finish();
    }
    if endpoint.batch.lock().declines {
        return HttpResponse::ServiceUnavailable().header("x-endpoint-leaving", "1").finish();
    }
    *endpoint.last_request_at.lock() = std::time::Instant::now();
    let key = header(&http, "idempotency-key");
    let queued = {
        let mut batch = endpoint.batch.lock();
        batch.stats.requests += 1;
        let name = if key.is_empty() { header(&http, "x-request-id") } else { key.clone() };
        *batch.stats.runs.entry(name.into()).or_default() += 1;
        batch.stats.requests - batch.stats.whole - batch.stats.cancelled
    };
    let rounds = queued.div_ceil(u64::try_from(endpoint.spec.batch.max(1)).unwrap_or(1));
    let slow = endpoint.batch.lock().slow.max(1.0);
    let length = Duration::from_micros(endpoint.spec.step_us * rounds.max(1)).mul_f64(slow);
    tokio::time::sleep(length).await;
    let number = {
        let mut batch = endpoint.batch.lock();
        batch.stats.whole += 1;
        batch.stats.whole
    };
    let result = serde_json::json!({
        "endpoint": endpoint.spec.id,
        "path": http.path(),
        "number": number,
        "key": key,
        "echo": text,
    });
    HttpResponse::Ok().json(&result)
}

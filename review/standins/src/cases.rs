//! Cases, one module each, and the small deployment that they share.

pub mod late_copy;
pub mod load_report;
pub mod queued_at_stop;
pub mod silent_stream;

use crate::store::Store;
use serde_json::{Value, json};

/// Route of the host `a.example` to a service.
#[must_use]
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u32, target_ms: u32) -> Value {
    json!({"name": format!("route{}", prefix.replace('/', "-")), "host": "a.example",
        "prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": 1,
        "anonymous": false, "stream_resume": false, "target_gap_ms": 250})
}

/// Writes the first configuration, as the operator.
pub fn configure(store: &Store, routes: &[Value], services: &[&str]) {
    let services: Vec<Value> = services
        .iter()
        .map(|name| json!({"name": name, "health_path": "/healthz", "max_connections": 100}))
        .collect();
    let document = json!({"version": 3, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 10_000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "org-1", "api_keys": ["key-1"], "unit": "token_based",
            "uncached_tokens": 200, "rate_per_s": 0, "burst": 0}]});
    store.put("op", "config", &document);
}

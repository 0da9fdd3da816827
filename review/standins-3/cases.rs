//! The cases: each returns whether its rule held, and writes what was sent, answered and run.

mod deadly;
mod outage;

use std::io::{Error, Result};

pub fn run(name: &str, record: &str, trouble: bool) -> Result<bool> {
    match name {
        "forgotten" => deadly::forgotten(record, trouble),
        "queried" => deadly::queried(record, trouble),
        "together" => deadly::together(record, trouble),
        "accompanied" => deadly::accompanied(record, trouble),
        "unframed" => deadly::unframed(record, trouble),
        "outage" => outage::run(record, trouble),
        _ => Err(Error::other(format!("no case {name}"))),
    }
}

/// Configuration with these routes, two services and one tenant.
pub fn configuration(version: u64, routes: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],
"services":[{{"name":"desk","health_path":"/healthz","max_connections":100}},{{"name":"llm","health_path":"/healthz","max_connections":300}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"org-1","api_keys":["key-1"],"unit":"token_based","uncached_tokens":200,"rate_per_s":0,"burst":0}}]}}"#
    )
}

/// Route of the paths under its name.
#[allow(clippy::too_many_arguments)]
pub fn route(
    name: &str,
    kind: &str,
    service: &str,
    timeout: u64,
    target: u64,
    attempts: u32,
    resume: bool,
) -> String {
    format!(
        r#"{{"name":"{name}","host":"a.example","prefix":"/{name}/","route_type":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"target_gap_ms":300,"priority":2,"service":"{service}","max_attempts":{attempts},"anonymous":false,"stream_resume":{resume}}}"#
    )
}

//! A new version of the configuration adds a tenant whose name has a space, and takes a key away.
//!
//! Later than `config_apply_ms` after the store has the version, the nodes must refuse the key that
//! was taken away and serve the new ones. In the end all processes are killed and start again, and
//! requests that every version allows must be served once `recover_s` has passed.

use anyhow::Result;
use fake_host::{Node, Request, Testbed, testbed};
use http::StatusCode;
use review_standins_2::{Case, needs, run};
use serde_json::json;
use std::{process::ExitCode, time::Duration};

/// Time after which a version must be in force: the nodes' default for `config_apply_ms`, which is
/// that of the grown deployments, and a second more.
const APPLY_TIME: Duration = Duration::from_millis(5_000);
/// Number of times that the requests are sent after that, a second apart.
const ROUNDS: usize = 5;
/// Largest `recover_s` of the deployments.
const RECOVER_TIME: Duration = Duration::from_secs(15);
/// Requests to each node after that.
const RECOVERED: usize = 10;
/// Keys and statuses that show which version is in force.
const EXPECTED: [(&str, StatusCode); 4] = [
    ("key-1", StatusCode::OK),
    ("key-2", StatusCode::UNAUTHORIZED),
    ("key-2-new", StatusCode::OK),
    ("key-3", StatusCode::OK),
];

#[tokio::main]
async fn main() -> ExitCode {
    run(play).await
}

async fn send(node: &Node, key: &str, attempt: &str) -> Result<StatusCode> {
    let request = Request::new("/once/", attempt).with_body(b"x").with_header("x-api-key", key);
    Ok(request.send(node.callers).await?.status)
}

async fn play(case: Case) -> Result<usize> {
    let record = &case.record;
    let mut bed = Testbed::unconfigured(2).await?;
    let mut document = testbed::configuration();
    let second = |key: &str| testbed::organisation("org-2", &[key], 0, 0);
    document["tenants"] =
        json!([testbed::organisation("org-1", &["key-1"], 0, 0), second("key-2")]);
    bed.configure(document.clone());
    let mut nodes = Vec::new();
    for name in ["edge-1", "edge-2"] {
        nodes.push(bed.start_node(&case.program, name).await?);
    }
    for node in &nodes {
        for key in ["key-1", "key-2"] {
            let status = send(node, key, &format!("before-{}-{key}", node.callers)).await?;
            needs(status == StatusCode::OK, "the first configuration is in force")?;
        }
    }
    let name = if case.trouble { "Kitsap Riders" } else { "Kitsap-Riders" };
    document["tenants"] = json!([
        testbed::organisation("org-1", &["key-1"], 0, 0),
        second("key-2-new"),
        testbed::organisation(name, &["key-3"], 0, 0),
    ]);
    let version = bed.configure(document);
    record
        .add(format!("version {version} is in the store: adds tenant {name:?}, takes key-2 away"));
    tokio::time::sleep(APPLY_TIME).await;
    let mut broken = 0;
    for round in 0..ROUNDS {
        for (number, node) in nodes.iter().enumerate() {
            for (key, expected) in EXPECTED {
                let attempt = format!("after-{round}-{number}-{key}");
                let status = send(node, key, &attempt).await?;
                let runs = bed.run_count(&attempt);
                let is_new = status == expected;
                let verdict =
                    if is_new { "as the new version says" } else { "as only the old one allows" };
                record.add(format!(
                    "edge-{}: {key}: status {status}, runs {runs}: {verdict}",
                    number + 1
                ));
                broken += usize::from(!is_new);
            }
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    for node in &nodes {
        for line in node.log_lines(&["configuration ignored"]).iter().take(1) {
            record.add(format!("log: {line}"));
        }
    }
    record.add(format!("{broken} requests handled as only the older version allows"));
    for node in &mut nodes {
        node.signal("KILL")?;
        node.wait()?;
        node.restart()?;
    }
    record.add("all processes were killed and started again");
    tokio::time::sleep(RECOVER_TIME).await;
    let mut served = 0;
    for round in 0..RECOVERED {
        for (number, node) in nodes.iter().enumerate() {
            let status = send(node, "key-1", &format!("back-{round}-{number}")).await?;
            record.add(format!(
                "edge-{}: key-1, which every version has: status {status}",
                number + 1
            ));
            served += usize::from(status == StatusCode::OK);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let sent = RECOVERED * nodes.len();
    record.add(format!("{served} of {sent} requests served after the restart"));
    Ok(broken + usize::from(4 * served < sent))
}

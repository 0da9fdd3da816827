//! Latency that an unloaded gateway adds to a request, compared with a direct one.

use crate::{
    deployment::Deployment,
    table::{Bound, Table},
};
use anyhow::Result;
use harness::Client;
use ntex::http::Method;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Requests of one run.
const REQUESTS: usize = 400;

/// added latency of an unloaded gateway, for sequential requests
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Options {
    /// number of runs
    #[argh(option, default = "5")]
    runs: u64,
}

/// Runs the benchmark.
pub async fn run(options: &Options) -> Result<()> {
    let deployment = Deployment::named("roofcare")?;
    let cluster = deployment.start("permits").await?;
    let client = Client::new().await?;
    let engine = cluster.endpoint_addresses[&*deployment.engines[0].id];
    let mut table = Table::default();
    let body = "{\"model\":\"vaani-7b\",\"stream\":true,\"max_tokens\":1,\
                \"messages\":[{\"role\":\"user\",\"content\":\"<<x>> hello\"}]}";
    for _ in 0..options.runs {
        let direct = measure(&client, engine, body).await?;
        let through = measure(&client, cluster.gateways[0].callers, body).await?;
        let at = |values: &[Duration], q: f64| {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "index")]
            let index = ((values.len() - 1) as f64 * q) as usize;
            values[index].as_secs_f64() * 1000.0
        };
        table.add("direct p50, ms", Bound::None, at(&direct, 0.5));
        table.add("direct p99, ms", Bound::None, at(&direct, 0.99));
        table.add("through p50, ms", Bound::None, at(&through, 0.5));
        table.add("through p99, ms", Bound::None, at(&through, 0.99));
        let added = at(&through, 0.99) - at(&direct, 0.99);
        table.add("added at p99, ms", Bound::AtMost(1.0), added);
        table.add("added at p50, ms", Bound::None, at(&through, 0.5) - at(&direct, 0.5));
    }
    table.print();
    Ok(())
}

/// Durations of sequential requests, sorted.
async fn measure(client: &Client, address: SocketAddr, body: &str) -> Result<Vec<Duration>> {
    let headers = [("bamboo-organisation", "adajan-homes"), ("content-type", "application/json")];
    let mut durations = Vec::new();
    for _ in 0..REQUESTS {
        let started = Instant::now();
        let response =
            client.call(Method::POST, address, "/v1/chat/completions", &headers, body).await?;
        durations.push(started.elapsed());
        anyhow::ensure!(response.status == 200, "{}", response.body);
    }
    durations.sort();
    Ok(durations)
}

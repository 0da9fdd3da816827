//! Command-line load driver for the public interfaces.

use anyhow::{Context, Result};
use load::{Mix, Plan, Report, drive};
use ntex::http::Method;
use std::{net::SocketAddr, process::ExitCode, time::Duration};

/// Load driver of bambooroad.
#[derive(argh::FromArgs)]
struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(RunOptions),
    Call(CallOptions),
}

/// send a seeded workload mix and print a report
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "run")]
struct RunOptions {
    /// address of a gateway's listener for callers; repeatable
    #[argh(option)]
    gateway: Vec<SocketAddr>,
    /// workload mix: roofcare or saddlewright
    #[argh(option, default = "\"roofcare\".into()")]
    mix: String,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds before and after the peak
    #[argh(option, default = "5")]
    calm: u64,
    /// seconds of the peak
    #[argh(option, default = "0")]
    crest: u64,
    /// requests per second outside the peak
    #[argh(option, default = "20.0")]
    rate: f64,
    /// requests per second during the peak
    #[argh(option, default = "60.0")]
    crest_rate: f64,
}

/// send one request and print its response
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "call")]
struct CallOptions {
    /// address to connect to
    #[argh(option)]
    address: SocketAddr,
    /// path of the request
    #[argh(option)]
    path: String,
    /// header as name=value; repeatable
    #[argh(option)]
    header: Vec<String>,
    /// body of a POST request; without it a GET request is sent
    #[argh(option)]
    body: Option<String>,
}

#[ntex::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let result = match options.command {
        Command::Run(options) => run(&options).await,
        Command::Call(options) => call(&options).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &RunOptions) -> Result<()> {
    let mix = Mix::named(&options.mix).context("unknown mix; allowed: roofcare, saddlewright")?;
    let plan = Plan::new(options.seed)
        .with_steady(Duration::from_secs(options.calm), options.rate)
        .with_burst(Duration::from_secs(options.crest), options.crest_rate)
        .with_steady(Duration::from_secs(options.calm), options.rate)
        .build(&mix);
    let outcomes = drive(&plan, &options.gateway, &mix).await?;
    let report = Report::new(&mix, &outcomes);
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

async fn call(options: &CallOptions) -> Result<()> {
    let client = ntex::client::Client::new().await;
    let method = if options.body.is_some() { Method::POST } else { Method::GET };
    let url = format!("http://{}{}", options.address, options.path);
    let mut request = client.request(method, url).timeout(ntex::time::Millis(60_000));
    for header in &options.header {
        let (name, value) =
            header.split_once('=').context("a header must have the form name=value")?;
        request = request.set_header(name, value);
    }
    let response = request.send_body(options.body.clone().unwrap_or_default()).await;
    let response = response.map_err(|e| anyhow::anyhow!("{e}"))?;
    let status = response.status();
    let body = response.body().await.map_err(|e| anyhow::anyhow!("{e}"))?;
    println!("{}", String::from_utf8_lossy(&body));
    anyhow::ensure!(status.is_success(), "{status}");
    Ok(())
}

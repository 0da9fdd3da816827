//! Measurements of whole guilds of real processes, and slopes of the decision code.
//!
//! Every command prints one JSON line for each run and a table of minimum,
//! median and maximum at its end. Bounds live here, beside the figures; a
//! figure beyond its bound is marked `MISS`.

mod capacity;
mod crest;
mod deployment;
mod fair;
mod latency;
mod nodes;
mod slopes;
mod straggler;
mod table;

use anyhow::Result;
use std::process::ExitCode;

/// Measurements of bambooroad.
#[derive(argh::FromArgs)]
struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Crest(crest::Options),
    Straggler(straggler::Options),
    Fair(fair::Options),
    Latency(latency::Options),
    Nodes(nodes::Options),
    Slopes(slopes::Options),
}

#[ntex::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let result: Result<()> = match options.command {
        Command::Crest(options) => crest::run(&options).await,
        Command::Straggler(options) => straggler::run(&options).await,
        Command::Fair(options) => fair::run(&options).await,
        Command::Latency(options) => latency::run(&options).await,
        Command::Nodes(options) => nodes::run(&options).await,
        Command::Slopes(options) => slopes::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

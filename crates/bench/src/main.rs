//! Benchmarks of whole clusters of real processes, and of the scaling of the
//! decision code.
//!
//! Most commands print one JSON line per run, and every command prints a table
//! of minimum, median and maximum. The bounds are defined in the code, next to
//! the figures; a figure outside its bound is marked `MISS`.

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

/// Benchmarks of bambooroad.
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

//! Operators' command line.
//!
//! Exit codes: 0 on success; 1 on a refusal, whose result code is printed, and
//! on a wrong command line; 2 on invalid service files, which include those in
//! which `check` finds errors, and on unreadable or unwritable files; 3 if the
//! outcome is unknown: `log` shows whether the publication was recorded.

mod check;
mod explain;
mod gateways;
mod keygen;
mod output;
mod platform;
mod publish;

use output::{Failure, Output};
use std::process::ExitCode;

/// Operators' command line of bambooroad.
#[derive(argh::FromArgs)]
struct Options {
    /// print JSON instead of text
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::Options),
    Publish(publish::Options),
    Log(publish::LogOptions),
    Status(gateways::StatusOptions),
    Drain(gateways::DrainOptions),
    Explain(explain::Options),
    Keygen(keygen::Options),
}

#[ntex::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let output = Output::new(options.json);
    let result = match options.command {
        Command::Check(options) => check::run(&options, &output),
        Command::Publish(options) => publish::run(&options, &output).await,
        Command::Log(options) => publish::log(&options, &output).await,
        Command::Status(options) => gateways::status(&options, &output).await,
        Command::Drain(options) => gateways::drain(&options, &output).await,
        Command::Explain(options) => explain::run(&options, &output),
        Command::Keygen(options) => keygen::run(&options, &output),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => output.fail(&failure),
    }
}

/// Result of a command.
type Result = std::result::Result<(), Failure>;

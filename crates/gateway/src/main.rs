//! Gateway: accepts callers' requests, schedules and dispatches them, and
//! streams the responses back.
//!
//! Every instance runs this process. There are no dedicated control nodes:
//! membership, cells, configuration and claims are controllers inside the
//! process. Controllers and HTTP handlers share state through the
//! [`blackboard`]: a controller reads what others have written there, decides
//! with code of the I/O-free crates, and writes the result back.
//!
//! The main thread runs the controllers and the connections to peers. Worker
//! threads serve callers, and one more thread serves operators.

mod blackboard;
mod controller;
mod dispatcher;
mod estimate;
mod http;
mod metrics;
mod routing;
mod run;
mod settings;

use anyhow::Result;
use codes::{Code, Overflow, root_logger};
use std::{path::PathBuf, process::ExitCode};

/// Gateway of bambooroad.
#[derive(argh::FromArgs)]
struct Options {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check_settings: bool,
}

#[ntex::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let settings = match settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: {e:#}", Code::InvalidSettings);
            return ExitCode::from(2);
        }
    };
    if options.check_settings {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    let (log, guard) = root_logger(Overflow::DropAndReport);
    let result: Result<()> = run::run(settings, log.clone()).await;
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            slog::error!(log, "gateway failed"; "error" => format!("{e:#}"));
            ExitCode::FAILURE
        }
    };
    drop(log);
    drop(guard);
    code
}

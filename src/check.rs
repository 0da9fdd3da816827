//! `check`: validates service files without publishing them.

use crate::{
    Result,
    output::{Failure, Output},
};
use codes::Code;
use guild::{Publication, service};
use serde_json::json;
use std::path::PathBuf;
use units::Version;

/// check service files
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Options {
    /// service files, or folders with *.bamboo.toml files
    #[argh(positional)]
    paths: Vec<PathBuf>,
}

/// Reads service files and validates them as one publication.
pub fn read_files(paths: &[PathBuf]) -> std::result::Result<Vec<service::File>, Failure> {
    let invalid = |e: anyhow::Error| Failure::new(Code::InvalidServiceFile, format!("{e:#}"));
    let files = service::read_all(paths).map_err(invalid)?;
    Publication::new(Version(0), "check", files.clone()).map_err(invalid)?;
    Ok(files)
}

/// Runs the command.
pub fn run(options: &Options, output: &Output) -> Result {
    let files = read_files(&options.paths)?;
    let names: Vec<&str> = files.iter().map(|file| file.service.as_str()).collect();
    let text = format!("ok: {} service files: {}", files.len(), names.join(", "));
    output.print(&text, &json!({"services": names}));
    Ok(())
}

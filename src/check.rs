//! `check`: validates service files without publishing them.

use crate::{
    Result,
    output::{Failure, Output},
};
use codes::Code;
use guild::{Publication, neutral, service};
use serde_json::json;
use std::path::PathBuf;
use units::Version;
use validate::Report;

/// check service files
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Options {
    /// service files in force, or a folder with them, to print the differences from
    #[argh(option)]
    in_force: Vec<PathBuf>,
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

/// Runs the command. Invalid files in force end it like invalid ones to check.
pub fn run(options: &Options, output: &Output) -> Result {
    let files = read_files(&options.paths)?;
    let in_force = match &*options.in_force {
        [] => None,
        paths => Some(neutral::convert(&read_files(paths)?)),
    };
    let report = Report::new(Vec::new(), &neutral::convert(&files), in_force.as_ref());
    let names: Vec<&str> = files.iter().map(|file| file.service.as_str()).collect();
    if report.errors() > 0 {
        let failure = Failure::new(Code::InvalidServiceFile, format!("\n{report}"));
        return Err(failure.with_report(json!(report)));
    }
    let text = format!("ok: {} service files: {}", files.len(), names.join(", "));
    let is_plain = report.findings.is_empty() && report.difference.is_none();
    let text = if is_plain { text } else { format!("{text}\n{report}") };
    let (findings, difference) = (&report.findings, &report.difference);
    let value = json!({"services": names, "findings": findings, "difference": difference});
    output.print(&text, &value);
    Ok(())
}

//! Plays seeds of the soak by hand.

use anyhow::{Context, Result, bail};
use soak::{
    Report,
    plan::Size,
    regression::{CASES, Case},
};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

/// Randomised soak of the relay: processes, faults from outside, promises checked.
#[derive(argh::FromArgs)]
struct Options {
    /// first seed
    #[argh(option, default = "1")]
    from: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// nodes
    #[argh(option, default = "5")]
    nodes: usize,
    /// workers
    #[argh(option, default = "8")]
    workers: usize,
    /// callers
    #[argh(option, default = "30")]
    callers: usize,
    /// seconds in which trouble begins
    #[argh(option, default = "20")]
    seconds: u64,
    /// play the seeds that once broke a promise instead
    #[argh(switch)]
    regressions: bool,
    /// program of a node; by default the one beside this program
    #[argh(option)]
    program: Option<PathBuf>,
    /// directory for the nodes' output of seeds that fail
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    output: PathBuf,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options: Options = argh::from_env();
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("bamboo-relay"),
    };
    if !program.exists() {
        bail!("no program {}: build the package `platform` first", program.display());
    }
    let size = Size {
        nodes: options.nodes,
        workers: options.workers,
        callers: options.callers,
        length: Duration::from_secs(options.seconds),
    };
    let cases: Vec<Case> = if options.regressions {
        CASES.to_vec()
    } else {
        let seeds = options.from..options.from + options.seeds;
        seeds.map(|seed| Case { seed, size, cause: "" }).collect()
    };
    let mut failed = Vec::new();
    for Case { seed, size, cause } in &cases {
        let report = soak::run(&program, *seed, *size).await?;
        let Report { calls, served, runs, .. } = report;
        println!("seed {seed}: {calls} requests, {served} served, {runs} runs {cause}");
        for breach in &report.breaches {
            println!("    {breach}");
        }
        if !report.breaches.is_empty() {
            keep(&options.output, &report)?;
            failed.push(*seed);
        }
    }
    println!("{} of {} seeds broke a promise {failed:?}", failed.len(), cases.len());
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Keeps the nodes' output.
fn keep(output: &Path, report: &Report) -> Result<()> {
    let directory = output.join(format!("seed-{}", report.seed));
    std::fs::create_dir_all(&directory).context("directory for output")?;
    for (number, lines) in report.outputs.iter().enumerate() {
        std::fs::write(directory.join(format!("n-{number}.log")), lines.join("\n"))?;
    }
    println!("    output of the nodes: {}", directory.display());
    Ok(())
}

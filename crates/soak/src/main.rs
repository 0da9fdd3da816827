//! Command line of the soak test.

use anyhow::{Context, Result, bail};
use soak::{
    Report,
    plan::{Size, Worker},
    regression::{CASES, Case},
};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

/// Randomised soak test of the relay: runs node processes, injects faults and checks the guarantees.
#[derive(argh::FromArgs)]
struct Options {
    /// first seed
    #[argh(option, default = "1")]
    from: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// number of nodes
    #[argh(option, default = "5")]
    nodes: usize,
    /// number of workers
    #[argh(option, default = "8")]
    workers: usize,
    /// number of callers
    #[argh(option, default = "30")]
    callers: usize,
    /// seconds during which faults are injected
    #[argh(option, default = "20")]
    seconds: u64,
    /// workers that garble their answers all the time
    #[argh(switch)]
    garble: bool,
    /// workers that crash under a request that comes again and again
    #[argh(switch)]
    crash: bool,
    /// run the seeds that once failed instead
    #[argh(switch)]
    regressions: bool,
    /// program of a node; by default `bamboo-relay` in the directory of this program
    #[argh(option)]
    program: Option<PathBuf>,
    /// directory for the nodes' output of failed seeds
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
        bail!("program {} does not exist: build the package `platform` first", program.display());
    }
    let size = Size {
        nodes: options.nodes,
        workers: options.workers,
        callers: options.callers,
        duration: Duration::from_secs(options.seconds),
        workers_do: match options {
            Options { garble: true, .. } => Worker::Garble,
            Options { crash: true, .. } => Worker::Crash,
            _ => Worker::Fail,
        },
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
        for violation in &report.violations {
            println!("    {violation}");
        }
        if !report.violations.is_empty() {
            save_output(&options.output, &report)?;
            failed.push(*seed);
        }
    }
    println!("{} of {} seeds failed {failed:?}", failed.len(), cases.len());
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Writes the nodes' output to files.
fn save_output(output: &Path, report: &Report) -> Result<()> {
    let directory = output.join(format!("seed-{}", report.seed));
    std::fs::create_dir_all(&directory).context("cannot create the directory for output")?;
    for (number, lines) in report.outputs.iter().enumerate() {
        std::fs::write(directory.join(format!("n-{number}.log")), lines.join("\n"))?;
    }
    println!("    output of the nodes: {}", directory.display());
    Ok(())
}

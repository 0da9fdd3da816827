//! Cases of the independent review, as programs.
//!
//! `review-case NAME RECORD` plays one case against the project's own relay and
//! writes what was sent, run and answered to the file RECORD. It exits with 1 if
//! the rule was broken, with 0 if it held and with 2 if the case could not run.
//! With `TROUBLE=0` in the environment, the disruption is left out.

mod caller;
mod cases;
mod http;
mod net;
mod record;
mod relay;
mod store;
mod worker;

use anyhow::{Context, Result, bail};
use record::Record;
use std::{path::PathBuf, process::ExitCode, rc::Rc, time::Duration};
use tokio::task::LocalSet;

/// Time limit of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Whether a case broke its rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    match play() {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn play() -> Result<Verdict> {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().context("no name of a case")?;
    let path = PathBuf::from(arguments.next().context("no path of the record")?);
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Rc::new(Record::create(&path)?);
    record.write(&format!("case {name}, trouble {trouble}"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let case = async {
        match &*name {
            "late-copy" => cases::late_copy::play(&record, trouble).await,
            "silent-stream" => cases::silent_stream::play(&record, trouble).await,
            "queued-at-stop" => cases::queued_at_stop::play(&record, trouble).await,
            "load-report" => cases::load_report::play(&record, trouble).await,
            _ => bail!("no case named {name}"),
        }
    };
    let limited = async { tokio::time::timeout(TIME_LIMIT, case).await };
    let verdict = LocalSet::new().block_on(&runtime, limited).context("time limit")??;
    record.write(&format!("verdict: {verdict:?}"));
    Ok(verdict)
}

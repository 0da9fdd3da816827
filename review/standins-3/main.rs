//! Stand-ins and cases of the third review. Without dependencies, so that it builds without a network.

mod cases;
mod client;
mod http;
mod json;
mod options;
mod site;
mod store;
mod worker;

use options::Options;
use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let role = words.next().unwrap_or_default();
    if role == "worker" {
        return match worker::run(Options::parse(words)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("worker: {e}");
                ExitCode::from(2)
            }
        };
    }
    let record = words.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(&role, &record, trouble) {
        Ok(true) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("broken");
            ExitCode::FAILURE
        }
        Err(e) => {
            println!("could not run: {e}");
            ExitCode::from(2)
        }
    }
}

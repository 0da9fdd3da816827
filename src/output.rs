//! Output for people and for scripts.

use codes::{Code, Executed};
use serde_json::{Value, json};
use std::process::ExitCode;

/// Exit code of a refusal.
const REFUSED: u8 = 1;
/// Exit code of wrong usage and invalid files.
const INVALID: u8 = 2;
/// Exit code of an outcome that is not known.
const IN_DOUBT: u8 = 3;

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// What happened.
    pub detail: Box<str>,
}

impl Failure {
    /// Failure with a result code.
    pub fn new(code: Code, detail: impl std::fmt::Display) -> Self {
        Self { code, detail: detail.to_string().into() }
    }
}

/// Printer of results.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Printer of JSON or text.
    pub const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result.
    pub fn print(self, text: &str, value: &Value) {
        if self.json {
            println!("{value}");
        } else {
            println!("{text}");
        }
    }

    /// Prints a failure and gives its exit code.
    pub fn fail(self, failure: &Failure) -> ExitCode {
        let code = failure.code;
        if self.json {
            let value = json!({
                "code": code.number(),
                "title": code.title(),
                "executed": code.executed(),
                "detail": failure.detail,
            });
            println!("{value}");
        } else {
            eprintln!("{code}: {}", failure.detail);
        }
        ExitCode::from(match code {
            Code::InvalidServiceFile | Code::InvalidSettings => INVALID,
            code if code.executed() == Executed::Unknown => IN_DOUBT,
            _ => REFUSED,
        })
    }
}

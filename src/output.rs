//! Output as text, or as JSON for scripts.

use codes::{Code, Executed};
use serde_json::{Value, json};
use std::process::ExitCode;

/// Exit code on a refusal.
const REFUSED: u8 = 1;
/// Exit code on invalid or inaccessible files.
const INVALID: u8 = 2;
/// Exit code if the outcome is unknown.
const OUTCOME_UNKNOWN: u8 = 3;

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// Cause, shown to the operator.
    pub detail: Box<str>,
    /// Findings in detail, for JSON.
    pub report: Option<Value>,
}

impl Failure {
    /// Failure with a result code.
    pub fn new(code: Code, detail: impl std::fmt::Display) -> Self {
        Self { code, detail: detail.to_string().into(), report: None }
    }

    /// Adds findings in detail.
    #[must_use]
    pub fn with_report(mut self, report: Value) -> Self {
        self.report = Some(report);
        self
    }
}

/// Destination of results.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    json: bool,
}

impl Output {
    /// Prints JSON if `json`, else text.
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

    /// Prints a failure and returns its exit code.
    pub fn fail(self, failure: &Failure) -> ExitCode {
        let code = failure.code;
        if self.json {
            let mut value = json!({
                "code": code.number(),
                "title": code.title(),
                "executed": code.executed(),
                "detail": failure.detail,
            });
            if let Some(report) = &failure.report {
                value["report"] = report.clone();
            }
            println!("{value}");
        } else {
            eprintln!("{code}: {}", failure.detail);
        }
        ExitCode::from(match code {
            Code::InvalidServiceFile | Code::InvalidSettings => INVALID,
            code if code.executed() == Executed::Unknown => OUTCOME_UNKNOWN,
            _ => REFUSED,
        })
    }
}

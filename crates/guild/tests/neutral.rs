//! Validation of several service files together.
//!
//! Guards against operations that an earlier one hides, names and addresses
//! that two services claim, and findings in proper files.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use guild::{neutral, service};
use std::path::Path;
use validate::Report;

const DESK: &str = r#"service = "desk"
kind = "plain"
tiers = ["high", "low"]
checks_fencing = false
[[operation]]
method = "GET"
path = "/slots*"
idempotent = true
[[operation]]
method = "POST"
path = "/slots/one"
idempotent = false
"#;
const WRITER: &str = r#"service = "writer"
kind = "model"
model = "writer-7b"
tiers = ["only"]
checks_fencing = true
[[endpoint]]
id = "e-1"
address = "127.0.0.1:9000"
zone = "z"
region = "r"
"#;

fn report(texts: &[String], in_force: Option<&[String]>) -> Report {
    let parse = |texts: &[String]| {
        let files: Vec<_> = texts.iter().map(|t| service::parse("x", t).unwrap()).collect();
        neutral::convert(&files)
    };
    Report::new(Vec::new(), &parse(texts), in_force.map(parse).as_ref())
}

#[test]
fn proper_files_have_no_findings() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut files = service::read_all(&[folder]).unwrap();
    files.push(service::parse("x", DESK).unwrap());
    files.push(service::parse("x", WRITER).unwrap());
    assert_eq!(Report::new(Vec::new(), &neutral::convert(&files), None).findings, []);
}

#[test]
fn hidden_operations_and_names_claimed_twice_are_errors() {
    let desk = DESK.replace("POST", "GET")
        + "[[operation]]\nmethod = \"GET\"\npath = \"/a?b\"\nidempotent = true\n";
    let other = WRITER.replace("\"writer\"", "\"other\"").replace("writer-7b", "desk");
    insta::assert_snapshot!(report(&[desk, WRITER.into(), other], None), @r#"
    error: desk operation[1] "GET /slots/one": never matches: desk operation[0] "GET /slots*" takes its requests (path /slots/one, other path /slots)
    error: desk operation[2] "GET /a?b": never matches: a path begins with / and has neither query nor fragment (path /a?b)
    error: other: the model name desk already selects desk
    error: other: the address 127.0.0.1:9000 is already an endpoint of writer
    errors: 4, warnings: 0
    "#);
}

#[test]
fn differences_are_listed_by_operation() {
    let old = [DESK.into(), WRITER.into()];
    let desk = DESK.replace("idempotent = false", "idempotent = true\ntier = \"low\"");
    let new = [desk.replace("/slots*", "/places*"), WRITER.replace("7b", "9b")];
    insta::assert_snapshot!(report(&new, Some(&old)), @r#"
    changes from the version in force: 4
      route "desk GET /slots*": removed
      route "desk POST /slots/one": idempotent false -> true; tier absent -> "low"
      route "desk GET /places*": added
      service "writer": model "writer-7b" -> "writer-9b"
    errors: 0, warnings: 0
    "#);
}

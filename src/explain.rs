//! `explain`: from a request's id to its cause, out of the nodes' logs.
//!
//! Shown are the lines of the request and, from the node that wrote them, the
//! last lines before them that say what the node believed: configuration,
//! endpoints that the request was sent to, store, end of the process.

use crate::{
    Result,
    output::{Failure, Output},
};
use codes::Code;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read},
    path::PathBuf,
};

/// Messages that tell what a node believes; the last one of each kind counts.
const BELIEFS: [&str; 8] = [
    "configuration in force",
    "draining",
    "started",
    "store lost",
    "store reached",
    "settings read",
    "endpoint listed",
    "endpoint gone",
];
/// Members of a line that are the same in all of a request, or said otherwise.
const SILENT: [&str; 7] = ["msg", "ts", "level", "instance", "request", "event", "name"];

/// explain what became of a request, from the nodes' logs
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Options {
    /// identifier of the request
    #[argh(positional)]
    request: String,
    /// files with the nodes' logs; by default the standard input
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// What a node believed, by what it is about.
type Beliefs = BTreeMap<Box<str>, Value>;

/// Lines that were found.
#[derive(Debug, Default)]
struct Trail {
    /// Beliefs by instance.
    beliefs: BTreeMap<Box<str>, Beliefs>,
    /// Lines of the request, with what its node believed at the first.
    lines: Vec<Value>,
    before: Vec<Value>,
}

fn text<'a>(line: &'a Value, member: &str) -> &'a str {
    line[member].as_str().unwrap_or_default()
}

impl Trail {
    fn read(&mut self, source: impl Read, request: &str) -> std::io::Result<()> {
        for line in BufReader::new(source).lines() {
            let line = line?;
            // Collectors put a time or a name before the object.
            let object = line.find('{').map(|at| &line[at..]);
            if let Some(Ok(value)) = object.map(serde_json::from_str) {
                self.take(value, request);
            }
        }
        Ok(())
    }

    fn take(&mut self, line: Value, request: &str) {
        let instance: Box<str> = text(&line, "instance").into();
        if text(&line, "request") == request {
            if self.lines.is_empty() {
                let known = self.beliefs.get(&instance);
                self.before = known.into_iter().flat_map(BTreeMap::values).cloned().collect();
            }
            self.lines.push(line);
            return;
        }
        let message = text(&line, "msg");
        if BELIEFS.contains(&message) {
            let about = match message {
                "endpoint listed" | "endpoint gone" => text(&line, "endpoint").into(),
                "store lost" | "store reached" => format!("store {}", text(&line, "table")).into(),
                message => message.into(),
            };
            self.beliefs.entry(instance).or_default().insert(about, line);
        }
    }

    /// Beliefs that bear on the request: those on endpoints only if it was sent there.
    fn context(&self) -> Vec<&Value> {
        let sent_to = |endpoint: &str| self.lines.iter().any(|l| text(l, "endpoint") == endpoint);
        let bears = |line: &&Value| {
            let endpoint = text(line, "endpoint");
            endpoint.is_empty() || sent_to(endpoint)
        };
        let mut context: Vec<&Value> = self.before.iter().filter(bears).collect();
        context.sort_by_key(|line| text(line, "ts").to_owned());
        context
    }
}

fn show(line: &Value) -> String {
    let members = line.as_object().into_iter().flatten();
    let shown =
        members.filter(|(name, value)| !SILENT.contains(&name.as_str()) && !value.is_null());
    let members: Vec<String> = shown.map(|(name, value)| format!("{name}={value}")).collect();
    let (time, instance) = (text(line, "ts"), text(line, "instance"));
    format!("{time} {instance} {}: {}", text(line, "msg"), members.join(" "))
}

/// Meaning of the result code that the request ended with.
fn verdict(lines: &[Value]) -> Option<String> {
    let number = lines.iter().rev().find_map(|line| line["code"].as_u64())?;
    let code = Code::ALL.iter().find(|code| u64::from(code.number()) == number)?;
    Some(format!("{number} {}: executed {}", code.title(), code.executed()))
}

/// Runs the command.
pub fn run(options: &Options, output: &Output) -> Result {
    let mut trail = Trail::default();
    let unreadable = |e: std::io::Error| Failure::new(Code::InvalidSettings, e);
    if options.logs.is_empty() {
        trail.read(std::io::stdin(), &options.request).map_err(unreadable)?;
    }
    for path in &options.logs {
        let named = |e: std::io::Error| {
            Failure::new(Code::InvalidSettings, format!("{}: {e}", path.display()))
        };
        let file = std::fs::File::open(path).map_err(named)?;
        trail.read(file, &options.request).map_err(named)?;
    }
    if trail.lines.is_empty() {
        let detail = format!(
            "no line of {}: it reached no node, or its node ended before it could write one",
            options.request
        );
        return Err(Failure::new(Code::NoTrace, detail));
    }
    let (context, verdict) = (trail.context(), verdict(&trail.lines));
    let mut shown: Vec<String> = vec!["what the node believed:".to_owned()];
    shown.extend(context.iter().map(|line| format!("  {}", show(line))));
    shown.push("what became of the request:".to_owned());
    shown.extend(trail.lines.iter().map(|line| format!("  {}", show(line))));
    shown.extend(verdict.iter().map(|verdict| format!("result: {verdict}")));
    let value = json!({"before": context, "lines": trail.lines, "result": verdict});
    output.print(&shown.join("\n"), &value);
    Ok(())
}

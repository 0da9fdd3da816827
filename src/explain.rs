//! `explain`: reconstructs what happened to a request from the nodes' logs.
//!
//! Prints the log lines of the request, preceded by the state of the node that
//! wrote the first of them: its latest earlier lines about configuration,
//! settings, start, shutdown and store connections, and about the endpoints that
//! the request was sent to.
//!
//! Logs of older builds are read as well, so the matched messages and keys are
//! fixed.

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

/// Messages about the state of a node; a later line replaces an earlier one on the same subject.
const STATE_MESSAGES: [&str; 8] = [
    "configuration in force",
    "draining",
    "started",
    "store lost",
    "store reached",
    "settings read",
    "endpoint listed",
    "endpoint gone",
];
/// Keys that are not printed as `key=value`: printed before them, or equal in all lines of a
/// request.
const OMITTED_KEYS: [&str; 7] = ["msg", "ts", "level", "instance", "request", "event", "name"];

/// explain the outcome of a request from the nodes' logs
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Options {
    /// identifier of the request
    #[argh(positional)]
    request: String,
    /// log files of the nodes; standard input by default
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Latest log line on each subject from one node.
type NodeState = BTreeMap<Box<str>, Value>;

/// Log lines that matter to one request.
#[derive(Debug, Default)]
struct Trace {
    /// State by instance, as of the line read last.
    states: BTreeMap<Box<str>, NodeState>,
    /// Lines of the request.
    lines: Vec<Value>,
    /// State of the node that wrote the first line of the request, as of that line.
    state_before: Vec<Value>,
}

fn text<'a>(line: &'a Value, key: &str) -> &'a str {
    line[key].as_str().unwrap_or_default()
}

impl Trace {
    fn read(&mut self, source: impl Read, request: &str) -> std::io::Result<()> {
        for line in BufReader::new(source).lines() {
            let line = line?;
            // Log collectors may prefix the JSON object with a time or a node name.
            let object = line.find('{').map(|at| &line[at..]);
            if let Some(Ok(value)) = object.map(serde_json::from_str) {
                self.record(value, request);
            }
        }
        Ok(())
    }

    fn record(&mut self, line: Value, request: &str) {
        let instance: Box<str> = text(&line, "instance").into();
        if text(&line, "request") == request {
            if self.lines.is_empty() {
                let state = self.states.get(&instance);
                self.state_before = state.into_iter().flat_map(BTreeMap::values).cloned().collect();
            }
            self.lines.push(line);
            return;
        }
        let message = text(&line, "msg");
        if STATE_MESSAGES.contains(&message) {
            let subject = match message {
                "endpoint listed" | "endpoint gone" => text(&line, "endpoint").into(),
                "store lost" | "store reached" => format!("store {}", text(&line, "table")).into(),
                message => message.into(),
            };
            self.states.entry(instance).or_default().insert(subject, line);
        }
    }

    /// Node state relevant to the request, in time order; lines about an endpoint only if the
    /// request was sent there.
    fn context(&self) -> Vec<&Value> {
        let sent_to =
            |endpoint: &str| self.lines.iter().any(|line| text(line, "endpoint") == endpoint);
        let is_relevant = |line: &&Value| {
            let endpoint = text(line, "endpoint");
            endpoint.is_empty() || sent_to(endpoint)
        };
        let mut context: Vec<&Value> = self.state_before.iter().filter(is_relevant).collect();
        context.sort_by_key(|line| text(line, "ts").to_owned());
        context
    }
}

fn format_line(line: &Value) -> String {
    let entries = line.as_object().into_iter().flatten();
    let printed =
        entries.filter(|(key, value)| !OMITTED_KEYS.contains(&key.as_str()) && !value.is_null());
    let pairs: Vec<String> = printed.map(|(key, value)| format!("{key}={value}")).collect();
    let (time, instance) = (text(line, "ts"), text(line, "instance"));
    format!("{time} {instance} {}: {}", text(line, "msg"), pairs.join(" "))
}

/// Describes the last result code in the request's lines.
fn describe_result(lines: &[Value]) -> Option<String> {
    let number = lines.iter().rev().find_map(|line| line["code"].as_u64())?;
    let code = Code::ALL.iter().find(|code| u64::from(code.number()) == number)?;
    Some(format!("{number} {}: executed {}", code.title(), code.executed()))
}

/// Runs the command.
pub fn run(options: &Options, output: &Output) -> Result {
    let mut trace = Trace::default();
    let unreadable = |e: std::io::Error| Failure::new(Code::InvalidSettings, e);
    if options.logs.is_empty() {
        trace.read(std::io::stdin(), &options.request).map_err(unreadable)?;
    }
    for path in &options.logs {
        let unreadable = |e: std::io::Error| {
            Failure::new(Code::InvalidSettings, format!("{}: {e}", path.display()))
        };
        let file = std::fs::File::open(path).map_err(unreadable)?;
        trace.read(file, &options.request).map_err(unreadable)?;
    }
    if trace.lines.is_empty() {
        let detail = format!(
            "no log line for request {}: it reached no node, or its node ended before logging it",
            options.request
        );
        return Err(Failure::new(Code::NoTrace, detail));
    }
    let (context, result) = (trace.context(), describe_result(&trace.lines));
    let mut printed: Vec<String> = vec!["node state before the request:".to_owned()];
    printed.extend(context.iter().map(|line| format!("  {}", format_line(line))));
    printed.push("log lines of the request:".to_owned());
    printed.extend(trace.lines.iter().map(|line| format!("  {}", format_line(line))));
    printed.extend(result.iter().map(|result| format!("result: {result}")));
    let value = json!({"before": context, "lines": trace.lines, "result": result});
    output.print(&printed.join("\n"), &value);
    Ok(())
}

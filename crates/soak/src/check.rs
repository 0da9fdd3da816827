//! Checks of the guarantees on a record.
//!
//! Guarantees without a time limit hold for all nodes at all times. Those with
//! a time limit hold for nodes that have been undisturbed for some seconds, and
//! only while the store has been undisturbed as well.

use crate::record::{Call, Configuration, Kind, Outcome, Record, Run, Scope};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display},
    time::Duration,
};

/// Undisturbed time before a guarantee with a time limit holds; the platform's `stable_ms`.
const STABLE_TIME: Duration = Duration::from_secs(4);
/// Time until a configuration is in force; `config_apply_ms` of the nodes' settings.
const CONFIGURATION_DELAY: Duration = Duration::from_millis(2_500);
/// Time until a leaving worker receives no more requests; `drain_ms` of the nodes' settings.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);
/// Time until an endpoint stops working on an abandoned request.
const CANCELLATION_DELAY: Duration = Duration::from_millis(500);
/// Time past the timeout of a route by which the response must have arrived.
const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(500);
/// Timeout of every route.
pub const TIMEOUT: Duration = Duration::from_secs(3);
/// Number of events in every stream.
pub const STREAM_EVENTS: u64 = 25;
/// Maximum number of times that a request is dispatched.
pub const MAX_ATTEMPTS: usize = 2;
/// Retries allowed in [`RETRY_WINDOW`]: a fraction of the requests, plus a fixed number.
const RETRY_LIMIT: (f64, usize) = (0.2, 50);
/// Window in which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Rate of the organisation with a quota, in tokens per second.
pub const QUOTA_RATE: usize = 2_000;
/// Burst of that quota, in tokens.
pub const QUOTA_BURST: usize = 2_000;
/// Tokens that each request counts against the quota.
pub const REQUEST_TOKENS: usize = 200;
/// Window in which the quota is checked; the platform's `quota_window_s`.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// Allowed overshoot of the quota: a fraction of it (the platform's `quota_overshoot`), plus the
/// tokens of four seconds, which is the ratio of the platform's `quota_burst` to its lowest rate.
const QUOTA_OVERSHOOT: (f64, usize) = (0.1, 4 * QUOTA_RATE);
/// Crashes after which a request that crashes workers must be known.
const CRASHES: usize = 3;
/// Such requests that may reach workers later than [`STABLE_TIME`] after them.
const LATE_DEADLY: usize = 3;
/// Number of requests from which on their success rate counts.
const MIN_SAMPLE: usize = 20;
/// Headers reserved to the system, which must not reach a worker.
const RESERVED: [&str; 5] = ["x-api-key", "x-retention", "x-pin-ms", "x-kv-backup", "kv-from"];
/// Statuses that state that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Guarantee, by its name in the platform's rules.
    pub rule: &'static str,
    /// What was observed.
    pub detail: Box<str>,
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.detail)
    }
}

fn violation(rule: &'static str, detail: impl Into<Box<str>>) -> Violation {
    Violation { rule, detail: detail.into() }
}

/// Finds all violations in the record of a run.
#[must_use]
pub fn check(record: &Record) -> Vec<Violation> {
    let runs = record.runs_by_attempt();
    let mut violations = Vec::new();
    for call in &record.calls {
        let own = runs.get(&*call.attempt).map_or(&[][..], Vec::as_slice);
        violations.extend(check_response(call));
        violations.extend(check_refusal(record, call, own));
        violations.extend(check_runs(record, call, own));
        violations.extend(check_denial(record, call));
        violations.extend(check_loss(record, call, own));
        violations.extend(check_stale_configuration(record, call, own));
    }
    violations.extend(check_received(record));
    violations.extend(check_drains(record));
    violations.extend(check_abandoned(record, &runs));
    violations.extend(check_timeouts(record));
    violations.extend(check_retry_budget(record, &runs));
    violations.extend(check_quota(record));
    violations.extend(check_deadly(record));
    violations.extend(check_similar(record));
    violations.extend(record.failed_nodes.iter().map(|detail| violation("FAULT", detail.clone())));
    violations.extend(record.unrecovered.iter().map(|detail| violation("RECOVER", detail.clone())));
    violations
}

/// A successful response is the worker's complete response to this request; an incomplete one is a
/// prefix of it.
fn check_response(call: &Call) -> Option<Violation> {
    let Outcome::Responded { status, attempt, receipt, text, complete } = &call.outcome else {
        return None;
    };
    let id = &call.attempt;
    if attempt.as_deref().is_some_and(|named| named != &**id) {
        return Some(violation("MIXED", format!("{id}: the response names attempt {attempt:?}")));
    }
    if !(200..300).contains(status) {
        let forged = receipt.is_some() && *status != 500;
        return forged.then(|| violation("MIXED", format!("{id}: status {status} with a receipt")));
    }
    let Some(worker) = receipt.as_deref().and_then(|r| r.strip_suffix(&format!(".{id}"))) else {
        return Some(violation("MIXED", format!("{id}: receipt {receipt:?}")));
    };
    let expected = if call.kind.is_stream() {
        let event = |number: u64| format!("id: {number}\ndata: token {number}\n\n");
        (1..=STREAM_EVENTS).map(event).collect()
    } else {
        format!("answer to {id} by {worker}")
    };
    let correct = if *complete { **text == *expected } else { expected.starts_with(&**text) };
    let rule = if call.kind.is_stream() { "ORDER" } else { "MIXED" };
    (!correct).then(|| violation(rule, format!("{id}: complete: {complete}, body: {text:?}")))
}

/// A request that may run at most once never runs if its refusal states so.
fn check_refusal(record: &Record, call: &Call, runs: &[&Run]) -> Option<Violation> {
    let status = call.outcome.status()?;
    let is_false = !call.kind.is_repeatable() && NOT_RUN.contains(&status) && !runs.is_empty();
    is_false.then(|| violation("REFUSED", format!("{}: {}", call.attempt, record.trace(call))))
}

/// No request runs more often than its kind allows.
fn check_runs(record: &Record, call: &Call, runs: &[&Run]) -> Option<Violation> {
    let (rule, max) =
        if call.kind.is_repeatable() { ("BUDGET", MAX_ATTEMPTS) } else { ("TWICE", 1) };
    (runs.len() > max).then(|| violation(rule, format!("{}: {}", call.attempt, record.trace(call))))
}

/// Requests are never denied on routes and keys that every configuration contains, nor on others
/// while the configuration in force contains them.
fn check_denial(record: &Record, call: &Call) -> Option<Violation> {
    let permanent = !matches!(call.kind, Kind::Moving(_) | Kind::Withdrawn);
    let status = call.outcome.status()?;
    let denied = matches!(status, 400..=407 | 409..=420 | 422..=428 | 430..=499);
    if denied && permanent {
        return Some(violation("DENIED", format!("{}: status {status}", call.attempt)));
    }
    let settled = configuration_holds(record, call, |_| true)?;
    let wrong = denied && settled && allows(record, call);
    wrong.then(|| {
        violation(
            "CONFIG",
            format!(
                "{}: status {status}, though the configuration in force allows it",
                call.attempt
            ),
        )
    })
}

/// Whether a single configuration, stored at least [`CONFIGURATION_DELAY`] before a call and not
/// replaced until its end, satisfies `holds`, and the node was undisturbed; `None` if no
/// configuration was stored that early.
fn configuration_holds(
    record: &Record,
    call: &Call,
    holds: impl Fn(&Configuration) -> bool,
) -> Option<bool> {
    let last =
        record.configurations.iter().rfind(|c| c.from + CONFIGURATION_DELAY <= call.sent_at)?;
    let changed =
        record.configurations.iter().any(|c| c.from > last.from && c.from <= call.ended_at);
    let undisturbed =
        record.is_node_undisturbed(call.node, call.sent_at, call.ended_at, STABLE_TIME);
    Some(!changed && undisturbed && holds(last))
}

/// Whether the configuration in force throughout a call allows it.
fn allows(record: &Record, call: &Call) -> bool {
    let allowed = |configuration: &Configuration| match call.kind {
        Kind::Moving(prefix) => configuration.prefix == prefix,
        Kind::Withdrawn => configuration.key_valid,
        _ => true,
    };
    configuration_holds(record, call, allowed).unwrap_or(false)
}

/// Requests that a configuration no longer allows do not run once it must be in force.
fn check_stale_configuration(record: &Record, call: &Call, runs: &[&Run]) -> Option<Violation> {
    let settled = configuration_holds(record, call, |_| true).unwrap_or(false);
    let stale = settled && !allows(record, call) && !runs.is_empty();
    stale.then(|| {
        violation(
            "CONFIG",
            format!("{}: ran, though the configuration in force does not allow it", call.attempt),
        )
    })
}

/// A request that was dispatched to a working worker gets its response, unless it lasts until the
/// timeout or its node is disturbed by more than planned maintenance.
fn check_loss(record: &Record, call: &Call, runs: &[&Run]) -> Option<Violation> {
    let complete =
        matches!(call.outcome, Outcome::Responded { complete: true, .. } | Outcome::Abandoned);
    let last = runs.last()?;
    let timed_out = call.ended_at - call.sent_at >= TIMEOUT;
    if complete || timed_out {
        return None;
    }
    let affects = |scope| match scope {
        Scope::Node(node) => node == call.node,
        Scope::Worker(worker) => runs.iter().any(|run| run.worker == worker),
        Scope::Planned(_) | Scope::Store => false,
    };
    let undisturbed =
        record.is_undisturbed(affects, call.sent_at.saturating_sub(STABLE_TIME), call.ended_at);
    let detail =
        || format!("{}: ended without its response from worker {}", call.attempt, last.worker);
    undisturbed.then(|| violation("LOST", detail()))
}

/// Workers receive only requests that callers sent, unchanged, with the organisation that owns the
/// API key, and at the service that the route leads to.
fn check_received(record: &Record) -> Vec<Violation> {
    let calls: BTreeMap<&str, &Call> = record.calls.iter().map(|c| (&*c.attempt, c)).collect();
    let wrong = |run: &Run| {
        let request = &run.request;
        let Some(call) = calls.get(&*request.attempt) else {
            return Some(violation("UNASKED", format!("{}: no caller sent it", request.attempt)));
        };
        let unchanged = request.request_line == format!("{} HTTP/1.1", call.request_line)
            && *request.body == *call.body;
        let organisation = request.headers.get("x-tenant").map(String::as_str);
        let reserved = RESERVED.iter().any(|name| request.headers.contains_key(*name));
        if !unchanged || organisation != Some(call.organisation) || reserved {
            let detail =
                format!("{}: {} {:?}", call.attempt, request.request_line, request.headers);
            return Some(violation("UNASKED", detail));
        }
        let elsewhere = run.service != call.kind.service();
        elsewhere.then(|| {
            violation("ROUTE", format!("{}: ran at service {}", call.attempt, run.service))
        })
    };
    record.runs.iter().filter_map(wrong).collect()
}

/// Draining workers receive no more requests after [`DRAIN_DELAY`].
fn check_drains(record: &Record) -> Vec<Violation> {
    let calls: BTreeMap<&str, &Call> = record.calls.iter().map(|c| (&*c.attempt, c)).collect();
    let late = |run: &Run| {
        let call = calls.get(&*run.request.attempt)?;
        let drain = record.drains.iter().find(|drain| {
            drain.worker == run.worker
                && run.started_at > drain.from + DRAIN_DELAY
                && drain.until.is_none_or(|until| run.started_at < until)
        })?;
        let undisturbed =
            record.is_node_undisturbed(call.node, drain.from, run.started_at, STABLE_TIME);
        let after = run.started_at.saturating_sub(drain.from);
        let detail = || {
            format!(
                "{}: ran at worker {}, {after:?} after it began to drain",
                call.attempt, run.worker
            )
        };
        undisturbed.then(|| violation("DRAIN", detail()))
    };
    record.runs.iter().filter_map(late).collect()
}

/// Workers stop soon on abandoned streams; up to a quarter of these, and three in any case, may
/// continue.
fn check_abandoned(record: &Record, runs: &BTreeMap<&str, Vec<&Run>>) -> Option<Violation> {
    let mut abandoned = 0;
    let mut continued: Vec<&str> = Vec::new();
    for call in
        record.calls.iter().filter(|c| c.outcome == Outcome::Abandoned && c.kind.is_stream())
    {
        let until = call.ended_at + CANCELLATION_DELAY;
        let own = runs.get(&*call.attempt).map_or(&[][..], Vec::as_slice);
        let working = |run: &&&Run| {
            record.is_undisturbed(|s| s == Scope::Worker(run.worker), run.started_at, until)
        };
        let Some(run) = own.last().filter(working) else { continue };
        if !record.is_node_undisturbed(call.node, call.sent_at, until, STABLE_TIME) {
            continue;
        }
        abandoned += 1;
        if run.disconnected_at.is_none_or(|at| at > until) {
            continued.push(&call.attempt);
        }
    }
    let few = continued.len() <= 3 || continued.len() * 4 <= abandoned;
    (!few).then(|| {
        violation(
            "GONE",
            format!(
                "{} of {abandoned} abandoned streams continued: {continued:?}",
                continued.len()
            ),
        )
    })
}

/// Responses arrive within the timeout of the route; up to seven responses may be late.
fn check_timeouts(record: &Record) -> Option<Violation> {
    let late = |call: &&Call| {
        call.ended_at - call.sent_at > TIMEOUT + TIMEOUT_TOLERANCE
            && record.is_node_undisturbed(call.node, call.sent_at, call.ended_at, STABLE_TIME)
    };
    let late: Vec<&str> = record.calls.iter().filter(late).map(|call| &*call.attempt).collect();
    (late.len() >= 8).then(|| violation("CONFIG", format!("ended after the timeout: {late:?}")))
}

/// Largest sum, in any window, of `counts` that are given with their times; returns the end of that
/// window and the sum.
fn max_in_window(mut counts: Vec<(Duration, usize)>, window: Duration) -> (Duration, usize) {
    counts.sort_unstable();
    let mut max = (Duration::ZERO, 0);
    let mut sum = 0;
    let mut first = 0;
    for (at, count) in counts.iter().copied() {
        sum += count;
        while counts[first].0 + window < at {
            sum -= counts[first].1;
            first += 1;
        }
        if sum > max.1 {
            max = (at, sum);
        }
    }
    max
}

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of one run"
)]
fn fraction_of(count: usize, fraction: f64) -> usize {
    (count as f64 * fraction) as usize
}

/// In no window do the retries at a service exceed the limit, which follows from the largest number
/// of requests to that service in any window.
fn check_retry_budget(record: &Record, runs: &BTreeMap<&str, Vec<&Run>>) -> Vec<Violation> {
    let services: BTreeSet<&str> = record.runs.iter().map(|run| run.service).collect();
    let over = |service: &str| {
        let retries = runs.values().flat_map(|own| own.iter().skip(1));
        let retries =
            retries.filter(|run| run.service == service).map(|run| (run.started_at, 1)).collect();
        let calls = record.calls.iter().filter(|call| call.kind.service() == service);
        let (_, requests) =
            max_in_window(calls.map(|call| (call.sent_at, 1)).collect(), RETRY_WINDOW);
        let (at, retries) = max_in_window(retries, RETRY_WINDOW);
        let max = fraction_of(requests, RETRY_LIMIT.0) + RETRY_LIMIT.1;
        let detail = || format!("{retries} retries at {service} until {at:?}, {max} allowed");
        (retries > max).then(|| violation("BUDGET", detail()))
    };
    services.into_iter().filter_map(over).collect()
}

/// The tokens of the organisation with a quota stay within it in every window; each request counts
/// once.
fn check_quota(record: &Record) -> Option<Violation> {
    let metered: BTreeSet<&str> = record
        .calls
        .iter()
        .filter(|call| call.kind == Kind::Metered)
        .map(|call| &*call.attempt)
        .collect();
    let counts: BTreeMap<&str, Duration> = record
        .runs
        .iter()
        .filter(|run| metered.contains(&*run.request.attempt))
        .map(|run| (&*run.request.attempt, run.started_at))
        .collect();
    let counts = counts.into_values().map(|at| (at, REQUEST_TOKENS)).collect();
    let (at, tokens) = max_in_window(counts, QUOTA_WINDOW);
    let seconds = usize::try_from(QUOTA_WINDOW.as_secs()).unwrap_or(usize::MAX);
    let limit = QUOTA_RATE * seconds + QUOTA_BURST;
    let max = limit + fraction_of(limit, QUOTA_OVERSHOOT.0) + QUOTA_OVERSHOOT.1;
    (tokens > max)
        .then(|| violation("QUOTA", format!("{tokens} tokens until {at:?}, {max} allowed")))
}

/// Few requests that crash workers reach these, sent by undisturbed nodes, once the crashes must be
/// known.
fn check_deadly(record: &Record) -> Option<Violation> {
    let known = *record.crashes.get(CRASHES - 1)? + STABLE_TIME;
    let calls = record.calls.iter().filter(|call| call.kind == Kind::Deadly);
    let calls: BTreeMap<&str, &Call> = calls.map(|call| (&*call.attempt, call)).collect();
    let is_late = |run: &&Run| {
        run.started_at > known
            && calls.get(&*run.request.attempt).is_some_and(|call| {
                record.is_node_undisturbed(call.node, call.sent_at, run.started_at, STABLE_TIME)
            })
    };
    let late = record.runs.iter().filter(is_late);
    let late: BTreeSet<&str> = late.map(|run| &*run.request.attempt).collect();
    let detail = || format!("{late:?} crashed workers after {known:?}");
    (late.len() > LATE_DEADLY).then(|| violation("BUDGET", detail()))
}

/// Sound requests that resemble a deadly one are served at least half as often as others at
/// undisturbed nodes.
fn check_similar(record: &Record) -> Option<Violation> {
    let known = *record.crashes.get(CRASHES - 1)? + 2 * STABLE_TIME;
    let last = record.calls.iter().filter(|call| call.kind == Kind::Similar);
    let last = last.map(|call| call.sent_at).max()?;
    let count = |kind: Kind| {
        let calls = record.calls.iter().filter(|call| {
            call.kind == kind
                && (known..=last).contains(&call.sent_at)
                && record.is_node_undisturbed(call.node, call.sent_at, call.ended_at, STABLE_TIME)
        });
        calls.fold((0, 0), |(sent, served), call| {
            (sent + 1, served + usize::from(call.outcome.status() == Some(200)))
        })
    };
    let ((similar, similar_served), (other, other_served)) =
        (count(Kind::Similar), count(Kind::Safe));
    let too_few = 2 * similar_served * other < other_served * similar;
    let detail = || {
        format!(
            "{similar_served} of {similar} sound requests that resemble a deadly one served, {other_served} of {other} others"
        )
    };
    (similar.min(other) >= MIN_SAMPLE && too_few).then(|| violation("LOST", detail()))
}

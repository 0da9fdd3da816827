//! The promises, checked on a record.
//!
//! Promises without a time limit hold for all nodes at all times. Those with
//! one hold for nodes that were in touch: calm for some seconds before, and the
//! store with them.

use crate::record::{Call, Kind, Outcome, Record, Rules, Run, Scope};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display},
    time::Duration,
};

/// Calm before a promise with a time limit holds; `stable_ms` of the platform.
const STABLE: Duration = Duration::from_secs(4);
/// Time until a configuration is in force; `config_apply_ms`.
const IN_FORCE: Duration = Duration::from_secs(4);
/// Time until a leaving worker gets nothing more; `drain_ms`.
const DRAIN: Duration = Duration::from_secs(4);
/// Time until an endpoint stops working for a caller that left.
const ABANDON: Duration = Duration::from_millis(500);
/// Time beyond a route's timeout until which an answer must have come.
const LATE: Duration = Duration::from_millis(500);
/// Timeout of every route.
pub const TIMEOUT: Duration = Duration::from_secs(3);
/// Events of every stream.
pub const EVENTS: u64 = 25;
/// Sends of a request, at most.
pub const ATTEMPTS: usize = 2;
/// Repeats allowed in [`REPEATS_WINDOW`]: a part of the requests, and a number beside.
const REPEATS: (f64, usize) = (0.2, 50);
/// Window of the repeats.
const REPEATS_WINDOW: Duration = Duration::from_secs(10);
/// Tokens a second of the organisation with an allotment.
pub const RATE: usize = 2_000;
/// Its burst, in tokens.
pub const BURST: usize = 2_000;
/// Tokens of each of its requests.
pub const COST: usize = 200;
/// Window of the allotment; `quota_window_s`.
const ALLOTMENT_WINDOW: Duration = Duration::from_secs(8);
/// Overshoot: a part (`quota_overshoot`), and as many tokens as four seconds bring, which is what
/// `quota_burst` is to the least rate on the platform.
const OVERSHOOT: (f64, usize) = (0.1, 4 * RATE);
/// Headers that only the system may set.
const RESERVED: [&str; 5] = ["x-api-key", "x-retention", "x-pin-ms", "x-kv-backup", "kv-from"];
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// Promise, by the name that the platform's rules have for it.
    pub rule: &'static str,
    /// What was seen.
    pub seen: Box<str>,
}

impl Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.seen)
    }
}

fn breach(rule: &'static str, seen: impl Into<Box<str>>) -> Breach {
    Breach { rule, seen: seen.into() }
}

/// All broken promises of a run.
#[must_use]
pub fn check(record: &Record) -> Vec<Breach> {
    let runs = record.runs_by_attempt();
    let mut found = Vec::new();
    for call in &record.calls {
        let own = runs.get(&*call.attempt).map_or(&[][..], Vec::as_slice);
        found.extend(answer(call));
        found.extend(refusal(call, own));
        found.extend(repeats(call, own));
        found.extend(denial(record, call));
        found.extend(loss(record, call, own));
        found.extend(stale_rules(record, call, own));
    }
    found.extend(strangers(record));
    found.extend(drains(record));
    found.extend(abandoned(record, &runs));
    found.extend(lateness(record));
    found.extend(retry_budget(record, &runs));
    found.extend(allotment(record));
    found.extend(record.broken_nodes.iter().map(|seen| breach("FAULT", seen.clone())));
    found.extend(record.unrecovered.iter().map(|seen| breach("RECOVER", seen.clone())));
    found
}

/// A success is the worker's whole answer to this request; a part of a stream is its begin.
fn answer(call: &Call) -> Option<Breach> {
    let Outcome::Answered { status, attempt, receipt, text, whole } = &call.outcome else {
        return None;
    };
    let id = &call.attempt;
    if attempt.as_deref().is_some_and(|named| named != &**id) {
        return Some(breach("MIXED", format!("{id}: answer names {attempt:?}")));
    }
    if !(200..300).contains(status) {
        let forged = receipt.is_some() && *status != 500;
        return forged.then(|| breach("MIXED", format!("{id}: {status} with a receipt")));
    }
    let Some(worker) = receipt.as_deref().and_then(|r| r.strip_suffix(&format!(".{id}"))) else {
        return Some(breach("MIXED", format!("{id}: receipt {receipt:?}")));
    };
    let expected = if call.kind.is_stream() {
        let event = |number: u64| format!("id: {number}\ndata: token {number}\n\n");
        (1..=EVENTS).map(event).collect()
    } else {
        format!("answer to {id} by {worker}")
    };
    let right = if *whole { **text == *expected } else { expected.starts_with(&**text) };
    let rule = if call.kind.is_stream() { "ORDER" } else { "MIXED" };
    (!right).then(|| breach(rule, format!("{id}: whole {whole}, {text:?}")))
}

fn refusal(call: &Call, runs: &[&Run]) -> Option<Breach> {
    let status = call.outcome.status()?;
    let untrue = !call.kind.is_repeatable() && NOT_RUN.contains(&status) && !runs.is_empty();
    untrue.then(|| breach("REFUSED", format!("{}: {status}, and it ran", call.attempt)))
}

fn repeats(call: &Call, runs: &[&Run]) -> Option<Breach> {
    let (rule, most) = if call.kind.is_repeatable() { ("BUDGET", ATTEMPTS) } else { ("TWICE", 1) };
    (runs.len() > most).then(|| breach(rule, format!("{}: {} runs", call.attempt, runs.len())))
}

/// Routes and keys that every configuration has are never denied.
fn denial(record: &Record, call: &Call) -> Option<Breach> {
    let always = !matches!(call.kind, Kind::Moving(_) | Kind::Withdrawn);
    let status = call.outcome.status()?;
    let denied = matches!(status, 400..=407 | 409..=420 | 422..=428 | 430..=499);
    if denied && always {
        return Some(breach("DENIED", format!("{}: {status}", call.attempt)));
    }
    let since = rules_of(record, call, |_| true)?;
    let due = denied && since && allows(record, call);
    due.then(|| breach("CONFIG", format!("{}: {status}, though in force", call.attempt)))
}

/// Whether one configuration held from [`IN_FORCE`] before a call to its end, at a node in touch.
fn rules_of(record: &Record, call: &Call, holds: impl Fn(&Rules) -> bool) -> Option<bool> {
    let last = record.rules.iter().rfind(|rules| rules.from + IN_FORCE <= call.sent)?;
    let changed = record.rules.iter().any(|r| r.from > last.from && r.from <= call.ended);
    let in_touch = record.in_touch(call.node, call.sent, call.ended, STABLE);
    Some(!changed && in_touch && holds(last))
}

fn allows(record: &Record, call: &Call) -> bool {
    let allowed = |rules: &Rules| match call.kind {
        Kind::Moving(prefix) => rules.prefix == prefix,
        Kind::Withdrawn => rules.key,
        _ => true,
    };
    rules_of(record, call, allowed).unwrap_or(false)
}

/// What a configuration dropped does not run once the next one must be in force.
fn stale_rules(record: &Record, call: &Call, runs: &[&Run]) -> Option<Breach> {
    let settled = rules_of(record, call, |_| true).unwrap_or(false);
    let stale = settled && !allows(record, call) && !runs.is_empty();
    stale.then(|| breach("CONFIG", format!("{}: ran, though dropped", call.attempt)))
}

/// A request that was passed on to a sound worker is answered, at nodes that are calm or at work
/// that was planned.
fn loss(record: &Record, call: &Call, runs: &[&Run]) -> Option<Breach> {
    let whole = matches!(call.outcome, Outcome::Answered { whole: true, .. } | Outcome::Left);
    let last = runs.last()?;
    let over = call.ended - call.sent >= TIMEOUT;
    if whole || over {
        return None;
    }
    let touches = |scope| match scope {
        Scope::Node(node) => node == call.node,
        Scope::Worker(seat) => runs.iter().any(|run| run.seat == seat),
        Scope::Planned(_) | Scope::Store => false,
    };
    let calm = record.is_calm(touches, call.sent.saturating_sub(STABLE), call.ended);
    let seen = || format!("{}: ended without its answer, worker {}", call.attempt, last.seat);
    calm.then(|| breach("LOST", seen()))
}

/// Workers run only what callers sent, unchanged, for the organisation that holds the key, at a
/// service that its route leads to.
fn strangers(record: &Record) -> Vec<Breach> {
    let calls: BTreeMap<&str, &Call> = record.calls.iter().map(|c| (&*c.attempt, c)).collect();
    let strange = |run: &Run| {
        let request = &run.request;
        let Some(call) = calls.get(&*request.attempt) else {
            return Some(breach("UNASKED", format!("{}: nobody sent it", request.attempt)));
        };
        let kept = request.request_line == format!("{} HTTP/1.1", call.line)
            && *request.body == *call.body;
        let organisation = request.headers.get("x-tenant").map(String::as_str);
        let reserved = RESERVED.iter().any(|name| request.headers.contains_key(*name));
        if !kept || organisation != Some(call.organisation) || reserved {
            let seen = format!("{}: {} {:?}", call.attempt, request.request_line, request.headers);
            return Some(breach("UNASKED", seen));
        }
        let elsewhere = run.service != call.kind.service();
        elsewhere.then(|| breach("ROUTE", format!("{}: ran at {}", call.attempt, run.service)))
    };
    record.runs.iter().filter_map(strange).collect()
}

fn drains(record: &Record) -> Vec<Breach> {
    let calls: BTreeMap<&str, &Call> = record.calls.iter().map(|c| (&*c.attempt, c)).collect();
    let late = |run: &Run| {
        let call = calls.get(&*run.request.attempt)?;
        let leaving = record.leavings.iter().find(|leaving| {
            leaving.seat == run.seat
                && run.at > leaving.from + DRAIN
                && leaving.until.is_none_or(|until| run.at < until)
        })?;
        let in_touch = record.in_touch(call.node, leaving.from, run.at, STABLE);
        let after = run.at.saturating_sub(leaving.from);
        let seen = || format!("{}: worker {} after {after:?}", call.attempt, run.seat);
        in_touch.then(|| breach("DRAIN", seen()))
    };
    record.runs.iter().filter_map(late).collect()
}

/// Work for callers that left ends soon; a quarter may go on.
fn abandoned(record: &Record, runs: &BTreeMap<&str, Vec<&Run>>) -> Option<Breach> {
    let mut left = 0;
    let mut at_work: Vec<&str> = Vec::new();
    for call in record.calls.iter().filter(|c| c.outcome == Outcome::Left && c.kind.is_stream()) {
        let until = call.ended + ABANDON;
        let own = runs.get(&*call.attempt).map_or(&[][..], Vec::as_slice);
        let sound = |run: &&&Run| record.is_calm(|s| s == Scope::Worker(run.seat), run.at, until);
        let Some(run) = own.last().filter(sound) else { continue };
        if !record.in_touch(call.node, call.sent, until, STABLE) {
            continue;
        }
        left += 1;
        if run.cut.is_none_or(|cut| cut > until) {
            at_work.push(&call.attempt);
        }
    }
    let few = at_work.len() <= 3 || at_work.len() * 4 <= left;
    (!few).then(|| breach("GONE", format!("{} of {left}: {at_work:?}", at_work.len())))
}

fn lateness(record: &Record) -> Option<Breach> {
    let late = |call: &&Call| {
        call.ended - call.sent > TIMEOUT + LATE
            && record.in_touch(call.node, call.sent, call.ended, STABLE)
    };
    let late: Vec<&str> = record.calls.iter().filter(late).map(|call| &*call.attempt).collect();
    (late.len() >= 8).then(|| breach("CONFIG", format!("late beyond the timeout: {late:?}")))
}

/// Most of `counts` in any window, each count at its time.
fn most_in(mut counts: Vec<(Duration, usize)>, window: Duration) -> (Duration, usize) {
    counts.sort_unstable();
    let mut most = (Duration::ZERO, 0);
    let mut sum = 0;
    let mut first = 0;
    for (at, count) in counts.iter().copied() {
        sum += count;
        while counts[first].0 + window < at {
            sum -= counts[first].1;
            first += 1;
        }
        if sum > most.1 {
            most = (at, sum);
        }
    }
    most
}

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of one run"
)]
fn part(of: usize, part: f64) -> usize {
    (of as f64 * part) as usize
}

/// Repeats of a service in any window stay within a part of the most requests of a window.
fn retry_budget(record: &Record, runs: &BTreeMap<&str, Vec<&Run>>) -> Vec<Breach> {
    let services: BTreeSet<&str> = record.runs.iter().map(|run| run.service).collect();
    let over = |service: &str| {
        let again = runs.values().flat_map(|own| own.iter().skip(1));
        let again = again.filter(|run| run.service == service).map(|run| (run.at, 1)).collect();
        let of = record.calls.iter().filter(|call| call.kind.service() == service);
        let (_, requests) = most_in(of.map(|call| (call.sent, 1)).collect(), REPEATS_WINDOW);
        let (at, repeats) = most_in(again, REPEATS_WINDOW);
        let most = part(requests, REPEATS.0) + REPEATS.1;
        let seen = || format!("{repeats} repeats at {service} until {at:?}, {most} allowed");
        (repeats > most).then(|| breach("BUDGET", seen()))
    };
    services.into_iter().filter_map(over).collect()
}

fn allotment(record: &Record) -> Option<Breach> {
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
        .map(|run| (&*run.request.attempt, run.at))
        .collect();
    let counts = counts.into_values().map(|at| (at, COST)).collect();
    let (at, tokens) = most_in(counts, ALLOTMENT_WINDOW);
    let seconds = usize::try_from(ALLOTMENT_WINDOW.as_secs()).unwrap_or(usize::MAX);
    let limit = RATE * seconds + BURST;
    let most = limit + part(limit, OVERSHOOT.0) + OVERSHOOT.1;
    (tokens > most).then(|| breach("QUOTA", format!("{tokens} until {at:?}, {most} allowed")))
}

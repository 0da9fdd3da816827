//! Records without violations pass the checks, and violations are found by their rules.

use fake_host::worker;
use soak::{
    check::{MAX_ATTEMPTS, QUOTA_BURST, QUOTA_RATE, REQUEST_TOKENS, STREAM_EVENTS, check},
    record::{Call, Configuration, Disturbance, Drain, Kind, Outcome, Prefix, Record, Run, Scope},
};
use std::{collections::BTreeMap, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

fn response_text(kind: Kind, attempt: &str) -> Box<str> {
    if kind.is_stream() {
        let event = |number| format!("id: {number}\ndata: token {number}\n\n");
        return (1..=STREAM_EVENTS).map(event).collect::<String>().into();
    }
    format!("answer to {attempt} by w").into()
}

fn call(kind: Kind, attempt: &str, sent_at: Duration) -> Call {
    Call {
        attempt: attempt.into(),
        kind,
        node: 0,
        organisation: "org",
        request_line: "GET /".into(),
        body: Box::default(),
        sent_at,
        ended_at: sent_at + SECOND / 10,
        outcome: Outcome::Responded {
            status: 200,
            attempt: Some(attempt.into()),
            receipt: Some(format!("w.{attempt}").into()),
            text: response_text(kind, attempt),
            complete: true,
        },
    }
}

fn refused(status: u16) -> Outcome {
    Outcome::Responded {
        status,
        attempt: None,
        receipt: None,
        text: Box::default(),
        complete: true,
    }
}

fn run(kind: Kind, attempt: &str, started_at: Duration) -> Run {
    Run {
        worker: 0,
        service: kind.service(),
        request: worker::Run {
            attempt: attempt.to_owned(),
            request_line: "GET / HTTP/1.1".to_owned(),
            headers: BTreeMap::from([("x-tenant".to_owned(), "org".to_owned())]),
            body: Vec::new(),
            started_at: std::time::Instant::now(),
            ended_at: None,
            bad: false,
            disconnected_at: None,
        },
        started_at,
        disconnected_at: None,
    }
}

/// Record of one request without violations.
fn valid_record(kind: Kind) -> Record {
    let configuration =
        Configuration { from: Duration::ZERO, prefix: Prefix::Here, key_valid: true };
    Record {
        calls: vec![call(kind, "a", 10 * SECOND)],
        runs: vec![run(kind, "a", 10 * SECOND)],
        configurations: vec![configuration],
        ..Record::default()
    }
}

fn violated_rules(record: &Record) -> Vec<&'static str> {
    check(record).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn sound_requests_break_nothing() {
    let kinds = [Kind::Safe, Kind::Once, Kind::Stream, Kind::Resume, Kind::Metered];
    for kind in kinds {
        assert!(violated_rules(&valid_record(kind)).is_empty(), "{kind:?}");
    }
}

#[test]
fn answers_of_others_and_torn_streams_are_found() {
    let mut record = valid_record(Kind::Safe);
    record.calls[0].outcome = call(Kind::Safe, "b", SECOND).outcome;
    assert_eq!(violated_rules(&record), ["MIXED"]);
    let mut record = valid_record(Kind::Stream);
    if let Outcome::Responded { text, .. } = &mut record.calls[0].outcome {
        *text = text.replace("id: 2\n", "id: 3\n").into();
    }
    assert_eq!(violated_rules(&record), ["ORDER"]);
}

#[test]
fn second_runs_and_untrue_refusals_are_found() {
    let mut record = valid_record(Kind::Once);
    record.runs.push(run(Kind::Once, "a", 11 * SECOND));
    assert_eq!(violated_rules(&record), ["TWICE"]);
    let mut record = valid_record(Kind::Once);
    record.calls[0].outcome = refused(503);
    assert_eq!(violated_rules(&record), ["REFUSED"]);
    let mut record = valid_record(Kind::Safe);
    let again =
        |n: usize| run(Kind::Safe, "a", 11 * SECOND + SECOND * u32::try_from(n).unwrap_or(0));
    record.runs.extend((0..MAX_ATTEMPTS).map(again));
    assert_eq!(violated_rules(&record), ["BUDGET"]);
}

#[test]
fn strange_runs_are_found() {
    let mut record = valid_record(Kind::Safe);
    record.runs[0].request.headers.insert("x-api-key".to_owned(), "k".to_owned());
    assert_eq!(violated_rules(&record), ["UNASKED"]);
    let mut record = valid_record(Kind::Safe);
    record.runs[0].service = "desk";
    assert_eq!(violated_rules(&record), ["ROUTE"]);
    let mut record = valid_record(Kind::Safe);
    record.runs.push(run(Kind::Safe, "nobody's", SECOND));
    assert_eq!(violated_rules(&record), ["UNASKED"]);
}

#[test]
fn stale_rules_and_denials_are_found_at_nodes_in_touch_only() {
    let mut record = valid_record(Kind::Moving(Prefix::There));
    assert_eq!(violated_rules(&record), ["CONFIG"], "ran, though no longer allowed");
    let disturbance =
        Disturbance { scope: Scope::Node(0), from: 7 * SECOND, until: Some(8 * SECOND) };
    record.disturbances.push(disturbance);
    assert!(violated_rules(&record).is_empty());
    let mut record = valid_record(Kind::Withdrawn);
    record.runs.clear();
    record.calls[0].outcome = refused(401);
    assert_eq!(violated_rules(&record), ["CONFIG"], "denied, though allowed");
    let mut record = valid_record(Kind::Safe);
    record.runs.clear();
    record.calls[0].outcome = refused(404);
    assert_eq!(violated_rules(&record), ["DENIED"]);
}

#[test]
fn lost_answers_and_leaving_workers_are_found() {
    let mut record = valid_record(Kind::Once);
    record.calls[0].outcome = Outcome::Closed;
    assert_eq!(violated_rules(&record), ["LOST"]);
    let fault = Disturbance { scope: Scope::Worker(0), from: 9 * SECOND, until: None };
    record.disturbances.push(fault);
    assert!(violated_rules(&record).is_empty());
    let mut record = valid_record(Kind::Safe);
    record.drains.push(Drain { worker: 0, from: 5 * SECOND, until: None });
    assert_eq!(violated_rules(&record), ["DRAIN"]);
}

#[test]
fn abandoned_work_is_found() {
    let mut record = valid_record(Kind::Stream);
    record.calls.clear();
    record.runs.clear();
    for number in 0..8 {
        let attempt = format!("a{number}");
        let mut abandoned = call(Kind::Stream, &attempt, 10 * SECOND);
        abandoned.outcome = Outcome::Abandoned;
        record.calls.push(abandoned);
        record.runs.push(run(Kind::Stream, &attempt, 10 * SECOND));
    }
    assert_eq!(violated_rules(&record), ["GONE"]);
    for run in &mut record.runs {
        run.disconnected_at = Some(10 * SECOND + SECOND / 5);
    }
    assert!(violated_rules(&record).is_empty());
}

#[test]
fn allotment_is_counted_over_a_sliding_window() {
    let mut record = valid_record(Kind::Metered);
    let limit = (QUOTA_RATE * 8 + QUOTA_BURST) * 11 / 10 + 4 * QUOTA_RATE;
    for number in 0..limit / REQUEST_TOKENS {
        let attempt = format!("m{number}");
        record.calls.push(call(Kind::Metered, &attempt, 10 * SECOND));
        record.runs.push(run(Kind::Metered, &attempt, 10 * SECOND));
    }
    assert_eq!(violated_rules(&record), ["QUOTA"]);
}

/// Record of requests that are sent every second, all of which run.
fn record_of(requests: impl Iterator<Item = (Kind, u32)>) -> Record {
    let mut record = valid_record(Kind::Safe);
    for (kind, second) in requests {
        let (attempt, at) = (format!("{kind:?}-{second}"), SECOND * second);
        record.calls.push(call(kind, &attempt, at));
        record.runs.push(run(kind, &attempt, at));
    }
    record
}

#[test]
fn deadly_requests_that_come_late_are_found() {
    let mut record = record_of((1..12).map(|second| (Kind::Deadly, second)));
    record.crashes = vec![SECOND, 2 * SECOND];
    assert!(violated_rules(&record).is_empty(), "two crashes");
    // Four of them were sent later than 7 s.
    record.crashes.push(3 * SECOND);
    assert_eq!(violated_rules(&record), ["BUDGET"]);
    let disturbance =
        Disturbance { scope: Scope::Node(0), from: 11 * SECOND, until: Some(11 * SECOND) };
    record.disturbances.push(disturbance);
    assert!(
        violated_rules(&record).is_empty(),
        "the last one, of a disturbed node, does not count"
    );
}

#[test]
fn sound_requests_that_are_held_back_are_found() {
    let kinds = [Kind::Similar, Kind::Safe];
    let requests = kinds.into_iter().flat_map(|kind| (10..40).map(move |second| (kind, second)));
    let mut record = record_of(requests);
    record.crashes = vec![SECOND; 3];
    assert!(violated_rules(&record).is_empty());
    let similar = record.calls.iter_mut().filter(|call| call.kind == Kind::Similar);
    for call in similar.take(16) {
        call.outcome = refused(503);
    }
    assert_eq!(violated_rules(&record), ["LOST"]);
}

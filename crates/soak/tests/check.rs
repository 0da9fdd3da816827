//! Each promise is seen to be broken in a record that breaks it.

use fake_host::worker;
use soak::{
    check::{ATTEMPTS, BURST, COST, EVENTS, RATE, check},
    record::{Call, Disturbance, Kind, Leaving, Outcome, Prefix, Record, Rules, Run, Scope},
};
use std::{collections::BTreeMap, time::Duration};

const S: Duration = Duration::from_secs(1);

fn answer(kind: Kind, attempt: &str) -> Box<str> {
    if kind.is_stream() {
        let event = |number| format!("id: {number}\ndata: token {number}\n\n");
        return (1..=EVENTS).map(event).collect::<String>().into();
    }
    format!("answer to {attempt} by w").into()
}

fn call(kind: Kind, attempt: &str, sent: Duration) -> Call {
    Call {
        attempt: attempt.into(),
        kind,
        node: 0,
        organisation: "org",
        line: "GET /".into(),
        body: Box::default(),
        sent,
        ended: sent + S / 10,
        outcome: Outcome::Answered {
            status: 200,
            attempt: Some(attempt.into()),
            receipt: Some(format!("w.{attempt}").into()),
            text: answer(kind, attempt),
            whole: true,
        },
    }
}

fn refused(status: u16) -> Outcome {
    Outcome::Answered { status, attempt: None, receipt: None, text: Box::default(), whole: true }
}

fn run(kind: Kind, attempt: &str, at: Duration) -> Run {
    Run {
        seat: 0,
        service: kind.service(),
        request: worker::Run {
            attempt: attempt.to_owned(),
            request_line: "GET / HTTP/1.1".to_owned(),
            headers: BTreeMap::from([("x-tenant".to_owned(), "org".to_owned())]),
            body: Vec::new(),
            started_at: std::time::Instant::now(),
            disconnected_at: None,
        },
        at,
        cut: None,
    }
}

/// One request that keeps every promise.
fn sound(kind: Kind) -> Record {
    let rules = Rules { from: Duration::ZERO, prefix: Prefix::Here, key: true };
    Record {
        calls: vec![call(kind, "a", 10 * S)],
        runs: vec![run(kind, "a", 10 * S)],
        rules: vec![rules],
        ..Record::default()
    }
}

fn broken(record: &Record) -> Vec<&'static str> {
    check(record).into_iter().map(|breach| breach.rule).collect()
}

#[test]
fn sound_requests_break_nothing() {
    let kinds = [Kind::Safe, Kind::Once, Kind::Stream, Kind::Resume, Kind::Metered];
    for kind in kinds {
        assert!(broken(&sound(kind)).is_empty(), "{kind:?}");
    }
}

#[test]
fn answers_of_others_and_torn_streams_are_found() {
    let mut record = sound(Kind::Safe);
    record.calls[0].outcome = call(Kind::Safe, "b", S).outcome;
    assert_eq!(broken(&record), ["MIXED"]);
    let mut record = sound(Kind::Stream);
    if let Outcome::Answered { text, .. } = &mut record.calls[0].outcome {
        *text = text.replace("id: 2\n", "id: 3\n").into();
    }
    assert_eq!(broken(&record), ["ORDER"]);
}

#[test]
fn second_runs_and_untrue_refusals_are_found() {
    let mut record = sound(Kind::Once);
    record.runs.push(run(Kind::Once, "a", 11 * S));
    assert_eq!(broken(&record), ["TWICE"]);
    let mut record = sound(Kind::Once);
    record.calls[0].outcome = refused(503);
    assert_eq!(broken(&record), ["REFUSED"]);
    let mut record = sound(Kind::Safe);
    let again = |n: usize| run(Kind::Safe, "a", 11 * S + S * u32::try_from(n).unwrap_or(0));
    record.runs.extend((0..ATTEMPTS).map(again));
    assert_eq!(broken(&record), ["BUDGET"]);
}

#[test]
fn strange_runs_are_found() {
    let mut record = sound(Kind::Safe);
    record.runs[0].request.headers.insert("x-api-key".to_owned(), "k".to_owned());
    assert_eq!(broken(&record), ["UNASKED"]);
    let mut record = sound(Kind::Safe);
    record.runs[0].service = "desk";
    assert_eq!(broken(&record), ["ROUTE"]);
    let mut record = sound(Kind::Safe);
    record.runs.push(run(Kind::Safe, "nobody's", S));
    assert_eq!(broken(&record), ["UNASKED"]);
}

#[test]
fn stale_rules_and_denials_are_found_at_nodes_in_touch_only() {
    let mut record = sound(Kind::Moving(Prefix::There));
    assert_eq!(broken(&record), ["CONFIG"], "ran, though dropped");
    let touch = Disturbance { scope: Scope::Node(0), from: 7 * S, until: Some(8 * S) };
    record.disturbances.push(touch);
    assert!(broken(&record).is_empty());
    let mut record = sound(Kind::Withdrawn);
    record.runs.clear();
    record.calls[0].outcome = refused(401);
    assert_eq!(broken(&record), ["CONFIG"], "denied, though in force");
    let mut record = sound(Kind::Safe);
    record.runs.clear();
    record.calls[0].outcome = refused(404);
    assert_eq!(broken(&record), ["DENIED"]);
}

#[test]
fn lost_answers_and_leaving_workers_are_found() {
    let mut record = sound(Kind::Once);
    record.calls[0].outcome = Outcome::Closed;
    assert_eq!(broken(&record), ["LOST"]);
    let fault = Disturbance { scope: Scope::Worker(0), from: 9 * S, until: None };
    record.disturbances.push(fault);
    assert!(broken(&record).is_empty());
    let mut record = sound(Kind::Safe);
    record.leavings.push(Leaving { seat: 0, from: 5 * S, until: None });
    assert_eq!(broken(&record), ["DRAIN"]);
}

#[test]
fn abandoned_work_is_found() {
    let mut record = sound(Kind::Stream);
    record.calls.clear();
    record.runs.clear();
    for number in 0..8 {
        let attempt = format!("a{number}");
        let mut left = call(Kind::Stream, &attempt, 10 * S);
        left.outcome = Outcome::Left;
        record.calls.push(left);
        record.runs.push(run(Kind::Stream, &attempt, 10 * S));
    }
    assert_eq!(broken(&record), ["GONE"]);
    for run in &mut record.runs {
        run.cut = Some(10 * S + S / 5);
    }
    assert!(broken(&record).is_empty());
}

#[test]
fn allotment_is_counted_over_a_sliding_window() {
    let mut record = sound(Kind::Metered);
    let most = (RATE * 8 + BURST) * 11 / 10 + 4 * RATE;
    for number in 0..most / COST {
        let attempt = format!("m{number}");
        record.calls.push(call(Kind::Metered, &attempt, 10 * S));
        record.runs.push(run(Kind::Metered, &attempt, 10 * S));
    }
    assert_eq!(broken(&record), ["QUOTA"]);
}

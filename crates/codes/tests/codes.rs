//! Invariants of all result codes and events.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use codes::{Code, Event, Executed, Group, Problem};

#[test]
fn numbers_are_unique_and_ascend() {
    assert!(Code::ALL.windows(2).all(|pair| pair[0].number() < pair[1].number()));
    assert!(Event::ALL.windows(2).all(|pair| pair[0].number() < pair[1].number()));
}

/// Codes of requests of which no byte was sent say `never`; codes of requests that may have run do
/// not.
#[test]
fn executed_is_truthful_by_group() {
    for code in Code::ALL {
        let executed = code.executed();
        assert_ne!(executed, Executed::Completed, "{code}: a refusal is not a complete response");
        match code.group() {
            Group::Request | Group::Capacity => assert_eq!(executed, Executed::Never, "{code}"),
            Group::Endpoint if *code != Code::Unreachable => {
                assert_eq!(executed, Executed::Unknown, "{code}");
            }
            _ => {}
        }
    }
    assert_eq!(Code::KeyInDoubt.executed(), Executed::Unknown);
}

#[test]
fn statuses_are_errors_and_shedding_may_be_retried() {
    for code in Code::ALL {
        assert!((400..600).contains(&code.status()), "{code}");
        if code.group() == Group::Capacity {
            assert!(code.retry_after_s() > 0, "{code}");
        }
    }
}

#[test]
fn problem_document() {
    let id = units::RequestId::new(7);
    let problem = Problem::new(Code::QueueFull, "shed").with_request(id);
    insta::assert_snapshot!(serde_json::to_string_pretty(&problem).unwrap(), @r#"
    {
      "type": "urn:bambooroad:code:2001",
      "title": "Shed: queue full",
      "status": 503,
      "detail": "shed",
      "code": 2001,
      "executed": "never",
      "request_id": "00000000000000000000000000000007"
    }
    "#);
}

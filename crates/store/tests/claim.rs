//! Claims of requests with the same idempotency key.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use store::claim::Claim;
use units::{AttemptToken, Fingerprint};

fn claim(content: u64, request: Option<u64>) -> Claim {
    Claim {
        token: AttemptToken::new(1),
        fingerprint: Fingerprint(content),
        request: request.map(Fingerprint),
        response: None,
    }
}

/// A key that was used again with another method or media type got the stored response.
#[test]
fn requests_with_the_same_content_are_told_apart() {
    let first = claim(1, Some(2));
    assert!(claim(1, Some(2)).is_repeat_of(&first));
    assert!(!claim(1, Some(3)).is_repeat_of(&first));
    assert!(!claim(4, Some(2)).is_repeat_of(&first));
}

/// Repeats of a call that an older build claimed must not be refused.
#[test]
fn rows_of_older_builds_are_compared_by_content() {
    let row = r#"{"token":"01","fingerprint":1,"answer":null}"#;
    let row = row.replace("\"01\"", &serde_json::to_string(&AttemptToken::new(1)).unwrap());
    let older: Claim = serde_json::from_str(&row).unwrap();
    assert_eq!(older, claim(1, None));
    assert!(older.is_repeat_of(&claim(1, Some(2))));
    assert!(!older.is_repeat_of(&claim(5, Some(2))));
    assert_eq!(serde_json::to_string(&older).unwrap(), row, "what older builds read");
}

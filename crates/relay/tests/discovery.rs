//! Deletion of rows of nodes that are gone for good.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use relay::{discovery::Orphans, watch::Row};
use std::time::Duration;
use units::{Time, Version};

fn row(key: &str, version: u64) -> Row {
    Row { key: key.into(), value: Some("10.0.0.1:7600".into()), version: Version(version) }
}

fn keys(silent_rows: &mut Orphans, rows: &[Row], live: &[&str], minutes: u64) -> Vec<Box<str>> {
    let now = Time::ZERO + Duration::from_secs(minutes * 60);
    let expired = silent_rows.update(rows, |id| live.contains(&id.as_str()), now);
    expired.into_iter().map(|(key, _)| key).collect()
}

#[test]
fn rows_of_nodes_that_are_not_heard_for_long_are_deleted() {
    let mut silent_rows = Orphans::new();
    let rows = [row("node/a", 1), row("node/b", 2), row("secret", 3)];
    assert!(keys(&mut silent_rows, &rows, &["b"], 0).is_empty());
    assert!(keys(&mut silent_rows, &rows, &["b"], 29).is_empty());
    assert_eq!(keys(&mut silent_rows, &rows, &["b"], 30), [Box::from("node/a")]);
}

#[test]
fn a_sign_of_the_node_begins_the_time_anew() {
    let mut silent_rows = Orphans::new();
    assert!(keys(&mut silent_rows, &[row("node/a", 1)], &[], 0).is_empty());
    assert!(
        keys(&mut silent_rows, &[row("node/a", 7)], &[], 29).is_empty(),
        "the row was written again"
    );
    assert!(keys(&mut silent_rows, &[row("node/a", 7)], &["a"], 50).is_empty(), "the node is live");
    assert!(keys(&mut silent_rows, &[row("node/a", 7)], &[], 58).is_empty());
    assert!(keys(&mut silent_rows, &[row("node/a", 7)], &[], 87).is_empty());
    assert_eq!(keys(&mut silent_rows, &[row("node/a", 7)], &[], 88), [Box::from("node/a")]);
}

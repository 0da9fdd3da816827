//! Limits that endpoints name, as told between nodes.

use super::support::{listing, node, run};
use relay::{digest, directory, limits};
use units::{RequestRate, Version};

const RATE: RequestRate = RequestRate(2_000);

/// A node that starts is told the limits before it has read the directory; the endpoint would get
/// requests without limit until the next repetition.
#[test]
fn a_limit_told_before_the_directory_is_read_binds() {
    run(async {
        let from = "127.0.0.1:9".parse().unwrap();
        let started = node("n-1", from);
        let endpoint = listing(1);
        let (id, born) = (endpoint.id.clone(), endpoint.born);
        let limit = digest::Limit { endpoint: id.clone(), born, rate: Some(RATE), age_ms: 500 };
        limits::merge(&started, &[limit], from);
        directory::upsert(&started, endpoint, Version(3));
        let known = started.fleet.borrow().limit(&id);
        assert_eq!(known.and_then(|limit| limit.rate), Some(RATE));
    });
}

//! Limits that endpoints name, as told between nodes.

use super::support::{
    CONTROL_BYTES_PER_S, address, announced_bytes_per_second, listing, node, run,
};
use relay::{Blackboard, digest, digest::Datagram, directory, limits};
use std::{rc::Rc, time::Duration};
use units::{RequestRate, Version};

const RATE: RequestRate = RequestRate(2_000);

/// Node with `endpoints`, all of them limited.
fn limited(name: &str, number: u8, endpoints: u32) -> Rc<Blackboard> {
    let board = node(name, (address(number), 7_600).into());
    for number in 0..endpoints {
        directory::upsert(&board, listing(number), Version(u64::from(number) + 1));
        limits::record(&board, &listing(number).id, Some(RATE));
    }
    board
}

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

/// All 2,300 endpoints of a cluster of 360 nodes are limited.
#[test]
fn repeated_limits_do_not_exceed_the_bytes_for_control() {
    run(async {
        let sender = limited("n-0", 30, 2_300);
        limits::take_unsent(&sender);
        let bytes = announced_bytes_per_second(&sender, 31).await;
        assert!(bytes > 0, "nothing is repeated");
        assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes} bytes a second");
    });
}

/// What two nodes tell each other again and again would seem as young as the end of the limit.
#[test]
fn a_limit_does_not_grow_younger_by_being_repeated() {
    run(async {
        let nodes = [limited("n-1", 32, 1), limited("n-2", 33, 1)];
        let from = "127.0.0.1:9".parse().unwrap();
        let at = |board: &Blackboard| board.fleet.borrow().limit(&listing(0).id).unwrap().at;
        let before = [at(&nodes[0]), at(&nodes[1])];
        for round in 0..40 {
            let [teller, hearer] = if round % 2 == 0 { [0, 1] } else { [1, 0] };
            let datagrams = limits::summary(&nodes[teller]);
            tokio::time::sleep(Duration::from_millis(5)).await;
            for datagram in datagrams {
                if let Datagram::Limits(told) = datagram {
                    limits::merge(&nodes[hearer], &told, from);
                }
            }
        }
        assert_eq!([at(&nodes[0]), at(&nodes[1])], before);
    });
}

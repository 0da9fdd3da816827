//! Evidence against what endpoints crash under, between nodes that missed it.

use super::support::{digest, introduce, node, run};
use relay::{Blackboard, announce, digest::Datagram, peers};
use sched::quarantine::{Crash, CrashId, Evidence, Verdict};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, task::spawn_local};
use units::{EndpointId, Fingerprint};

const DEADLY: Fingerprint = Fingerprint(7);

/// Node that receives datagrams and sends evidence.
async fn start(name: &str, number: u8) -> (Rc<Blackboard>, Rc<UdpSocket>, SocketAddr) {
    let socket = UdpSocket::bind((super::support::address(number), 0)).await.unwrap();
    let address = socket.local_addr().unwrap();
    let (board, socket) = (node(name, address), Rc::new(socket));
    spawn_local(peers::receive(Rc::clone(&board), Rc::clone(&socket)));
    (board, socket, address)
}

/// Three crashes, one second apart.
fn crash_endpoints(board: &Blackboard) {
    let crash = |number: u32| {
        let endpoint = EndpointId::new(&format!("e-{number}")).unwrap();
        Crash { id: CrashId::new(&endpoint, None), age_ms: number * 1_000, cleared: false }
    };
    let evidence =
        Evidence { fingerprint: DEADLY, crashes: (0..3).map(crash).collect(), tried_ms: None };
    board.quarantine.borrow_mut().merge(&evidence, board.now());
}

fn refuses(board: &Blackboard) -> bool {
    let verdict = board.quarantine.borrow().verdict(&[DEADLY], |_| 0, board.now());
    matches!(verdict, Verdict::Quarantined { .. })
}

async fn refuses_within(board: &Blackboard, limit: Duration) -> bool {
    let wait = async {
        while !refuses(board) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(limit, wait).await.is_ok()
}

/// The datagrams about the crashes were lost.
#[test]
fn evidence_is_repeated_for_nodes_that_missed_it() {
    run(async {
        let (sender, socket, from) = start("n-1", 21).await;
        let (missed, _socket, address) = start("n-2", 22).await;
        introduce(&sender, "n-2", address, "a", 12);
        introduce(&missed, "n-1", from, "a", 12);
        crash_endpoints(&sender);
        spawn_local(announce::run(Rc::clone(&sender), socket));
        assert!(refuses_within(&missed, Duration::from_secs(3)).await);
    });
}

/// A node that has restarted is told when it is first heard, before the next repetition.
#[test]
fn evidence_is_sent_to_a_node_that_has_restarted() {
    run(async {
        let (sender, _socket, from) = start("n-1", 23).await;
        let (restarted, socket, _) = start("n-2", 24).await;
        introduce(&restarted, "n-1", from, "a", 12);
        crash_endpoints(&sender);
        let digest = Datagram::Digest(Box::new(digest("n-2")));
        socket.writable().await.unwrap();
        peers::send_to(&restarted, &socket, &digest, &[from]);
        assert!(refuses_within(&restarted, Duration::from_millis(500)).await);
    });
}

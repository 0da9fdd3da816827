//! Evidence against what endpoints crash under, between nodes that missed it.

use super::support::{
    CONTROL_BYTES_PER_S, announced_bytes_per_second, digest, introduce, node, run,
};
use relay::{Blackboard, announce, digest::Datagram, peers, quarantine, watch::Row};
use sched::quarantine::{Crash, CrashId, Evidence, Verdict};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, task::spawn_local};
use units::{EndpointId, Fingerprint, Version};

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

/// One node of 360 repeats as much evidence as it can hold to the others.
#[test]
fn repeated_evidence_does_not_exceed_the_bytes_for_control() {
    run(async {
        let sender = node("n-0", (super::support::address(25), 7_600).into());
        for number in 0..24 {
            for crash in 0..16 {
                let endpoint = EndpointId::new(&format!("e-{number}-{crash}")).unwrap();
                let id = CrashId::new(&endpoint, None);
                let now = sender.now() + Duration::from_millis(crash * 200);
                sender.quarantine.borrow_mut().record_crash(&[Fingerprint(number)], id, now);
            }
        }
        let bytes = announced_bytes_per_second(&sender, 26).await;
        assert!(bytes > 0, "nothing is repeated");
        assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes} bytes a second");
    });
}

/// A row must not outlive its suspicion, or it would be taken over again at each start.
#[test]
fn saved_evidence_is_stale_once_a_request_has_survived() {
    run(async {
        let (saver, _, _) = start("n-1", 27).await;
        crash_endpoints(&saver);
        let evidence = saver.quarantine.borrow().evidence(&[DEADLY], saver.now()).remove(0);
        let value = postcard::to_stdvec(&evidence).unwrap();
        let row = |key: &str, value: &[u8]| Row {
            key: key.into(),
            value: Some(value.to_vec().into()),
            version: Version(3),
        };
        let rows = [
            row("evidence/7", &value),
            row("evidence/8", b"\xff"),
            row("node/n-1", b"127.0.0.1:9 a"),
            row("secret", b"secret"),
        ];
        let (started, _, _) = start("n-2", 28).await;
        quarantine::load(&started, &rows);
        assert!(refuses(&started));
        let stale = || -> Vec<Box<str>> {
            quarantine::stale_rows(&started, &rows).into_iter().map(|(key, _)| key).collect()
        };
        assert_eq!(stale(), ["evidence/8".into()], "it cannot be decoded");
        started.quarantine.borrow_mut().record_survival(&[DEADLY]);
        assert_eq!(stale(), ["evidence/7".into(), "evidence/8".into()]);
    });
}

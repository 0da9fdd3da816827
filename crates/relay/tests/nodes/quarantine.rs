//! Evidence against what endpoints crash under, between nodes that missed it.

use super::support::{
    CONTROL_BYTES_PER_S, announced_bytes_per_second, digest, introduce, node, run,
};
use relay::{Blackboard, announce, digest::Datagram, peers, quarantine, watch::Row};
use sched::quarantine::{Crash, CrashId, Evidence, Trait, Verdict};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, task::spawn_local};
use units::{EndpointId, Fingerprint, Version};

const DEADLY: Trait = Trait::Shared(Fingerprint(7));
/// Traits of a whole request.
const REQUEST: [Trait; 3] = [
    DEADLY,
    Trait::Target(Fingerprint(8)),
    Trait::Variant { target: Fingerprint(8), fields: Fingerprint(9) },
];

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
        Evidence { subject: DEADLY, crashes: (0..3).map(crash).collect(), tried_ms: None };
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
                sender.quarantine.borrow_mut().record_crash(
                    &[Trait::Shared(Fingerprint(number))],
                    id,
                    now,
                );
            }
        }
        let bytes = announced_bytes_per_second(&sender, 26).await;
        assert!(bytes > 0, "nothing is repeated");
        assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes} bytes a second");
    });
}

/// The traits that take most bytes.
#[test]
fn repeated_evidence_against_requests_does_not_exceed_the_bytes_for_control() {
    run(async {
        let sender = node("n-0", (super::support::address(29), 7_600).into());
        for number in 0..24 {
            let subject = Trait::Variant {
                target: Fingerprint(u64::MAX - number),
                fields: Fingerprint(u64::MAX),
            };
            for crash in 0..16 {
                let endpoint = EndpointId::new(&format!("e-{number}-{crash}")).unwrap();
                let id = CrashId::new(&endpoint, None);
                let now = sender.now() + Duration::from_millis(crash * 200);
                sender.quarantine.borrow_mut().record_crash(&[subject], id, now);
            }
        }
        let bytes = announced_bytes_per_second(&sender, 30).await;
        assert!(bytes > 0, "nothing is repeated");
        assert!(bytes <= CONTROL_BYTES_PER_S, "{bytes} bytes a second");
    });
}

/// Older builds would take each suspected trait that a request lacks for an explanation of the crashes
/// under it, and would send it again.
#[test]
fn older_builds_learn_of_shared_traits_only() {
    run(async {
        let (board, _, _) = start("n-1", 31).await;
        let crash = CrashId::new(&EndpointId::new("e-1").unwrap(), None);
        board.quarantine.borrow_mut().record_crash(&REQUEST, crash, board.now());
        board.unsent_evidence.borrow_mut().extend(REQUEST);
        let datagrams = quarantine::take_unsent(&board);
        let [Datagram::Crashes(shared), Datagram::RequestCrashes(other)] = &datagrams[..] else {
            panic!("{datagrams:?}");
        };
        assert!(shared.iter().map(|e| e.subject).eq([Fingerprint(7)]));
        assert!(other.iter().map(|e| e.subject).eq([REQUEST[1], REQUEST[2]]));
        let encoded = datagrams[1].encode_with_hmac(b"secret").unwrap();
        assert_eq!(Datagram::verify_and_decode(&encoded, b"secret").unwrap(), datagrams[1]);
        // Older builds read one datagram and ignore the bytes after it.
        let older: Datagram = postcard::from_bytes(&encoded).unwrap();
        assert_eq!(older, Datagram::Crashes(Box::default()));
    });
}

/// A row must not outlive its suspicion, or it would be taken over again at each start.
#[test]
fn saved_evidence_is_stale_once_a_request_has_survived() {
    run(async {
        let (saver, _, _) = start("n-1", 27).await;
        crash_endpoints(&saver);
        let evidence = saver.quarantine.borrow().evidence(&[DEADLY], saver.now()).remove(0);
        let value = postcard::to_stdvec(&evidence.to_shared().unwrap()).unwrap();
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

/// Traits that older builds do not know are saved, too, in rows that older builds leave alone.
#[test]
fn saved_evidence_against_a_request_is_taken_over() {
    run(async {
        let (saver, _, _) = start("n-1", 32).await;
        crash_endpoints(&saver);
        let evidence = saver.quarantine.borrow().evidence(&[DEADLY], saver.now()).remove(0);
        let evidence = Evidence { subject: REQUEST[1], ..evidence };
        let row = Row {
            key: "request-evidence/target-8".into(),
            value: Some(postcard::to_stdvec(&evidence).unwrap().into()),
            version: Version(3),
        };
        let (started, _, _) = start("n-2", 33).await;
        quarantine::load(&started, std::slice::from_ref(&row));
        let verdict = started.quarantine.borrow().verdict(&REQUEST, |_| 0, started.now());
        assert!(matches!(verdict, Verdict::Quarantined { .. }), "{verdict:?}");
        assert!(quarantine::stale_rows(&started, std::slice::from_ref(&row)).is_empty());
        started.quarantine.borrow_mut().record_survival(&REQUEST);
        assert_eq!(quarantine::stale_rows(&started, &[row]).len(), 1);
    });
}

//! Documents passed on between nodes, over slow, frozen and busy senders.

use super::support::{introduce, listener, listing, node, run};
use relay::{
    Blackboard,
    configuration::Overdue,
    journal::Change,
    serve,
    transfer::{self, Document, Kind},
    waits::Waits,
};
use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::task::spawn_local;
use units::{Time, Version};

/// A configuration of 1,500 routes.
fn content() -> Vec<u8> {
    let route = |number: u32| {
        format!(r#"{{"name":"r{number}","host":"h{number}.example","prefix":"/p{number}/"}},"#)
    };
    (0..1_500).map(route).collect::<String>().into_bytes()
}

async fn sender(name: &str, number: u8) -> (Rc<Blackboard>, SocketAddr) {
    let listener = listener(number).await;
    let address = listener.local_addr().unwrap();
    let board = node(name, address);
    let document = Document::new(Version(9), &content()).unwrap();
    board.library.borrow_mut().set_configuration(document);
    spawn_local(transfer::serve(Rc::clone(&board), Rc::new(listener)));
    (board, address)
}

#[test]
fn configuration_comes_from_another_node_compressed() {
    run(async {
        let (_sender, address) = sender("n-1", 1).await;
        let board = node("n-2", "127.0.0.1:1".parse().unwrap());
        introduce(&board, "n-1", address, "a", 12);
        let document = transfer::fetch(&board, Kind::Configuration, Some(Version(9))).await;
        let document = document.unwrap();
        assert_eq!(document.version, Version(9));
        assert_eq!(document.content().unwrap(), content());
        let older = transfer::fetch(&board, Kind::Configuration, Some(Version(10))).await;
        assert!(older.is_err(), "nobody has announced that version");
    });
}

/// A frozen node accepts connections and never replies.
#[test]
fn frozen_sender_is_passed_over() {
    run(async {
        let frozen = listener(2).await;
        let (_sender, address) = sender("n-1", 3).await;
        let board = node("n-2", "127.0.0.1:1".parse().unwrap());
        introduce(&board, "frozen", frozen.local_addr().unwrap(), "a", 12);
        introduce(&board, "n-1", address, "a", 12);
        for _ in 0..6 {
            let started = Instant::now();
            let document = transfer::fetch(&board, Kind::Configuration, Some(Version(9))).await;
            assert_eq!(document.unwrap().version, Version(9));
            assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
        }
    });
}

/// Recipients that read slowly occupy all uploads: another recipient is referred to a node that has
/// the document already.
#[test]
fn busy_sender_refers_to_a_recipient() {
    run(async {
        let (_sender, address) = sender("n-1", 4).await;
        let (recipient, other) = sender("n-2", 5).await;
        introduce(&recipient, "n-1", address, "a", 12);
        transfer::fetch(&recipient, Kind::Configuration, Some(Version(9))).await.unwrap();
        let mut silent = Vec::new();
        for _ in 0..8 {
            silent.push(tokio::net::TcpStream::connect(address).await.unwrap());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let board = node("n-3", "127.0.0.1:1".parse().unwrap());
        introduce(&board, "n-1", address, "a", 12);
        let document = transfer::fetch(&board, Kind::Configuration, Some(Version(9))).await;
        assert_eq!(document.unwrap().version, Version(9));
        let metrics = recipient.metrics.render();
        assert!(metrics.contains("sent"), "sent by {other}: {metrics}");
    });
}

#[test]
fn stranger_and_malformed_bytes_get_nothing() {
    run(async {
        let (_sender, address) = sender("n-1", 6).await;
        let stranger = node("n-2", "127.0.0.1:1".parse().unwrap());
        stranger.roster.borrow_mut().secret = Some(b"another".as_slice().into());
        introduce(&stranger, "n-1", address, "a", 12);
        let kind = Kind::Configuration;
        assert!(transfer::fetch(&stranger, kind, Some(Version(9))).await.is_err());
        let request = |bytes: Vec<u8>| {
            http::Request::post("/").body(http_body_util::Full::new(bytes.into())).unwrap()
        };
        for bytes in [Vec::new(), vec![0xff; 40], vec![0xff; 5_000]] {
            let mut connection = relay::pool::connect(address).await.unwrap();
            // The node may close the connection of a request that is too large.
            connection.send_request(request(bytes)).await.ok();
        }
        let board = node("n-3", "127.0.0.1:1".parse().unwrap());
        introduce(&board, "n-1", address, "a", 12);
        assert!(transfer::fetch(&board, kind, Some(Version(9))).await.is_ok(), "still served");
    });
}

/// A node that starts in the middle takes over the whole directory; entries that the sender no
/// longer lists are removed, and newer ones are kept.
#[test]
fn directory_is_taken_over_whole() {
    run(async {
        let (sender, address) = sender("n-1", 7).await;
        for number in 0..2_300 {
            relay::directory::upsert(&sender, listing(number), Version(10 + u64::from(number)));
        }
        sender.journal.borrow_mut().advance(Version(5_000), 0);
        let board = node("n-2", "127.0.0.1:1".parse().unwrap());
        introduce(&board, "n-1", address, "a", 12);
        relay::directory::upsert(&board, listing(9_998), Version(30));
        relay::directory::upsert(&board, listing(9_999), Version(6_000));
        let document = transfer::fetch(&board, Kind::Directory, Some(Version(40))).await.unwrap();
        relay::directory::replace(&board, transfer::decode_directory(&document).unwrap());
        let fleet = board.fleet.borrow();
        assert_eq!(fleet.ids().count(), 2_301);
        assert!(fleet.listing(&listing(9_998).id).is_none(), "no longer listed");
        assert!(fleet.listing(&listing(9_999).id).is_some(), "newer than the snapshot");
        assert_eq!(board.journal.borrow().head(), Version(5_000));
        let change = Change { id: listing(7).id, version: Version(17), listing: None };
        assert!(!board.journal.borrow().is_newer(&change.id, change.version), "versions are kept");
    });
}

/// A node that knows of a newer configuration refuses requests when it is overdue, and not before.
#[test]
fn overdue_configuration_is_noticed() {
    let start = Time::from_millis(1_000);
    let mut overdue =
        Overdue::new(Waits::new(Duration::from_secs(4), Duration::from_secs(4)).overdue);
    overdue.announce(Version(5), Version(5), start);
    assert_eq!(overdue.version(start + Duration::from_secs(9)), None, "known");
    overdue.announce(Version(7), Version(5), start);
    overdue.announce(Version(8), Version(5), start + Duration::from_secs(3));
    overdue.announce(Version(7), Version(5), start + Duration::from_secs(3));
    assert_eq!(overdue.version(start + Duration::from_secs(3)), None);
    let late = start + Duration::from_secs(4);
    assert_eq!(overdue.version(late), Some(Version(7)));
    overdue.apply(Version(7));
    assert_eq!(overdue.version(late), None, "the later one is not due yet");
    assert_eq!(overdue.version(late + Duration::from_secs(3)), Some(Version(8)));
    overdue.apply(Version(9));
    assert_eq!(overdue.age(late), None);
}

#[test]
fn listeners_for_documents_and_datagrams_share_a_port() {
    run(async {
        let address = listener(8).await.local_addr().unwrap();
        let documents = serve::bind(address).unwrap();
        let datagrams = tokio::net::UdpSocket::bind(address).await.unwrap();
        assert_eq!(documents.local_addr().unwrap(), datagrams.local_addr().unwrap());
    });
}

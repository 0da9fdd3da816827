//! Nodes without callers, and what they know of each other.

use codes::{Overflow, root_logger};
use http::{HeaderMap, HeaderName, StatusCode};
use relay::{
    Blackboard, Codec, Settings, announce, digest::Digest, headers::Outbound, request, response,
    settings::Listen,
};
use sched::{budget::Bound, fleet::Listing};
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::{LocalSet, spawn_local},
};
use units::{EndpointId, InstanceId, RegionId, ServiceId, Version, ZoneId};

#[derive(Debug)]
struct NoHeaders;

impl Codec for NoHeaders {
    fn decode_request(&self, _: &HeaderMap) -> Result<request::Head, Box<str>> {
        Err("not used by these tests".into())
    }

    fn is_transient(&self, _: &HeaderName) -> bool {
        false
    }

    fn decode_response(&self, _: StatusCode, _: &HeaderMap) -> response::Head {
        response::Head::default()
    }

    fn rewrite_request(&self, _: &mut HeaderMap, _: &Outbound<'_>) {}

    fn rewrite_refusal(&self, _: &mut HeaderMap, _: &str) {}
}

/// Loopback address of its own.
pub fn address(number: u8) -> IpAddr {
    let process = std::process::id().to_be_bytes();
    IpAddr::from([127, 253 - process[2] % 100, process[3], number])
}

/// Listener on a loopback address of its own.
pub async fn listener(number: u8) -> TcpListener {
    TcpListener::bind((address(number), 0)).await.unwrap()
}

/// Node in zone `a`.
pub fn node(name: &str, address: SocketAddr) -> Rc<Blackboard> {
    node_in("a", name, 12, address)
}

pub fn node_in(zone: &str, name: &str, processor: u32, address: SocketAddr) -> Rc<Blackboard> {
    let zone = ZoneId::new(zone).unwrap();
    let settings = Settings {
        instance: InstanceId::new(name).unwrap(),
        zone: zone.clone(),
        regions: HashMap::from([
            (ZoneId::new("a").unwrap(), RegionId::new("r").unwrap()),
            (ZoneId::new("b").unwrap(), RegionId::new("r").unwrap()),
        ]),
        listen: Listen { callers: address, readiness: address, metrics: address, peers: address },
        repeats: Bound { ratio: 0.2, burst: 50.0, window: Duration::from_secs(10) },
        grace: Duration::from_secs(8),
        apply_time: Duration::from_secs(4),
        drain_time: Duration::from_secs(4),
        rollout: None,
        learning: false,
        processor,
        memory: 1 << 27,
        descriptors: 1_000,
    };
    let (log, _) = root_logger(Overflow::DropAndReport);
    let board = Rc::new(Blackboard::new(settings, log, Box::new(NoHeaders)));
    board.roster.borrow_mut().secret = Some(b"secret".as_slice().into());
    board
}

/// Digest of a node that has version 9 of the configuration.
pub fn digest(name: &str) -> Digest {
    Digest {
        from: InstanceId::new(name).unwrap(),
        incarnation: 1,
        sequence: 1,
        zone: ZoneId::new("a").unwrap(),
        leaving: false,
        configuration: Version(9),
        directory_head: Version(40),
        directory: None,
        owner_weight: 12,
        owned: Box::default(),
        store_lost: false,
        store_returned: false,
        demand: 0,
        waiting: Box::default(),
        loads: Box::default(),
        spent: Box::default(),
        strikes: Box::default(),
    }
}

/// Makes a node known to `board` by a digest.
pub fn introduce(board: &Blackboard, name: &str, address: SocketAddr, zone: &str, weight: u32) {
    let now = board.now() + Duration::from_millis(1);
    let zone = ZoneId::new(zone).unwrap();
    let distance = board.settings.distance(&zone);
    let digest = Digest { zone, owner_weight: weight, ..digest(name) };
    board.roster.borrow_mut().accept(&digest, address, distance, now);
}

pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

pub fn listing(number: u32) -> Listing {
    Listing {
        id: EndpointId::new(&format!("e-{number}")).unwrap(),
        service: ServiceId::new("llm").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: 10,
        leaving: false,
        born: None,
        release: None,
    }
}

/// Bytes that a node of a large cluster may send for control each second.
pub const CONTROL_BYTES_PER_S: usize = 23_000;

/// Bytes that a node of 360 sends for announcements within some seconds, a second.
pub async fn announced_bytes_per_second(sender: &Rc<Blackboard>, number: u8) -> usize {
    const SECONDS: usize = 3;
    let receiver = std::net::UdpSocket::bind((address(number), 0)).unwrap();
    let to = receiver.local_addr().unwrap();
    let received = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&received);
    // A thread of its own receives while the node sends to all.
    std::thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while let Ok(bytes) = receiver.recv(&mut buffer) {
            counter.fetch_add(bytes, Ordering::Relaxed);
        }
    });
    // The sender is one of the nodes that read the store for the others.
    let score = |name: &str| units::score(name, "store readers");
    let own = score(sender.settings.instance.as_str());
    let others = (0..).map(|number| format!("p-{number}")).filter(|name| score(name) < own);
    for name in others.take(359) {
        introduce(sender, &name, to, "a", 12);
    }
    assert!(sender.is_reader());
    let socket = UdpSocket::bind(sender.settings.listen.peers).await.unwrap();
    spawn_local(announce::run(Rc::clone(sender), Rc::new(socket)));
    tokio::time::sleep(Duration::from_secs(u64::try_from(SECONDS).unwrap())).await;
    received.load(Ordering::Relaxed) / SECONDS
}

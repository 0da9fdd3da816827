//! Permits of owners that are frozen, new or full, and of holders that are gone.

use super::support::{address, introduce, listing, node_in, run};
use codes::Code;
use relay::{
    Blackboard, Configuration,
    configuration::{Backend, Kind, Limits, Organisation, Route},
    dispatcher::{self, Slot, Submission},
    holder, owner, peers,
    permit::{self, Grant, Message},
};
use sched::{
    backlog::Deadlines,
    fleet::{Listing, Outcome, Size},
    quota::Quota,
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::UdpSocket,
    task::{JoinHandle, spawn_local},
    time::timeout,
};
use units::{
    EndpointId, Fingerprint, OrganisationId, Rank, RequestId, RequestRate, ServiceId, Tokens,
    Version, ZoneId,
};

/// Endpoints and slots of each zone.
const ENDPOINTS: u32 = 2;
const SLOTS: u32 = 4;
/// Number of other nodes beyond which a cluster has owners.
const BYSTANDERS: u32 = 20;

/// Time in which a decision that can be made now is made.
const SOON: Duration = Duration::from_millis(600);

fn service() -> ServiceId {
    ServiceId::new("llm").unwrap()
}

fn organisation() -> OrganisationId {
    OrganisationId::new("org").unwrap()
}

fn configuration() -> Configuration {
    configuration_of(Kind::Stream, None)
}

fn configuration_of(kind: Kind, target_latency: Option<Duration>) -> Configuration {
    let route = Route {
        name: "route".into(),
        prefix: "/".into(),
        backends: Box::new([Backend { service: service(), weight: 1 }]),
        kind,
        timeout: None,
        target_latency,
        target_gap: None,
        max_attempts: 1,
        rank: Rank(1),
        anonymous: false,
    };
    let organisation = Organisation {
        id: organisation(),
        rank: None,
        quota: Quota { rate: Tokens(1_000), burst: Tokens(10_000) },
        default_cost: Tokens(0),
    };
    Configuration::new(Version(9), Limits::default())
        .with_route("h", route)
        .with_organisation(organisation, &[])
}

/// Requests a second that a limited endpoint takes.
const LIMIT: RequestRate = RequestRate(10_000);
/// Length of a window, and the requests that a limited endpoint may get in it: one and a half times
/// the limit, and five.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED: usize = 65;

/// Node with its tasks.
struct Node {
    board: Rc<Blackboard>,
    socket: Rc<UdpSocket>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Node whose tasks run; a larger one is preferred as owner.
    async fn start(zone: &str, name: &str, number: u8, processor: u32) -> Self {
        let mut node = Self::unheard(zone, name, number, processor).await;
        let (board, socket) = (&node.board, &node.socket);
        let broadcast = peers::broadcast(Rc::clone(board), Rc::clone(socket));
        node.tasks.push(spawn_local(broadcast));
        node
    }

    /// Node whose tasks run, but for its digests.
    async fn unheard(zone: &str, name: &str, number: u8, processor: u32) -> Self {
        let mut node = Self::frozen(zone, name, number, processor).await;
        let (board, socket) = (&node.board, &node.socket);
        node.tasks = vec![
            spawn_local(peers::receive(Rc::clone(board), Rc::clone(socket))),
            spawn_local(peers::send_permits(Rc::clone(board), Rc::clone(socket))),
            spawn_local(dispatcher::run(Rc::clone(board))),
            spawn_local(holder::confirm(Rc::clone(board))),
            spawn_local(owner::run(Rc::clone(board))),
        ];
        node
    }

    /// Node that receives and does nothing.
    async fn frozen(zone: &str, name: &str, number: u8, processor: u32) -> Self {
        let socket = Rc::new(UdpSocket::bind((address(number), 0)).await.unwrap());
        let board = node_in(zone, name, processor, socket.local_addr().unwrap());
        *board.configuration.borrow_mut() = Some(Rc::new(configuration()));
        for number in 0..ENDPOINTS * 2 {
            let zone = if number < ENDPOINTS { "a" } else { "b" };
            let zone = ZoneId::new(zone).unwrap();
            let listing = Listing { slots: SLOTS, zone, ..listing(number) };
            relay::directory::upsert(&board, listing, Version(u64::from(number) + 1));
        }
        board.endpoints_read.set(true);
        for number in 0..BYSTANDERS {
            introduce(&board, &format!("z-{number}"), "127.0.0.1:9".parse().unwrap(), "c", 0);
        }
        Self { board, socket, tasks: Vec::new() }
    }

    fn meet(&self, other: &Self) {
        let settings = &other.board.settings;
        let (id, zone) = (settings.instance.as_str(), settings.zone.as_str());
        introduce(&self.board, id, settings.listen.peers, zone, settings.processor);
    }

    fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    async fn acquire(&self, number: u64) -> Result<Slot, dispatcher::Refusal> {
        dispatcher::acquire_slot(&self.board, &submission(&self.board, number), &[]).await
    }

    /// Slots that are granted soon.
    async fn acquire_all(&self, numbers: std::ops::Range<u64>) -> Vec<Slot> {
        let mut slots = Vec::new();
        for number in numbers {
            match timeout(SOON, self.acquire(number)).await {
                Ok(slot) => slots.push(slot.unwrap()),
                Err(_) => break,
            }
        }
        slots
    }
}

fn submission(board: &Blackboard, number: u64) -> Submission {
    let now = board.now();
    let end = now + Duration::from_secs(20);
    Submission {
        request: RequestId::new(u128::from(number)),
        service: service(),
        rank: Rank(1),
        organisation: organisation(),
        size: Size { prompt: Tokens(10), output: Tokens(10) },
        max_output: Tokens(10),
        target_gap: None,
        deadlines: Deadlines { soft: end, hard: end },
        fingerprint: Fingerprint(number),
        cost: Tokens(0),
        streamed: true,
    }
}

/// An owner `o` that is preferred, and holders in its zone that know each other.
async fn zone(holders: usize, first: u8) -> (Node, Vec<Node>) {
    let owner = Node::start("a", "o", first, 50).await;
    let mut nodes = Vec::new();
    for number in 0..holders {
        let address = first + 1 + u8::try_from(number).unwrap();
        nodes.push(Node::start("a", &format!("h-{number}"), address, address.into()).await);
    }
    for node in &nodes {
        node.meet(&owner);
        owner.meet(node);
    }
    (owner, nodes)
}

/// Two holders ask for more than the zone has: each slot is granted once, and a slot that becomes
/// free goes to the other holder.
#[test]
fn each_slot_of_the_zone_is_granted_once() {
    run(async {
        let (owner, holders) = zone(2, 20).await;
        let mut first = holders[0].acquire_all(0..6).await;
        let second = holders[1].acquire_all(10..16).await;
        assert_eq!((first.len(), second.len()), (6, 2), "8 slots");
        assert!(
            first.iter().chain(&second).all(|slot| owner
                .board
                .fleet
                .borrow()
                .owns(slot.endpoint()))
        );
        first.pop().unwrap().release(Outcome::Completed);
        assert_eq!(holders[1].acquire_all(20..22).await.len(), 1);
    });
}

/// A node of a large cluster refused long plain calls although most slots were free, since its share
/// of the slots was known from digests that are seconds old.
#[test]
fn owner_gives_out_the_slots_of_long_plain_calls() {
    run(async {
        let (owner, holders) = zone(1, 96).await;
        let target = |ms| Some(Duration::from_millis(ms));
        for (target, granted) in [(target(300), 6), (target(150), 0)] {
            for node in [&owner, &holders[0]] {
                let configuration = configuration_of(Kind::Once, target);
                *node.board.configuration.borrow_mut() = Some(Rc::new(configuration));
            }
            let mut slots = Vec::new();
            for number in 0..6 {
                let plain = Submission { streamed: false, ..submission(&holders[0].board, number) };
                let slot = dispatcher::acquire_slot(&holders[0].board, &plain, &[]);
                slots.push(timeout(SOON, slot).await.unwrap().unwrap());
            }
            assert_eq!(owner.board.cells.borrow().issued(), granted, "target {target:?}");
            drop(slots);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// The owner is frozen: the next node in line acts in its place within a fifth of a second.
#[test]
fn frozen_owner_is_passed_over() {
    run(async {
        let frozen = Node::frozen("a", "o", 30, 50).await;
        let holders =
            [Node::start("a", "h-0", 31, 20).await, Node::start("a", "h-1", 32, 30).await];
        for (node, other) in [(0, 1), (1, 0)] {
            holders[node].meet(&frozen);
            holders[node].meet(&holders[other]);
        }
        let started = Instant::now();
        let slot = holders[0].acquire(1).await.unwrap();
        assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
        assert_eq!(holders[1].board.cells.borrow().issued(), 1, "{}", slot.endpoint());
    });
}

/// A holder dies with all permits: they expire and are granted again.
#[test]
fn permits_of_a_dead_holder_return() {
    run(async {
        let (_owner, holders) = zone(2, 33).await;
        let lost = holders[0].acquire_all(0..8).await;
        assert_eq!(lost.len(), 8);
        holders[0].kill();
        let started = Instant::now();
        let slot = timeout(Duration::from_secs(5), holders[1].acquire(20)).await.unwrap().unwrap();
        assert!(started.elapsed() >= Duration::from_millis(1_500), "{:?}", started.elapsed());
        drop((slot, lost));
    });
}

/// A caller leaves before there is a decision: the owner does not keep its place.
#[test]
fn request_that_ends_leaves_the_queue() {
    run(async {
        let (owner, holders) = zone(1, 36).await;
        let slots = holders[0].acquire_all(0..8).await;
        assert_eq!(slots.len(), 8);
        assert!(timeout(SOON, holders[0].acquire(9)).await.is_err(), "no slot is free");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(owner.board.dispatcher.borrow().waiting(), 0);
        drop(slots);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(owner.board.cells.borrow().issued(), 0);
    });
}

/// A new owner learns of the permits in use from their holders.
#[test]
fn new_owner_adopts_what_holders_confirm() {
    run(async {
        let (owner, holders) = zone(2, 38).await;
        let slots = holders[0].acquire_all(0..8).await;
        assert_eq!(slots.len(), 8);
        owner.kill();
        for (node, other) in [(0, 1), (1, 0)] {
            holders[node].meet(&holders[other]);
        }
        // The first request finds the owner silent; the next node takes over.
        let early = timeout(Duration::from_secs(2), holders[0].acquire(20)).await;
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        assert!(timeout(SOON, holders[0].acquire(21)).await.is_err(), "all slots are in use");
        drop((early, slots));
    });
}

/// The zone is full and the other one is not: requests are forwarded to its owner.
#[test]
fn full_zone_uses_the_room_of_another() {
    run(async {
        let (owner, holders) = zone(1, 41).await;
        let other = Node::start("b", "p", 75, 50).await;
        other.meet(&owner);
        owner.meet(&other);
        tokio::time::sleep(Duration::from_millis(900)).await;
        let slots = holders[0].acquire_all(0..10).await;
        assert_eq!(slots.len(), 10, "8 here, and 2 of those that the other zone spares");
        assert_eq!(other.board.cells.borrow().issued(), 2);
        assert_eq!(owner.board.cells.borrow().issued(), 8);
    });
}

/// The owner charges the organisation's quota; the refusal says when there will be room.
#[test]
fn owner_refuses_beyond_the_quota() {
    run(async {
        let (_owner, holders) = zone(1, 44).await;
        let board = &holders[0].board;
        let charged = |number| Submission { cost: Tokens(2_000), ..submission(board, number) };
        let mut slots = Vec::new();
        let refusal = loop {
            let number = u64::try_from(slots.len()).unwrap();
            match dispatcher::acquire_slot(board, &charged(number), &[]).await {
                Ok(slot) => slots.push(slot),
                Err(refusal) => break refusal,
            }
            assert!(slots.len() < 6, "the quota is 10,000");
        };
        assert_eq!(refusal.code, Code::AllotmentSpent);
        assert!(refusal.wait > Duration::from_millis(100), "{:?}", refusal.wait);
    });
}

/// Asks for permits for `time` and returns when each was granted, by endpoint.
async fn use_permits(holder: &Node, first: u64, time: Duration) -> Vec<(EndpointId, Instant)> {
    let end = Instant::now() + time;
    let mut granted = Vec::new();
    for number in first.. {
        let left = end.saturating_duration_since(Instant::now());
        match timeout(left, holder.acquire(number)).await {
            Ok(slot) => granted.push((slot.unwrap().endpoint().clone(), Instant::now())),
            Err(_) => break,
        }
    }
    granted
}

fn most_in_window(granted: &[(EndpointId, Instant)], since: Instant) -> usize {
    let times: Vec<Instant> = granted.iter().map(|(_, at)| *at).filter(|at| *at >= since).collect();
    let within = |first: &Instant| {
        times.iter().filter(|at| **at >= *first && at.duration_since(*first) < WINDOW).count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

/// Holders of a zone ask three different nodes, since each has found other nodes silent.
#[test]
fn owners_that_act_at_once_share_a_limit() {
    run(async {
        let mut owners = Vec::new();
        let mut holders = Vec::new();
        for number in 0..3 {
            let owner = Node::start("a", &format!("o-{number}"), 80 + number, 50).await;
            let holder = Node::start("a", &format!("h-{number}"), 85 + number, 1).await;
            holder.meet(&owner);
            owners.push(owner);
            holders.push(holder);
        }
        for (number, owner) in owners.iter().enumerate() {
            for (_, other) in owners.iter().enumerate().filter(|(n, _)| *n != number) {
                owner.meet(other);
            }
            for endpoint in 0..ENDPOINTS {
                relay::limits::record(&owner.board, &listing(endpoint).id, Some(LIMIT));
            }
        }
        let begin = Instant::now();
        let time = WINDOW + Duration::from_secs(2);
        let (a, b, c) = tokio::join!(
            use_permits(&holders[0], 0, time),
            use_permits(&holders[1], 10_000, time),
            use_permits(&holders[2], 20_000, time),
        );
        assert!(a.len().min(b.len()).min(c.len()) > 0, "each of the three grants permits");
        let granted = [a, b, c].concat();
        for endpoint in 0..ENDPOINTS {
            let id = listing(endpoint).id;
            let here: Vec<_> = granted.iter().filter(|(e, _)| *e == id).cloned().collect();
            let most = most_in_window(&here, begin + Duration::from_secs(1));
            assert!(most <= ALLOWED, "{most} permits for {id} in a window");
            assert!(most >= 20, "{most} permits for {id}: half of what it takes");
        }
    });
}

/// The preferred owner has just been restarted and has no configuration yet; its peers still ask it.
#[test]
fn node_that_is_not_ready_does_not_act_as_owner() {
    run(async {
        let restarted = Node::unheard("a", "o", 90, 50).await;
        *restarted.board.configuration.borrow_mut() = None;
        let holders =
            [Node::start("a", "h-0", 91, 20).await, Node::start("a", "h-1", 92, 30).await];
        for (node, other) in [(0, 1), (1, 0)] {
            holders[node].meet(&restarted);
            holders[node].meet(&holders[other]);
        }
        let started = Instant::now();
        let slot = holders[0].acquire(1).await.unwrap();
        let issued = |node: &Node| node.board.cells.borrow().issued();
        assert_eq!(issued(&restarted), 0, "it does not know limits and quotas");
        assert_eq!(issued(&holders[1]), 1, "{}", slot.endpoint());
        assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
    });
}

/// The permit that a node asks for; the node's messages are sent to no one.
async fn asked_for(board: &Blackboard) -> RequestId {
    loop {
        let messages = board.outbox.borrow_mut().take();
        let mut messages = messages.into_iter().flat_map(|(_, messages)| messages);
        if let Some(Message::Request(request)) =
            messages.find(|message| matches!(message, Message::Request(_)))
        {
            return request.request;
        }
        tokio::task::yield_now().await;
    }
}

/// A repeated grant of a request's first permit was taken for its second, which the owner had not
/// issued: the endpoint that had just failed the request got it again, beyond its slots.
#[test]
fn a_late_grant_is_not_the_answer_to_the_next_request_for_a_permit() {
    run(async {
        let owner = "127.0.0.1:9".parse().unwrap();
        let node = Rc::new(Node::frozen("a", "h", 70, 10).await);
        introduce(&node.board, "o", owner, "a", 50);
        let acquire = || {
            let node = Rc::clone(&node);
            spawn_local(async move { node.acquire(1).await })
        };
        let first = acquire();
        let grant = Grant {
            request: asked_for(&node.board).await,
            endpoint: EndpointId::new("e-0").unwrap(),
            expected: Duration::ZERO,
            in_flight: 0,
        };
        holder::handle(&node.board, Message::Grant(grant.clone()), owner);
        first.await.unwrap().unwrap().release(Outcome::AtCapacity);
        let second = acquire();
        asked_for(&node.board).await;
        holder::handle(&node.board, Message::Grant(grant), owner);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(!second.is_finished(), "the owner has not answered yet");
    });
}

/// An owner that was cut off from the store granted an endpoint that its holders knew as leaving,
/// and they sent requests there.
#[test]
fn a_permit_for_an_endpoint_that_leaves_is_returned() {
    run(async {
        let owner = "127.0.0.1:9".parse().unwrap();
        let node = Rc::new(Node::frozen("a", "h", 71, 10).await);
        introduce(&node.board, "o", owner, "a", 50);
        let leaving = Listing { leaving: true, slots: SLOTS, ..listing(0) };
        relay::directory::upsert(&node.board, leaving, Version(100));
        let waiting = {
            let node = Rc::clone(&node);
            spawn_local(async move { node.acquire(1).await })
        };
        for (endpoint, is_used) in [("e-0", false), ("e-1", true)] {
            let grant = Grant {
                request: asked_for(&node.board).await,
                endpoint: EndpointId::new(endpoint).unwrap(),
                expected: Duration::ZERO,
                in_flight: 0,
            };
            holder::handle(&node.board, Message::Grant(grant), owner);
            tokio::time::sleep(Duration::from_millis(5)).await;
            assert_eq!(waiting.is_finished(), is_used, "{endpoint}");
        }
        assert_eq!(waiting.await.unwrap().unwrap().endpoint().as_str(), "e-1");
    });
}

/// A node acts as owner while the preferred one is away. When that is back, requests that owners of
/// other zones forwarded kept both acting, and endpoints got twice the requests that they have slots.
#[test]
fn forwarded_requests_do_not_keep_a_second_owner() {
    run(async {
        let (preferred, nodes) = zone(1, 46).await;
        let stand_in = &nodes[0];
        let caller = "127.0.0.1:9".parse().unwrap();
        let request = |number: u64, holder| {
            let id = RequestId::new(u128::from(number));
            Message::Request(Box::new(permit::Request {
                request: id,
                holder,
                service: service(),
                rank: Rank(1),
                organisation: organisation(),
                size: Size { prompt: Tokens(10), output: Tokens(10) },
                max_output: Tokens(10),
                target_gap: None,
                soft: Duration::from_secs(20),
                hard: Duration::from_secs(20),
                fingerprint: Fingerprint(number),
                cost: Tokens(0),
                avoid: Box::default(),
            }))
        };
        owner::handle(&stand_in.board, request(1, None), caller);
        assert!(stand_in.board.is_owner(&service()), "its zone's holders ask it");
        for number in 2..16 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            owner::handle(&stand_in.board, request(number, Some(caller)), caller);
        }
        assert!(!stand_in.board.is_owner(&service()), "only another zone's owner asks it");
        drop(preferred);
    });
}

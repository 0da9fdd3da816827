//! What nodes tell each other.
//!
//! Load pattern: seven to some hundred nodes fill the same endpoints within
//! milliseconds of each other. Each node sends a small digest of what it has
//! in flight to every other node at an interval that grows with their number,
//! so that a node receives about the same number of datagrams at any size.
//! A digest carries sums and present values, never changes, so that a lost
//! one costs nothing but its age.
//!
//! Those in the same availability zone hear each other often, the others less
//! often: the first compete for the same endpoints, the others only when their
//! own are full.
//!
//! A few nodes, found by rendezvous hashing over those that are heard, read
//! the store for all; see [`crate::watch`].
//!
//! Nodes find each other by their rows in the store. The store also holds the
//! secret with which datagrams are authenticated: whoever cannot read the
//! store cannot make a digest that is taken over.

use crate::{
    board::Board,
    desk,
    watch::{self, Fault, RETURN, Store, Table},
};
use anyhow::{Context, Result, ensure};
use codes::Event;
use hmac::{Hmac, Mac};
use rand::Rng;
use sched::{
    fleet::{Distance, Share},
    quota::Total,
};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use slog::info;
use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::UdpSocket;
use units::{EndpointId, Fingerprint, InstanceId, OrganisationId, Time, Tokens, Version, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// Shortest interval between two digests.
const INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Interval for each other node: the budget of datagrams that a node receives is 70 a second.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(14);
/// Longest time without a digest to a node near.
const IDLE_MOST: Duration = Duration::from_millis(500);
/// Other nodes up to which all are told as often as those near.
const SMALL: usize = 16;
/// Nodes that follow the store for all.
const READERS: usize = 8;
/// Key of the readers' rendezvous.
const READER_KEY: &str = "store readers";
/// Time without a digest after which a node is not heard.
const HEARD: Duration = Duration::from_millis(2_500);
/// Time without a digest after which a node is no longer counted on.
const FORGET: Duration = Duration::from_secs(30);
/// Interval at which the nodes' rows are read; a new node makes itself heard before that.
const DISCOVERY: Duration = Duration::from_secs(30);
/// Interval at which they are read while no other node or no secret is known.
const DISCOVERY_ALONE: Duration = Duration::from_millis(700);
/// Key of the row that holds the secret.
const SECRET_ROW: &str = "secret";
/// Prefix of the keys of the nodes' rows.
const NODE_ROWS: &str = "node/";
/// Length of the secret, in bytes.
const SECRET_BYTES: usize = 32;
/// Length of a digest's code of authenticity, in bytes.
const CODE_BYTES: usize = 16;
/// Largest datagram.
const MAX_DATAGRAM: usize = 8 * 1024;
/// Strikes that are told along.
const MAX_STRIKES: usize = 16;

type Code = Hmac<Sha256>;

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Node that sends it.
    pub from: InstanceId,
    /// Lifetime of its process; a larger one is newer.
    pub lifetime: u64,
    /// Number of the digest within the lifetime.
    pub number: u64,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Whether the node leaves.
    pub leaving: bool,
    /// Version of the configuration that it has in force.
    pub configuration: Version,
    /// Whether it follows the store for all.
    pub reads: bool,
    /// Hash of the directory as it knows it.
    pub directory: u64,
    /// Whether the store came back so recently that entries may be missing.
    pub returned: bool,
    /// Requests waiting and those that have just arrived.
    pub demand: u32,
    /// Requests in flight.
    pub loads: Box<[Load]>,
    /// Tokens admitted since the start of the process.
    pub spent: Box<[Spent]>,
    /// Requests under which endpoints failed.
    pub strikes: Box<[Strike]>,
}

/// Requests in flight at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Short hash of the endpoint's identifier.
    pub endpoint: u32,
    /// Requests.
    pub flights: u32,
    /// Prompt tokens without a first answer.
    pub unread: u64,
}

/// Tokens that a node has admitted for an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Tokens admitted since the start of the process.
    pub tokens: u64,
    /// Tokens asked for since then.
    pub asked: u64,
}

/// Request under which endpoints failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Number of failures.
    pub count: u8,
    /// Age of the last, in ms.
    pub age_ms: u32,
}

impl Digest {
    /// Whether there is nothing new in a later digest.
    fn says_the_same(&self, later: &Self) -> bool {
        self.loads == later.loads && self.spent == later.spent && self.strikes == later.strikes
    }

    /// Datagram with its code of authenticity.
    ///
    /// # Errors
    /// The digest cannot be encoded.
    pub fn seal(&self, secret: &[u8]) -> Result<Vec<u8>> {
        let mut bytes = postcard::to_stdvec(self).context("encoding a digest")?;
        let code = code(secret, &bytes)?;
        bytes.extend_from_slice(&code);
        Ok(bytes)
    }

    /// Digest out of a datagram.
    ///
    /// # Errors
    /// The code of authenticity or the encoding is wrong.
    pub fn open(datagram: &[u8], secret: &[u8]) -> Result<Self> {
        ensure!(datagram.len() > CODE_BYTES, "datagram of {} bytes", datagram.len());
        let (bytes, seal) = datagram.split_at(datagram.len() - CODE_BYTES);
        let mut mac = Code::new_from_slice(secret).context("key of the code")?;
        mac.update(bytes);
        mac.verify_truncated_left(seal).context("code of authenticity")?;
        postcard::from_bytes(bytes).context("decoding a digest")
    }
}

fn code(secret: &[u8], bytes: &[u8]) -> Result<[u8; CODE_BYTES]> {
    let mut mac = Code::new_from_slice(secret).context("key of the code")?;
    mac.update(bytes);
    let full = mac.finalize().into_bytes();
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&full[..CODE_BYTES]);
    Ok(code)
}

/// Short hash of an endpoint's identifier.
#[must_use]
pub fn tag(endpoint: &EndpointId) -> u32 {
    let hash = xxh3_64(endpoint.as_str().as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    near: bool,
    demand: u32,
    configuration: Version,
    reads: bool,
    directory: u64,
    returned: bool,
    lifetime: u64,
    number: u64,
    heard: Option<Time>,
    known_since: Time,
}

impl Peer {
    fn last(&self) -> Time {
        self.heard.unwrap_or(self.known_since)
    }
}

/// What other nodes have seen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Told {
    /// Newest configuration in force.
    pub configuration: Version,
    /// Hashes of the directory at the nodes that read the store.
    pub directories: Vec<u64>,
    /// Whether the store came back so recently that entries may be missing.
    pub returned: bool,
}

impl Told {
    /// Whether none of the nodes that read the store knows the directory `own`.
    #[must_use]
    pub fn differs(&self, own: u64) -> bool {
        !self.directories.is_empty() && !self.directories.contains(&own)
    }
}

/// This node's part of the demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Parts {
    /// Among the nodes of its availability zone.
    pub near: f64,
    /// Among all nodes.
    pub all: f64,
}

/// Other nodes.
#[derive(Debug, Default)]
pub struct Roster {
    me: Option<InstanceId>,
    peers: HashMap<InstanceId, Peer>,
    secret: Option<Box<[u8]>>,
}

impl Roster {
    /// Roster of a node that knows no other.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self { me: Some(me), ..Self::default() }
    }

    /// Whether another node is known, and the secret to speak with it.
    #[must_use]
    pub fn is_introduced(&self) -> bool {
        self.secret.is_some() && !self.peers.is_empty()
    }

    /// Nodes that are counted on, this one included.
    #[must_use]
    pub fn known(&self) -> usize {
        self.peers.len() + 1
    }

    /// Other nodes that are heard.
    #[must_use]
    pub fn heard(&self, now: Time) -> usize {
        self.heard_peers(now).count()
    }

    /// Part of the nodes counted on that are heard, this one included.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "node counts are small")]
    pub fn heard_share(&self, now: Time) -> f64 {
        (self.heard(now) + 1) as f64 / self.known() as f64
    }

    /// Notes a node's address; true when it is news.
    pub fn meet(&mut self, id: &InstanceId, address: SocketAddr, now: Time) -> bool {
        if let Some(peer) = self.peers.get_mut(id) {
            let moved = peer.address != address;
            peer.address = address;
            return moved;
        }
        let peer = Peer {
            address,
            near: false,
            demand: 0,
            configuration: Version(0),
            reads: false,
            directory: 0,
            returned: false,
            lifetime: 0,
            number: 0,
            heard: None,
            known_since: now,
        };
        self.peers.insert(id.clone(), peer);
        true
    }

    /// Whether a digest is newer than what was heard of its node; notes it if so.
    pub fn accept(&mut self, digest: &Digest, from: SocketAddr, zone: &ZoneId, now: Time) -> bool {
        self.meet(&digest.from, from, now);
        let Some(peer) = self.peers.get_mut(&digest.from) else { return false };
        if (digest.lifetime, digest.number) <= (peer.lifetime, peer.number) {
            return false;
        }
        peer.lifetime = digest.lifetime;
        peer.number = digest.number;
        peer.heard = Some(now);
        peer.near = digest.zone == *zone;
        peer.demand = digest.demand;
        peer.configuration = digest.configuration;
        peer.reads = digest.reads;
        peer.directory = digest.directory;
        peer.returned = digest.returned;
        true
    }

    fn heard_peers(&self, now: Time) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let heard = move |peer: &Peer| peer.heard.is_some_and(|at| now.since(at) < HEARD);
        self.peers.iter().filter(move |(_, peer)| heard(peer))
    }

    /// Newest that the other nodes have seen.
    #[must_use]
    pub fn told(&self, now: Time) -> Told {
        let mut told = Told::default();
        for (_, peer) in self.heard_peers(now) {
            told.configuration = told.configuration.max(peer.configuration);
            told.returned |= peer.returned;
            if peer.reads {
                told.directories.push(peer.directory);
            }
        }
        told
    }

    /// Hash of the directory that a node stated last.
    fn directory(&self, id: &InstanceId) -> Option<u64> {
        self.peers.get(id).map(|peer| peer.directory)
    }

    /// Whether this node is one of those that follow the store.
    #[must_use]
    pub fn reads(&self, now: Time) -> bool {
        let score = |id: &InstanceId| units::score(id.as_str(), READER_KEY);
        let Some(me) = &self.me else { return true };
        let mine = score(me);
        self.heard_peers(now).filter(|(id, _)| score(id) > mine).count() < READERS
    }

    /// Part of the demand of all nodes that is this node's: in its zone, and in all.
    #[must_use]
    pub fn parts(&self, demand: u32, now: Time) -> Parts {
        let mine = f64::from(demand.max(1));
        let mut near = mine;
        let mut all = mine;
        for (_, peer) in self.heard_peers(now) {
            let theirs = f64::from(peer.demand.max(1));
            all += theirs;
            if peer.near {
                near += theirs;
            }
        }
        Parts { near: mine / near, all: mine / all }
    }

    /// Whether every node is told as often as those near.
    fn is_small(&self) -> bool {
        self.peers.len() <= SMALL
    }

    /// Removes a node that leaves.
    pub fn remove(&mut self, id: &InstanceId) {
        self.peers.remove(id);
    }

    /// Removes the nodes that have been silent for too long.
    pub fn forget(&mut self, now: Time) -> Vec<InstanceId> {
        let silent = self.peers.iter().filter(|(_, peer)| now.since(peer.last()) > FORGET);
        let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.peers.remove(id);
        }
        silent
    }

    fn addresses(&self, all: bool) -> Vec<SocketAddr> {
        let told = self.peers.values().filter(|peer| all || peer.near);
        told.map(|peer| peer.address).collect()
    }

    /// Nodes that are told often, this one included.
    fn near(&self) -> usize {
        let near = self.peers.values().filter(|peer| peer.near).count();
        1 + if self.is_small() { self.peers.len() } else { near }
    }
}

/// Keeps this node's row and reads those of the others.
pub async fn discover<S: Store>(board: Rc<Board>, store: Rc<S>) {
    let row = format!("{NODE_ROWS}{}", board.settings.instance);
    let address = board.settings.listen.peers.to_string();
    let mut written = false;
    loop {
        if !written {
            written = store.write(&row, address.as_bytes(), false).await.is_ok();
        }
        match read_rows(&board, &*store).await {
            Ok(()) => board.introduced.notify_one(),
            Err(fault) => info!(board.log, "nodes not read"; Event::StoreDown,
                "table" => "Nodes", "fault" => %fault),
        }
        let alone = !written || !board.roster.borrow().is_introduced();
        tokio::time::sleep(if alone { DISCOVERY_ALONE } else { DISCOVERY }).await;
    }
}

async fn read_rows<S: Store>(board: &Board, store: &S) -> Result<(), Fault> {
    let (rows, _) = watch::read_whole(store, Table::Nodes, Version(0)).await?;
    let now = board.now();
    let mut secret = None;
    for row in &rows {
        let Some(value) = &row.value else { continue };
        if &*row.key == SECRET_ROW {
            secret = Some(value.clone());
        } else if let Some(name) = row.key.strip_prefix(NODE_ROWS) {
            meet(board, name, value, now);
        }
    }
    if let Some(secret) = secret {
        board.roster.borrow_mut().secret = Some(secret.to_vec().into());
        return Ok(());
    }
    let fresh: [u8; SECRET_BYTES] = rand::rng().random();
    match store.write(SECRET_ROW, &fresh, true).await {
        // Another node was first, or the answer was lost: the next round reads what holds.
        Ok(()) | Err(Fault::Conflict) => Ok(()),
        Err(fault) => Err(fault),
    }
}

fn meet(board: &Board, name: &str, value: &[u8], now: Time) {
    let id = InstanceId::new(name);
    let address = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
    let (Ok(id), Some(address)) = (id, address) else { return };
    if id == board.settings.instance {
        return;
    }
    if board.roster.borrow_mut().meet(&id, address, now) {
        info!(board.log, "node known"; Event::MemberJoined, "node" => %id, "address" => %address);
    }
}

/// Takes over what other nodes say.
pub async fn listen(board: Rc<Board>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => hear(&board, &buffer[..length], from),
            // An answer of the network to an earlier datagram: its node is down.
            Err(e) => board.metrics.count("datagram_error", &e.kind().to_string()),
        }
    }
}

fn hear(board: &Rc<Board>, datagram: &[u8], from: SocketAddr) {
    let secret = board.roster.borrow().secret.clone();
    let Some(secret) = secret else { return };
    let digest = match Digest::open(datagram, &secret) {
        Ok(digest) => digest,
        Err(e) => {
            board.metrics.count("datagram", "refused");
            return info!(board.log, "datagram refused"; Event::DatagramRefused,
                "from" => %from, "error" => format!("{e:#}"));
        }
    };
    let now = board.now();
    let before = board.roster.borrow().directory(&digest.from);
    if digest.from == board.settings.instance
        || !board.roster.borrow_mut().accept(&digest, from, &board.settings.zone, now)
    {
        return;
    }
    take_over(board, &digest, now);
    let changed = digest.reads && before != Some(digest.directory);
    let differs = changed && digest.directory != board.directory.get();
    board.differs.set(board.differs.get() || differs);
    if digest.configuration > board.version() || differs {
        board.behind.notify_waiters();
    }
}

fn take_over(board: &Board, digest: &Digest, now: Time) {
    let mut fleet = board.fleet.borrow_mut();
    if digest.leaving {
        info!(board.log, "node leaves"; Event::MemberLeft, "node" => %digest.from);
        board.roster.borrow_mut().remove(&digest.from);
        fleet.forget(&digest.from);
        board.meter.borrow_mut().forget(&digest.from);
        return;
    }
    let loads: HashMap<u32, &Load> = digest.loads.iter().map(|l| (l.endpoint, l)).collect();
    let shares = fleet.ids().filter_map(|id| {
        let load = loads.get(&tag(id))?;
        let share = Share { flights: load.flights, unread: Tokens(load.unread) };
        Some((id.clone(), share))
    });
    let shares = shares.collect();
    fleet.hear(&digest.from, &shares, now);
    let catalog = board.catalog.borrow();
    let mut meter = board.meter.borrow_mut();
    for spent in &digest.spent {
        let organisation = &spent.organisation;
        if let Some(allotment) = catalog.as_ref().and_then(|c| c.allotment(organisation)) {
            let (spent, asked) = (spent.tokens, spent.asked);
            let total = Total { lifetime: digest.lifetime, spent, asked };
            meter.hear(&digest.from, organisation, allotment, total, now);
        }
    }
    let mut ledger = board.ledger.borrow_mut();
    for strike in &digest.strikes {
        let age = Duration::from_millis(strike.age_ms.into());
        ledger.merge(strike.fingerprint, strike.count, age, now);
    }
}

/// Deals this node its part of what is free, and tells the other nodes what it has in flight.
pub async fn speak(board: Rc<Board>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    let mut last: Option<Digest> = None;
    let mut told_near = Time::ZERO;
    let mut told_all = Time::ZERO;
    loop {
        let interval = intervals(&board.roster.borrow());
        // News are told at once, everything else at the interval.
        let news = tokio::time::timeout(interval.near, board.news.notified()).await.is_ok();
        forget(&board);
        deal(&board, interval.near);
        number += 1;
        let digest = digest(&board, number);
        let now = board.now();
        let due = news || now.since(told_all) >= interval.all;
        let same = last.as_ref().is_some_and(|last| last.says_the_same(&digest));
        if !due && same && now.since(told_near) < IDLE_MOST {
            continue;
        }
        told_near = now;
        if due {
            told_all = now;
            let nodes = board.roster.borrow().known();
            let mut meter = board.meter.borrow_mut();
            meter.set_lag(interval.all);
            meter.set_nodes(nodes);
            meter.deal(now);
        }
        send(&board, &socket, &digest, due).await;
        last = Some(digest);
    }
}

struct Intervals {
    near: Duration,
    all: Duration,
}

fn intervals(roster: &Roster) -> Intervals {
    let span = |nodes: usize| {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        INTERVAL_MIN.max(INTERVAL_PER_NODE * nodes)
    };
    Intervals { near: span(roster.near()), all: span(roster.known()) }
}

fn deal(board: &Rc<Board>, interval: Duration) {
    let now = board.now();
    let demand = board.desk.borrow_mut().take_demand();
    board.demand.set(demand);
    let parts = board.roster.borrow().parts(demand, now);
    let small = board.roster.borrow().is_small();
    let part = |distance| match distance {
        Distance::Zone if !small => parts.near,
        _ => parts.all,
    };
    board.fleet.borrow_mut().deal(part, interval, rand::random, now);
    desk::pump_all(board);
}

fn forget(board: &Board) {
    let gone = board.roster.borrow_mut().forget(board.now());
    for id in gone {
        info!(board.log, "node forgotten"; Event::MemberDead, "node" => %id);
        board.fleet.borrow_mut().forget(&id);
        board.meter.borrow_mut().forget(&id);
    }
}

fn digest(board: &Board, number: u64) -> Digest {
    let fleet = board.fleet.borrow();
    let loads = fleet.shares().map(|(id, share)| Load {
        endpoint: tag(id),
        flights: share.flights,
        unread: share.unread.0,
    });
    let meter = board.meter.borrow();
    let spent =
        meter.totals().map(|(id, tokens, asked)| Spent { organisation: id.clone(), tokens, asked });
    let mut spent: Vec<Spent> = spent.collect();
    spent.sort_by(|a, b| a.organisation.cmp(&b.organisation));
    let strikes = board.ledger.borrow().records(board.now());
    let strikes = strikes.into_iter().take(MAX_STRIKES).map(|(fingerprint, count, age)| Strike {
        fingerprint,
        count,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    });
    Digest {
        from: board.settings.instance.clone(),
        lifetime: board.lifetime,
        number,
        zone: board.settings.zone.clone(),
        leaving: false,
        configuration: board.version(),
        reads: board.roster.borrow().reads(board.now()),
        directory: board.directory.get(),
        returned: board.store_returned.get().is_some_and(|at| board.now().since(at) < RETURN),
        demand: board.demand.get(),
        loads: loads.collect(),
        spent: spent.into(),
        strikes: strikes.collect(),
    }
}

async fn send(board: &Board, socket: &UdpSocket, digest: &Digest, all: bool) {
    let (secret, addresses) = {
        let roster = board.roster.borrow();
        (roster.secret.clone(), roster.addresses(all || roster.is_small()))
    };
    let Some(secret) = secret else { return };
    let datagram = match digest.seal(&secret) {
        Ok(datagram) => datagram,
        Err(e) => return info!(board.log, "digest not sent"; "error" => format!("{e:#}")),
    };
    for address in addresses {
        if let Err(e) = socket.try_send_to(&datagram, address) {
            board.metrics.count("datagram_error", &e.kind().to_string());
        }
    }
}

/// Tells the other nodes that this one leaves.
pub async fn leave(board: &Board, socket: &UdpSocket) {
    let digest = Digest { leaving: true, ..digest(board, u64::MAX) };
    send(board, socket, &digest, true).await;
}

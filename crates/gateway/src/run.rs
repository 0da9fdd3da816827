//! Startup and shutdown of the process.

use crate::{
    blackboard::{Blackboard, Counters, Phase},
    controller,
    dispatcher::Dispatcher,
    estimate::Estimator,
    http,
    metrics::Metrics,
    settings::Settings,
};
use anyhow::{Context, Result};
use codes::Event;
use link::{Identity, Incoming, Link};
use member::{Config, Record, Roster, State};
use parking_lot::{Mutex, RwLock};
use slog::{Logger, info, o};
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize},
    },
    time::Duration,
};
use tokio::sync::{Notify, mpsc, watch};
use units::{Time, time::Clock};

/// Capacity of each controller's queue.
const QUEUE_CALLS: usize = 4096;
/// Time limit for peers to learn that this gateway leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Receiving ends of the controllers' queues.
#[derive(Debug)]
pub struct Queues {
    /// Frames from peers.
    pub incoming: mpsc::Receiver<Incoming>,
    /// Calls to the claims controller.
    pub claims: mpsc::Receiver<controller::claims::Call>,
    /// Publications for the configuration controller.
    pub documents: mpsc::Receiver<wire::publication::Document>,
}

/// Bound addresses.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Callers.
    pub callers: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
}

/// Runs a gateway until a signal stops it.
///
/// # Errors
/// An address that cannot be bound, an unusable identity, or a client that cannot be built.
pub async fn run(settings: Settings, log: Logger) -> Result<()> {
    let log = log.new(o!("instance" => settings.instance.to_string()));
    let callers = bind(settings.listen.callers)?;
    let operators = bind(settings.listen.operators)?;
    let identity = read_identity(&settings)?;
    let (link, incoming) =
        Link::bind(settings.instance.clone(), settings.listen.peers, &identity, log.clone())?;
    let bound = Bound {
        callers: callers.local_addr()?,
        peers: link.local_address()?,
        operators: operators.local_addr()?,
    };
    let (board, queues) = new_blackboard(settings, log, link, incoming, bound)?;
    controller::spawn_all(&board, queues, bound).await?;
    let servers = http::serve(&board, callers, operators)?;
    info!(board.log, "started"; Event::Started, "callers" => %bound.callers,
        "peers" => %bound.peers, "operators" => %bound.operators);
    controller::shutdown::wait(&board).await;
    let outputs = board.roster.lock().leave(board.now());
    controller::membership::apply_outputs(&board, outputs);
    board.link.close(LEAVE_TIMEOUT).await;
    for server in servers {
        server.stop(true).await;
    }
    info!(board.log, "stopped"; Event::Stopped);
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("binding {address}"))
}

/// Reads the identity from the files named in the settings.
pub fn read_identity(settings: &Settings) -> Result<Identity> {
    let peers = &settings.peers;
    Identity::read(&peers.certificate, &peers.key, &peers.authorities)
}

fn new_blackboard(
    settings: Settings,
    log: Logger,
    link: Link,
    incoming: mpsc::Receiver<Incoming>,
    bound: Bound,
) -> Result<(Arc<Blackboard>, Queues)> {
    let (claims, claims_receiver) = mpsc::channel(QUEUE_CALLS);
    let (documents, documents_receiver) = mpsc::channel(QUEUE_CALLS);
    let own_record = Record {
        instance: settings.instance.clone(),
        address: bound.peers,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        incarnation: crate::blackboard::unix_time_ms(),
        state: State::Alive,
    };
    let clock = Clock::new();
    let mut roster = Roster::new(own_record, Config::default(), Time::ZERO);
    roster.set_seeds(settings.peers.seeds.clone());
    let board = Blackboard {
        metrics: Metrics::new(settings.metrics)?,
        settings,
        clock,
        log,
        link,
        roster: Mutex::new(roster),
        config: RwLock::new(None),
        listed: RwLock::default(),
        leaving: Mutex::default(),
        map: RwLock::default(),
        map_changed: Notify::new(),
        load_reports: RwLock::default(),
        strikes: Mutex::default(),
        dispatcher: Dispatcher::default(),
        demands: Mutex::default(),
        estimator: Estimator::default(),
        counters: Counters::default(),
        in_progress: AtomicUsize::new(0),
        phase: watch::Sender::new(Phase::Serving),
        stale: AtomicBool::new(false),
        stalled_at: AtomicU64::new(0),
        last_tick: AtomicU64::new(0),
        store_up: AtomicBool::new(true),
        claims,
        documents,
    };
    let queues = Queues { incoming, claims: claims_receiver, documents: documents_receiver };
    Ok((Arc::new(board), queues))
}

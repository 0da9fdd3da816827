//! Quarantine of requests that crash endpoints, by all nodes.
//!
//! Load: see [`sched::quarantine`]. Each node sees only the crashes under its own
//! requests, and no two crashes may be seen by the same node. A node therefore
//! sends evidence to all others when it learns of a crash, and when a request
//! clears suspected traits. Datagrams may be lost, and nodes start later, so the
//! nodes that read the store repeat what matters every second, and send it to a
//! node when they first hear from it.

use crate::{
    admission, blackboard::Blackboard, digest::Datagram, dispatcher::Slot, peers, reply::Refused,
};
use codes::{Code, Event};
use sched::{
    fleet::Choice,
    quarantine::{CrashId, Evidence, Verdict},
};
use slog::info;
use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::{TcpStream, UdpSocket};
use units::{Fingerprint, Time};

/// Time limit for the connection attempt that tells a crashed endpoint from a broken connection.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a response must go on before its request counts as sound. An endpoint may end
/// just after the first event.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(250);
/// Interval at which evidence is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which evidence is gathered for one datagram: that of the requests of one crash.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// Maximum number of traits in a datagram; one takes up to 250 bytes.
const MAX_TRAITS: usize = 24;
/// Number of traits that are repeated.
const MAX_REPEATED: usize = 8;

/// Endpoint at which a request ran or waited.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    address: SocketAddr,
    crash: CrashId,
}

impl Site {
    /// Endpoint of a slot.
    #[must_use]
    pub fn new(slot: &Slot) -> Self {
        let Choice { endpoint, address, born, .. } = &slot.choice;
        Self { address: *address, crash: CrashId::new(endpoint, *born) }
    }
}

/// Refuses a request with a suspected trait that may not be tried now.
///
/// # Errors
/// The refusal.
pub fn check(board: &Blackboard, accepted: &admission::Request) -> Result<(), Refused> {
    verdict(board, accepted).map(|_| ())
}

/// As [`check`], before a request is sent: a trial begins if it is one.
///
/// # Errors
/// The refusal.
pub fn check_out(board: &Blackboard, accepted: &admission::Request) -> Result<(), Refused> {
    if let Some(fingerprint) = verdict(board, accepted)? {
        let now = board.now();
        board.quarantine.borrow_mut().record_trial(fingerprint, now);
        info!(board.log, "quarantine tried"; Event::Quarantine,
            "request" => &*accepted.head.attempt, "fingerprint" => %fingerprint,
            "crashes" => board.quarantine.borrow().crashes(fingerprint));
        board.metrics.count("quarantine", "tried");
        send(board, [fingerprint]);
    }
    Ok(())
}

/// Trait that the request tries, if any.
fn verdict(
    board: &Blackboard,
    accepted: &admission::Request,
) -> Result<Option<Fingerprint>, Refused> {
    let now = board.now();
    let rank = |fingerprint| board.roster.borrow().rank(fingerprint, now);
    let quarantine = board.quarantine.borrow();
    match quarantine.verdict(&accepted.traits, rank, now) {
        Verdict::Clear => Ok(None),
        Verdict::Trial(fingerprint) => Ok(Some(fingerprint)),
        Verdict::Quarantined { fingerprint, wait } => {
            let crashes = quarantine.crashes(fingerprint);
            let cause = format!("{crashes} endpoints crashed under {fingerprint}");
            Err(Refused::new(Code::Crashing, cause).with_retry_after(wait))
        }
    }
}

/// Records evidence against a request if its endpoint refuses connections right after it failed.
pub async fn record_if_crashed(board: &Blackboard, accepted: &admission::Request, site: Site) {
    board.pool.remove_address(site.address);
    let probe = tokio::time::timeout(CRASH_PROBE_TIMEOUT, TcpStream::connect(site.address)).await;
    if !matches!(probe, Ok(Err(_))) {
        return;
    }
    let now = board.now();
    let changed = board.quarantine.borrow_mut().record_crash(&accepted.traits, site.crash, now);
    info!(board.log, "endpoint crashed"; Event::Strike, "request" => &*accepted.head.attempt,
        "address" => %site.address, "organisation" => %accepted.submission.organisation,
        "traits" => join(&accepted.traits), "new" => changed.len());
    board.metrics.count("quarantine", "crash");
    announce(board, changed);
}

/// Clears the traits of a request whose response has gone on for long enough.
pub fn record_survival(board: &Blackboard, accepted: &admission::Request) {
    let cleared = board.quarantine.borrow_mut().record_survival(&accepted.traits);
    if !cleared.is_empty() {
        info!(board.log, "traits cleared"; Event::QuarantineCleared,
            "request" => &*accepted.head.attempt, "traits" => join(&cleared));
        board.metrics.count("quarantine", "cleared");
        announce(board, cleared);
    }
}

fn join(traits: &[Fingerprint]) -> String {
    let traits: Vec<String> = traits.iter().map(Fingerprint::to_string).collect();
    traits.join(",")
}

/// Logs traits that are suspected now, and has what changed sent to all nodes.
fn announce(board: &Blackboard, changed: Vec<Fingerprint>) {
    if changed.is_empty() {
        return;
    }
    for fingerprint in &changed {
        log_suspicion(board, *fingerprint, "own");
    }
    send(board, changed);
}

/// Has the evidence on these traits sent to all nodes.
fn send(board: &Blackboard, traits: impl IntoIterator<Item = Fingerprint>) {
    board.unsent_evidence.borrow_mut().extend(traits);
    board.evidence_changed.notify_one();
}

fn log_suspicion(board: &Blackboard, fingerprint: Fingerprint, source: &str) {
    let quarantine = board.quarantine.borrow();
    if quarantine.is_suspected(fingerprint) {
        info!(board.log, "quarantined"; Event::Quarantine, "fingerprint" => %fingerprint,
            "crashes" => quarantine.crashes(fingerprint), "source" => source);
    }
}

/// Merges evidence of another node.
pub fn merge(board: &Blackboard, evidence: &[Evidence], from: SocketAddr) {
    let now = board.now();
    for evidence in evidence {
        let changed = board.quarantine.borrow_mut().merge(evidence, now);
        if changed {
            log_suspicion(board, evidence.fingerprint, &from.to_string());
        }
    }
}

/// Sends what matters to a node that has just started, if this node reads the store.
pub fn greet(board: &Blackboard, socket: &UdpSocket, to: SocketAddr) {
    if !board.is_reader() {
        return;
    }
    let evidence = {
        let quarantine = board.quarantine.borrow();
        quarantine.evidence(&quarantine.prominent(MAX_REPEATED), board.now())
    };
    if !evidence.is_empty() {
        peers::send_to(board, socket, &Datagram::Crashes(evidence.into()), &[to]);
    }
}

/// Sends new evidence to all other nodes, and repeats what matters to nodes that missed it.
pub async fn run(board: Rc<Blackboard>, socket: Rc<UdpSocket>) {
    let mut repeated = Time::ZERO;
    loop {
        let notified = board.evidence_changed.notified();
        if tokio::time::timeout(REPEAT_INTERVAL, notified).await.is_ok() {
            tokio::time::sleep(GATHER_TIME).await;
        }
        let now = board.now();
        let mut traits: BTreeSet<Fingerprint> =
            std::mem::take(&mut *board.unsent_evidence.borrow_mut());
        if now.since(repeated) >= REPEAT_INTERVAL {
            repeated = now;
            board.quarantine.borrow_mut().prune(now);
            let quarantine = board.quarantine.borrow();
            if board.is_reader() {
                traits.extend(quarantine.prominent(MAX_REPEATED));
            }
        }
        let traits: Vec<Fingerprint> = traits.into_iter().collect();
        for traits in traits.chunks(MAX_TRAITS) {
            let evidence = board.quarantine.borrow().evidence(traits, now);
            let nodes = board.roster.borrow().addresses(true);
            peers::send_to(&board, &socket, &Datagram::Crashes(evidence.into()), &nodes);
        }
    }
}

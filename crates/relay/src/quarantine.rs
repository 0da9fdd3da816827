//! Quarantine of requests that crash endpoints, by all nodes.
//!
//! Load: see [`sched::quarantine`]. A node sees only the crashes under its own
//! requests, so each node may see one of three crashes under the same part.
//! Evidence, and what clears it, is therefore announced to all nodes, see
//! [`crate::announce`].

use crate::{
    admission, blackboard::Blackboard, digest::Datagram, dispatcher::Slot, reply::Refused,
};
use codes::{Code, Event};
use sched::{
    fleet::Choice,
    quarantine::{CrashId, Evidence, Verdict},
};
use slog::info;
use std::{net::SocketAddr, time::Duration};
use tokio::net::TcpStream;
use units::Fingerprint;

/// Time limit for the connection attempt that tells a crashed endpoint from a broken connection.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a response must go on before its request counts as sound. An endpoint may end
/// just after the first event.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(250);
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

/// As [`check`], just before a request is sent. A request that tries a trait is recorded as the trial.
///
/// # Errors
/// The refusal.
pub fn check_attempt(board: &Blackboard, accepted: &admission::Request) -> Result<(), Refused> {
    if let Some(fingerprint) = verdict(board, accepted)? {
        let now = board.now();
        board.quarantine.borrow_mut().record_trial(fingerprint, now);
        info!(board.log, "quarantine tried"; Event::Quarantine,
            "request" => &*accepted.head.attempt, "fingerprint" => %fingerprint,
            "crashes" => board.quarantine.borrow().crashes(fingerprint));
        board.metrics.count("quarantine", "tried");
        queue_evidence(board, [fingerprint]);
    }
    Ok(())
}

/// Trait that the request tries, if any.
fn verdict(
    board: &Blackboard,
    accepted: &admission::Request,
) -> Result<Option<Fingerprint>, Refused> {
    let now = board.now();
    let rank = |fingerprint: Fingerprint| board.roster.borrow().rank(&fingerprint.to_string(), now);
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
    queue_evidence(board, changed);
}

/// Has the evidence on these traits sent to all nodes.
fn queue_evidence(board: &Blackboard, traits: impl IntoIterator<Item = Fingerprint>) {
    board.unsent_evidence.borrow_mut().extend(traits);
    board.announce_now.notify_one();
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

/// Announcements of what this node has learned itself.
pub fn take_unsent(board: &Blackboard) -> Vec<Datagram> {
    let unsent = std::mem::take(&mut *board.unsent_evidence.borrow_mut());
    let unsent: Vec<Fingerprint> = unsent.into_iter().collect();
    datagrams(board, &unsent)
}

/// The evidence that matters most.
pub fn summary(board: &Blackboard) -> Vec<Datagram> {
    let prominent = board.quarantine.borrow().prominent(MAX_REPEATED);
    datagrams(board, &prominent)
}

fn datagrams(board: &Blackboard, traits: &[Fingerprint]) -> Vec<Datagram> {
    let quarantine = board.quarantine.borrow();
    let evidence = |traits| Datagram::Crashes(quarantine.evidence(traits, board.now()).into());
    traits.chunks(MAX_TRAITS).map(evidence).collect()
}

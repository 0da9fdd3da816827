//! Quarantine of requests that crash endpoints, by all nodes.
//!
//! Load: see [`sched::quarantine`]. A node sees only the crashes under its own
//! requests, so each node may see one of three crashes under the same part.
//! Evidence, and what clears it, is therefore announced to all nodes, see
//! [`crate::announce`].
//!
//! All nodes may end at once, and three more endpoints would crash until they
//! knew the part again. The node that saw the last crash of a suspected trait
//! therefore saves the evidence as a row of the nodes' table, which each node
//! reads before it is ready. The nodes that read the store for the others delete
//! the rows of traits that are no longer suspected.

use crate::{
    admission,
    blackboard::Blackboard,
    digest::Datagram,
    dispatcher::Slot,
    reply::Refused,
    watch::{Row, Store},
};
use codes::{Code, Event};
use sched::{
    fleet::Choice,
    quarantine::{CrashId, Evidence, Verdict},
};
use slog::info;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::TcpStream;
use units::{Fingerprint, Version};

/// Time limit for the connection attempt that tells a crashed endpoint from a broken connection.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a response must go on before its request counts as sound. An endpoint may end
/// just after the first event.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(250);
/// Maximum number of traits in a datagram; one takes up to 250 bytes.
const MAX_TRAITS: usize = 24;
/// Number of traits that are repeated, and saved.
const MAX_REPEATED: usize = 8;
/// Prefix of the keys of rows with evidence.
const EVIDENCE_ROWS: &str = "evidence/";
/// Time between a crash and the writing of its row. A part that sound requests share is mostly
/// cleared meanwhile.
const SAVE_DELAY: Duration = Duration::from_millis(300);
/// Delay before another attempt to write a row.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(1);

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
    board.unsaved_evidence.borrow_mut().extend(&changed);
    board.save_evidence.notify_one();
    queue_evidence(board, changed);
}

/// Saves the evidence on suspected traits to the store, so that it survives the end of all nodes.
pub async fn save<S: Store>(board: Rc<Blackboard>, store: Rc<S>) {
    loop {
        board.save_evidence.notified().await;
        let mut delay = SAVE_DELAY;
        while !board.unsaved_evidence.borrow().is_empty() {
            tokio::time::sleep(delay).await;
            delay = SAVE_RETRY_DELAY;
            save_suspected(&board, &*store).await;
        }
    }
}

/// Saves all evidence on suspected traits again, if this node reads the store for the others.
pub fn save_again(board: &Blackboard) {
    if board.is_reader() {
        let traits = board.quarantine.borrow().prominent(MAX_REPEATED);
        board.unsaved_evidence.borrow_mut().extend(traits);
        board.save_evidence.notify_one();
    }
}

/// Writes the rows of suspected traits, and keeps those for later that cannot be written now.
async fn save_suspected<S: Store>(board: &Blackboard, store: &S) {
    let unsaved = std::mem::take(&mut *board.unsaved_evidence.borrow_mut());
    let evidence = {
        let quarantine = board.quarantine.borrow();
        let mut traits = quarantine.prominent(MAX_REPEATED);
        traits.retain(|fingerprint| {
            unsaved.contains(fingerprint) && quarantine.is_suspected(*fingerprint)
        });
        quarantine.evidence(&traits, board.now())
    };
    for evidence in evidence {
        let fingerprint = evidence.fingerprint;
        if let Err(fault) = save_row(store, &evidence).await {
            info!(board.log, "saving evidence failed"; Event::StoreDown,
                "fingerprint" => %fingerprint, "fault" => format!("{fault:#}"));
            board.unsaved_evidence.borrow_mut().insert(fingerprint);
        }
    }
}

async fn save_row<S: Store>(store: &S, evidence: &Evidence) -> anyhow::Result<()> {
    let key = format!("{EVIDENCE_ROWS}{}", evidence.fingerprint);
    let value = postcard::to_stdvec(evidence)?;
    Ok(store.write(&key, &value, false).await?)
}

/// Evidence in a row; none for other rows and for those that cannot be decoded.
fn decode_row(row: &Row) -> Option<Evidence> {
    row.key.strip_prefix(EVIDENCE_ROWS)?;
    postcard::from_bytes(row.value.as_ref()?).ok()
}

/// Takes over saved evidence when the node starts. Crashes count as old as they were when they were
/// saved, since clocks of nodes may disagree: the quarantine begins anew.
pub fn load(board: &Blackboard, rows: &[Row]) {
    for evidence in rows.iter().filter_map(decode_row) {
        if board.quarantine.borrow_mut().merge(&evidence, board.now()) {
            log_suspicion(board, evidence.fingerprint, "store");
        }
    }
}

/// Key and version of the rows with evidence that no longer matters.
pub fn stale_rows(board: &Blackboard, rows: &[Row]) -> Vec<(Box<str>, Version)> {
    let quarantine = board.quarantine.borrow();
    let is_stale = |row: &&Row| {
        let suspected = decode_row(row).is_some_and(|e| quarantine.is_suspected(e.fingerprint));
        row.key.starts_with(EVIDENCE_ROWS) && !suspected
    };
    rows.iter().filter(is_stale).map(|row| (row.key.clone(), row.version)).collect()
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

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
//!
//! Builds before [`Trait::Target`] know shared traits only. These have datagrams
//! and rows of their own, in the form of those builds.

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
    quarantine::{CrashId, Evidence, Trait, Verdict},
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
/// Maximum number of traits in a datagram; one takes up to 280 bytes.
const MAX_TRAITS: usize = 24;
/// Number of traits that are repeated, and saved.
const MAX_REPEATED: usize = 16;
/// Prefix of the keys of rows with evidence against shared traits.
const SHARED_ROWS: &str = "evidence/";
/// Prefix of the keys of rows with evidence against other traits; older builds ignore them.
const REQUEST_ROWS: &str = "request-evidence/";
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
    if let Some(subject) = verdict(board, accepted)? {
        let now = board.now();
        board.quarantine.borrow_mut().record_trial(subject, now);
        info!(board.log, "quarantine tried"; Event::Quarantine,
            "request" => &*accepted.head.attempt, "fingerprint" => %subject,
            "crashes" => board.quarantine.borrow().crashes(subject));
        board.metrics.count("quarantine", "tried");
        queue_evidence(board, [subject]);
    }
    Ok(())
}

/// Trait that the request tries, if any.
fn verdict(board: &Blackboard, accepted: &admission::Request) -> Result<Option<Trait>, Refused> {
    let now = board.now();
    let rank = |subject: Trait| board.roster.borrow().rank(&subject.to_string(), now);
    let quarantine = board.quarantine.borrow();
    match quarantine.verdict(&accepted.traits, rank, now) {
        Verdict::Clear => Ok(None),
        Verdict::Trial(subject) => Ok(Some(subject)),
        Verdict::Quarantined { subject, wait } => {
            let crashes = quarantine.crashes(subject);
            let cause = format!("{crashes} endpoints crashed under {subject}");
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

fn join(traits: &[Trait]) -> String {
    let traits: Vec<String> = traits.iter().map(Trait::to_string).collect();
    traits.join(",")
}

/// Logs traits that are suspected now, and has what changed sent to all nodes.
fn announce(board: &Blackboard, changed: Vec<Trait>) {
    if changed.is_empty() {
        return;
    }
    for subject in &changed {
        log_suspicion(board, *subject, "own");
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
        traits.retain(|subject| unsaved.contains(subject) && quarantine.is_suspected(*subject));
        quarantine.evidence(&traits, board.now())
    };
    for evidence in evidence {
        let subject = evidence.subject;
        if let Err(fault) = save_row(store, &evidence).await {
            info!(board.log, "saving evidence failed"; Event::StoreDown,
                "fingerprint" => %subject, "fault" => format!("{fault:#}"));
            board.unsaved_evidence.borrow_mut().insert(subject);
        }
    }
}

async fn save_row<S: Store>(store: &S, evidence: &Evidence) -> anyhow::Result<()> {
    let (prefix, value) = match evidence.to_shared() {
        Some(shared) => (SHARED_ROWS, postcard::to_stdvec(&shared)?),
        None => (REQUEST_ROWS, postcard::to_stdvec(evidence)?),
    };
    let key = format!("{prefix}{}", evidence.subject);
    Ok(store.write(&key, &value, false).await?)
}

/// Evidence in a row; none for other rows and for those that cannot be decoded.
fn decode_row(row: &Row) -> Option<Evidence> {
    let value = row.value.as_ref()?;
    if row.key.starts_with(SHARED_ROWS) {
        postcard::from_bytes::<Evidence<Fingerprint>>(value).ok().map(Into::into)
    } else {
        row.key.strip_prefix(REQUEST_ROWS)?;
        postcard::from_bytes(value).ok()
    }
}

/// Takes over saved evidence when the node starts. Crashes count as old as they were when they were
/// saved, since clocks of nodes may disagree: the quarantine begins anew.
pub fn load(board: &Blackboard, rows: &[Row]) {
    for evidence in rows.iter().filter_map(decode_row) {
        if board.quarantine.borrow_mut().merge(&evidence, board.now()) {
            log_suspicion(board, evidence.subject, "store");
        }
    }
}

/// Key and version of the rows with evidence that no longer matters.
pub fn stale_rows(board: &Blackboard, rows: &[Row]) -> Vec<(Box<str>, Version)> {
    let quarantine = board.quarantine.borrow();
    let is_stale = |row: &&Row| {
        let suspected = decode_row(row).is_some_and(|e| quarantine.is_suspected(e.subject));
        [SHARED_ROWS, REQUEST_ROWS].iter().any(|rows| row.key.starts_with(rows)) && !suspected
    };
    rows.iter().filter(is_stale).map(|row| (row.key.clone(), row.version)).collect()
}

/// Has the evidence on these traits sent to all nodes.
fn queue_evidence(board: &Blackboard, traits: impl IntoIterator<Item = Trait>) {
    board.unsent_evidence.borrow_mut().extend(traits);
    board.announce_now.notify_one();
}

fn log_suspicion(board: &Blackboard, subject: Trait, source: &str) {
    let quarantine = board.quarantine.borrow();
    if quarantine.is_suspected(subject) {
        info!(board.log, "quarantined"; Event::Quarantine, "fingerprint" => %subject,
            "crashes" => quarantine.crashes(subject), "source" => source);
    }
}

/// Merges evidence of another node.
pub fn merge(board: &Blackboard, evidence: impl IntoIterator<Item = Evidence>, from: SocketAddr) {
    let now = board.now();
    for evidence in evidence {
        let changed = board.quarantine.borrow_mut().merge(&evidence, now);
        if changed {
            log_suspicion(board, evidence.subject, &from.to_string());
        }
    }
}

/// Announcements of what this node has learned itself.
pub fn take_unsent(board: &Blackboard) -> Vec<Datagram> {
    let unsent = std::mem::take(&mut *board.unsent_evidence.borrow_mut());
    let unsent: Vec<Trait> = unsent.into_iter().collect();
    datagrams(board, &unsent)
}

/// The evidence that matters most.
pub fn summary(board: &Blackboard) -> Vec<Datagram> {
    let prominent = board.quarantine.borrow().prominent(MAX_REPEATED);
    datagrams(board, &prominent)
}

fn datagrams(board: &Blackboard, traits: &[Trait]) -> Vec<Datagram> {
    let evidence = board.quarantine.borrow().evidence(traits, board.now());
    let (shared, other): (Vec<Evidence>, Vec<Evidence>) =
        evidence.into_iter().partition(|e| matches!(e.subject, Trait::Shared(_)));
    let shared: Vec<_> = shared.iter().filter_map(Evidence::to_shared).collect();
    let shared = shared.chunks(MAX_TRAITS).map(|chunk| Datagram::Crashes(chunk.into()));
    let other = other.chunks(MAX_TRAITS).map(|chunk| Datagram::RequestCrashes(chunk.into()));
    shared.chain(other).collect()
}

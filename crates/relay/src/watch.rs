//! Follows the store's tables.
//!
//! A table is read completely once; after that, its changes are followed. If
//! the store no longer holds the history back to the last known version, the
//! table is reread. Pages older than the last known version are rejected. While
//! the store is unreachable, the last known state stays in force.
//!
//! The store may come back from an older copy. Its versions are then newer than
//! all before ([`Store::era`]), although their content is older: what has left
//! stays unused until it is written again, and what is missing stays in use as
//! after an outage. The configuration has a version of its own, which never goes
//! back.
//!
//! Only a few nodes, the readers that [`crate::roster`] chooses, follow the
//! store. In their digests they state the version of their configuration and
//! send changes of the directory ([`crate::journal`]). Other nodes that lack a
//! newer configuration or missed changes get the whole document from a node
//! that has it ([`crate::transfer`]), and read the store only if none sends it
//! in time.
//!
//! Endpoints' entries may expire while the store is unavailable and are written
//! again shortly after its return. An entry that disappears around that time
//! stays in use until they must be back, see [`crate::outage`]. A node judges by
//! its own calls alone: another one may have been cut off by itself. While the
//! store is away, the nodes take each other's place as readers, so that all that
//! may read after its return have noticed.

mod absence;

use self::absence::Missing;
use crate::{
    blackboard::Blackboard,
    configuration::Configuration,
    directory, dispatcher, quarantine,
    rollout::{
        self, Directive,
        save::{Rows, Status},
    },
    transfer::{self, Document, Kind},
};
use anyhow::{Result, ensure};
use bytes::Bytes;
use codes::Event;
use sched::fleet::Listing;
use slog::{info, warn};
use std::{cell::Cell, collections::BTreeSet, future::Future, rc::Rc, time::Duration};
use units::{EndpointId, ServiceId, Time, Version};

/// Longest wait for the nodes' rows before the first configuration is read.
const NODES_READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after the first failed call; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Longest time without new versions from readers before a node reads the store itself; every
/// heartbeat of an endpoint increases the store's version.
const READER_SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between attempts to get a document from other nodes.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Table of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// Configuration, written by operators.
    Configuration,
    /// Endpoints; each writes its own row.
    Endpoints,
    /// Nodes; each writes its own row.
    Nodes,
}

/// Row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: Box<str>,
    /// Value; none if the row was deleted.
    pub value: Option<Bytes>,
    /// Store version at which the row was written.
    pub version: Version,
}

/// Rows at one version, or changes up to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Rows.
    pub rows: Vec<Row>,
    /// Newest version of the store.
    pub version: Version,
    /// Whether more rows follow.
    pub has_more: bool,
}

/// Failure of a store call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store no longer holds the requested changes.
    #[error("history lost")]
    HistoryLost,
    /// A precondition of a write failed.
    #[error("condition does not hold")]
    Conflict,
    /// There was no response, or an unusable one.
    #[error("{0}")]
    Unavailable(Box<str>),
}

/// Access to the store.
pub trait Store {
    /// Rows of a table after a key.
    fn read(&self, table: Table, after: Option<&str>) -> impl Future<Output = Result<Page, Error>>;

    /// Changes of a table after a version; returns when there are any or after `wait`.
    fn follow(
        &self,
        table: Table,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>>;

    /// Writes a row of the nodes' table; with `absent`, only if it does not exist.
    fn write(
        &self,
        key: &str,
        value: &[u8],
        absent: bool,
    ) -> impl Future<Output = Result<(), Error>>;

    /// Deletes a row of the nodes' table if it still has the given version.
    fn delete(&self, key: &str, version: Version) -> impl Future<Output = Result<(), Error>>;

    /// Reads the rows of a service's rollout; `key` is that of the nodes' own row.
    fn read_rollout(
        &self,
        service: &ServiceId,
        key: &str,
    ) -> impl Future<Output = Result<Rows, Error>> {
        let _ = (service, key);
        std::future::ready(Err(Error::Unavailable("no rollouts".into())))
    }

    /// Writes the rows of a service's rollout in one transaction, if they are as `read`.
    fn write_rollout(
        &self,
        key: &str,
        status: &Status,
        own: &[u8],
        read: &Rows,
    ) -> impl Future<Output = Result<(), Error>> {
        let _ = (key, status, own, read);
        std::future::ready(Err(Error::Unavailable("no rollouts".into())))
    }

    /// Number of times that the store had come back from an older copy at a position.
    fn era(&self, position: Version) -> u64 {
        let _ = position;
        0
    }

    /// Time of the store's steady clock now, in ms, as of its last response.
    fn clock_ms(&self) -> Option<u64> {
        None
    }

    /// Service of a rollout, if the key in the operators' table is that of an order.
    fn order_service(&self, key: &str) -> Option<ServiceId> {
        let _ = key;
        None
    }

    /// Decodes an order. A value that cannot be decoded gives an order that cannot be executed.
    fn decode_order(&self, service: &ServiceId, value: &[u8], version: Version) -> Directive {
        let _ = value;
        Directive::invalid(service, None, version, "no rollouts".into())
    }

    /// Decodes the configuration.
    ///
    /// # Errors
    /// The value is not a valid configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration>;

    /// Decodes an endpoint's entry.
    ///
    /// # Errors
    /// The value is not a valid entry.
    fn decode_listing(&self, key: &str, value: &[u8]) -> Result<Listing>;
}

/// Position in a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// The whole table must be read; pages older than the version are rejected.
    Unread(Version),
    /// Changes after the version are read next.
    Following(Version),
}

/// Result of one read by a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// All rows, or only the changed ones.
    pub rows: Vec<Row>,
    /// Store version of the rows.
    pub version: Version,
    /// Whether these are all rows of the table.
    pub complete: bool,
    /// Whether the store has come back from an older copy since the last read.
    pub restored: bool,
}

/// What a follower has obtained.
#[derive(Debug)]
enum Next {
    /// Rows of the store.
    Rows(Update),
    /// Document of another node.
    Document(Document),
}

/// Reads a whole table.
///
/// # Errors
/// A page cannot be read, or is older than `min_version`.
pub async fn read_table<S: Store>(
    store: &S,
    table: Table,
    min_version: Version,
) -> Result<(Vec<Row>, Version), Error> {
    let mut rows: Vec<Row> = Vec::new();
    let mut version = None;
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let page = store.read(table, after.as_deref()).await?;
        if page.version < min_version {
            return Err(Error::Unavailable("page is older than the known version".into()));
        }
        // Later pages may be newer; following from the first page's version rereads the changes in
        // between.
        version = version.or(Some(page.version));
        let empty = page.rows.is_empty();
        rows.extend(page.rows);
        if !page.has_more || empty {
            return Ok((rows, version.unwrap_or(min_version)));
        }
    }
}

/// Follower of one table.
#[derive(Debug)]
struct Follower {
    table: Table,
    position: Position,
    reachable: bool,
    backoff: Duration,
    last_read: Time,
    /// Whether the node was a reader at the last check.
    is_reader: bool,
    /// Time since which the node lacks something that other nodes have.
    behind_since: Option<Time>,
}

impl Follower {
    fn new(table: Table) -> Self {
        Self {
            table,
            position: Position::Unread(Version(0)),
            reachable: true,
            backoff: MIN_BACKOFF,
            last_read: Time::ZERO,
            is_reader: false,
            behind_since: None,
        }
    }

    /// Next update; retries after failures.
    async fn next<S: Store>(&mut self, board: &Blackboard, store: &S) -> Next {
        loop {
            self.skip_to_journal_head(board);
            self.check_era(board, store);
            let is_behind = self.is_behind(board);
            self.check_role(board);
            let follows = self.is_reader && !(is_behind && board.is_store_lost());
            let started = board.now();
            let result = match self.position {
                Position::Following(after) if follows => {
                    let followed = store.follow(self.table, after, self.hold(board)).await;
                    followed.map(|page| Update {
                        rows: page.rows,
                        version: page.version.max(after),
                        complete: false,
                        restored: false,
                    })
                }
                Position::Following(_) if !is_behind => {
                    // Wakes up on an update or when the role must be checked again.
                    let outdated = board.outdated.notified();
                    tokio::time::timeout(board.waits.get().role_check, outdated).await.ok();
                    continue;
                }
                Position::Following(min_version) | Position::Unread(min_version) => {
                    if self.asks_nodes(board) {
                        if let Some(document) = self.fetch(board).await {
                            self.behind_since = None;
                            return Next::Document(document);
                        }
                        tokio::time::sleep(FETCH_RETRY_DELAY).await;
                        continue;
                    }
                    // A node that stays behind, whatever the store returns, must not poll without a
                    // delay.
                    let delay = MIN_BACKOFF.saturating_sub(board.now().since(self.last_read));
                    if self.last_read != Time::ZERO {
                        tokio::time::sleep(delay).await;
                    }
                    let read = read_table(store, self.table, min_version).await;
                    read.map(|(rows, version)| Update {
                        rows,
                        version,
                        complete: true,
                        restored: min_version > Version(0)
                            && store.era(version) > store.era(min_version),
                    })
                }
            };
            self.last_read = board.now();
            match result {
                Ok(update) => {
                    self.position = Position::Following(update.version);
                    self.behind_since = None;
                    self.record_success(board);
                    // Before the update is applied: entries that a copy lacks stay in use.
                    self.check_era(board, store);
                    return Next::Rows(update);
                }
                Err(error) => self.record_error(board, &error, started).await,
            }
        }
    }

    /// Notices that the store has come back from an older copy, by this node's position or by those
    /// of others.
    fn check_era<S: Store>(&self, board: &Blackboard, store: &S) {
        let (Table::Endpoints, Position::Following(position)) = (self.table, self.position) else {
            return;
        };
        let era = store.era(position.max(board.journal.borrow().required()));
        let Some(before) = board.store_era.replace(Some(era)).filter(|before| *before < era) else {
            return;
        };
        warn!(board.log, "store restored from a copy"; Event::StoreRestored, "before" => before,
            "era" => era, "position" => position.get());
        board.metrics.set_gauge("store_era", era);
        board.outage.borrow_mut().restore(board.now());
        board.rows_lost.notify_one();
        quarantine::save_again(board);
    }

    /// Time for which the store holds back an answer without changes.
    fn hold(&self, board: &Blackboard) -> Duration {
        let waits = board.waits.get();
        match self.table {
            Table::Configuration => waits.configuration_hold,
            Table::Endpoints | Table::Nodes => waits.endpoints_hold,
        }
    }

    /// Checks whether the node reads the store for the others, and tells them at once if it begins.
    fn check_role(&mut self, board: &Blackboard) {
        let is_reader = board.is_reader();
        let changes = std::mem::replace(&mut self.is_reader, is_reader) != is_reader;
        if changes && self.table == Table::Endpoints {
            let now = board.now();
            info!(board.log, "role"; Event::RoleChanged, "reader" => is_reader,
                "store_lost" => board.is_store_lost(),
                "live" => board.roster.borrow().live_count(now));
            board.metrics.set_gauge("reader", u64::from(is_reader));
            if is_reader {
                board.broadcast_now.notify_one();
            }
        }
    }

    /// Whether the whole document is requested from other nodes rather than from the store.
    fn asks_nodes(&mut self, board: &Blackboard) -> bool {
        let now = board.now();
        let since = *self.behind_since.get_or_insert(now);
        if board.is_store_lost() {
            return board.roster.borrow().live_count(now) > 0;
        }
        !board.is_reader() && now.since(since) < board.waits.get().store_fallback
    }

    /// Document of another node that is newer than what this node has.
    async fn fetch(&mut self, board: &Blackboard) -> Option<Document> {
        let now = board.now();
        let (kind, newest) = match self.table {
            Table::Configuration => {
                let newest = board.roster.borrow().newest_configuration(now);
                (
                    Kind::Configuration,
                    newest.max(Version(board.configuration_version().get().saturating_add(1))),
                )
            }
            Table::Endpoints => (Kind::Directory, board.journal.borrow().required()),
            Table::Nodes => return None,
        };
        let is_first = matches!(self.position, Position::Unread(_));
        let min_version = (!is_first).then_some(newest);
        board.roster.borrow().source(kind, min_version, &[], now)?;
        match self.fetch_in_time(board, kind, min_version).await {
            Ok(document) => {
                if is_first {
                    // A reader that has no position in the table's history reads all of it.
                    self.position = Position::Following(Version(0));
                }
                Some(document)
            }
            Err(e) => {
                board.metrics.count("transfer", "failed");
                info!(board.log, "document not received"; Event::TransferFailed,
                    "kind" => format!("{kind:?}"), "version" => newest.get(),
                    "error" => format!("{e:#}"));
                None
            }
        }
    }

    /// Fetches a document. Once the store is to be read instead, only a document that arrives is waited
    /// for: one that is cut off and requested again keeps the link busy.
    async fn fetch_in_time(
        &self,
        board: &Blackboard,
        kind: Kind,
        min_version: Option<Version>,
    ) -> Result<Document> {
        let received = Cell::new(0);
        let fetching = transfer::fetch_counted(board, kind, min_version, &received);
        if board.is_store_lost() || board.is_reader() {
            return fetching.await;
        }
        let mut fetching = std::pin::pin!(fetching);
        let waited = self.behind_since.map_or(Duration::ZERO, |since| board.now().since(since));
        let mut wait = board.waits.get().store_fallback.saturating_sub(waited);
        loop {
            let before = received.get();
            if let Ok(result) = tokio::time::timeout(wait, fetching.as_mut()).await {
                return result;
            }
            ensure!(received.get() > before, "no node sends it in time");
            wait = transfer::STALL_TIMEOUT;
        }
    }

    /// Whether another node has newer data, or this node received no update for too long.
    fn is_behind(&self, board: &Blackboard) -> bool {
        let now = board.now();
        let newer = match self.table {
            Table::Configuration => {
                board.roster.borrow().newest_configuration(now) > board.configuration_version()
            }
            Table::Endpoints => board.journal.borrow().has_gap(now),
            Table::Nodes => false,
        };
        let last = self.last_read.max(board.journal.borrow().last_advance());
        newer || now.since(last) > READER_SILENCE_TIMEOUT
    }

    /// Skips directory changes that were already received from other nodes.
    fn skip_to_journal_head(&mut self, board: &Blackboard) {
        if let (Table::Endpoints, Position::Following(after)) = (self.table, self.position) {
            self.position = Position::Following(after.max(board.journal.borrow().head()));
        }
    }

    fn record_success(&mut self, board: &Blackboard) {
        self.backoff = MIN_BACKOFF;
        let now = board.now();
        board.outage.borrow_mut().succeed(now);
        if !self.reachable {
            self.reachable = true;
            let recovers = board.outage.borrow().recovery_end(now).map(|end| end.since(now));
            info!(board.log, "store reached"; Event::StoreUp,
                "table" => format!("{:?}", self.table),
                "entries_may_reappear_ms" => recovers.map(crate::reply::millis));
        }
    }

    async fn record_error(&mut self, board: &Blackboard, error: &Error, started: Time) {
        board.metrics.count("store_fault", &format!("{:?}", self.table));
        if *error == Error::HistoryLost {
            info!(board.log, "history lost"; Event::HistoryLost,
                "table" => format!("{:?}", self.table));
            let (Position::Unread(seen) | Position::Following(seen)) = self.position;
            self.position = Position::Unread(seen);
            // The store has answered.
            self.record_success(board);
            return;
        }
        if board.outage.borrow_mut().fail(started, board.now()) {
            // The next nodes read the store in place of this one once they know.
            board.broadcast_now.notify_one();
        }
        if self.reachable {
            self.reachable = false;
            info!(board.log, "store lost"; Event::StoreDown,
                "table" => format!("{:?}", self.table), "fault" => %error);
        }
        tokio::time::sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// Waits for the nodes' rows. A node that has just started would otherwise assume that it is alone:
/// it would grant every organisation's full quota by itself, and read the store like a reader.
async fn wait_for_nodes(board: &Blackboard) {
    let known = async {
        while !board.nodes_known.get() {
            board.nodes_read.notified().await;
        }
    };
    if tokio::time::timeout(NODES_READ_TIMEOUT, known).await.is_err() {
        warn!(board.log, "timed out waiting for the nodes' rows"; Event::StoreDown,
            "table" => "Nodes");
    }
}

/// Follows the configuration and activates new versions.
pub async fn follow_configuration<S: Store>(board: Rc<Blackboard>, store: Rc<S>) {
    wait_for_nodes(&board).await;
    let mut follower = Follower::new(Table::Configuration);
    loop {
        let values = match follower.next(&board, &*store).await {
            Next::Document(document) => vec![(document.content().map(Bytes::from), Some(document))],
            Next::Rows(mut update) => {
                rollout::apply_rows(&board, &*store, &mut update);
                let values = update.rows.into_iter().filter_map(|row| row.value);
                values.map(|value| (Ok(value), None)).collect()
            }
        };
        let empty = values.is_empty();
        for (value, document) in values {
            let activated = value.and_then(|value| activate(&board, &*store, &value, document));
            if let Err(e) = activated {
                warn!(board.log, "configuration ignored"; Event::ConfigIgnored,
                    "error" => format!("{e:#}"));
            }
        }
        if empty && board.configuration.borrow().is_none() {
            tokio::time::sleep(MIN_BACKOFF).await;
        }
    }
}

/// Puts a configuration in force if it is newer; `document` is what another node sent.
fn activate<S: Store>(
    board: &Blackboard,
    store: &S,
    value: &[u8],
    document: Option<Document>,
) -> Result<()> {
    let configuration = store.decode_configuration(value)?;
    let version = configuration.version;
    let before = board.configuration.borrow().as_ref().map(|known| known.version);
    if before.is_some_and(|known| known >= version) {
        return Ok(());
    }
    info!(board.log, "configuration in force"; Event::ConfigInForce,
        "version" => version.get(), "before" => before.map(Version::get),
        "routes" => configuration.len(), "from_node" => document.is_some(),
        "announced_ms" => board.overdue.borrow().age(board.now()).map(crate::reply::millis));
    let configuration = Rc::new(configuration);
    let before = board.configuration.replace(Some(Rc::clone(&configuration)));
    crate::learning::apply(board, &configuration, before.as_deref());
    board.overdue.borrow_mut().apply(version);
    let document = document.map_or_else(|| Document::new(version, value), Ok)?;
    board.library.borrow_mut().set_configuration(document);
    notify_peers(board);
    Ok(())
}

/// Triggers an immediate digest if this node reads the store for the others.
fn notify_peers(board: &Blackboard) {
    if board.is_reader() {
        board.broadcast_now.notify_one();
    }
}

/// Follows the directory of endpoints.
pub async fn follow_endpoints<S: Store>(board: Rc<Blackboard>, store: Rc<S>) {
    wait_for_nodes(&board).await;
    let mut follower = Follower::new(Table::Endpoints);
    let mut missing = Missing::default();
    loop {
        let started = board.now();
        let next = missing.release_during(&board, follower.next(&board, &*store)).await;
        let update = match next {
            Next::Rows(update) => update,
            Next::Document(document) => {
                replace_directory(&board, &document);
                continue;
            }
        };
        let change_count = board.journal.borrow().change_count();
        let absent = apply_update(&board, &*store, update);
        // An entry that was listed again may be missing once more.
        missing.release(&board);
        missing.add(&board, absent);
        missing.release(&board);
        let Position::Following(head) = follower.position else { continue };
        board.journal.borrow_mut().advance(head, missing.len());
        if board.journal.borrow().change_count() > change_count {
            notify_peers(&board);
        }
        board.endpoints_read.set(true);
        dispatcher::dispatch_all(&board);
        let waits = board.waits.get();
        let interval =
            if board.is_reader() { waits.reader_interval } else { waits.directory_interval };
        let delay = interval.saturating_sub(board.now().since(started));
        missing.release_during(&board, tokio::time::sleep(delay)).await;
    }
}

/// Takes over the directory of another node.
fn replace_directory(board: &Rc<Blackboard>, document: &Document) {
    match transfer::decode_directory(document) {
        Ok(snapshot) => {
            directory::replace(board, snapshot);
            board.endpoints_read.set(true);
            dispatcher::dispatch_all(board);
        }
        Err(e) => warn!(board.log, "directory ignored"; Event::EntryIgnored,
            "error" => format!("{e:#}")),
    }
}

/// Whether an entry of a copy belongs to an endpoint that has reported to leave or has left since. One
/// that has not left writes its entry again.
fn has_left(board: &Blackboard, listing: &Listing) -> bool {
    let fleet = board.fleet.borrow();
    let known = fleet.listing(&listing.id);
    let is_leaving = known.is_some_and(|known| known.leaving && known.born == listing.born);
    is_leaving && !listing.leaving || board.journal.borrow().is_removed(&listing.id)
}

/// Applies directory rows. Returns the endpoints that are missing, with the version at which each
/// was found missing.
fn apply_update<S: Store>(
    board: &Blackboard,
    store: &S,
    update: Update,
) -> Vec<(EndpointId, Version)> {
    let mut missing = Vec::new();
    let Update { rows, version, complete, restored } = update;
    let mut present = BTreeSet::new();
    for row in rows {
        let id = match EndpointId::new(&row.key) {
            Ok(id) => id,
            Err(e) => {
                info!(board.log, "entry ignored"; Event::EntryIgnored, "endpoint" => &*row.key,
                    "error" => %e);
                continue;
            }
        };
        let Some(value) = row.value else {
            // The store assigns no version to a deleted row.
            missing.push((id, version));
            continue;
        };
        match store.decode_listing(&row.key, &value) {
            Ok(listing) if restored && has_left(board, &listing) => {
                info!(board.log, "entry ignored"; Event::EntryIgnored, "endpoint" => %id,
                    "error" => "it had left before the store came back from a copy");
            }
            Ok(listing) => directory::upsert(board, listing, row.version),
            Err(e) => {
                info!(board.log, "entry ignored"; Event::EntryIgnored, "endpoint" => %id,
                    "error" => format!("{e:#}"));
                missing.push((id.clone(), row.version));
            }
        }
        present.insert(id);
    }
    if complete {
        let fleet = board.fleet.borrow();
        let absent = fleet.ids().filter(|id| !present.contains(*id));
        missing.extend(absent.map(|id| (id.clone(), version)));
    }
    missing
}

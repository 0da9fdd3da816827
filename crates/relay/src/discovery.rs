//! Discovery of other nodes through their rows in the store.
//!
//! Each node keeps a row with the address that receives its digests. Another
//! row holds the secret that authenticates digests, so only processes that can
//! read the store can send valid ones.
//!
//! A node that is gone for good leaves its row behind, and every starting node
//! would count it as part of the cluster for a while. Nodes that read the store
//! for the others therefore delete rows of nodes that have been silent for
//! long. A node that was only partitioned finds its row missing and writes it
//! again; the same holds if the store has come back from an older copy. The table also holds evidence, see [`crate::quarantine`], and
//! rollouts, see [`crate::rollout`].

use crate::{
    blackboard::Blackboard,
    quarantine, rollout,
    watch::{Error, Row, Store, Table, read_table},
};
use codes::Event;
use rand::Rng;
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use units::{InstanceId, Time, Version, ZoneId};

/// Interval at which the nodes' rows are read; new nodes are known from their digests earlier.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Same, until this node's row is written and another node and the secret are known.
const READ_INTERVAL_ALONE: Duration = Duration::from_millis(700);
/// Time without a sign of a node after which its row is deleted; longer than partitions between
/// regions, which take minutes.
const STALE_ROW_TTL: Duration = Duration::from_secs(1_800);
/// Key of the secret's row.
const SECRET_ROW: &str = "secret";
/// Prefix of the keys of nodes' rows.
const NODE_ROWS: &str = "node/";
/// Length of the secret, in bytes.
const SECRET_BYTES: usize = 32;

/// Row of a node that is not live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Orphan {
    version: Version,
    since: Time,
}

/// Rows of nodes that are not live.
#[derive(Debug, Default)]
pub struct Orphans {
    silent: BTreeMap<Box<str>, Orphan>,
}

impl Orphans {
    /// Empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the current rows and returns the key and version of those to delete. A row that
    /// its node has written again counts as a sign of life.
    pub fn update(
        &mut self,
        rows: &[Row],
        is_live: impl Fn(&InstanceId) -> bool,
        now: Time,
    ) -> Vec<(Box<str>, Version)> {
        let mut silent = BTreeMap::new();
        for row in rows {
            let Some(id) = node_id(row) else { continue };
            if is_live(&id) {
                continue;
            }
            let known = self.silent.get(&row.key).filter(|known| known.version == row.version);
            let fresh = Orphan { version: row.version, since: now };
            silent.insert(row.key.clone(), known.copied().unwrap_or(fresh));
        }
        self.silent = silent;
        let expired = self.silent.iter().filter(|(_, row)| now.since(row.since) >= STALE_ROW_TTL);
        expired.map(|(key, row)| (key.clone(), row.version)).collect()
    }
}

/// Node that a row belongs to; none for other or malformed rows.
fn node_id(row: &Row) -> Option<InstanceId> {
    row.value.as_ref()?;
    InstanceId::new(row.key.strip_prefix(NODE_ROWS)?).ok()
}

/// Maintains this node's row and reads the others.
pub async fn run<S: Store>(board: Rc<Blackboard>, store: Rc<S>) {
    let key = format!("{NODE_ROWS}{}", board.settings.instance);
    let address = format!("{} {}", board.settings.listen.peers, board.settings.zone);
    let mut written = false;
    // Whether the secret in force is the one in the store: several nodes may write one at once.
    let mut has_secret = false;
    let mut silent_rows = Orphans::new();
    loop {
        if !written {
            match store.write(&key, address.as_bytes(), false).await {
                Ok(()) => written = true,
                Err(error) => log_error(&board, "writing the node's row failed", &error),
            }
        }
        match read_table(&*store, Table::Nodes, Version(0)).await {
            Ok((rows, _)) => {
                written &= rows.iter().any(|row| *row.key == *key && row.value.is_some());
                match apply_rows(&board, &*store, &rows).await {
                    Ok(found) => has_secret = found,
                    Err(error) => log_error(&board, "writing the secret failed", &error),
                }
                if rollout::is_enabled(&board) {
                    rollout::save::load(&board, &*store, &rows);
                }
                // Later, a row may be older than what this node has forgotten.
                if !board.nodes_known.replace(true) {
                    quarantine::load(&board, &rows);
                }
                delete_stale_rows(&board, &*store, &mut silent_rows, &rows).await;
                board.nodes_read.notify_waiters();
            }
            Err(error) => log_error(&board, "reading the nodes' rows failed", &error),
        }
        let alone = !written || !has_secret || !board.roster.borrow().is_joined();
        let interval = if alone { READ_INTERVAL_ALONE } else { READ_INTERVAL };
        // The interval passes unless the rows may be gone.
        tokio::time::timeout(interval, board.rows_lost.notified()).await.ok();
    }
}

fn log_error(board: &Blackboard, what: &'static str, error: &Error) {
    info!(board.log, "{}", what; Event::StoreDown, "table" => "Nodes", "fault" => %error);
}

/// Takes over the rows, and writes the secret if there is none; returns whether there was one.
async fn apply_rows<S: Store>(board: &Blackboard, store: &S, rows: &[Row]) -> Result<bool, Error> {
    let now = board.now();
    let mut secret = None;
    for row in rows {
        let Some(value) = &row.value else { continue };
        if &*row.key == SECRET_ROW {
            secret = Some(value.clone());
        } else if let Some(id) = node_id(row) {
            add_node(board, &id, value, now);
        }
    }
    if let Some(secret) = secret {
        board.roster.borrow_mut().secret = Some(secret.to_vec().into());
        return Ok(true);
    }
    // If the store has lost the secret, all nodes keep the one that they have.
    let known = board.roster.borrow().secret.clone();
    let secret = known.unwrap_or_else(|| {
        let fresh: [u8; SECRET_BYTES] = rand::rng().random();
        fresh.into()
    });
    match store.write(SECRET_ROW, &secret, true).await {
        // Another node may have written it first, or the response was lost; the next round reads
        // the result.
        Ok(()) | Err(Error::Conflict) => Ok(false),
        Err(error) => Err(error),
    }
}

fn add_node(board: &Blackboard, id: &InstanceId, value: &[u8], now: Time) {
    let Some((address, zone)) = decode_row(value) else {
        return info!(board.log, "invalid node row ignored"; Event::EntryIgnored, "node" => %id);
    };
    if *id == board.settings.instance {
        return;
    }
    let distance = zone.map(|zone| board.settings.distance(&zone));
    if board.roster.borrow_mut().upsert(id, address, distance, now) {
        info!(board.log, "node known"; Event::MemberJoined, "node" => %id, "address" => %address);
    }
}

/// Address and availability zone in a node's row; older nodes state no zone.
fn decode_row(value: &[u8]) -> Option<(SocketAddr, Option<ZoneId>)> {
    let text = std::str::from_utf8(value).ok()?;
    let mut fields = text.split(' ');
    let address = fields.next()?.parse().ok()?;
    Some((address, fields.next().and_then(|zone| ZoneId::new(zone).ok())))
}

async fn delete_stale_rows<S: Store>(
    board: &Blackboard,
    store: &S,
    silent_rows: &mut Orphans,
    rows: &[Row],
) {
    let now = board.now();
    let is_live =
        |id: &InstanceId| *id == board.settings.instance || board.roster.borrow().is_live(id, now);
    let expired = silent_rows.update(rows, is_live, now);
    if board.is_reader() {
        delete_rows(board, store, expired, Event::MemberDead).await;
        let stale = quarantine::stale_rows(board, rows);
        delete_rows(board, store, stale, Event::QuarantineCleared).await;
    }
}

async fn delete_rows<S: Store>(
    board: &Blackboard,
    store: &S,
    rows: Vec<(Box<str>, Version)>,
    event: Event,
) {
    for (key, version) in rows {
        match store.delete(&key, version).await {
            Ok(()) => info!(board.log, "stale row deleted"; event, "row" => &*key),
            // Another node was first, or the row was written again.
            Err(Error::Conflict) => {}
            Err(error) => log_error(board, "deleting a stale row failed", &error),
        }
    }
}

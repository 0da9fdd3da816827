//! Publication of a new configuration.
//!
//! The bytes go to the object store under their digest, then one transaction
//! replaces the head row if it still is the version that was read. Two
//! operators race on that row: one wins, the other gets the head that won. A
//! lost answer is read back by the attempt's token.

use crate::{
    objects::Objects,
    table::{Commit, Row, Table, Transaction},
};
use anyhow::{Context, Result};
use guild::{Digest, Head, Publication, service};
use units::{AttemptToken, Version};

/// Row that names the newest publication.
pub const HEAD_KEY: &str = "publication/head";
/// Attempts to read back a lost answer.
const READ_BACKS: u32 = 5;
/// Time between two attempts to read back.
const READ_BACK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(400);

/// Why nothing was published, or is not known to be.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another publication won the race.
    #[error("version {} by {} won", .0.version, .0.author)]
    Conflict(Box<Head>),
    /// The store cannot be reached; nothing was published.
    #[error("store unavailable, nothing was published: {0:#}")]
    Unavailable(anyhow::Error),
    /// The answer was lost and cannot be read back.
    #[error("the store did not confirm version {0} and could not be read back")]
    InDoubt(Version),
}

/// What came into force.
#[derive(Debug, Clone)]
pub struct Published {
    /// Its head row.
    pub head: Head,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Row of one publication in the log.
#[must_use]
pub fn log_key(version: Version) -> String {
    format!("publication/{version:020}", version = version.get())
}

/// Newest publication's head row.
///
/// # Errors
/// The table does not answer, or the row is damaged.
pub async fn head(table: &Table) -> Result<Option<(Head, u64)>> {
    match table.get(HEAD_KEY).await? {
        Some(row) => Ok(Some((decode(&row)?, row.version))),
        None => Ok(None),
    }
}

fn decode(row: &Row) -> Result<Head> {
    serde_json::from_str(&row.value).with_context(|| format!("row {}", row.key))
}

/// Puts `files` in force as the next version, or as the one after `base` when that is given.
///
/// # Errors
/// [`Error`]; nothing was published unless it is [`Error::InDoubt`].
pub async fn publish(
    table: &Table,
    objects: &Objects,
    files: Vec<service::File>,
    author: &str,
    base: Option<Version>,
    token: AttemptToken,
) -> Result<Published, Error> {
    let before = head(table).await.map_err(Error::Unavailable)?;
    let current = before.as_ref().map_or(Version(0), |(head, _)| head.version);
    if let (Some(base), Some((head, _))) = (base, &before)
        && base != head.version
    {
        return Err(Error::Conflict(Box::new(head.clone())));
    }
    let version = Version(current.get() + 1);
    let publication = Publication::new(version, author, files).map_err(Error::Unavailable)?;
    let bytes = publication.encode().map_err(Error::Unavailable)?;
    let digest = Digest::of(&bytes);
    objects.put(&digest.to_string(), bytes.clone()).await.map_err(Error::Unavailable)?;
    let head = Head { version, digest, author: author.into(), token };
    commit(table, before.map(|(_, row)| row), &head).await?;
    Ok(Published { head, bytes })
}

async fn commit(table: &Table, row: Option<u64>, head: &Head) -> Result<(), Error> {
    let value = serde_json::to_string(head).map_err(|e| Error::Unavailable(e.into()))?;
    let transaction = Transaction::new().with_put(HEAD_KEY, row, &value).with_put(
        &log_key(head.version),
        None,
        &value,
    );
    match table.transact(&transaction).await {
        Commit::Done => Ok(()),
        Commit::Conflict(rows) => judge(&rows, head).unwrap_or(Err(Error::InDoubt(head.version))),
        Commit::Unknown => read_back(table, head).await,
    }
}

/// Own success or the winner, if the rows tell.
fn judge(rows: &[Row], head: &Head) -> Option<Result<(), Error>> {
    let row = rows.iter().find(|row| &*row.key == HEAD_KEY)?;
    let winner = decode(row).ok()?;
    if winner.token == head.token {
        return Some(Ok(()));
    }
    Some(Err(Error::Conflict(Box::new(winner))))
}

/// Settles a lost answer by the log row of the version, which is written once.
async fn read_back(table: &Table, head: &Head) -> Result<(), Error> {
    let key = log_key(head.version);
    for _ in 0..READ_BACKS {
        match table.get(&key).await {
            Ok(Some(row)) => match decode(&row) {
                Ok(winner) if winner.token == head.token => return Ok(()),
                Ok(winner) => return Err(Error::Conflict(Box::new(winner))),
                Err(_) => return Err(Error::InDoubt(head.version)),
            },
            // A late write may still arrive, so an absent row proves nothing yet.
            Ok(None) | Err(_) => tokio::time::sleep(READ_BACK_INTERVAL).await,
        }
    }
    Err(Error::InDoubt(head.version))
}

/// Newest publications, newest first, at most `limit`.
///
/// # Errors
/// The table does not answer.
pub async fn log(table: &Table, limit: u64) -> Result<Vec<Head>> {
    let Some((newest, _)) = head(table).await? else {
        return Ok(Vec::new());
    };
    let newest = newest.version.get();
    let oldest = newest.saturating_sub(limit.saturating_sub(1)).max(1);
    let keys = (oldest..=newest).map(|v| log_key(Version(v)).into()).collect();
    let mut heads: Vec<Head> = table.read(keys).await?.iter().map(decode).collect::<Result<_>>()?;
    heads.sort_by_key(|head| std::cmp::Reverse(head.version));
    Ok(heads)
}

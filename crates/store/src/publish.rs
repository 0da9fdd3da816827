//! Publication of a new configuration.
//!
//! The bytes are stored in the object store under their digest. Then one
//! transaction replaces the head row if its version is still the one that was
//! read. When two operators publish at once, one succeeds and the other gets
//! the head that won. If the response is lost, the version's log row is read
//! back and recognised by the attempt's token.

use crate::{
    objects::Objects,
    table::{Commit, Row, Table, Transaction},
};
use anyhow::{Context, Result};
use guild::{Digest, Head, Publication, service};
use units::{AttemptToken, Version};

/// Key of the row that names the newest publication.
pub const HEAD_KEY: &str = "publication/head";
/// Reads after a lost response.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Delay between these reads.
const READ_BACK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(400);

/// Reason why nothing was published, or why the outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another publication was committed first.
    #[error("version {} by {} was published first", .0.version, .0.author)]
    Conflict(Box<Head>),
    /// The store cannot be reached or the publication cannot be built; nothing was published.
    #[error("store unavailable, nothing was published: {0:#}")]
    Unavailable(anyhow::Error),
    /// The response was lost and the row cannot be read back.
    #[error("the store did not confirm version {0} and could not be read back")]
    InDoubt(Version),
}

/// Publication that was committed.
#[derive(Debug, Clone)]
pub struct Published {
    /// Head row.
    pub head: Head,
    /// Encoded bytes.
    pub bytes: Vec<u8>,
}

/// Key of a publication's row in the log.
#[must_use]
pub fn log_key(version: Version) -> String {
    format!("publication/{version:020}", version = version.get())
}

/// Head row of the newest publication, with the row's version.
///
/// # Errors
/// The table cannot be read, or the row cannot be decoded.
pub async fn head(table: &Table) -> Result<Option<(Head, u64)>> {
    match table.get(HEAD_KEY).await? {
        Some(row) => Ok(Some((decode(&row)?, row.version))),
        None => Ok(None),
    }
}

fn decode(row: &Row) -> Result<Head> {
    serde_json::from_str(&row.value).with_context(|| format!("row {}", row.key))
}

/// Publishes `files` as the next version; if `base` is given, only as the one right after it.
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
        Commit::Conflict(rows) => {
            resolve_conflict(&rows, head).unwrap_or(Err(Error::InDoubt(head.version)))
        }
        Commit::Unknown => read_back(table, head).await,
    }
}

/// Success if the head row carries this attempt's token, else the head that won; `None` if the row
/// is missing or cannot be decoded.
fn resolve_conflict(rows: &[Row], head: &Head) -> Option<Result<(), Error>> {
    let row = rows.iter().find(|row| &*row.key == HEAD_KEY)?;
    let winner = decode(row).ok()?;
    if winner.token == head.token {
        return Some(Ok(()));
    }
    Some(Err(Error::Conflict(Box::new(winner))))
}

/// Resolves a lost response by the version's log row, which is written only once.
async fn read_back(table: &Table, head: &Head) -> Result<(), Error> {
    let key = log_key(head.version);
    for _ in 0..READ_BACK_ATTEMPTS {
        match table.get(&key).await {
            Ok(Some(row)) => match decode(&row) {
                Ok(winner) if winner.token == head.token => return Ok(()),
                Ok(winner) => return Err(Error::Conflict(Box::new(winner))),
                Err(_) => return Err(Error::InDoubt(head.version)),
            },
            // The write may still be applied late, so an absent row proves nothing.
            Ok(None) | Err(_) => tokio::time::sleep(READ_BACK_INTERVAL).await,
        }
    }
    Err(Error::InDoubt(head.version))
}

/// At most `limit` of the newest publications, newest first.
///
/// # Errors
/// The table cannot be read, or a row cannot be decoded.
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

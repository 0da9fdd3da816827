//! Client of the platform's transactional table.

use crate::http::Client;
use anyhow::Result;
use ntex::http::Method;
use serde::{Deserialize, Serialize};

/// Row with a version that each write increments.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: Box<str>,
    /// Version; the first write has 1.
    pub version: u64,
    /// Value.
    pub value: Box<str>,
}

/// Condition on a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    pub key: Box<str>,
    /// Version that the row must have; if `None`, the row must not exist.
    pub version: Option<u64>,
}

/// Write of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key.
    pub key: Box<str>,
    /// New value; if `None`, the row is deleted.
    pub value: Option<Box<str>>,
}

/// Writes that are applied atomically if every condition holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Empty transaction.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes `value` if the row still has `version`, or is absent when that is `None`.
    #[must_use]
    pub fn with_put(mut self, key: &str, version: Option<u64>, value: &str) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self.writes.push(Write { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Deletes the row if it still has `version`.
    #[must_use]
    pub fn with_delete(mut self, key: &str, version: u64) -> Self {
        self.conditions.push(Condition { key: key.into(), version: Some(version) });
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// All writes were applied.
    Done,
    /// A condition did not hold and nothing was applied; holds the current rows of the conditions.
    Conflict(Box<[Row]>),
    /// No usable response; the writes may or may not have been applied.
    Unknown,
}

/// Body of the table's responses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// Rows that exist.
    pub rows: Vec<Row>,
}

/// Keys to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Keys.
    pub keys: Vec<Box<str>>,
}

/// Client of the table.
#[derive(Debug, Clone)]
pub struct Table {
    client: Client,
}

impl Table {
    /// Table that `client` connects to.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Runs a transaction. Anything but success or a readable conflict is [`Commit::Unknown`].
    pub async fn transact(&self, transaction: &Transaction) -> Commit {
        let Ok(body) = serde_json::to_vec(transaction) else {
            return Commit::Unknown;
        };
        match self.client.call(Method::POST, "/table/transact", body).await {
            Ok(response) if response.status.is_success() => Commit::Done,
            Ok(response) if response.status.as_u16() == 409 => {
                match serde_json::from_slice::<Rows>(&response.body) {
                    Ok(rows) => Commit::Conflict(rows.rows.into()),
                    Err(_) => Commit::Unknown,
                }
            }
            _ => Commit::Unknown,
        }
    }

    /// Reads rows; keys without a row are omitted.
    ///
    /// # Errors
    /// The table cannot be reached or returns an error status.
    pub async fn read(&self, keys: Vec<Box<str>>) -> Result<Vec<Row>> {
        let body = serde_json::to_vec(&Keys { keys })?;
        let response = self.client.call(Method::POST, "/table/read", body).await?;
        anyhow::ensure!(response.status.is_success(), "table returned status {}", response.status);
        Ok(serde_json::from_slice::<Rows>(&response.body)?.rows)
    }

    /// Reads one row.
    ///
    /// # Errors
    /// The table cannot be reached or returns an error status.
    pub async fn get(&self, key: &str) -> Result<Option<Row>> {
        Ok(self.read(vec![key.into()]).await?.into_iter().next())
    }
}

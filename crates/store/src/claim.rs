//! Claims: table rows that let a non-idempotent request run at most once.
//!
//! A claim's row is absent, running or finished. Before a gateway sends a
//! request it inserts the running row, which only one attempt can do, and it
//! sends only once it knows that the row is its own. A finished row keeps the
//! response for repeated calls. If a gateway dies, its row stays running: the
//! outcome is unknown and the request is never run again.
//!
//! Claims of several requests are written in one transaction. Attempts that
//! conflict are resolved from the rows returned, and the others are written
//! again. After a lost response the rows are read back and recognised by the
//! attempts' tokens.

use crate::table::{Commit, Row, Table, Transaction};
use anyhow::Result;
use serde::{Deserialize, Serialize};
use units::{AttemptToken, Fingerprint, IdempotencyKey, OrganisationId, ServiceId};

/// Maximum number of rounds of reading and writing the same rows.
const MAX_ROUNDS: u32 = 4;
/// Delay before rows are read again after an unconfirmed write or a failed read.
const ROUND_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// Identity of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// Service.
    pub service: ServiceId,
    /// Organisation that the key belongs to.
    pub organisation: OrganisationId,
    /// Idempotency key that the caller sent.
    pub key: IdempotencyKey,
}

impl Key {
    fn row(&self) -> Box<str> {
        format!("claim/{}/{}/{}", self.service, self.organisation, self.key).into()
    }
}

/// Response that is kept for repeated calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media_type: Box<str>,
    /// Body in base64.
    pub body: Box<str>,
}

/// Value of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Attempt that may run the request.
    pub token: AttemptToken,
    /// Hash of the request's content, to reject a key that is reused for another one. Older builds
    /// compare it alone.
    pub fingerprint: Fingerprint,
    /// Hash of the whole request; none in rows of older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Fingerprint>,
    /// Response, once known.
    #[serde(rename = "answer")]
    pub response: Option<Response>,
}

impl Claim {
    /// Whether both are claims of the same request.
    #[must_use]
    pub fn is_repeat_of(&self, other: &Self) -> bool {
        let differs = |(own, other)| own != other;
        let differs = self.request.zip(other.request).is_some_and(differs);
        self.fingerprint == other.fingerprint && !differs
    }
}

/// Outcome of an attempt to claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// This attempt holds the claim and is the only one that may run.
    Acquired,
    /// Another attempt holds the claim.
    Held(Claim),
    /// The table did not confirm the claim; the request must not run.
    Unavailable,
}

/// Attempt to claim.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Identity of the claim.
    pub key: Key,
    /// Value to insert.
    pub claim: Claim,
}

fn decode(row: &Row) -> Option<Claim> {
    serde_json::from_str(&row.value).ok()
}

/// Current claim, if any.
///
/// # Errors
/// The table cannot be reached or returns an error status.
pub async fn get(table: &Table, key: &Key) -> Result<Option<Claim>> {
    let row = table.get(&key.row()).await?;
    Ok(row.as_ref().and_then(decode))
}

/// Inserts a batch of claims and returns the outcomes in the order of the attempts.
pub async fn insert(table: &Table, attempts: &[Attempt]) -> Vec<Outcome> {
    let mut outcomes: Vec<Option<Outcome>> = vec![None; attempts.len()];
    for _ in 0..MAX_ROUNDS {
        let pending = pending_attempts(attempts, &outcomes);
        if pending.is_empty() {
            break;
        }
        match table.transact(&insert_transaction(attempts, &pending)).await {
            Commit::Done => set_acquired(&pending, &mut outcomes),
            Commit::Conflict(rows) => resolve(attempts, &pending, &rows, &mut outcomes),
            Commit::Unknown => {
                tokio::time::sleep(ROUND_INTERVAL).await;
                let keys = pending.iter().map(|i| attempts[*i].key.row()).collect();
                if let Ok(rows) = table.read(keys).await {
                    resolve(attempts, &pending, &rows, &mut outcomes);
                }
            }
        }
    }
    outcomes.into_iter().map(|outcome| outcome.unwrap_or(Outcome::Unavailable)).collect()
}

/// Attempts without an outcome; if several claim the same row, only the first.
fn pending_attempts(attempts: &[Attempt], outcomes: &[Option<Outcome>]) -> Vec<usize> {
    let mut rows: Vec<Box<str>> = Vec::new();
    let mut pending = Vec::new();
    for (index, attempt) in attempts.iter().enumerate() {
        let row = attempt.key.row();
        if outcomes[index].is_none() && !rows.contains(&row) {
            rows.push(row);
            pending.push(index);
        }
    }
    pending
}

fn insert_transaction(attempts: &[Attempt], pending: &[usize]) -> Transaction {
    let mut transaction = Transaction::new();
    for index in pending {
        let attempt = &attempts[*index];
        if let Ok(value) = serde_json::to_string(&attempt.claim) {
            transaction = transaction.with_put(&attempt.key.row(), None, &value);
        }
    }
    transaction
}

fn set_acquired(pending: &[usize], outcomes: &mut [Option<Outcome>]) {
    for index in pending {
        outcomes[*index] = Some(Outcome::Acquired);
    }
}

/// Sets the outcomes of the attempts whose rows were returned.
fn resolve(
    attempts: &[Attempt],
    pending: &[usize],
    rows: &[Row],
    outcomes: &mut [Option<Outcome>],
) {
    for index in pending {
        let attempt = &attempts[*index];
        let key = attempt.key.row();
        let Some(found) = rows.iter().find(|row| row.key == key).and_then(decode) else {
            continue;
        };
        let own = found.token == attempt.claim.token;
        outcomes[*index] = Some(if own { Outcome::Acquired } else { Outcome::Held(found) });
    }
}

/// Stores the response of an own claim; false if the table did not confirm.
pub async fn finish(table: &Table, key: &Key, claim: &Claim, response: Response) -> bool {
    let finished = Claim { response: Some(response), ..claim.clone() };
    let Ok(value) = serde_json::to_string(&finished) else {
        return false;
    };
    update_own(table, key, claim.token, |row| {
        Transaction::new().with_put(&row.key, Some(row.version), &value)
    })
    .await
}

/// Deletes an own claim whose request was never sent; false if the table did not confirm.
pub async fn release(table: &Table, key: &Key, token: AttemptToken) -> bool {
    update_own(table, key, token, |row| Transaction::new().with_delete(&row.key, row.version)).await
}

async fn update_own(
    table: &Table,
    key: &Key,
    token: AttemptToken,
    change: impl Fn(&Row) -> Transaction,
) -> bool {
    for _ in 0..MAX_ROUNDS {
        match table.get(&key.row()).await {
            Ok(None) => return true,
            Ok(Some(row)) => {
                let own = decode(&row).is_some_and(|c| c.token == token && c.response.is_none());
                if !own || table.transact(&change(&row)).await == Commit::Done {
                    return true;
                }
            }
            Err(_) => {}
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
    false
}

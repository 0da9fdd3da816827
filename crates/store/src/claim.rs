//! Claims: rows that let a non-idempotent request run at most once.
//!
//! A row is absent, running or finished. The gateway that is about to send a
//! request inserts the running row, which only one attempt can; it sends only
//! after it knows that the row is its own. A finished row keeps the outcome
//! for repeated calls. A row that stays running, since its gateway died, is in
//! doubt and is never run again.
//!
//! Claims of many requests are written in one transaction. Those that conflict
//! are answered and the rest is written again; a lost answer is read back by
//! the attempts' tokens.

use crate::table::{Commit, Row, Table, Transaction};
use anyhow::Result;
use serde::{Deserialize, Serialize};
use units::{AttemptToken, Fingerprint, IdempotencyKey, OrganisationId, ServiceId};

/// Rounds in which one group of claims is written or read back.
const ROUNDS: u32 = 4;
/// Time before a group whose answer was lost is looked at again.
const ROUND_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);

/// Name of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// Service.
    pub service: ServiceId,
    /// Organisation whose key it is.
    pub organisation: OrganisationId,
    /// Caller's key.
    pub key: IdempotencyKey,
}

impl Key {
    fn row(&self) -> Box<str> {
        format!("claim/{}/{}/{}", self.service, self.organisation, self.key).into()
    }
}

/// Answer that is kept for repeated calls.
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
    /// Attempt that may run.
    pub token: AttemptToken,
    /// Hash of the request, so that a key cannot serve two requests.
    pub fingerprint: Fingerprint,
    /// Outcome, once known.
    #[serde(rename = "answer")]
    pub response: Option<Response>,
}

/// What became of an attempt to claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The claim is this attempt's own: it alone may run.
    Acquired,
    /// Another attempt holds it.
    Held(Claim),
    /// The table gave no clear answer; the request must not run.
    Unavailable,
}

/// One attempt to claim.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Name.
    pub key: Key,
    /// Value to insert.
    pub claim: Claim,
}

fn decode(row: &Row) -> Option<Claim> {
    serde_json::from_str(&row.value).ok()
}

/// Claim as it stands.
///
/// # Errors
/// The table does not answer.
pub async fn get(table: &Table, key: &Key) -> Result<Option<Claim>> {
    let row = table.get(&key.row()).await?;
    Ok(row.as_ref().and_then(decode))
}

/// Inserts a group of claims; the outcomes are in the order of the attempts.
pub async fn insert(table: &Table, attempts: &[Attempt]) -> Vec<Outcome> {
    let mut outcomes: Vec<Option<Outcome>> = vec![None; attempts.len()];
    for _ in 0..ROUNDS {
        let open = open_attempts(attempts, &outcomes);
        if open.is_empty() {
            break;
        }
        match table.transact(&insertion(attempts, &open)).await {
            Commit::Done => settle_own(&open, &mut outcomes),
            Commit::Conflict(rows) => settle(attempts, &open, &rows, &mut outcomes),
            Commit::Unknown => {
                tokio::time::sleep(ROUND_INTERVAL).await;
                let keys = open.iter().map(|i| attempts[*i].key.row()).collect();
                if let Ok(rows) = table.read(keys).await {
                    settle(attempts, &open, &rows, &mut outcomes);
                }
            }
        }
    }
    outcomes.into_iter().map(|outcome| outcome.unwrap_or(Outcome::Unavailable)).collect()
}

/// Attempts without an outcome; of several for one row only the first.
fn open_attempts(attempts: &[Attempt], outcomes: &[Option<Outcome>]) -> Vec<usize> {
    let mut rows: Vec<Box<str>> = Vec::new();
    let mut open = Vec::new();
    for (index, attempt) in attempts.iter().enumerate() {
        let row = attempt.key.row();
        if outcomes[index].is_none() && !rows.contains(&row) {
            rows.push(row);
            open.push(index);
        }
    }
    open
}

fn insertion(attempts: &[Attempt], open: &[usize]) -> Transaction {
    let mut transaction = Transaction::new();
    for index in open {
        let attempt = &attempts[*index];
        if let Ok(value) = serde_json::to_string(&attempt.claim) {
            transaction = transaction.with_put(&attempt.key.row(), None, &value);
        }
    }
    transaction
}

fn settle_own(open: &[usize], outcomes: &mut [Option<Outcome>]) {
    for index in open {
        outcomes[*index] = Some(Outcome::Acquired);
    }
}

fn settle(attempts: &[Attempt], open: &[usize], rows: &[Row], outcomes: &mut [Option<Outcome>]) {
    for index in open {
        let attempt = &attempts[*index];
        let key = attempt.key.row();
        let Some(found) = rows.iter().find(|row| row.key == key).and_then(decode) else {
            continue;
        };
        let own = found.token == attempt.claim.token;
        outcomes[*index] = Some(if own { Outcome::Acquired } else { Outcome::Held(found) });
    }
}

/// Records the outcome of a claim of one's own; false when the table did not confirm.
pub async fn finish(table: &Table, key: &Key, claim: &Claim, response: Response) -> bool {
    let finished = Claim { response: Some(response), ..claim.clone() };
    let Ok(value) = serde_json::to_string(&finished) else {
        return false;
    };
    change_own(table, key, claim.token, |row| {
        Transaction::new().with_put(&row.key, Some(row.version), &value)
    })
    .await
}

/// Deletes a claim of one's own whose request was never sent; false when not confirmed.
pub async fn release(table: &Table, key: &Key, token: AttemptToken) -> bool {
    change_own(table, key, token, |row| Transaction::new().with_delete(&row.key, row.version)).await
}

async fn change_own(
    table: &Table,
    key: &Key,
    token: AttemptToken,
    change: impl Fn(&Row) -> Transaction,
) -> bool {
    for _ in 0..ROUNDS {
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

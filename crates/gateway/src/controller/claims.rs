//! Claims controller: writes the claims of non-idempotent requests in batches.

use crate::blackboard::Blackboard;
use slog::warn;
use std::{sync::Arc, time::Duration};
use store::{
    Table,
    claim::{self, Attempt, Claim, Key, Outcome, Response},
};
use tokio::sync::{mpsc, oneshot};
use units::AttemptToken;

/// Time for which inserts are collected into one batch.
const BATCH_TIME: Duration = Duration::from_millis(4);
/// Maximum number of claims in one batch.
const MAX_BATCH: usize = 64;
/// Delay before the first retry of an unconfirmed write; doubles with each retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(20);
/// Time after which an unconfirmed write is no longer retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(1800);

/// Call to the claims controller.
#[derive(Debug)]
pub enum Call {
    /// Reads a claim; replies `None` when there is none, and drops the sender when the table
    /// cannot be read.
    Read(Key, oneshot::Sender<Option<Claim>>),
    /// Inserts a claim.
    Insert(Attempt, oneshot::Sender<Outcome>),
    /// Records the response to the request of a claim held by this gateway.
    Finish(Key, Claim, Response),
    /// Deletes a claim held by this gateway whose request was never sent.
    Release(Key, AttemptToken),
}

/// Serves calls until the process ends.
pub async fn run(board: Arc<Blackboard>, table: Table, mut calls: mpsc::Receiver<Call>) {
    while let Some(first) = calls.recv().await {
        let mut batch = Vec::new();
        start(&board, &table, first, &mut batch);
        let until = tokio::time::Instant::now() + BATCH_TIME;
        while !batch.is_empty() && batch.len() < MAX_BATCH {
            match tokio::time::timeout_at(until, calls.recv()).await {
                Ok(Some(call)) => start(&board, &table, call, &mut batch),
                _ => break,
            }
        }
        if !batch.is_empty() {
            ntex::rt::spawn(insert(table.clone(), batch));
        }
    }
}

type Pending = (Attempt, oneshot::Sender<Outcome>);

/// Starts a call in the background, or adds an insert to the batch.
fn start(board: &Arc<Blackboard>, table: &Table, call: Call, batch: &mut Vec<Pending>) {
    let table = table.clone();
    match call {
        Call::Insert(attempt, reply) => batch.push((attempt, reply)),
        Call::Read(key, reply) => {
            ntex::rt::spawn(async move {
                if let Ok(found) = claim::get(&table, &key).await {
                    let _ = reply.send(found);
                }
            });
        }
        Call::Finish(key, own, response) => {
            let board = Arc::clone(board);
            ntex::rt::spawn(async move {
                let write = || claim::finish(&table, &key, &own, response.clone());
                retry(&board, "finish", write).await;
            });
        }
        Call::Release(key, token) => {
            let board = Arc::clone(board);
            ntex::rt::spawn(async move {
                retry(&board, "release", || claim::release(&table, &key, token)).await;
            });
        }
    }
}

async fn insert(table: Table, batch: Vec<Pending>) {
    let (attempts, replies): (Vec<Attempt>, Vec<_>) = batch.into_iter().unzip();
    let outcomes = claim::insert(&table, &attempts).await;
    for (reply, outcome) in replies.into_iter().zip(outcomes) {
        let _ = reply.send(outcome);
    }
}

/// Retries an idempotent write with exponential backoff until it is confirmed.
async fn retry<F: Future<Output = bool>>(board: &Blackboard, what: &str, write: impl Fn() -> F) {
    let started = board.now();
    let mut delay = MIN_RETRY_DELAY;
    while !write().await {
        if board.now().since(started) > RETRY_TIMEOUT {
            warn!(board.log, "claim write not confirmed; no more retries";
                "what" => what.to_owned());
            return;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

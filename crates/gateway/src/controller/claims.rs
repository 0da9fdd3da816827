//! Claims of non-idempotent requests, written in groups.

use crate::blackboard::Blackboard;
use slog::warn;
use std::{sync::Arc, time::Duration};
use store::{
    Table,
    claim::{self, Attempt, Claim, Key, Outcome, Response},
};
use tokio::sync::{mpsc, oneshot};
use units::AttemptToken;

/// Time for which claims are gathered into one write.
const GATHER: Duration = Duration::from_millis(4);
/// Claims of one write.
const MAX_GROUP: usize = 64;
/// First pause before a write that was not confirmed is tried again.
const RETRY_MIN: Duration = Duration::from_millis(500);
/// Longest pause.
const RETRY_MAX: Duration = Duration::from_secs(20);
/// Time after which a write that was never confirmed is given up.
const RETRY_LIMIT: Duration = Duration::from_secs(1800);

/// Call to the claims controller.
#[derive(Debug)]
pub enum Call {
    /// Looks at a claim; `None` inside when there is none, no answer when the table is down.
    Look(Key, oneshot::Sender<Option<Claim>>),
    /// Inserts a claim.
    Insert(Attempt, oneshot::Sender<Outcome>),
    /// Records the outcome of an own claim.
    Finish(Key, Claim, Response),
    /// Deletes an own claim whose request was never sent.
    Release(Key, AttemptToken),
}

/// Serves calls until the process ends.
pub async fn run(board: Arc<Blackboard>, table: Table, mut calls: mpsc::Receiver<Call>) {
    while let Some(first) = calls.recv().await {
        let mut group = Vec::new();
        start(&board, &table, first, &mut group);
        let until = tokio::time::Instant::now() + GATHER;
        while !group.is_empty() && group.len() < MAX_GROUP {
            match tokio::time::timeout_at(until, calls.recv()).await {
                Ok(Some(call)) => start(&board, &table, call, &mut group),
                _ => break,
            }
        }
        if !group.is_empty() {
            ntex::rt::spawn(insert(table.clone(), group));
        }
    }
}

type Pending = (Attempt, oneshot::Sender<Outcome>);

fn start(board: &Arc<Blackboard>, table: &Table, call: Call, group: &mut Vec<Pending>) {
    let table = table.clone();
    match call {
        Call::Insert(attempt, reply) => group.push((attempt, reply)),
        Call::Look(key, reply) => {
            ntex::rt::spawn(async move {
                if let Ok(found) = claim::get(&table, &key).await {
                    let _ = reply.send(found);
                }
            });
        }
        Call::Finish(key, own, answer) => {
            let board = Arc::clone(board);
            ntex::rt::spawn(async move {
                let step = || claim::finish(&table, &key, &own, answer.clone());
                retry(&board, "finish", step).await;
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

async fn insert(table: Table, group: Vec<Pending>) {
    let (attempts, replies): (Vec<Attempt>, Vec<_>) = group.into_iter().unzip();
    let verdicts = claim::insert(&table, &attempts).await;
    for (reply, verdict) in replies.into_iter().zip(verdicts) {
        let _ = reply.send(verdict);
    }
}

/// Repeats an idempotent write until it is confirmed.
async fn retry<F: Future<Output = bool>>(board: &Blackboard, what: &str, step: impl Fn() -> F) {
    let started = board.now();
    let mut pause = RETRY_MIN;
    while !step().await {
        if board.now().since(started) > RETRY_LIMIT {
            warn!(board.log, "claim write given up"; "what" => what.to_owned());
            return;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

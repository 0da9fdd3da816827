//! Configuration: authoritative in the store, distributed between peers.
//!
//! Each gateway polls the head row; the interval grows with the cluster, so
//! that all gateways together make a few reads per second. A gateway that finds
//! a newer version announces it to its fingers on the membership ring, and those
//! with an older one request the document. A version comes into force only when it is higher than
//! the one in force, so a gateway never goes back to an older configuration.

use super::{membership, poll_interval};
use crate::blackboard::{Blackboard, Configuration};
use anyhow::{Context, Result};
use codes::Event;
use guild::{Digest, Publication};
use slog::{info, warn};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use store::{Objects, Table, publish};
use tokio::sync::mpsc;
use wire::publication::Document;

/// Poll interval while no configuration is in force.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Polls the store and applies received documents until the process ends.
pub async fn run(
    board: Arc<Blackboard>,
    table: Table,
    objects: Objects,
    mut documents: mpsc::Receiver<Document>,
) {
    loop {
        let result = poll(&board, &table, &objects).await;
        record_store_state(&board, result.as_ref().err());
        let initial = board.config.read().is_none();
        let interval = if initial { INITIAL_POLL_INTERVAL } else { poll_interval(&board) };
        let until = tokio::time::Instant::now() + interval;
        while let Ok(Some(document)) = tokio::time::timeout_at(until, documents.recv()).await {
            apply(&board, document);
        }
    }
}

async fn poll(board: &Blackboard, table: &Table, objects: &Objects) -> Result<()> {
    let Some((head, _)) = publish::head(table).await? else {
        return Ok(());
    };
    if head.version <= board.version() {
        return Ok(());
    }
    let name = head.digest.to_string();
    let bytes = objects.get(&name).await.context("reading the publication")?;
    apply(board, Document { digest: name.into(), bytes: bytes.into() });
    Ok(())
}

fn record_store_state(board: &Blackboard, error: Option<&anyhow::Error>) {
    let up = error.is_none();
    if board.store_up.swap(up, Ordering::Relaxed) == up {
        return;
    }
    match error {
        None => info!(board.log, "store answers again"; Event::StoreUp),
        Some(e) => warn!(board.log, "store does not answer"; Event::StoreDown,
            "error" => format!("{e:#}")),
    }
}

/// Puts a document in force if its digest matches and its version is higher.
fn apply(board: &Blackboard, document: Document) {
    let publication = match decode(&document) {
        Ok(publication) => publication,
        Err(e) => {
            warn!(board.log, "configuration ignored"; Event::ConfigIgnored,
                "error" => format!("{e:#}"));
            return;
        }
    };
    let version = publication.version;
    let config = Arc::new(Configuration { publication, document });
    {
        let mut in_force = board.config.write();
        let current = in_force.as_ref().map(|c| c.publication.version);
        if current.is_some_and(|current| version <= current) {
            info!(board.log, "configuration ignored"; Event::ConfigIgnored, "version" => %version);
            return;
        }
        *in_force = Some(Arc::clone(&config));
    }
    info!(board.log, "configuration in force"; Event::ConfigInForce, "version" => %version,
        "author" => config.publication.author.to_string());
    membership::announce_config(board, &config);
    board.map_changed.notify_one();
}

fn decode(document: &Document) -> Result<Publication> {
    let digest = Digest::of(&document.bytes);
    anyhow::ensure!(digest.to_string() == *document.digest, "digest does not match");
    Publication::decode(&document.bytes, &digest)
}

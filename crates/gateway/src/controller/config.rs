//! Configuration: the store is the truth, peers carry it.
//!
//! Each gateway polls the head row now and then; across the guild that is a
//! few reads a second. Whoever finds a newer version announces it to its
//! fingers, and those behind ask for the document. A version comes into force
//! only when it is higher than the one in force, so nothing reverts.

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

/// Interval of polls while no configuration is in force.
const COLD_POLL: Duration = Duration::from_millis(400);

/// Polls and takes documents until the process ends.
pub async fn run(
    board: Arc<Blackboard>,
    table: Table,
    objects: Objects,
    mut documents: mpsc::Receiver<Document>,
) {
    loop {
        let polled = poll(&board, &table, &objects).await;
        note_store(&board, polled.as_ref().err());
        let cold = board.config.read().is_none();
        let wait = if cold { COLD_POLL } else { poll_interval(&board) };
        let until = tokio::time::Instant::now() + wait;
        while let Ok(Some(document)) = tokio::time::timeout_at(until, documents.recv()).await {
            adopt(&board, document);
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
    adopt(board, Document { digest: name.into(), bytes: bytes.into() });
    Ok(())
}

fn note_store(board: &Blackboard, fault: Option<&anyhow::Error>) {
    let up = fault.is_none();
    if board.store_up.swap(up, Ordering::Relaxed) == up {
        return;
    }
    match fault {
        None => info!(board.log, "store answers again"; Event::StoreUp),
        Some(e) => warn!(board.log, "store does not answer"; Event::StoreDown,
            "error" => format!("{e:#}")),
    }
}

/// Takes a document into force if it is whole and newer.
fn adopt(board: &Blackboard, document: Document) {
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

//! Rotation of certificates: files that changed are read again.

use crate::{blackboard::Blackboard, run::read_identity};
use codes::Event;
use slog::{info, warn};
use std::{path::Path, sync::Arc, time::Duration, time::SystemTime};

/// Interval at which the files are looked at.
const INTERVAL: Duration = Duration::from_secs(2);

/// Watches until the process ends.
pub async fn run(board: Arc<Blackboard>) {
    let mut seen = stamps(&board);
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = stamps(&board);
        if now != seen {
            seen = now;
            reload(&board);
        }
    }
}

fn stamps(board: &Blackboard) -> Vec<Option<SystemTime>> {
    let peers = &board.settings.peers;
    let mut files: Vec<&Path> = vec![&peers.certificate, &peers.key];
    files.extend(peers.authorities.iter().map(std::path::PathBuf::as_path));
    files.iter().map(|file| file.metadata().and_then(|meta| meta.modified()).ok()).collect()
}

fn reload(board: &Blackboard) {
    let result = read_identity(&board.settings).and_then(|identity| board.link.reload(&identity));
    match result {
        Ok(()) => info!(board.log, "certificates reloaded"; Event::CertificatesReloaded),
        Err(e) => warn!(board.log, "certificates kept"; "error" => format!("{e:#}")),
    }
}

//! Rotation of certificates: reloads the identity when a file has changed.

use crate::{blackboard::Blackboard, run::read_identity};
use codes::Event;
use slog::{info, warn};
use std::{path::Path, sync::Arc, time::Duration, time::SystemTime};

/// Interval of checks of the files' modification times.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the files until the process ends.
pub async fn run(board: Arc<Blackboard>) {
    let mut previous = modification_times(&board);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let current = modification_times(&board);
        if current != previous {
            previous = current;
            reload(&board);
        }
    }
}

fn modification_times(board: &Blackboard) -> Vec<Option<SystemTime>> {
    let peers = &board.settings.peers;
    let mut files: Vec<&Path> = vec![&peers.certificate, &peers.key];
    files.extend(peers.authorities.iter().map(std::path::PathBuf::as_path));
    files.iter().map(|file| file.metadata().and_then(|meta| meta.modified()).ok()).collect()
}

fn reload(board: &Blackboard) {
    let result = read_identity(&board.settings).and_then(|identity| board.link.reload(&identity));
    match result {
        Ok(()) => info!(board.log, "certificates reloaded"; Event::CertificatesReloaded),
        Err(e) => warn!(board.log, "cannot reload certificates; keeping the previous ones";
            "error" => format!("{e:#}")),
    }
}

//! Controllers: loops that read the blackboard, decide, and write the result back.

pub mod cells;
pub mod certificates;
pub mod claims;
pub mod config;
pub mod directory;
pub mod facts;
pub mod loads;
pub mod membership;
pub mod placement;
pub mod shutdown;
pub mod ticker;

use crate::{
    blackboard::Blackboard,
    run::{Bound, Queues},
};
use anyhow::Result;
use rand::Rng;
use std::{sync::Arc, time::Duration};
use store::http::Client;

/// Cluster-wide interval between polls of one kind; each of n members polls every n times this.
const CLUSTER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum poll interval of one gateway.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum poll interval of one gateway.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(90);

/// Starts every controller on the current thread.
///
/// # Errors
/// An HTTP client that cannot be built.
pub async fn spawn_all(board: &Arc<Blackboard>, queues: Queues, bound: Bound) -> Result<()> {
    let platform = &board.settings.platform;
    let table = store::Table::new(Client::new(platform.table, platform.timeout).await?);
    let objects = store::Objects::new(Client::new(platform.objects, platform.timeout).await?);
    let directory = store::Directory::new(Client::new(platform.directory, platform.timeout).await?);
    let engines = engine::Client::new().await?;
    if platform.register {
        directory::register(board, &directory, bound, store::directory::State::Live).await;
    }
    ntex::rt::spawn(ticker::run(Arc::clone(board)));
    ntex::rt::spawn(membership::receive(Arc::clone(board), queues.incoming));
    ntex::rt::spawn(membership::tick(Arc::clone(board)));
    ntex::rt::spawn(config::run(Arc::clone(board), table.clone(), objects, queues.documents));
    ntex::rt::spawn(claims::run(Arc::clone(board), table.clone(), queues.claims));
    ntex::rt::spawn(placement::run(Arc::clone(board), table, engines.clone()));
    ntex::rt::spawn(directory::run(Arc::clone(board), directory, bound));
    ntex::rt::spawn(cells::run(Arc::clone(board)));
    ntex::rt::spawn(loads::run(Arc::clone(board), engines));
    ntex::rt::spawn(certificates::run(Arc::clone(board)));
    Ok(())
}

/// Time until this gateway's next poll: proportional to the number of members, with jitter.
fn poll_interval(board: &Blackboard) -> Duration {
    let members = board.roster.lock().live().count();
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let interval =
        CLUSTER_POLL_INTERVAL.saturating_mul(members).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
    interval.mul_f64(rand::rng().random_range(0.7..1.3))
}

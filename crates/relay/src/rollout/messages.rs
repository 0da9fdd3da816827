//! Datagrams about rollouts.

use super::is_enabled;
use crate::{blackboard::Blackboard, digest::Datagram, peers};
use sched::rollout::{Order, Report, Stage};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use units::{InstanceId, Release, ServiceId};

/// Maximum number of announcements in a datagram; one takes some 80 bytes.
const MAX_ANNOUNCEMENTS: usize = 12;

/// Stage of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Order.
    pub order: Order,
    /// Stage; `Completed` only if the store holds it.
    pub stage: Stage,
    /// Time since the store held the order.
    pub age_ms: u64,
    /// Releases of earlier orders that get no requests.
    pub excluded: Box<[Release]>,
}

/// Counts of one node for one rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Service.
    pub service: ServiceId,
    /// Node.
    pub from: InstanceId,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Counts.
    pub report: Report,
}

/// Announcements of what this node has learned itself.
pub fn take_unsent(board: &Blackboard) -> Vec<Datagram> {
    if !is_enabled(board) {
        return Vec::new();
    }
    datagrams(&board.rollouts.borrow_mut().take_unsent(board.now()))
}

/// Announcements to repeat; `all` of them for a node that has just started.
#[must_use]
pub fn summary(board: &Blackboard, all: bool) -> Vec<Datagram> {
    if !is_enabled(board) {
        return Vec::new();
    }
    datagrams(&board.rollouts.borrow().summary(all, board.now()))
}

fn datagrams(announcements: &[Announcement]) -> Vec<Datagram> {
    let chunks = announcements.chunks(MAX_ANNOUNCEMENTS);
    chunks.map(|chunk| Datagram::Rollouts(chunk.into())).collect()
}

/// Sends this node's counts of the open rollouts to their coordinators and standbys.
pub fn send_counts(board: &Blackboard, socket: &UdpSocket) {
    for counts in current_counts(board) {
        // Requests without a response for long count, too.
        super::counts::stop_if_bad(board, &counts.service);
        let chosen = super::coordinator::chosen(board, &counts.service);
        if chosen.iter().any(|node| node.is_none()) {
            super::coordinator::record(board, counts.clone());
        }
        let others: Vec<_> = chosen.into_iter().flatten().collect();
        if !others.is_empty() {
            peers::send_to(board, socket, &Datagram::Counts(Box::new(counts)), &others);
        }
    }
}

/// This node's counts of the open rollouts.
fn current_counts(board: &Blackboard) -> Vec<Counts> {
    let mut rollouts = board.rollouts.borrow_mut();
    rollouts.count_running(board.now());
    let counts = rollouts.open_mut().map(|entry| {
        entry.counts.sequence = entry.counts.sequence.saturating_add(1);
        // A node that has stopped on its own uses stable endpoints, as in `Canary`.
        entry.counts.stage = if entry.stopped { Stage::Canary } else { entry.stage };
        Counts {
            service: entry.order.service.clone(),
            from: board.settings.instance.clone(),
            incarnation: board.incarnation,
            report: entry.counts.clone(),
        }
    });
    counts.collect()
}

//! Datagrams about rollouts.

use super::{
    coordinator,
    counts::stop_if_bad,
    is_enabled,
    orders::{Entry, Sent},
};
use crate::{blackboard::Blackboard, digest::Datagram, peers};
use sched::rollout::{Order, Report, Stage};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use tokio::net::UdpSocket;
use units::{InstanceId, Release, ServiceId, Time};

/// Interval at which counts are sent that have not changed, in case a datagram was lost. A node that
/// becomes the coordinator collects counts for longer than this.
const UNCHANGED_INTERVAL: Duration = Duration::from_millis(500);
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

/// Sends this node's counts of the open rollouts to their coordinators and standbys, unless they have
/// them.
pub fn send_counts(board: &Blackboard, socket: &UdpSocket) {
    let now = board.now();
    board.rollouts.borrow_mut().count_running(now);
    let open = board.rollouts.borrow();
    let services: Vec<ServiceId> = open.open().map(|entry| entry.order.service.clone()).collect();
    drop(open);
    for service in services {
        // Requests without a response for long count, too.
        stop_if_bad(board, &service);
        let to = coordinator::chosen(board, &service);
        let due = board.rollouts.borrow_mut().get_mut(&service).and_then(|e| due(e, &to, now));
        let Some(report) = due else { continue };
        let from = board.settings.instance.clone();
        let counts = Counts { service, from, incarnation: board.incarnation, report };
        let others: Vec<SocketAddr> = to.iter().copied().flatten().collect();
        if others.len() < to.len() {
            coordinator::record(board, counts.clone());
        }
        if !others.is_empty() {
            peers::send_to(board, socket, &Datagram::Counts(Box::new(counts)), &others);
        }
    }
}

/// Report that is to be sent now, if any. Counts that have not changed are sent less often: in a large
/// cluster, most nodes have no request of the service in an interval.
fn due(entry: &mut Entry, to: &[Option<SocketAddr>], now: Time) -> Option<Report> {
    let mut report = entry.counts.clone();
    // A node that has stopped on its own uses stable endpoints, as in `Canary`.
    report.stage = if entry.stopped { Stage::Canary } else { entry.stage };
    if let Some(sent) = &entry.sent {
        report.sequence = sent.report.sequence;
        let is_known = sent.report == report && sent.to == to;
        if is_known && now.since(sent.at) < UNCHANGED_INTERVAL {
            return None;
        }
    }
    report.sequence = report.sequence.saturating_add(1);
    entry.sent = Some(Sent { report: report.clone(), to: to.to_vec(), at: now });
    Some(report)
}

//! Announcements to all other nodes: evidence of crashes, limits of endpoints and stages of rollouts.
//!
//! What a node learns from a response goes to all others at once, since each may
//! use the endpoint next. Datagrams may be lost, and nodes start later. Each node
//! therefore repeats what matters every second to a few others, chosen at random,
//! so that what a node sends does not grow with the cluster. The nodes that read
//! the store send it to a node when they first hear from it.

use crate::{
    blackboard::Blackboard, digest::Datagram, limits, peers, quarantine, rollout::messages,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::UdpSocket;
use units::Time;

/// Interval at which announcements are repeated.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of nodes to which a node repeats what matters each time. As all nodes do so, one that
/// missed it is told twice in an interval on average.
const REPEAT_FANOUT: usize = 2;
/// Time in which news are gathered for one datagram: that of the requests of one crash.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Announcements that a node which has missed all of them needs most; `is_new` for one that has just
/// started.
fn summary(board: &Blackboard, is_new: bool) -> Vec<Datagram> {
    let mut datagrams = quarantine::summary(board);
    datagrams.extend(limits::summary(board));
    datagrams.extend(messages::summary(board, is_new));
    datagrams
}

/// Sends what matters to a node that has just started, if this node reads the store.
pub fn greet(board: &Blackboard, socket: &UdpSocket, to: SocketAddr) {
    if board.is_reader() {
        for datagram in summary(board, true) {
            peers::send_to(board, socket, &datagram, &[to]);
        }
    }
}

/// Sends what is new to all other nodes, and repeats what matters.
pub async fn run(board: Rc<Blackboard>, socket: Rc<UdpSocket>) {
    let mut repeated = Time::ZERO;
    loop {
        let notified = board.announce_now.notified();
        if tokio::time::timeout(REPEAT_INTERVAL, notified).await.is_ok() {
            tokio::time::sleep(GATHER_TIME).await;
        }
        let now = board.now();
        let mut datagrams = quarantine::take_unsent(&board);
        datagrams.extend(limits::take_unsent(&board));
        datagrams.extend(messages::take_unsent(&board));
        if now.since(repeated) >= REPEAT_INTERVAL {
            repeated = now;
            board.quarantine.borrow_mut().prune(now);
            let some = board.roster.borrow().sample(REPEAT_FANOUT);
            for datagram in summary(&board, false) {
                peers::send_to(&board, &socket, &datagram, &some);
            }
        }
        if datagrams.is_empty() {
            continue;
        }
        let nodes = board.roster.borrow().addresses(true);
        for datagram in datagrams {
            peers::send_to(&board, &socket, &datagram, &nodes);
        }
    }
}

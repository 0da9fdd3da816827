//! Membership: timers of the roster, and dispatch of frames from peers.

use crate::{
    blackboard::{Blackboard, Configuration},
    controller::facts,
};
use codes::Event;
use link::Incoming;
use member::{Change, Message, Output, Record};
use parking_lot::Mutex;
use sched::{CellId, placement::Demand};
use slog::info;
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::sync::mpsc;
use units::{InstanceId, Time, Version};
use wire::Frame;

/// Interval of the roster's timers.
const TICK: Duration = Duration::from_millis(50);
/// Minimum interval between requests for the same version of the publication.
const PUBLICATION_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Runs the roster's timers.
pub async fn tick(board: Arc<Blackboard>) {
    loop {
        let version = board.version();
        let outputs = {
            let mut roster = board.roster.lock();
            roster.set_version(version);
            roster.tick(board.now())
        };
        apply_outputs(&board, outputs);
        tokio::time::sleep(TICK).await;
    }
}

/// Handles frames from peers.
pub async fn receive(board: Arc<Blackboard>, mut incoming: mpsc::Receiver<Incoming>) {
    let requested = Throttle::default();
    while let Some(Incoming { from, frame }) = incoming.recv().await {
        match frame {
            Frame::Member(message) => receive_member(&board, &from, message, &requested),
            Frame::Facts(received) => facts::receive(&board, &from, &received),
            Frame::WantPublication(above) => send_publication(&board, &from, above),
            Frame::Publication(document) => {
                let _ = board.documents.try_send(document);
            }
            Frame::Demand(cell, report) => record_demand(&board, cell, report),
            Frame::Hello(_) => {}
            other => board.dispatcher.receive(&board, &from, other),
        }
    }
}

/// Throttle of requests for the publication: versions requested within the last
/// [`PUBLICATION_REQUEST_INTERVAL`].
#[derive(Debug, Default)]
struct Throttle {
    requested_at: Mutex<HashMap<Version, Time>>,
}

impl Throttle {
    /// Records a request for `version`; false when the last call for it was made within
    /// [`PUBLICATION_REQUEST_INTERVAL`].
    fn try_request(&self, version: Version, now: Time) -> bool {
        let mut requested_at = self.requested_at.lock();
        requested_at.retain(|_, at| now.since(*at) < PUBLICATION_REQUEST_INTERVAL);
        requested_at.insert(version, now).is_none()
    }
}

fn record_demand(board: &Blackboard, cell: CellId, report: wire::Demand) {
    let demand = Demand {
        service: cell.service.clone(),
        backlog: report.backlog,
        in_use: usize::try_from(report.in_use).unwrap_or(usize::MAX),
        capacity: f64::from(report.capacity),
    };
    board.demands.lock().record(cell, demand, board.now());
}

fn receive_member(board: &Blackboard, from: &InstanceId, message: Message, requested: &Throttle) {
    if let Message::Heartbeat { version, .. } = &message {
        let own = board.version();
        if *version > own && requested.try_request(*version, board.now()) {
            send(board, from, Frame::WantPublication(own));
        }
    }
    let wants_reply = matches!(message, Message::Sync { reply: true, .. });
    let outputs = board.roster.lock().receive(from, message, board.now());
    apply_outputs(board, outputs);
    if wants_reply {
        send(board, from, Frame::Facts(facts::snapshot(board).into()));
        send_heartbeat(board, from);
    }
}

fn send_publication(board: &Blackboard, to: &InstanceId, above: Version) {
    let config = board.config.read().clone();
    if let Some(config) = config.filter(|config| config.publication.version > above) {
        send(board, to, Frame::Publication(config.document.clone()));
    }
}

/// Sends the roster's messages and applies its membership changes.
pub fn apply_outputs(board: &Blackboard, outputs: Vec<Output>) {
    for output in outputs {
        match output {
            Output::Send { address, message, .. } => {
                board.link.send(address, Frame::Member(message));
            }
            Output::Changed(change) => apply_change(board, &change),
        }
    }
}

fn apply_change(board: &Blackboard, change: &Change) {
    let (event, record) = match change {
        Change::Joined(record) => (Event::MemberJoined, record),
        Change::Suspected(record) => (Event::MemberSuspected, record),
        Change::Died(record) => (Event::MemberDead, record),
        Change::Left(record) => (Event::MemberLeft, record),
    };
    info!(board.log, "member changed"; event, "member" => %record.instance,
        "incarnation" => record.incarnation);
    if matches!(change, Change::Died(_) | Change::Left(_)) {
        board.dispatcher.drop_holder(&record.instance, board.now());
    }
    board.map_changed.notify_one();
}

/// Sends the version in force to every finger, so that those with an older one request it.
pub fn announce_config(board: &Blackboard, config: &Configuration) {
    let version = config.publication.version;
    board.roster.lock().set_version(version);
    for finger in fingers(board) {
        send_heartbeat(board, &finger.instance);
    }
}

fn send_heartbeat(board: &Blackboard, to: &InstanceId) {
    let version = board.version();
    let digest = board.roster.lock().digest();
    send(board, to, Frame::Member(Message::Heartbeat { digest, version }));
}

/// Requests the roster and the facts of every finger.
pub fn request_sync(board: &Blackboard) {
    let records: Box<[Record]> = board.roster.lock().records().cloned().collect();
    for finger in fingers(board) {
        let message = Message::Sync { records: records.clone(), reply: true };
        board.link.send(finger.address, Frame::Member(message));
    }
}

/// Members to which this gateway sends heartbeats and facts: its fingers on the hash ring.
pub fn fingers(board: &Blackboard) -> Vec<Record> {
    let roster = board.roster.lock();
    roster.fingers().iter().filter_map(|id| roster.record(id).cloned()).collect()
}

/// Sends a frame to a member; does nothing when the member is unknown.
pub fn send(board: &Blackboard, to: &InstanceId, frame: Frame) {
    let address = board.roster.lock().record(to).map(|record| record.address);
    if let Some(address) = address {
        board.link.send(address, frame);
    }
}

//! Membership: the roster's timers, and frames of peers.

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
/// Least time between two requests for a publication.
const WANT_INTERVAL: Duration = Duration::from_millis(300);

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

/// Handles frames of peers.
pub async fn receive(board: Arc<Blackboard>, mut incoming: mpsc::Receiver<Incoming>) {
    let wanted = Wanted::default();
    while let Some(Incoming { from, frame }) = incoming.recv().await {
        match frame {
            Frame::Member(message) => receive_member(&board, &from, message, &wanted),
            Frame::Facts(found) => facts::receive(&board, &from, &found),
            Frame::WantPublication(above) => send_publication(&board, &from, above),
            Frame::Publication(document) => {
                let _ = board.documents.try_send(document);
            }
            Frame::Demand(cell, report) => note_demand(&board, cell, report),
            Frame::Hello(_) => {}
            other => board.dispatcher.receive(&board, &from, other),
        }
    }
}

/// Versions that were asked for a moment ago.
#[derive(Debug, Default)]
struct Wanted {
    asked: Mutex<HashMap<Version, Time>>,
}

impl Wanted {
    fn may_ask(&self, version: Version, now: Time) -> bool {
        let mut asked = self.asked.lock();
        asked.retain(|_, at| now.since(*at) < WANT_INTERVAL);
        asked.insert(version, now).is_none()
    }
}

fn note_demand(board: &Blackboard, cell: CellId, report: wire::Demand) {
    let demand = Demand {
        service: cell.service.clone(),
        backlog: report.backlog,
        in_use: usize::try_from(report.in_use).unwrap_or(usize::MAX),
        capacity: f64::from(report.capacity),
    };
    board.demands.lock().note(cell, demand, board.now());
}

fn receive_member(board: &Blackboard, from: &InstanceId, message: Message, wanted: &Wanted) {
    if let Message::Heartbeat { version, .. } = &message {
        let own = board.version();
        if *version > own && wanted.may_ask(*version, board.now()) {
            send(board, from, Frame::WantPublication(own));
        }
    }
    let asks = matches!(message, Message::Sync { reply: true, .. });
    let outputs = board.roster.lock().receive(from, message, board.now());
    apply_outputs(board, outputs);
    if asks {
        send(board, from, Frame::Facts(facts::all(board).into()));
        announce(board, from);
    }
}

fn send_publication(board: &Blackboard, to: &InstanceId, above: Version) {
    let config = board.config.read().clone();
    if let Some(config) = config.filter(|config| config.publication.version > above) {
        send(board, to, Frame::Publication(config.document.clone()));
    }
}

/// Sends what the roster asks for, and follows its changes.
pub fn apply_outputs(board: &Blackboard, outputs: Vec<Output>) {
    for output in outputs {
        match output {
            Output::Send { address, message, .. } => {
                board.link.send(address, Frame::Member(message));
            }
            Output::Changed(change) => follow(board, &change),
        }
    }
}

fn follow(board: &Blackboard, change: &Change) {
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

/// Tells every finger the version in force, so that those behind ask for it.
pub fn announce_config(board: &Blackboard, config: &Configuration) {
    let version = config.publication.version;
    board.roster.lock().set_version(version);
    for finger in fingers(board) {
        announce(board, &finger.instance);
    }
}

fn announce(board: &Blackboard, to: &InstanceId) {
    let version = board.version();
    let digest = board.roster.lock().digest();
    send(board, to, Frame::Member(Message::Heartbeat { digest, version }));
}

/// Asks every finger for its roster and facts.
pub fn ask_all(board: &Blackboard) {
    let records: Box<[Record]> = board.roster.lock().records().cloned().collect();
    for finger in fingers(board) {
        let message = Message::Sync { records: records.clone(), reply: true };
        board.link.send(finger.address, Frame::Member(message));
    }
}

/// Live members that news is sent to.
pub fn fingers(board: &Blackboard) -> Vec<Record> {
    let roster = board.roster.lock();
    roster.fingers().iter().filter_map(|id| roster.record(id).cloned()).collect()
}

/// Sends a frame to a member.
pub fn send(board: &Blackboard, to: &InstanceId, frame: Frame) {
    let address = board.roster.lock().record(to).map(|record| record.address);
    if let Some(address) = address {
        board.link.send(address, frame);
    }
}

//! Roster of one member, and the messages that keep it.

use crate::{
    message::{Message, Record, State},
    ring,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};
use units::{InstanceId, Time, Version};

/// Timing of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Interval of heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which a member is suspected.
    pub suspect_after: Duration,
    /// Time that a suspect has to answer.
    pub confirm_after: Duration,
    /// Interval at which members believed dead, and strangers listed, are tried again.
    pub retry_interval: Duration,
    /// Time for which records of members that are gone are kept.
    pub forget_after: Duration,
    /// Gap between two ticks after which this member takes itself for paused.
    pub stall_threshold: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(400),
            suspect_after: Duration::from_millis(1300),
            confirm_after: Duration::from_millis(1300),
            retry_interval: Duration::from_secs(2),
            forget_after: Duration::from_secs(600),
            stall_threshold: Duration::from_millis(900),
        }
    }
}

/// Interval at which rosters are exchanged with one peer at most.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Change of the roster, for logs and for whoever depends on members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member is alive that was not before.
    Joined(Record),
    /// A member is suspected.
    Suspected(Record),
    /// A member is believed dead.
    Died(Record),
    /// A member left in order.
    Left(Record),
}

/// What the roster asks its process to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Receiver, when its name is known.
        to: Option<InstanceId>,
        /// Its address.
        address: SocketAddr,
        /// Message.
        message: Message,
    },
    /// Note a change.
    Changed(Change),
}

#[derive(Debug)]
struct Entry {
    record: Record,
    since: Time,
}

/// Members as this one knows them.
#[derive(Debug)]
pub struct Roster {
    me: Record,
    config: Config,
    entries: BTreeMap<InstanceId, Entry>,
    heard: HashMap<InstanceId, Time>,
    synced: HashMap<SocketAddr, Time>,
    seeds: Vec<SocketAddr>,
    fingers: Vec<InstanceId>,
    watched: Vec<InstanceId>,
    digest: u64,
    last_tick: Time,
    last_heartbeat: Time,
    last_retry: Time,
    retry_turn: usize,
    version: Version,
}

impl Roster {
    /// Roster that holds only its own member; `me.incarnation` must exceed those of former lives.
    #[must_use]
    pub fn new(me: Record, config: Config, now: Time) -> Self {
        let mut roster = Self {
            digest: 0,
            entries: BTreeMap::new(),
            heard: HashMap::new(),
            synced: HashMap::new(),
            seeds: Vec::new(),
            fingers: Vec::new(),
            watched: Vec::new(),
            last_tick: now,
            last_heartbeat: Time::ZERO,
            last_retry: Time::ZERO,
            retry_turn: 0,
            version: Version(0),
            me,
            config,
        };
        roster.store_own(now);
        roster
    }

    fn store_own(&mut self, now: Time) {
        let record = self.me.clone();
        self.store(record, now);
    }

    /// Own record.
    #[must_use]
    pub const fn me(&self) -> &Record {
        &self.me
    }

    /// Sets the configuration version that heartbeats carry.
    pub fn set_version(&mut self, version: Version) {
        self.version = version;
    }

    /// Sets the peer addresses that the platform lists.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Members alive or suspected, this one included.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.state <= State::Suspect)
    }

    /// Every record.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Record of one member.
    #[must_use]
    pub fn record(&self, instance: &InstanceId) -> Option<&Record> {
        self.entries.get(instance).map(|entry| &entry.record)
    }

    /// Live members that heartbeats and news are sent to.
    #[must_use]
    pub fn fingers(&self) -> &[InstanceId] {
        &self.fingers
    }

    /// Digest of the roster.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Advances time: heartbeats, suspicions, retries.
    pub fn tick(&mut self, now: Time) -> Vec<Output> {
        let mut out = Vec::new();
        if now.since(self.last_tick) > self.config.stall_threshold {
            self.excuse_others(now);
        }
        self.last_tick = now;
        if now.since(self.last_heartbeat) >= self.config.heartbeat_interval {
            self.last_heartbeat = now;
            self.send_heartbeats(&mut out);
        }
        self.suspect_silent(now, &mut out);
        self.confirm_suspects(now, &mut out);
        if self.last_retry == Time::ZERO || now.since(self.last_retry) >= self.config.retry_interval
        {
            self.last_retry = now;
            self.retry_one(&mut out);
            self.forget(now);
        }
        out
    }

    /// After a pause of its own, counts every silence from now on.
    fn excuse_others(&mut self, now: Time) {
        for heard in self.heard.values_mut() {
            *heard = now;
        }
        for entry in self.entries.values_mut() {
            if entry.record.state == State::Suspect {
                entry.since = now;
            }
        }
    }

    fn send_heartbeats(&self, out: &mut Vec<Output>) {
        let message = Message::Heartbeat { digest: self.digest, version: self.version };
        for finger in &self.fingers {
            self.send(finger, message.clone(), out);
        }
    }

    fn send(&self, to: &InstanceId, message: Message, out: &mut Vec<Output>) {
        if let Some(entry) = self.entries.get(to) {
            let address = entry.record.address;
            out.push(Output::Send { to: Some(to.clone()), address, message });
        }
    }

    fn suspect_silent(&mut self, now: Time, out: &mut Vec<Output>) {
        for id in self.watched.clone() {
            let heard = *self.heard.entry(id.clone()).or_insert(now);
            let alive = self.record(&id).is_some_and(|record| record.state == State::Alive);
            if alive && now.since(heard) > self.config.suspect_after {
                self.declare(&id, State::Suspect, now, out);
            }
        }
    }

    fn confirm_suspects(&mut self, now: Time, out: &mut Vec<Output>) {
        let overdue: Vec<InstanceId> = self
            .entries
            .values()
            .filter(|entry| entry.record.state == State::Suspect)
            .filter(|entry| now.since(entry.since) > self.config.confirm_after)
            .map(|entry| entry.record.instance.clone())
            .collect();
        for id in overdue {
            self.declare(&id, State::Dead, now, out);
        }
    }

    fn declare(&mut self, id: &InstanceId, state: State, now: Time, out: &mut Vec<Output>) {
        if let Some(record) = self.record(id).cloned() {
            self.accept(Record { state, ..record }, now, out);
        }
    }

    /// Tries one listed address or dead member, in turn.
    fn retry_one(&mut self, out: &mut Vec<Output>) {
        let mut targets: Vec<SocketAddr> = self.seeds.clone();
        targets.extend(self.records().filter(|r| r.state == State::Dead).map(|r| r.address));
        let known: Vec<SocketAddr> = self.live().map(|record| record.address).collect();
        targets.retain(|address| !known.contains(address));
        if targets.is_empty() {
            return;
        }
        self.retry_turn = self.retry_turn.wrapping_add(1);
        let alone = known.len() == 1;
        let count = if alone { targets.len().min(3) } else { 1 };
        for step in 0..count {
            let address = targets[(self.retry_turn + step) % targets.len()];
            out.push(Output::Send { to: None, address, message: self.sync(true) });
        }
    }

    fn sync(&self, reply: bool) -> Message {
        Message::Sync { records: self.records().cloned().collect(), reply }
    }

    fn forget(&mut self, now: Time) {
        let limit = self.config.forget_after;
        let gone: Vec<InstanceId> = self
            .entries
            .values()
            .filter(|e| e.record.state >= State::Dead && now.since(e.since) > limit)
            .map(|e| e.record.instance.clone())
            .collect();
        for id in gone {
            if let Some(entry) = self.entries.remove(&id) {
                self.digest ^= entry.record.digest();
            }
            self.heard.remove(&id);
        }
        self.synced.retain(|_, at| now.since(*at) <= limit);
    }

    /// Handles a message of `from`.
    pub fn receive(&mut self, from: &InstanceId, message: Message, now: Time) -> Vec<Output> {
        let mut out = Vec::new();
        self.heard.insert(from.clone(), now);
        match message {
            Message::Heartbeat { digest, .. } => self.compare(from, digest, now, &mut out),
            Message::Rumours(records) => self.merge(&records, now, &mut out),
            Message::Sync { records, reply } => {
                self.merge(&records, now, &mut out);
                if reply {
                    self.send(from, self.sync(false), &mut out);
                }
            }
        }
        out
    }

    fn compare(&mut self, from: &InstanceId, digest: u64, now: Time, out: &mut Vec<Output>) {
        let Some(address) = self.record(from).map(|record| record.address) else {
            return;
        };
        let recent = self.synced.get(&address).is_some_and(|at| now.since(*at) < SYNC_INTERVAL);
        if digest != self.digest && !recent {
            self.synced.insert(address, now);
            self.send(from, self.sync(true), out);
        }
    }

    fn merge(&mut self, records: &[Record], now: Time, out: &mut Vec<Output>) {
        for record in records {
            self.accept(record.clone(), now, out);
        }
    }

    /// Takes in one record and forwards it when it is news.
    fn accept(&mut self, record: Record, now: Time, out: &mut Vec<Output>) {
        if record.instance == self.me.instance {
            self.refute(&record, now, out);
            return;
        }
        let before = self.record(&record.instance).cloned();
        if before.as_ref().is_some_and(|old| !record.overrides(old)) {
            return;
        }
        let was_live = before.is_some_and(|old| old.state <= State::Suspect);
        self.store(record.clone(), now);
        self.heard.insert(record.instance.clone(), now);
        self.forward(&record, out);
        match record.state {
            State::Alive if !was_live => out.push(Output::Changed(Change::Joined(record))),
            State::Alive => {}
            State::Suspect => out.push(Output::Changed(Change::Suspected(record))),
            State::Dead => out.push(Output::Changed(Change::Died(record))),
            State::Left => out.push(Output::Changed(Change::Left(record))),
        }
    }

    /// Answers a record of itself that is not its own.
    fn refute(&mut self, record: &Record, now: Time, out: &mut Vec<Output>) {
        if self.me.state == State::Left || !record.overrides(&self.me) {
            return;
        }
        self.me.incarnation = record.incarnation + 1;
        self.store_own(now);
        let me = self.me.clone();
        self.forward(&me, out);
    }

    fn forward(&self, record: &Record, out: &mut Vec<Output>) {
        let message = Message::Rumours(Box::new([record.clone()]));
        let mut receivers = self.fingers.clone();
        if record.state != State::Alive && !receivers.contains(&record.instance) {
            receivers.push(record.instance.clone());
        }
        for receiver in &receivers {
            self.send(receiver, message.clone(), out);
        }
    }

    fn store(&mut self, record: Record, now: Time) {
        self.digest ^= record.digest();
        let id = record.instance.clone();
        if let Some(old) = self.entries.insert(id, Entry { record, since: now }) {
            self.digest ^= old.record.digest();
        }
        let mut ring: Vec<InstanceId> = self.live().map(|r| r.instance.clone()).collect();
        ring::sort(&mut ring);
        self.fingers = ring::fingers(&ring, &self.me.instance);
        self.watched = ring::watched(&ring, &self.me.instance);
    }

    /// Leaves in order; the messages tell the fingers.
    pub fn leave(&mut self, now: Time) -> Vec<Output> {
        self.me.state = State::Left;
        let me = self.me.clone();
        let mut out = Vec::new();
        self.forward(&me, &mut out);
        self.store_own(now);
        out
    }
}

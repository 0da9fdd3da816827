//! Roster of one member and the messages that maintain it.

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
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a message after which a member is suspected.
    pub suspect_after: Duration,
    /// Time that a suspected member has to refute before it is declared dead.
    pub confirm_after: Duration,
    /// Interval at which members declared dead and seeds that are not live members are retried.
    pub retry_interval: Duration,
    /// Time for which records of dead members and of those that left are kept.
    pub forget_after: Duration,
    /// Gap between two ticks beyond which this member concludes that its process was paused.
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

/// Minimum interval between roster exchanges that this member starts with one peer.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Change of the roster, for logs and for code that depends on membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member is alive that was unknown, dead or had left.
    Joined(Record),
    /// A member is suspected.
    Suspected(Record),
    /// A member was declared dead.
    Died(Record),
    /// A member left gracefully.
    Left(Record),
}

/// Action that the roster requests from its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Receiver, when its name is known.
        to: Option<InstanceId>,
        /// Address of the receiver.
        address: SocketAddr,
        /// Message.
        message: Message,
    },
    /// Report a change.
    Changed(Change),
}

#[derive(Debug)]
struct Entry {
    record: Record,
    state_since: Time,
}

/// Members as known to this one.
#[derive(Debug)]
pub struct Roster {
    me: Record,
    config: Config,
    entries: BTreeMap<InstanceId, Entry>,
    last_heard: HashMap<InstanceId, Time>,
    last_sync: HashMap<SocketAddr, Time>,
    seeds: Vec<SocketAddr>,
    fingers: Vec<InstanceId>,
    monitored: Vec<InstanceId>,
    digest: u64,
    last_tick: Time,
    last_heartbeat: Time,
    last_retry: Time,
    retry_cursor: usize,
    version: Version,
}

impl Roster {
    /// Roster that holds only its own member; `me.incarnation` must exceed those of earlier
    /// processes with the same name.
    #[must_use]
    pub fn new(me: Record, config: Config, now: Time) -> Self {
        let mut roster = Self {
            digest: 0,
            entries: BTreeMap::new(),
            last_heard: HashMap::new(),
            last_sync: HashMap::new(),
            seeds: Vec::new(),
            fingers: Vec::new(),
            monitored: Vec::new(),
            last_tick: now,
            last_heartbeat: Time::ZERO,
            last_retry: Time::ZERO,
            retry_cursor: 0,
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

    /// Sets the peer addresses that the platform's directory lists.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Members alive or suspected, this one included.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.state <= State::Suspect)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Record of one member.
    #[must_use]
    pub fn record(&self, instance: &InstanceId) -> Option<&Record> {
        self.entries.get(instance).map(|entry| &entry.record)
    }

    /// Live members that heartbeats and updates are sent to.
    #[must_use]
    pub fn fingers(&self) -> &[InstanceId] {
        &self.fingers
    }

    /// Digest of the roster, independent of the order of its records.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Advances time: sends heartbeats, updates suspicions and retries unreachable members.
    pub fn tick(&mut self, now: Time) -> Vec<Output> {
        let mut out = Vec::new();
        if now.since(self.last_tick) > self.config.stall_threshold {
            self.restart_timers(now);
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
            self.retry_unreachable(&mut out);
            self.remove_expired(now);
        }
        out
    }

    /// Restarts all silence and suspicion timers after a pause of this process.
    fn restart_timers(&mut self, now: Time) {
        for last_heard in self.last_heard.values_mut() {
            *last_heard = now;
        }
        for entry in self.entries.values_mut() {
            if entry.record.state == State::Suspect {
                entry.state_since = now;
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
        for id in self.monitored.clone() {
            let last_heard = *self.last_heard.entry(id.clone()).or_insert(now);
            let alive = self.record(&id).is_some_and(|record| record.state == State::Alive);
            if alive && now.since(last_heard) > self.config.suspect_after {
                self.set_state(&id, State::Suspect, now, out);
            }
        }
    }

    fn confirm_suspects(&mut self, now: Time, out: &mut Vec<Output>) {
        let overdue: Vec<InstanceId> = self
            .entries
            .values()
            .filter(|entry| entry.record.state == State::Suspect)
            .filter(|entry| now.since(entry.state_since) > self.config.confirm_after)
            .map(|entry| entry.record.instance.clone())
            .collect();
        for id in overdue {
            self.set_state(&id, State::Dead, now, out);
        }
    }

    fn set_state(&mut self, id: &InstanceId, state: State, now: Time, out: &mut Vec<Output>) {
        if let Some(record) = self.record(id).cloned() {
            self.apply(Record { state, ..record }, now, out);
        }
    }

    /// Sends a sync to the next seed or dead member that is not live, or to the next three while
    /// this member knows no other live one.
    fn retry_unreachable(&mut self, out: &mut Vec<Output>) {
        let mut targets: Vec<SocketAddr> = self.seeds.clone();
        targets.extend(self.records().filter(|r| r.state == State::Dead).map(|r| r.address));
        let live: Vec<SocketAddr> = self.live().map(|record| record.address).collect();
        targets.retain(|address| !live.contains(address));
        if targets.is_empty() {
            return;
        }
        self.retry_cursor = self.retry_cursor.wrapping_add(1);
        let alone = live.len() == 1;
        let count = if alone { targets.len().min(3) } else { 1 };
        for step in 0..count {
            let address = targets[(self.retry_cursor + step) % targets.len()];
            out.push(Output::Send { to: None, address, message: self.sync(true) });
        }
    }

    fn sync(&self, reply: bool) -> Message {
        Message::Sync { records: self.records().cloned().collect(), reply }
    }

    fn remove_expired(&mut self, now: Time) {
        let limit = self.config.forget_after;
        let expired: Vec<InstanceId> = self
            .entries
            .values()
            .filter(|e| e.record.state >= State::Dead && now.since(e.state_since) > limit)
            .map(|e| e.record.instance.clone())
            .collect();
        for id in expired {
            if let Some(entry) = self.entries.remove(&id) {
                self.digest ^= entry.record.digest();
            }
            self.last_heard.remove(&id);
        }
        self.last_sync.retain(|_, at| now.since(*at) <= limit);
    }

    /// Handles a message from `from`.
    pub fn receive(&mut self, from: &InstanceId, message: Message, now: Time) -> Vec<Output> {
        let mut out = Vec::new();
        self.last_heard.insert(from.clone(), now);
        match message {
            Message::Heartbeat { digest, .. } => self.compare_digest(from, digest, now, &mut out),
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

    fn compare_digest(&mut self, from: &InstanceId, digest: u64, now: Time, out: &mut Vec<Output>) {
        let Some(address) = self.record(from).map(|record| record.address) else {
            return;
        };
        let recent = self.last_sync.get(&address).is_some_and(|at| now.since(*at) < SYNC_INTERVAL);
        if digest != self.digest && !recent {
            self.last_sync.insert(address, now);
            self.send(from, self.sync(true), out);
        }
    }

    fn merge(&mut self, records: &[Record], now: Time, out: &mut Vec<Output>) {
        for record in records {
            self.apply(record.clone(), now, out);
        }
    }

    /// Applies a record and forwards it if it changes the roster.
    fn apply(&mut self, record: Record, now: Time, out: &mut Vec<Output>) {
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
        self.last_heard.insert(record.instance.clone(), now);
        self.forward(&record, out);
        match record.state {
            State::Alive if !was_live => out.push(Output::Changed(Change::Joined(record))),
            State::Alive => {}
            State::Suspect => out.push(Output::Changed(Change::Suspected(record))),
            State::Dead => out.push(Output::Changed(Change::Died(record))),
            State::Left => out.push(Output::Changed(Change::Left(record))),
        }
    }

    /// Refutes a record about this member that overrides its own by raising the incarnation.
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
        if let Some(old) = self.entries.insert(id, Entry { record, state_since: now }) {
            self.digest ^= old.record.digest();
        }
        let mut ring: Vec<InstanceId> = self.live().map(|r| r.instance.clone()).collect();
        ring::sort(&mut ring);
        self.fingers = ring::fingers(&ring, &self.me.instance);
        self.monitored = ring::monitored(&ring, &self.me.instance);
    }

    /// Leaves gracefully; the returned messages inform the fingers.
    pub fn leave(&mut self, now: Time) -> Vec<Output> {
        self.me.state = State::Left;
        let me = self.me.clone();
        let mut out = Vec::new();
        self.forward(&me, &mut out);
        self.store_own(now);
        out
    }
}

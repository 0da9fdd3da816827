//! Quarantine of requests that bring endpoints down.
//!
//! Every request in flight at an endpoint that fails gets a strike. A request
//! with a strike is a *suspect*: it runs at an endpoint that has no other
//! suspect, so that a second failure points at one request. The second strike
//! quarantines it. A suspect that is answered whole is cleared. Strikes and
//! quarantines end by themselves, and each further strike after a quarantine
//! doubles its length.

use std::{collections::HashMap, time::Duration};
use units::{Fingerprint, Time};

/// Strikes after which a request is quarantined.
const QUARANTINE_STRIKES: u8 = 2;
/// Time after which a strike is forgotten.
const STRIKE_TTL: Duration = Duration::from_secs(600);
/// Length of a first quarantine.
const QUARANTINE: Duration = Duration::from_secs(120);
/// Longest quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(3600);
/// Most fingerprints that are remembered.
const MAX_RECORDS: usize = 4096;

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Clear,
    /// An endpoint failed under it.
    Suspect,
    /// It is not run before `until`.
    Quarantined {
        /// End of the quarantine.
        until: Time,
    },
}

#[derive(Debug, Clone, Copy)]
struct Record {
    strikes: u8,
    last: Time,
}

/// Strikes by fingerprint.
#[derive(Debug)]
pub struct Tracker {
    records: HashMap<Fingerprint, Record>,
    threshold: u8,
}

impl Default for Tracker {
    fn default() -> Self {
        Self { records: HashMap::new(), threshold: QUARANTINE_STRIKES }
    }
}

impl Tracker {
    /// Empty tracker.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Quarantines after `strikes` strikes.
    #[must_use]
    pub fn with_threshold(mut self, strikes: u8) -> Self {
        self.threshold = strikes;
        self
    }

    /// What is known of a request.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, now: Time) -> Verdict {
        let Some(record) = self.records.get(&fingerprint) else {
            return Verdict::Clear;
        };
        if now.since(record.last) > STRIKE_TTL.max(quarantine(record.strikes)) {
            return Verdict::Clear;
        }
        let until = record.last + quarantine(record.strikes);
        if record.strikes >= self.threshold && now < until {
            Verdict::Quarantined { until }
        } else {
            Verdict::Suspect
        }
    }

    /// Adds a strike and returns the number of strikes.
    pub fn strike(&mut self, fingerprint: Fingerprint, now: Time) -> u8 {
        let before = match self.verdict(fingerprint, now) {
            Verdict::Clear => 0,
            _ => self.records.get(&fingerprint).map_or(0, |record| record.strikes),
        };
        let strikes = before.saturating_add(1);
        self.merge(fingerprint, strikes, Duration::ZERO, now);
        strikes
    }

    /// Takes over strikes that a peer counted `age` ago; true when they were news.
    pub fn merge(
        &mut self,
        fingerprint: Fingerprint,
        strikes: u8,
        age: Duration,
        now: Time,
    ) -> bool {
        let known = self.records.get(&fingerprint).map_or(0, |record| record.strikes);
        if strikes <= known {
            return false;
        }
        if self.records.len() >= MAX_RECORDS {
            self.evict();
        }
        self.records.insert(fingerprint, Record { strikes, last: now - age });
        true
    }

    /// Clears a suspect that was answered whole; true when it had a strike.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&fingerprint).is_some()
    }

    /// Records, for peers that join: fingerprint, strikes and age of the last.
    #[must_use]
    pub fn records(&self, now: Time) -> Vec<(Fingerprint, u8, Duration)> {
        let record = |(f, r): (&Fingerprint, &Record)| (*f, r.strikes, now.since(r.last));
        self.records.iter().map(record).collect()
    }

    /// Drops what has ended.
    pub fn prune(&mut self, now: Time) {
        self.records.retain(|_, record| {
            now.since(record.last) <= STRIKE_TTL.max(quarantine(record.strikes))
        });
    }

    fn evict(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| (record.strikes, record.last));
        if let Some(fingerprint) = oldest.map(|(f, _)| *f) {
            self.records.remove(&fingerprint);
        }
    }
}

fn quarantine(strikes: u8) -> Duration {
    let doublings = u32::from(strikes.saturating_sub(QUARANTINE_STRIKES)).min(8);
    (QUARANTINE * 2u32.pow(doublings)).min(QUARANTINE_MAX)
}

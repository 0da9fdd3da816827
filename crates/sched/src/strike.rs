//! Quarantine of requests that crash endpoints.
//!
//! Every request in flight at a failing endpoint gets a strike. A request with a
//! strike is a *suspect*: it runs only at an endpoint without another suspect,
//! so that a second failure identifies the request. The second strike
//! quarantines it, unless another threshold is set. A suspect that completes is
//! cleared. Strikes and quarantines expire, and each strike beyond the second
//! doubles the length of the quarantine.
//!
//! Older builds recognise a request by its content alone, see [`Identity`]. They
//! are told of each strike on the content as well. Of the strikes on a content,
//! only those that older builds gave count against a request: the others are
//! known by request, and sound requests may have the same content.

use std::{collections::HashMap, time::Duration};
use units::{Fingerprint, Time, score};

/// Default number of strikes from which a request is quarantined.
const DEFAULT_THRESHOLD: u8 = 2;
/// Time after which strikes expire, at least.
const STRIKE_TTL: Duration = Duration::from_secs(600);
/// Length of the first quarantine.
const MIN_QUARANTINE: Duration = Duration::from_secs(120);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(3600);
/// Number of fingerprints that are kept.
const MAX_RECORDS: usize = 4096;

/// Keeps the fingerprints that count reported strikes apart from those of requests.
const REPORTED_KEY: &str = "reported strikes";

/// What a request is recognised by. Gateways compare it, so all builds must agree on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Hash of all that an endpoint can tell requests apart by.
    pub request: Fingerprint,
    /// Hash of organisation, service, path and body, which is all that older builds compare.
    pub content: Fingerprint,
}

impl Identity {
    /// Fingerprints that get each strike.
    fn fingerprints(self) -> Vec<Fingerprint> {
        if self.request == self.content {
            vec![self.content]
        } else {
            vec![self.request, self.content, reported(self.content)]
        }
    }
}

/// Fingerprint that counts the strikes on a content which builds that know requests have reported.
fn reported(content: Fingerprint) -> Fingerprint {
    Fingerprint(score(&content.to_string(), REPORTED_KEY))
}

/// Status of a request, the milder ones first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No strikes.
    Clear,
    /// An endpoint failed while it ran the request.
    Suspect,
    /// The request is not run before `until`.
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
        Self { records: HashMap::new(), threshold: DEFAULT_THRESHOLD }
    }
}

impl Tracker {
    /// Tracker without strikes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of strikes from which a request is quarantined.
    #[must_use]
    pub fn with_threshold(mut self, strikes: u8) -> Self {
        self.threshold = strikes;
        self
    }

    /// Status of a request.
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

    /// Status of a request by its own strikes, and by those that older builds gave its content.
    #[must_use]
    pub fn verdict_on(&self, identity: Identity, now: Time) -> Verdict {
        let own = self.verdict(identity.request, now);
        let strikes = |fingerprint| self.records.get(&fingerprint).map_or(0, |r| r.strikes);
        if strikes(identity.content) <= strikes(reported(identity.content)) {
            return own;
        }
        own.max(self.verdict(identity.content, now))
    }

    /// Adds a strike against a request; the fingerprints with their new numbers of strikes.
    pub fn strike_all(&mut self, identity: Identity, now: Time) -> Vec<(Fingerprint, u8)> {
        identity.fingerprints().into_iter().map(|f| (f, self.strike(f, now))).collect()
    }

    /// Adds a strike and returns the new number of strikes.
    pub fn strike(&mut self, fingerprint: Fingerprint, now: Time) -> u8 {
        let before = match self.verdict(fingerprint, now) {
            Verdict::Clear => 0,
            _ => self.records.get(&fingerprint).map_or(0, |record| record.strikes),
        };
        let strikes = before.saturating_add(1);
        self.merge(fingerprint, strikes, Duration::ZERO, now);
        strikes
    }

    /// Merges strikes that a peer counted, the last one `age` ago; true if they are new.
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

    /// Clears a suspect that has completed; true if it had strikes.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&reported(fingerprint));
        self.records.remove(&fingerprint).is_some()
    }

    /// All records, for peers: fingerprint, strikes and age of the last strike.
    #[must_use]
    pub fn records(&self, now: Time) -> Vec<(Fingerprint, u8, Duration)> {
        let record = |(f, r): (&Fingerprint, &Record)| (*f, r.strikes, now.since(r.last));
        self.records.iter().map(record).collect()
    }

    /// Drops expired records.
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
    let doublings = u32::from(strikes.saturating_sub(DEFAULT_THRESHOLD)).min(8);
    (MIN_QUARANTINE * 2u32.pow(doublings)).min(MAX_QUARANTINE)
}

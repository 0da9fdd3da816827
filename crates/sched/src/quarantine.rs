//! Quarantine of what crashes endpoints.
//!
//! Load: a few requests a second hold a part of a prompt that crashes each
//! endpoint which begins to respond. No two of them are alike, they arrive at any
//! node, and each crash takes a dozen sound requests with it, most of which share
//! their organisation and other parts with them.
//!
//! A request is described by *traits*: nested ones of the request itself, and the
//! parts of its prompt that others may share. A crash is evidence
//! against each trait of the requests that had just begun, or waited to begin, at
//! the endpoint. A request that survives clears its traits of the crashes before.
//! A trait is *suspected* after three crashes of which it is not cleared.
//! A suspected trait is refused unless other suspected traits, which the request
//! does not have, occur in all of the same crashes and so explain them: sound
//! requests that crashed beside a deadly part are not refused.
//!
//! A sound request may equal a deadly one but for its query or one of its header
//! fields. It clears the wider traits that both have, and the narrower ones keep
//! their evidence. The wider ones remain, since a deadly request may come again
//! with other header fields: traits of one target with other fields are no
//! explanation for the crashes of that target.
//!
//! Evidence is a set of crashes, so peers merge it in any order and as often as
//! they like, and two nodes that saw the same crash count it once.
//!
//! A quarantine ends when a request with the trait survives. One is tried after
//! the quarantine, by one node after the other; each further crash doubles the
//! quarantine.

use serde::{Deserialize, Serialize};
use std::{collections::HashMap, fmt, time::Duration};
use units::{EndpointId, Fingerprint, Time, score};

/// Number of crashes after which a trait is suspected.
const THRESHOLD: u32 = 3;
/// Crashes within this time of each other count once: endpoints that share a machine or a switch
/// end together, whatever they run.
const SIMULTANEOUS: Duration = Duration::from_millis(100);
/// Length of the first quarantine.
const MIN_QUARANTINE: Duration = Duration::from_secs(8);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);
/// Time after which a crash is forgotten.
const CRASH_TTL: Duration = Duration::from_secs(1_200);
/// Time that a node waits for each node before it to try a trait after its quarantine.
const TRIAL_STEP: Duration = Duration::from_secs(1);
/// Time between two trials.
const TRIAL_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum number of traits that are kept.
const MAX_RECORDS: usize = 3_072;
/// Number of traits that make way for new ones at once.
const EVICTED: usize = 64;
/// Maximum number of crashes that are kept for a trait.
const MAX_CRASHES: usize = 16;

units::common! {
    /// What a request is recognised by.
    #[derive(Copy)]
    pub enum Trait {
        /// Part of the prompt; or organisation, path and body, the only trait of a whole request that
        /// older builds know.
        Shared(Fingerprint),
        /// Organisation, host, method, path, query and body.
        Target(Fingerprint),
        /// Target and header fields.
        Variant {
            /// Target.
            target: Fingerprint,
            /// Header fields.
            fields: Fingerprint,
        },
    }
}

impl Trait {
    /// Whether `other` may explain crashes of `self`, a trait of a request whose target is suspected or
    /// not.
    fn may_be_explained_by(self, other: Self, is_target_suspected: bool) -> bool {
        match (self, other) {
            // The targets of two requests at the same crashes explain each other, so that what both
            // requests share is left to refuse them.
            (Self::Shared(_), Self::Target(_) | Self::Variant { .. }) => !is_target_suspected,
            // A deadly request that comes again with other header fields has the target of the
            // earlier one, but not its variant.
            (Self::Target(own), Self::Variant { target, .. }) => own != target,
            _ => true,
        }
    }
}

impl fmt::Display for Trait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shared(fingerprint) => write!(f, "{fingerprint}"),
            Self::Target(target) => write!(f, "target-{target}"),
            Self::Variant { target, fields } => write!(f, "variant-{target}-{fields}"),
        }
    }
}

/// Lifetime of an endpoint that ended in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(u64);

impl CrashId {
    /// Identifier of the crash of an endpoint that started at `born`. Nodes compare it, so all builds
    /// must agree on it.
    #[must_use]
    pub fn new(endpoint: &EndpointId, born: Option<u64>) -> Self {
        Self(score(endpoint.as_str(), &born.unwrap_or_default().to_string()))
    }
}

/// Crash, as sent to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Crash.
    pub id: CrashId,
    /// Age, in ms.
    pub age_ms: u32,
    /// Whether a request with the trait has survived since.
    pub cleared: bool,
}

/// Crashes of requests with one trait, as sent to peers. Older builds know that of shared traits
/// only, by their fingerprints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence<T = Trait> {
    /// Trait.
    pub subject: T,
    /// Crashes.
    pub crashes: Box<[Crash]>,
    /// Time since a node last tried the trait, in ms.
    pub tried_ms: Option<u32>,
}

impl Evidence {
    /// The form that older builds know; none for traits that they don't.
    #[must_use]
    pub fn to_shared(&self) -> Option<Evidence<Fingerprint>> {
        let Trait::Shared(subject) = self.subject else { return None };
        Some(Evidence { subject, crashes: self.crashes.clone(), tried_ms: self.tried_ms })
    }
}

impl From<Evidence<Fingerprint>> for Evidence {
    fn from(evidence: Evidence<Fingerprint>) -> Self {
        let Evidence { subject, crashes, tried_ms } = evidence;
        Self { subject: Trait::Shared(subject), crashes, tried_ms }
    }
}

/// Status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No trait is suspected, or the crashes have another explanation.
    Clear,
    /// A trait is suspected, and this request may try whether it still crashes endpoints.
    Trial(Trait),
    /// A trait is suspected.
    Quarantined {
        /// Trait.
        subject: Trait,
        /// Time until the next trial.
        wait: Duration,
    },
}

/// Time of a crash, in µs of the node's clock; negative if before its start.
type Moment = i64;

#[derive(Debug, Clone, Copy)]
struct Entry {
    id: CrashId,
    at: Moment,
    cleared: bool,
}

#[derive(Debug, Default)]
struct Record {
    entries: Vec<Entry>,
    tried: Option<Moment>,
}

/// Evidence by trait.
#[derive(Debug, Default)]
pub struct Tracker {
    records: HashMap<Trait, Record>,
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}

fn moment(time: Time) -> Moment {
    micros(time.since(Time::ZERO))
}

fn age_ms(at: Moment, now: Time) -> u32 {
    u32::try_from((moment(now) - at).max(0) / 1_000).unwrap_or(u32::MAX)
}

fn quarantine(crashes: u32) -> Duration {
    let doublings = crashes.saturating_sub(THRESHOLD).min(16);
    (MIN_QUARANTINE * 2u32.pow(doublings)).min(MAX_QUARANTINE)
}

impl Record {
    fn uncleared(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| !entry.cleared)
    }

    /// Number of crashes of which it is not cleared; simultaneous ones count once.
    fn crashes(&self) -> u32 {
        let mut count = 0;
        let mut last = None;
        for entry in self.uncleared() {
            if last.is_none_or(|last| entry.at - last >= micros(SIMULTANEOUS)) {
                count += 1;
                last = Some(entry.at);
            }
        }
        count
    }

    fn has(&self, id: CrashId) -> bool {
        self.uncleared().any(|entry| entry.id == id)
    }

    fn last(&self) -> Option<Moment> {
        self.uncleared().map(|entry| entry.at).max()
    }

    /// Adds a crash or merges what is known of it; whether anything changed.
    fn merge(&mut self, id: CrashId, at: Moment, cleared: bool) -> bool {
        if let Some(known) = self.entries.iter_mut().find(|entry| entry.id == id) {
            // A peer that was paused states a crash as younger than it is.
            known.at = known.at.min(at);
            let changed = cleared && !known.cleared;
            known.cleared |= cleared;
            self.entries.sort_by_key(|entry| (entry.at, entry.id));
            return changed;
        }
        self.entries.push(Entry { id, at, cleared });
        self.entries.sort_by_key(|entry| (entry.at, entry.id));
        if self.entries.len() > MAX_CRASHES {
            let oldest = self.entries.remove(0);
            return oldest.id != id;
        }
        true
    }
}

impl Tracker {
    /// Tracker without evidence.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint crashed under requests with these traits; the traits for which that is
    /// new.
    pub fn record_crash(&mut self, traits: &[Trait], crash: CrashId, now: Time) -> Vec<Trait> {
        let mut changed = traits.to_vec();
        changed.retain(|subject| self.add(*subject, crash, moment(now), false));
        changed
    }

    /// Records that a request with these traits did not crash its endpoint; the traits that are
    /// cleared by it.
    pub fn record_survival(&mut self, traits: &[Trait]) -> Vec<Trait> {
        let mut cleared = traits.to_vec();
        cleared.retain(|subject| {
            let Some(record) = self.records.get_mut(subject) else { return false };
            let suspected = record.uncleared().next().is_some();
            record.entries.iter_mut().for_each(|entry| entry.cleared = true);
            suspected
        });
        cleared
    }

    /// Merges a peer's evidence; whether anything is new.
    pub fn merge(&mut self, evidence: &Evidence, now: Time) -> bool {
        let mut changed = false;
        if let Some(record) = self.records.get_mut(&evidence.subject)
            && let Some(ms) = evidence.tried_ms
        {
            let tried = moment(now) - micros(Duration::from_millis(ms.into()));
            record.tried = record.tried.max(Some(tried));
        }
        for crash in &evidence.crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            if age < CRASH_TTL {
                let at = moment(now) - micros(age);
                changed |= self.add(evidence.subject, crash.id, at, crash.cleared);
            }
        }
        changed
    }

    fn add(&mut self, subject: Trait, id: CrashId, at: Moment, cleared: bool) -> bool {
        if !self.records.contains_key(&subject) && self.records.len() >= MAX_RECORDS {
            self.evict();
        }
        self.records.entry(subject).or_default().merge(id, at, cleared)
    }

    /// Status of a request with these traits: those of the request itself, the wider ones first, and
    /// then the parts of its prompt. `rank` is the number of nodes that try a trait before this one.
    #[must_use]
    pub fn verdict(&self, traits: &[Trait], rank: impl Fn(Trait) -> u32, now: Time) -> Verdict {
        let mut verdict = Verdict::Clear;
        let mut widest = None;
        for subject in traits {
            let Some(record) = self.records.get(subject) else { continue };
            let crashes = record.crashes();
            if crashes < THRESHOLD || self.is_explained(*subject, record, traits) {
                continue;
            }
            // The traits of one request have a common rank, so that they do not wait for different
            // nodes.
            let widest = *widest.get_or_insert(*subject);
            let tried = if matches!(subject, Trait::Shared(_)) { *subject } else { widest };
            let turn = quarantine(crashes) + TRIAL_STEP * rank(tried);
            let after_crash = record.last().map_or(0, |last| last.saturating_add(micros(turn)));
            let after_trial = record.tried.map_or(0, |tried| tried + micros(TRIAL_INTERVAL));
            let left = after_crash.max(after_trial) - moment(now);
            if left > 0 {
                let wait = Duration::from_micros(left.unsigned_abs());
                return Verdict::Quarantined { subject: *subject, wait };
            }
            verdict = Verdict::Trial(tried);
        }
        verdict
    }

    /// Records that a request is sent as a trial.
    pub fn record_trial(&mut self, subject: Trait, now: Time) {
        if let Some(record) = self.records.get_mut(&subject) {
            record.tried = Some(moment(now));
        }
    }

    /// Whether suspected traits that the request does not have occur in all of the same crashes.
    fn is_explained(&self, subject: Trait, record: &Record, traits: &[Trait]) -> bool {
        let mut targets = traits.iter().filter(|own| matches!(own, Trait::Target(_)));
        let is_target_suspected = targets.any(|target| self.is_suspected(*target));
        let others = self.records.iter().filter(|(other, _)| {
            !traits.contains(other) && subject.may_be_explained_by(**other, is_target_suspected)
        });
        let suspected = others.filter(|(_, other)| other.crashes() >= THRESHOLD);
        let suspected: Vec<&Record> = suspected.map(|(_, other)| other).collect();
        record.uncleared().all(|entry| suspected.iter().any(|other| other.has(entry.id)))
    }

    /// Number of crashes of which a trait is not cleared; simultaneous ones count once.
    #[must_use]
    pub fn crashes(&self, subject: Trait) -> u32 {
        self.records.get(&subject).map_or(0, Record::crashes)
    }

    /// Whether a trait is suspected.
    #[must_use]
    pub fn is_suspected(&self, subject: Trait) -> bool {
        self.crashes(subject) >= THRESHOLD
    }

    /// Number of traits that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no trait is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of suspected traits.
    #[must_use]
    pub fn suspected(&self) -> usize {
        self.records.values().filter(|record| record.crashes() >= THRESHOLD).count()
    }

    /// Evidence on these traits, for peers.
    #[must_use]
    pub fn evidence(&self, traits: &[Trait], now: Time) -> Vec<Evidence> {
        let evidence = |subject: &Trait| {
            let record = self.records.get(subject)?;
            let crash = |entry: &Entry| Crash {
                id: entry.id,
                age_ms: age_ms(entry.at, now),
                cleared: entry.cleared,
            };
            let crashes = record.entries.iter().map(crash).collect();
            let tried_ms = record.tried.map(|tried| age_ms(tried, now));
            Some(Evidence { subject: *subject, crashes, tried_ms })
        };
        traits.iter().filter_map(evidence).collect()
    }

    /// The `count` traits with the most crashes, but none with a single one: what a node that has
    /// just started needs.
    #[must_use]
    pub fn prominent(&self, count: usize) -> Vec<Trait> {
        let records = self.records.iter().map(|(subject, record)| (record.crashes(), *subject));
        let mut prominent: Vec<(u32, Trait)> = records.filter(|(n, _)| *n > 1).collect();
        prominent.sort_unstable();
        prominent.into_iter().rev().take(count).map(|(_, subject)| subject).collect()
    }

    /// Forgets old crashes.
    pub fn prune(&mut self, now: Time) {
        let oldest = moment(now) - micros(CRASH_TTL);
        self.records.retain(|_, record| {
            record.entries.retain(|entry| entry.at > oldest);
            !record.entries.is_empty()
        });
    }

    /// Forgets the traits with the fewest crashes.
    fn evict(&mut self) {
        let rank = |record: &Record| (record.crashes(), record.entries.last().map(|e| e.at));
        let mut ranked: Vec<_> = self.records.iter().map(|(s, r)| (rank(r), *s)).collect();
        let evicted = EVICTED.min(ranked.len());
        if evicted < ranked.len() {
            ranked.select_nth_unstable(evicted);
        }
        for (_, subject) in &ranked[..evicted] {
            self.records.remove(subject);
        }
    }
}

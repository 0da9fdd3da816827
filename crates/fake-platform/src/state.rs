//! Rows, objects and listings in memory.

use crate::control::Failures;
use parking_lot::Mutex;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};
use store::{
    directory::{List, Listing},
    table::{Condition, Keys, Row, Rows, Transaction},
};

#[derive(Debug, Default)]
struct Data {
    rows: BTreeMap<Box<str>, Row>,
    objects: HashMap<Box<str>, Vec<u8>>,
    /// Registered listings.
    listings: BTreeMap<Box<str>, Listing>,
    /// Listings that the directory shows, as of the last read.
    visible: BTreeMap<Box<str>, Listing>,
    /// Changes that are not visible yet: time from which they are, and id of the listing.
    pending: Vec<(Instant, Box<str>)>,
    failures: Failures,
    counters: Counters,
}

/// Request counts since the start.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct Counters {
    /// Transactions.
    pub writes: u64,
    /// Reads of the table.
    pub reads: u64,
    /// Reads of the directory.
    pub lists: u64,
}

/// State of the platform.
#[derive(Debug)]
pub struct State {
    data: Mutex<Data>,
    lag: Duration,
}

impl State {
    /// Empty state, with the lag of the directory.
    pub fn new(lag: Duration) -> Self {
        Self { data: Mutex::default(), lag }
    }

    /// Current simulated failures.
    pub fn failures(&self) -> Failures {
        self.data.lock().failures
    }

    /// Replaces the simulated failures.
    pub fn set_failures(&self, failures: Failures) {
        self.data.lock().failures = failures;
    }

    /// Request counts since the start.
    pub fn counters(&self) -> Counters {
        self.data.lock().counters
    }

    /// Whether to lose the response of a transaction; counts down the losses left.
    pub fn lose_answer(&self) -> bool {
        let mut data = self.data.lock();
        let lose = data.failures.lose_answers > 0;
        data.failures.lose_answers = data.failures.lose_answers.saturating_sub(1);
        lose
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// A condition does not hold; contains the current rows of all conditions.
    pub fn transact(&self, transaction: &Transaction) -> Result<(), Rows> {
        let mut data = self.data.lock();
        data.counters.writes += 1;
        let holds = |condition: &Condition| {
            data.rows.get(&condition.key).map(|row| row.version) == condition.version
        };
        if !transaction.conditions.iter().all(holds) {
            let keys = transaction.conditions.iter();
            let rows = keys.filter_map(|c| data.rows.get(&c.key).cloned()).collect();
            return Err(Rows { rows });
        }
        for write in &transaction.writes {
            let version = data.rows.get(&write.key).map_or(1, |row| row.version + 1);
            match &write.value {
                Some(value) => {
                    let row = Row { key: write.key.clone(), version, value: value.clone() };
                    data.rows.insert(write.key.clone(), row);
                }
                None => {
                    data.rows.remove(&write.key);
                }
            }
        }
        Ok(())
    }

    /// Reads rows, leaving out missing ones.
    pub fn read(&self, keys: &Keys) -> Rows {
        let mut data = self.data.lock();
        data.counters.reads += 1;
        Rows { rows: keys.keys.iter().filter_map(|key| data.rows.get(key).cloned()).collect() }
    }

    /// Stores an object.
    pub fn put_object(&self, name: &str, bytes: Vec<u8>) {
        self.data.lock().objects.insert(name.into(), bytes);
    }

    /// Reads an object.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.data.lock().objects.get(name).cloned()
    }

    /// Adds or replaces a listing, visible after the lag.
    pub fn register(&self, listing: Listing) {
        let mut data = self.data.lock();
        let id = listing.id.clone();
        data.listings.insert(id.clone(), listing);
        data.pending.push((Instant::now() + self.lag, id));
    }

    /// Removes a listing, visible after the lag.
    pub fn unregister(&self, id: &str) {
        let mut data = self.data.lock();
        data.listings.remove(id);
        data.pending.push((Instant::now() + self.lag, id.into()));
    }

    /// Currently visible listings.
    pub fn list(&self) -> List {
        let mut data = self.data.lock();
        data.counters.lists += 1;
        let now = Instant::now();
        let pending = std::mem::take(&mut data.pending);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(at, _)| *at <= now);
        data.pending = later;
        for (_, id) in due {
            match data.listings.get(&id).cloned() {
                Some(listing) => data.visible.insert(id, listing),
                None => data.visible.remove(&id),
            };
        }
        List { listings: data.visible.values().cloned().collect() }
    }
}

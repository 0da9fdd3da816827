//! What the tasks of a node share.
//!
//! Every field has one writer: the watches write catalog and fleet listings,
//! the desk writes lines and flights, peers write what they heard.

use crate::{
    catalog::{Catalog, Organisation},
    desk::Desk,
    dialect::Dialect,
    metrics::Metrics,
    peers::Roster,
    pool::Pool,
    settings::Settings,
};
use sched::{budget::Budget, fleet::Fleet, quota::Meter, strike::Ledger};
use slog::Logger;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::watch;
use units::{ServiceId, Time, Tokens, time::Clock};

/// Endpoints that a request may crash before it is not sent again.
const CRASHES: u8 = 3;

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Told to stop: out of rotation, still answers.
    Draining,
    /// Connections are closed as they become idle.
    Closing,
}

/// State shared by the tasks of a node.
#[derive(Debug)]
pub struct Board {
    /// Settings.
    pub settings: Settings,
    /// Logger.
    pub log: Logger,
    /// Clock of all decisions.
    pub clock: Clock,
    /// Translation of headers.
    pub dialect: Box<dyn Dialect>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Configuration in force.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Whether the endpoints have been read from the store once.
    pub listed: Cell<bool>,
    /// Endpoints.
    pub fleet: RefCell<Fleet>,
    /// Waiting requests.
    pub desk: RefCell<Desk>,
    /// Allotments.
    pub meter: RefCell<Meter>,
    /// Budgets of repeated sends.
    pub budgets: RefCell<HashMap<ServiceId, Budget>>,
    /// Requests under which endpoints failed.
    pub ledger: RefCell<Ledger>,
    /// Other nodes.
    pub roster: RefCell<Roster>,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    /// Bytes of callers' bodies held.
    pub held: Cell<u64>,
    /// Lifetime of this process, in Unix milliseconds of its start; a later one is larger.
    pub lifetime: u64,
    phase: watch::Sender<Phase>,
}

impl Board {
    /// Board of a node that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, log: Logger, dialect: Box<dyn Dialect>) -> Self {
        Self {
            desk: RefCell::new(Desk::new(settings.instance.clone())),
            settings,
            log,
            clock: Clock::new(),
            dialect,
            metrics: Metrics::new(),
            catalog: RefCell::default(),
            listed: Cell::new(false),
            fleet: RefCell::default(),
            meter: RefCell::default(),
            budgets: RefCell::default(),
            ledger: RefCell::new(Ledger::new().with_threshold(CRASHES)),
            roster: RefCell::default(),
            pool: Pool::new(),
            in_progress: Cell::new(0),
            held: Cell::new(0),
            lifetime: unix_millis(),
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Present time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Present phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Changes of phase.
    #[must_use]
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.catalog.borrow().is_some() && self.listed.get()
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |budget| budget.request(now));
    }

    /// Whether a request may be sent to one more endpoint; counts it if so.
    pub fn may_repeat(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let nodes = self.roster.borrow().known();
        self.with_budget(service, |budget| budget.repeat(nodes, now))
    }

    fn with_budget<T>(&self, service: &ServiceId, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let bound = self.settings.repeats;
        act(budgets.entry(service.clone()).or_insert_with(|| Budget::new(bound)))
    }

    /// Takes a request's tokens from its organisation's allotment.
    ///
    /// # Errors
    /// Time after which the allotment will hold enough.
    pub fn admit(&self, organisation: &Organisation, cost: Tokens) -> Result<(), Duration> {
        let now = self.now();
        let share = self.roster.borrow().heard_share(now);
        let mut meter = self.meter.borrow_mut();
        meter.admit(&organisation.id, organisation.allotment, share, cost, now)
    }
}

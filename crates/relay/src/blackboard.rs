//! State shared by the tasks of a node.
//!
//! Each task writes its own part: [`crate::watch`] writes the configuration and
//! the listings, the dispatcher writes queues and slots, and [`crate::peers`]
//! writes what other nodes report.

use crate::{
    configuration::{Configuration, Organisation},
    dispatcher::Dispatcher,
    headers::Codec,
    journal::Journal,
    metrics::Metrics,
    pool::Pool,
    roster::Roster,
    settings::Settings,
};
use sched::{budget::Budget, fleet::Fleet, quota::Limiter, strike::Tracker};
use slog::Logger;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::{Notify, watch};
use units::{ServiceId, Time, Tokens, Version, time::Clock};

/// Divisor for sharing an endpoint's connections: at most half of all nodes use one endpoint at the
/// same time, because each prefers its own availability zone.
const CONNECTION_SPREAD: u32 = 2;
/// Number of connections to an endpoint that every node may open.
const MIN_CONNECTIONS: u32 = 2;
/// Number of endpoint crashes after which a request is quarantined.
const CRASH_THRESHOLD: u8 = 3;

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Told to stop: not ready, but still answers requests.
    Draining,
    /// Connections are closed once idle.
    Closing,
}

/// Shared state of a node.
#[derive(Debug)]
pub struct Blackboard {
    /// Settings.
    pub settings: Settings,
    /// Logger.
    pub log: Logger,
    /// Clock for all decisions.
    pub clock: Clock,
    /// Translation of headers.
    pub headers: Box<dyn Codec>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Configuration in force.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// Whether the endpoints have been read from the store.
    pub endpoints_read: Cell<bool>,
    /// Versions of the directory's entries.
    pub journal: RefCell<Journal>,
    /// Time at which the store last became reachable again.
    pub store_returned: Cell<Option<Time>>,
    /// Notified to send a digest at once.
    pub broadcast_now: Notify,
    /// Notified when another node has newer data.
    pub outdated: Notify,
    /// Notified when the nodes' rows have been read.
    pub nodes_read: Notify,
    /// Endpoints.
    pub fleet: RefCell<Fleet>,
    /// Queued requests.
    pub dispatcher: RefCell<Dispatcher>,
    /// Quota use of the organisations.
    pub limiter: RefCell<Limiter>,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<HashMap<ServiceId, Budget>>,
    /// Strikes against requests under which endpoints crashed.
    pub strikes: RefCell<Tracker>,
    /// Other nodes.
    pub roster: RefCell<Roster>,
    /// Number of requests that were queued at the last allocation of slots, or had arrived since the
    /// one before.
    pub demand: Cell<u32>,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    /// Bytes of callers' bodies in memory; always zero, because nothing counts them.
    pub body_bytes: Cell<u64>,
    /// Latest time at which the process exits, once it was told to stop.
    pub exit_at: Cell<Option<Time>>,
    /// Start of this process in Unix ms; larger after a restart unless the clock was set back.
    pub incarnation: u64,
    phase: watch::Sender<Phase>,
}

impl Blackboard {
    /// Blackboard of a node that has read nothing yet.
    #[must_use]
    pub fn new(settings: Settings, log: Logger, headers: Box<dyn Codec>) -> Self {
        Self {
            dispatcher: RefCell::new(Dispatcher::new(settings.instance.clone())),
            log,
            clock: Clock::new(),
            headers,
            metrics: Metrics::new(),
            configuration: RefCell::default(),
            endpoints_read: Cell::new(false),
            journal: RefCell::default(),
            store_returned: Cell::new(None),
            broadcast_now: Notify::new(),
            outdated: Notify::new(),
            nodes_read: Notify::new(),
            fleet: RefCell::default(),
            limiter: RefCell::default(),
            retry_budgets: RefCell::default(),
            strikes: RefCell::new(Tracker::new().with_threshold(CRASH_THRESHOLD)),
            roster: RefCell::new(Roster::new(settings.instance.clone())),
            demand: Cell::new(0),
            settings,
            pool: Pool::new(),
            in_progress: Cell::new(0),
            body_bytes: Cell::new(0),
            exit_at: Cell::new(None),
            incarnation: unix_millis(),
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Sets the phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Receiver of phase changes.
    #[must_use]
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Whether the node is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.configuration.borrow().is_some()
            && self.endpoints_read.get()
    }

    /// Version of the configuration in force; zero if there is none.
    #[must_use]
    pub fn configuration_version(&self) -> Version {
        self.configuration
            .borrow()
            .as_ref()
            .map_or(Version(0), |configuration| configuration.version)
    }

    /// Maximum number of connections from this node to one endpoint of a service.
    #[must_use]
    pub fn max_connections(&self, service: &ServiceId) -> u32 {
        let per_endpoint =
            self.configuration.borrow().as_ref().and_then(|c| c.connections(service));
        let Some(per_endpoint) = per_endpoint else { return u32::MAX };
        let nodes = u32::try_from(self.roster.borrow().node_count()).unwrap_or(u32::MAX);
        (per_endpoint * CONNECTION_SPREAD / nodes).clamp(MIN_CONNECTIONS, per_endpoint)
    }

    /// Counts a request towards the service's retry budget.
    pub fn count_request(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from the service's budget; returns whether there was one.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let nodes = self.roster.borrow().node_count();
        self.with_budget(service, |budget| budget.try_retry(nodes, now))
    }

    fn with_budget<T>(&self, service: &ServiceId, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let bound = self.settings.repeats;
        act(budgets.entry(service.clone()).or_insert_with(|| Budget::new(bound)))
    }

    /// Charges a request's tokens to its organisation's quota.
    ///
    /// # Errors
    /// The time until the quota covers the cost.
    pub fn charge(&self, organisation: &Organisation, cost: Tokens) -> Result<(), Duration> {
        let now = self.now();
        let live_fraction = self.roster.borrow().live_fraction(now);
        let mut limiter = self.limiter.borrow_mut();
        limiter.set_node_count(self.roster.borrow().node_count());
        limiter.admit(&organisation.id, organisation.quota, live_fraction, cost, now)
    }
}

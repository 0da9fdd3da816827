//! State shared by the tasks of a node.
//!
//! Each task writes its own part: [`crate::watch`] writes the configuration and
//! the listings, the dispatcher writes queues and slots, and [`crate::peers`]
//! writes what other nodes report.

use crate::{
    configuration::{Configuration, Overdue},
    connections::Connections,
    dispatcher::Dispatcher,
    headers::Codec,
    holder::Permits,
    journal::Journal,
    memory,
    metrics::Metrics,
    outage::Outage,
    owner::Cells,
    permit::{Message, Outbox},
    pool::Pool,
    rollout::{Rollouts, coordinator::Coordinating},
    roster::Owner,
    roster::Roster,
    settings::{Bounds, Settings},
    shares::Shares,
    transfer::Library,
    transport::Monitor,
    waits::Waits,
};
use codes::Event;
use sched::{
    budget::Budget,
    fleet::Fleet,
    quarantine::{Tracker, Trait},
    quota::Limiter,
};
use slog::{Logger, error};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::{Notify, watch};
use units::{EndpointId, OrganisationId, RequestId, ServiceId, Time, Tokens, Version, time::Clock};

/// Divisor for sharing an endpoint's connections: at most half of all nodes use one endpoint at the
/// same time, because each prefers its own availability zone.
const CONNECTION_SPREAD: u32 = 2;
/// Number of connections to an endpoint that every node may open.
const MIN_CONNECTIONS: u32 = 2;

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Phase of the process, in the order in which they follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Told to stop: not ready, but still answers requests.
    Draining,
    /// Connections are closed once idle.
    Closing,
    /// Requests that wait for an endpoint are refused; those at an endpoint go on.
    Refusing,
    /// The process is about to exit: every request that has no response yet gets one.
    Ending,
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
    /// Documents for other nodes.
    pub library: RefCell<Library>,
    /// Configurations that other nodes have and this one does not.
    pub overdue: RefCell<Overdue>,
    /// Outages of the store.
    pub outage: RefCell<Outage>,
    /// Number of times that the store had come back from an older copy, once its endpoints are read.
    pub store_era: Cell<Option<u64>>,
    /// Notified when the nodes' rows may be gone.
    pub rows_lost: Notify,
    /// Bounds in force.
    pub bounds: Cell<Bounds>,
    /// Times of what follows the store, by the bounds in force.
    pub waits: Rc<Cell<Waits>>,
    /// Notified to send a digest at once.
    pub broadcast_now: Notify,
    /// Notified when another node has newer data.
    pub outdated: Notify,
    /// Whether the nodes' rows have been read.
    pub nodes_known: Cell<bool>,
    /// Notified when they have.
    pub nodes_read: Notify,
    /// Endpoints.
    pub fleet: RefCell<Fleet>,
    /// Queued requests.
    pub dispatcher: RefCell<Dispatcher>,
    /// Quota use of the organisations.
    pub limiter: RefCell<Limiter>,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<HashMap<ServiceId, Budget>>,
    /// Evidence against what endpoints crashed under.
    pub quarantine: RefCell<Tracker>,
    /// Traits whose evidence is to be sent to the other nodes.
    pub unsent_evidence: RefCell<BTreeSet<Trait>>,
    /// Traits whose evidence is to be saved if they are suspected.
    pub unsaved_evidence: RefCell<BTreeSet<Trait>>,
    /// Signals that there is evidence to save.
    pub save_evidence: Notify,
    /// Endpoints whose limit is to be sent to the other nodes.
    pub unsent_limits: RefCell<BTreeSet<EndpointId>>,
    /// Services with an endpoint that limits its requests.
    pub limited_services: RefCell<BTreeSet<ServiceId>>,
    /// Notified when there is something to announce to the other nodes.
    pub announce_now: Notify,
    /// Rollouts that this node knows.
    pub rollouts: RefCell<Rollouts>,
    /// Rollouts that this node coordinates.
    pub coordinating: RefCell<Coordinating>,
    /// Notified when an order or a stage of a rollout is new.
    pub rollouts_changed: Notify,
    /// Permits that this node waits for and holds.
    pub permits: RefCell<Permits>,
    /// Permits that this node issues, and other cells.
    pub cells: RefCell<Cells>,
    /// Messages to send.
    pub outbox: RefCell<Outbox>,
    /// Notified when there are messages to send.
    pub outbox_ready: Notify,
    /// Other nodes.
    pub roster: RefCell<Roster>,
    /// Number of requests that were queued at the last allocation of slots, or had arrived since the
    /// one before.
    pub demand: Cell<u32>,
    /// Shares of memory and descriptors.
    pub shares: Shares,
    /// Connections of callers.
    pub connections: Connections,
    /// Connections to endpoints.
    pub pool: Pool,
    /// Checks that the peers of connections are not gone.
    pub monitor: Rc<Monitor>,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    /// Memory for bodies of callers and endpoints.
    pub body_memory: memory::Pool,
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
        let shares = Shares::new(settings.memory, settings.descriptors);
        let clock = Clock::new();
        let waits = Waits::new(settings.apply_time, settings.drain_time);
        let monitor = Rc::new(Monitor::default());
        Self {
            dispatcher: RefCell::new(Dispatcher::new(settings.instance.clone())),
            log,
            clock,
            headers,
            metrics: Metrics::new(),
            configuration: RefCell::default(),
            endpoints_read: Cell::new(false),
            journal: RefCell::default(),
            library: RefCell::default(),
            overdue: RefCell::new(Overdue::new(waits.overdue)),
            outage: RefCell::default(),
            store_era: Cell::new(None),
            rows_lost: Notify::new(),
            bounds: Cell::new(settings.bounds()),
            waits: Rc::new(Cell::new(waits)),
            broadcast_now: Notify::new(),
            outdated: Notify::new(),
            nodes_known: Cell::new(false),
            nodes_read: Notify::new(),
            fleet: RefCell::default(),
            limiter: RefCell::default(),
            retry_budgets: RefCell::default(),
            quarantine: RefCell::default(),
            unsent_evidence: RefCell::default(),
            unsaved_evidence: RefCell::default(),
            save_evidence: Notify::new(),
            unsent_limits: RefCell::default(),
            limited_services: RefCell::default(),
            announce_now: Notify::new(),
            roster: RefCell::new(
                Roster::new(settings.instance.clone())
                    .with_regions(settings.region_count())
                    .with_waits(waits),
            ),
            rollouts: RefCell::default(),
            coordinating: RefCell::default(),
            rollouts_changed: Notify::new(),
            permits: RefCell::default(),
            cells: RefCell::default(),
            outbox: RefCell::default(),
            outbox_ready: Notify::new(),
            demand: Cell::new(0),
            body_memory: memory::Pool::new(shares.bodies),
            connections: Connections::default(),
            pool: Pool::new(shares.endpoints, Rc::clone(&monitor), clock),
            monitor,
            shares,
            settings,
            in_progress: Cell::new(0),
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

    /// Logs and counts a task that met an unexpected error; the panic hook has printed it.
    pub fn record_panic(&self, task: &'static str) {
        self.metrics.count("task_failed", task);
        error!(self.log, "task failed"; Event::TaskFailed, "task" => task);
    }

    /// Waits until the process reaches a phase.
    pub async fn reached(&self, phase: Phase) {
        // The sender lives as long as the blackboard, so that the wait cannot fail.
        self.subscribe_phase().wait_for(|current| *current >= phase).await.ok();
    }

    /// Whether the node is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.configuration.borrow().is_some()
            && self.endpoints_read.get()
            && self.overdue.borrow().version(self.now()).is_none()
    }

    /// Whether calls of the store fail now. After some time without a call this is not known.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        self.outage.borrow().is_lost(self.now())
    }

    /// Whether this node reads the store for the others.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.roster.borrow().is_reader(self.is_store_lost(), self.now())
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
        let Some(per_endpoint) = per_endpoint.filter(|limit| *limit > 0) else { return u32::MAX };
        let nodes = u32::try_from(self.roster.borrow().node_count()).unwrap_or(u32::MAX);
        let share = per_endpoint.saturating_mul(CONNECTION_SPREAD) / nodes;
        share.clamp(MIN_CONNECTIONS.min(per_endpoint), per_endpoint)
    }

    /// Whether the slots of a service are given out by one node in each zone.
    #[must_use]
    pub fn uses_owner(&self, service: &ServiceId) -> bool {
        if self.roster.borrow().is_small() {
            return false;
        }
        let configuration = self.configuration.borrow();
        configuration.as_ref().is_some_and(|c| c.owned().contains(service))
            || self.limited_services.borrow().contains(service)
    }

    /// Whether this node gives out the slots of a service in its zone.
    #[must_use]
    pub fn is_owner(&self, service: &ServiceId) -> bool {
        let now = self.now();
        self.uses_owner(service)
            && (self.cells.borrow().is_acting(service, now)
                || self.roster.borrow().owner(service, now) == Owner::This)
    }

    /// Services whose slots owners give out in a large cluster, by the configuration or since an
    /// endpoint limits its requests.
    fn services_with_owners(&self) -> BTreeSet<ServiceId> {
        let configuration = self.configuration.borrow();
        let owned = configuration.iter().flat_map(|c| c.owned()).cloned();
        owned.chain(self.limited_services.borrow().iter().cloned()).collect()
    }

    /// Services whose slots this node gives out in its zone.
    #[must_use]
    pub fn owned_services(&self) -> Vec<ServiceId> {
        let services = self.services_with_owners().into_iter();
        services.filter(|service| self.is_owner(service)).collect()
    }

    /// Addresses of the other nodes that give out slots in this zone.
    #[must_use]
    pub fn current_owners(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let services = self.services_with_owners();
        let roster = self.roster.borrow();
        let owners = services.iter().filter_map(|service| match roster.owner(service, now) {
            Owner::Peer(_, address) => Some(address),
            Owner::This => None,
        });
        owners.collect()
    }

    /// Queues a message about permits for another node.
    pub fn send_message(&self, to: SocketAddr, message: Message) {
        self.outbox.borrow_mut().push(to, message, &self.outbox_ready);
    }

    /// Queues a message for the owner that issued the permit of a request.
    pub fn notify_owner(&self, request: RequestId, message: impl FnOnce(RequestId) -> Message) {
        if let Some(owner) = self.permits.borrow().owner(request) {
            self.send_message(owner, message(request));
        }
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

    /// Whether the service's budget has a retry left.
    pub fn has_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let nodes = self.roster.borrow().node_count();
        self.with_budget(service, |budget| budget.has_retry(nodes, now))
    }

    fn with_budget<T>(&self, service: &ServiceId, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let bound = self.bounds.get().repeats;
        act(budgets.entry(service.clone()).or_insert_with(|| Budget::new(bound)))
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&self, bounds: Bounds) {
        let waits = Waits::new(bounds.apply_time, bounds.drain_time);
        self.bounds.set(bounds);
        self.waits.set(waits);
        self.roster.borrow_mut().set_waits(waits);
        self.overdue.borrow_mut().set_allowed(waits.overdue);
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_bound(bounds.repeats);
        }
    }

    /// Charges a request's tokens to its organisation's quota.
    ///
    /// # Errors
    /// The time until the quota covers the cost.
    pub fn charge(&self, organisation: &OrganisationId, cost: Tokens) -> Result<(), Duration> {
        let quota = self.configuration.borrow().as_ref().and_then(|c| c.quota(organisation));
        let Some(quota) = quota else { return Ok(()) };
        let now = self.now();
        let live_fraction = self.roster.borrow().live_fraction(now);
        let mut limiter = self.limiter.borrow_mut();
        limiter.set_node_count(self.charging_nodes());
        limiter.admit(organisation, quota, live_fraction, cost, now)
    }

    /// Number of nodes that share a quota equally, as long as demand is not known: the owners, one
    /// in each zone, if this is one of them.
    #[must_use]
    pub fn charging_nodes(&self) -> usize {
        if self.owned_services().is_empty() {
            self.roster.borrow().node_count()
        } else {
            self.settings.regions.len()
        }
    }
}

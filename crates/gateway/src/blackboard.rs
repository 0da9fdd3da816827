//! State that controllers and handlers share.
//!
//! The comment of a field names its writer where there is only one. Locks are
//! held for a few microseconds and never across an await. Code that needs two
//! locks takes the dispatcher's first.

use crate::{
    controller::placement,
    dispatcher::Dispatcher,
    estimate::Estimator,
    metrics::Metrics,
    routing::{Map, Target},
    settings::Settings,
};
use guild::Publication;
use link::Link;
use member::{Roster, Source};
use parking_lot::{Mutex, RwLock};
use sched::strike::Tracker;
use slog::Logger;
use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Notify, mpsc, watch};
use units::{EndpointId, Time, Version, time::Clock};
use wire::publication::Document;

/// Gap between two ticks above which the process counts as having been paused.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(900);

/// Configuration in force.
#[derive(Debug)]
pub struct Configuration {
    /// Publication.
    pub publication: Publication,
    /// Encoded publication, for peers.
    pub document: Document,
}

/// Mark that an endpoint is leaving.
#[derive(Debug, Clone, Copy)]
pub struct Mark {
    /// Who set the mark.
    pub source: Source,
    /// Wall-clock time in milliseconds.
    pub timestamp_ms: u64,
}

/// Newest load report of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Requests running and waiting.
    pub load: engine::client::Load,
    /// When it was received.
    pub at: Time,
}

/// Counts since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: AtomicU64,
    /// Requests whose response was complete.
    pub whole: AtomicU64,
    /// Requests refused.
    pub refused: AtomicU64,
    /// Responses whose connection ended early.
    pub cut: AtomicU64,
    /// Bytes of events streamed by endpoints in other regions.
    pub cross_region_bytes: AtomicU64,
}

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// New requests are accepted.
    Serving,
    /// Accepted requests are finished; new ones are refused.
    Draining,
    /// The shutdown deadline has passed or a second signal has arrived.
    Ending,
}

/// Shared state.
#[derive(Debug)]
pub struct Blackboard {
    /// Settings, fixed at startup.
    pub settings: Settings,
    /// Clock of the process.
    pub clock: Clock,
    /// Logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Connections to peers.
    pub link: Link,
    /// Members; written by the membership controller.
    pub roster: Mutex<Roster>,
    /// Configuration in force; written by the configuration controller.
    pub config: RwLock<Option<Arc<Configuration>>>,
    /// Endpoints listed by the directory; written by the directory controller.
    pub listed: RwLock<BTreeMap<EndpointId, Target>>,
    /// Endpoints marked as leaving; written through [`crate::controller::facts`].
    pub leaving: Mutex<BTreeMap<EndpointId, Mark>>,
    /// Routing map; written by the cells controller.
    pub map: RwLock<Arc<Map>>,
    /// Tells the cells controller that an input of the routing map has changed.
    pub map_changed: Notify,
    /// Load reports; written by the load controller.
    pub load_reports: RwLock<HashMap<EndpointId, Load>>,
    /// Strikes; written through [`crate::controller::facts`], pruned by the ticker.
    pub strikes: Mutex<Tracker>,
    /// Waiting requests, owned cells and permits.
    pub dispatcher: Dispatcher,
    /// Demand reported by cell owners; read by the placement controller.
    pub demands: Mutex<placement::Demands>,
    /// Estimates of response lengths.
    pub estimator: Estimator,
    /// Counts since the process started.
    pub counters: Counters,
    /// Number of requests in progress.
    pub in_progress: AtomicUsize,
    /// Phase of the process; written by the shutdown controller.
    pub phase: watch::Sender<Phase>,
    /// Whether the state must be refreshed before a request is dispatched; set after a pause.
    pub stale: AtomicBool,
    /// Time at which the last pause was detected, in microseconds; written by the ticker.
    pub stalled_at: AtomicU64,
    /// Time of the main thread's last tick, in microseconds; written by the ticker.
    pub last_tick: AtomicU64,
    /// Whether the store responds; written by the configuration controller.
    pub store_up: AtomicBool,
    /// Calls to the claims controller.
    pub claims: mpsc::Sender<crate::controller::claims::Call>,
    /// Publications received from operators and peers, for the configuration controller.
    pub documents: mpsc::Sender<Document>,
}

impl Blackboard {
    /// Current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Version of the configuration in force; 0 when there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.config.read().as_ref().map_or(Version(0), |c| c.publication.version)
    }

    /// Whether the state is current: the process was not paused, or has refreshed since.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let last = Time(self.last_tick.load(Ordering::Relaxed));
        !self.stale.load(Ordering::Relaxed) && self.now().since(last) < STALL_THRESHOLD
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.is_fresh() && self.config.read().is_some()
    }

    /// Phase of the process.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits for [`Phase::Ending`].
    pub async fn shutdown_deadline(&self) {
        let mut phase = self.phase.subscribe();
        if phase.wait_for(|phase| *phase == Phase::Ending).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Current routing map.
    #[must_use]
    pub fn map(&self) -> Arc<Map> {
        Arc::clone(&self.map.read())
    }
}

/// Wall-clock time since the Unix epoch in milliseconds, for timestamps that peers compare.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

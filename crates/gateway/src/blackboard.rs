//! State that controllers and handlers share.
//!
//! Each section has one writer, named with it. Locks are held for a few
//! microseconds and never across an await. Where two are held, the dispatcher's is
//! taken first.

use crate::{
    controller::placement::Reports,
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

/// Gap between two ticks after which the process takes itself for paused.
pub const STALL: Duration = Duration::from_millis(900);

/// Configuration in force.
#[derive(Debug)]
pub struct InForce {
    /// Publication.
    pub publication: Publication,
    /// Its bytes, for peers.
    pub document: Document,
}

/// Mark of an endpoint that is leaving.
#[derive(Debug, Clone, Copy)]
pub struct Leaving {
    /// Who said so.
    pub source: Source,
    /// Wall-clock time in milliseconds.
    pub stamp_ms: u64,
}

/// Newest load report of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    /// Requests running and waiting.
    pub load: engine::client::LoadReport,
    /// When it came.
    pub at: Time,
}

/// Counts since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: AtomicU64,
    /// Requests answered whole.
    pub whole: AtomicU64,
    /// Requests refused.
    pub refused: AtomicU64,
    /// Answers cut.
    pub cut: AtomicU64,
    /// Bytes sent to and received from endpoints of other regions.
    pub cross_region_bytes: AtomicU64,
}

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Finishing what runs; nothing new is taken.
    Draining,
    /// Past the shutdown deadline.
    Ending,
}

/// Shared state.
#[derive(Debug)]
pub struct Blackboard {
    /// Settings, fixed.
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
    pub config: RwLock<Option<Arc<InForce>>>,
    /// Endpoints that the directory lists; written by the directory controller.
    pub listed: RwLock<BTreeMap<EndpointId, Target>>,
    /// Endpoints that are said to be leaving; written through [`crate::controller::facts`].
    pub leaving: Mutex<BTreeMap<EndpointId, Leaving>>,
    /// Routing map; written by the cells controller.
    pub map: RwLock<Arc<Map>>,
    /// Asks the cells controller for a new map.
    pub remap: Notify,
    /// Load reports; written by the load controller.
    pub reports: RwLock<HashMap<EndpointId, Report>>,
    /// Strikes; written through [`crate::controller::facts`].
    pub ledger: Mutex<Tracker>,
    /// Waiting requests, cells and permits.
    pub dispatcher: Dispatcher,
    /// Demand that owners reported; read by the placement controller.
    pub demands: Mutex<Reports>,
    /// Answer lengths.
    pub estimator: Estimator,
    /// Counts.
    pub counters: Counters,
    /// Requests in progress.
    pub in_progress: AtomicUsize,
    /// Phase of the process; written by the shutdown controller.
    pub phase: watch::Sender<Phase>,
    /// Whether what is known must be refreshed before anything is sent.
    pub stale: AtomicBool,
    /// Time at which the newest pause was noticed, in microseconds.
    pub stalled_at: AtomicU64,
    /// Time of the newest tick of the main thread, in microseconds.
    pub last_tick: AtomicU64,
    /// Whether the store answers; written by the configuration controller.
    pub store_up: AtomicBool,
    /// Calls to the claims controller.
    pub claims: mpsc::Sender<crate::controller::claims::Call>,
    /// Calls to the configuration controller, with a document that came from an operator or a peer.
    pub documents: mpsc::Sender<Document>,
}

impl Blackboard {
    /// Current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.config.read().as_ref().map_or(Version(0), |c| c.publication.version)
    }

    /// Whether the process was not paused and has refreshed what it knows.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let last = Time(self.last_tick.load(Ordering::Relaxed));
        !self.stale.load(Ordering::Relaxed) && self.now().since(last) < STALL
    }

    /// Whether new requests are taken.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.is_fresh() && self.config.read().is_some()
    }

    /// Phase of the process.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the shutdown deadline has passed.
    pub async fn ending(&self) {
        let mut phase = self.phase.subscribe();
        if phase.wait_for(|phase| *phase == Phase::Ending).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Routing map of now.
    #[must_use]
    pub fn map(&self) -> Arc<Map> {
        Arc::clone(&self.map.read())
    }
}

/// Wall-clock time in milliseconds, for stamps that peers compare.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

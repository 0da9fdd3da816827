//! Configuration in force: routes, organisations and limits.

use sched::quota::Quota;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};
use units::{Bytes, OrganisationId, Rank, ServiceId, Time, Tokens, Version};

/// Target latency above which the plain calls of a route count as long. A call usually takes up to a
/// quarter of its target, and calls of up to 50 ms need no allocated slot, see [`sched::fleet`].
const LONG_CALL_TARGET: Duration = Duration::from_millis(200);

/// How often requests of a route may run, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Plain requests that may run more than once.
    Idempotent,
    /// Plain requests that may run at most once.
    Once,
    /// Streams that may run at most once.
    Stream,
    /// Streams that may be resumed at another endpoint.
    ResumableStream,
}

impl Kind {
    /// Whether a request may run more than once.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether responses are streams of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Service of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service.
    pub service: ServiceId,
    /// Weight among the services of the route.
    pub weight: u32,
}

/// Route from a host and path to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Prefix of the paths that match.
    pub prefix: Box<str>,
    /// Services that handle the requests.
    pub backends: Box<[Backend]>,
    /// How often requests may run.
    pub kind: Kind,
    /// Longest time until the end of a response.
    pub timeout: Option<Duration>,
    /// Latency of the first response for which a request has its full value.
    pub target_latency: Option<Duration>,
    /// Gap between events up to which a stream has its full value.
    pub target_gap: Option<Duration>,
    /// Maximum number of endpoints that may run a request.
    pub max_attempts: u32,
    /// Tier.
    pub rank: Rank,
    /// Whether requests without a key are accepted.
    pub anonymous: bool,
}

impl Route {
    /// Whether its plain calls are long.
    fn has_long_calls(&self) -> bool {
        let is_long = self.target_latency.is_some_and(|time| time > LONG_CALL_TARGET);
        is_long && !self.kind.is_stream()
    }

    /// Service for a request, chosen by weight; `draw` is uniform over all `u64` values.
    #[must_use]
    pub fn backend(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|backend| &backend.service);
        }
        let mut left = draw % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return Some(&backend.service);
            }
            left -= weight;
        }
        None
    }
}

/// Organisation and its quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Organisation.
    pub id: OrganisationId,
    /// Configured tier; requests get their route's tier instead.
    pub rank: Option<Rank>,
    /// Quota for all nodes together.
    pub quota: Quota,
    /// Cost of a request that states no token counts.
    pub default_cost: Tokens,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head that callers send.
    pub max_header: Bytes,
    /// Largest body.
    pub max_body: Bytes,
    /// Time for a request's head to arrive, and the same for its body.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle, and an unread response may make no progress.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header: Bytes(16 << 10),
            max_body: Bytes(4 << 20),
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
        }
    }
}

/// Version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version; a larger one is newer.
    pub version: Version,
    /// Routes by host, longest prefix first.
    routes: HashMap<Box<str>, Vec<Rc<Route>>>,
    /// Organisations by key.
    keys: HashMap<Box<str>, Rc<Organisation>>,
    /// Organisations by name.
    organisations: HashMap<OrganisationId, Rc<Organisation>>,
    /// Number of connections that an endpoint of a service accepts from all nodes.
    connections: HashMap<ServiceId, u32>,
    /// Services whose slots are given out by owners in a large cluster.
    owned: BTreeSet<ServiceId>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

impl Configuration {
    /// Empty configuration.
    #[must_use]
    pub fn new(version: Version, limits: Limits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds a route for a host.
    #[must_use]
    pub fn with_route(mut self, host: &str, route: Route) -> Self {
        // Nodes cannot share slots that are held for long by digests: a large cluster takes seconds
        // to tell all nodes which slots are in use.
        if route.has_long_calls() || route.kind.is_stream() {
            self.owned.extend(route.backends.iter().map(|backend| backend.service.clone()));
        }
        let routes = self.routes.entry(host.to_ascii_lowercase().into()).or_default();
        let at = routes.partition_point(|known| known.prefix.len() >= route.prefix.len());
        routes.insert(at, Rc::new(route));
        self
    }

    /// Adds an organisation with its keys.
    #[must_use]
    pub fn with_organisation(mut self, organisation: Organisation, keys: &[Box<str>]) -> Self {
        let organisation = Rc::new(organisation);
        for key in keys {
            self.keys.insert(key.clone(), Rc::clone(&organisation));
        }
        self.organisations.insert(organisation.id.clone(), organisation);
        self
    }

    /// Services whose slots are given out by owners in a large cluster: those that respond with
    /// streams, and those with long plain calls.
    #[must_use]
    pub const fn owned(&self) -> &BTreeSet<ServiceId> {
        &self.owned
    }

    /// Whether a route leads to a service.
    #[must_use]
    pub fn uses(&self, service: &ServiceId) -> bool {
        self.services().any(|known| known == service)
    }

    /// Services of all routes.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let routes = self.routes.values().flatten();
        routes.flat_map(|route| route.backends.iter().map(|backend| &backend.service))
    }

    /// Sets the number of connections that an endpoint of a service accepts.
    #[must_use]
    pub fn with_connections(mut self, service: ServiceId, connections: u32) -> Self {
        self.connections.insert(service, connections);
        self
    }

    /// Number of connections that an endpoint of a service accepts, if configured.
    #[must_use]
    pub fn connections(&self, service: &ServiceId) -> Option<u32> {
        self.connections.get(service).copied()
    }

    /// Route for a host and path; the longest matching prefix wins.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Organisation that holds a key.
    #[must_use]
    pub fn organisation_by_key(&self, key: &str) -> Option<&Rc<Organisation>> {
        self.keys.get(key)
    }

    /// Quota of an organisation.
    #[must_use]
    pub fn quota(&self, id: &OrganisationId) -> Option<Quota> {
        self.organisations.get(id).map(|organisation| organisation.quota)
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Maximum number of announced versions that are kept.
const MAX_ANNOUNCED: usize = 64;

/// Versions of the configuration that other nodes have in force and this one has not.
///
/// A node that cannot obtain a configuration in time must not apply the one
/// before: it may lack a route, or accept a key that was withdrawn. It refuses
/// requests until it has caught up.
#[derive(Debug)]
pub struct Overdue {
    allowed: Duration,
    announced: VecDeque<(Version, Time)>,
}

impl Overdue {
    /// No announced versions; each must be in force `allowed` after its announcement.
    #[must_use]
    pub fn new(allowed: Duration) -> Self {
        Self { allowed, announced: VecDeque::new() }
    }

    /// Changes the time within which an announced version must be in force.
    pub fn set_allowed(&mut self, allowed: Duration) {
        self.allowed = allowed;
    }

    /// Records that another node announces a version newer than `known`.
    pub fn announce(&mut self, version: Version, known: Version, now: Time) {
        let newest = self.announced.back().map_or(known, |(version, _)| *version);
        if version <= newest.max(known) {
            return;
        }
        if self.announced.len() >= MAX_ANNOUNCED {
            // The oldest entry stays, since it is overdue first.
            self.announced.pop_back();
        }
        self.announced.push_back((version, now));
    }

    /// Records the version in force.
    pub fn apply(&mut self, version: Version) {
        self.announced.retain(|(announced, _)| *announced > version);
    }

    /// Time since the oldest missing version was announced.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.announced.front().map(|(_, at)| now.since(*at))
    }

    /// Version that should be in force by now and is not.
    #[must_use]
    pub fn version(&self, now: Time) -> Option<Version> {
        let (version, at) = self.announced.front()?;
        (now.since(*at) > self.allowed).then_some(*version)
    }
}

//! The system under test and its environment.
//!
//! Nodes are real processes. There is one [`Link`] between the callers and each
//! node, between each node and the store, and between all nodes and each
//! worker. Nodes communicate with each other directly.

use crate::{
    check,
    plan::{Action, Availability, Hop, Signal, Size},
    proxy::{Link, Mode},
    record::{Configuration, Disturbance, Drain, Prefix, Record, Rejection, Run, Scope},
};
use anyhow::Result;
use fake_host::{Fault, Node, Store, Worker, testbed, worker::Deadly};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

/// Availability zones, assigned round-robin.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// One in this many workers starts with the plain service `desk`, the others with `llm`.
const DESK_WORKER_INTERVAL: usize = 3;
/// Pause between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Source of a disturbance; disturbances of different sources may overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Link(Hop),
    Process,
    Freeze,
    WorkerFault,
    Crash,
    Store,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Running,
    Stopping,
    Exited,
}

#[derive(Debug)]
struct Instance {
    node: Node,
    callers: Link,
    store: Link,
    phase: Phase,
}

#[derive(Debug)]
struct Endpoint {
    link: Link,
    worker: Worker,
    service: &'static str,
    draining: bool,
    /// Whether its entry was removed although it serves.
    withdrawn: bool,
    /// Whether it has crashed under a request and is not replaced yet.
    crashed: bool,
}

/// Processes, stand-ins and links of a run.
#[derive(Debug)]
pub struct Environment {
    /// Start of traffic.
    pub start: Instant,
    nodes: Vec<Instance>,
    workers: Vec<Endpoint>,
    replaced: Vec<(usize, &'static str, Worker)>,
    store: Store,
    version: u64,
    prefix: Prefix,
    key_valid: bool,
    ongoing: Vec<(Source, usize)>,
    /// Requests under which workers crash.
    deadly: Option<Deadly>,
    record: Record,
}

fn route(name: &str, prefix: &str, service: &str, kind: &str, resume: bool) -> Value {
    let mut route = testbed::route(name, prefix, kind, check::MAX_ATTEMPTS, resume);
    route["service"] = service.into();
    route["timeout_ms"] = millis(check::TIMEOUT).into();
    route
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

async fn start_worker(number: usize, deadly: Option<&Deadly>) -> Result<Worker> {
    let worker = Worker::start(&format!("w-{number}")).await?;
    worker.set_stream(check::STREAM_EVENTS, EVENT_INTERVAL);
    if let Some(deadly) = deadly {
        worker.set_deadly(deadly.clone());
    }
    Ok(worker)
}

impl Environment {
    /// Starts everything and waits until all nodes are ready.
    ///
    /// # Errors
    /// A process or stand-in cannot be started, or a node does not become ready.
    pub async fn start(program: &Path, size: Size, deadly: Option<Deadly>) -> Result<Self> {
        let mut environment = Self {
            start: Instant::now(),
            nodes: Vec::new(),
            workers: Vec::new(),
            replaced: Vec::new(),
            store: Store::start().await?,
            version: 0,
            prefix: Prefix::Here,
            key_valid: true,
            ongoing: Vec::new(),
            deadly,
            record: Record::default(),
        };
        for number in 0..size.workers {
            let worker = start_worker(number, environment.deadly.as_ref()).await?;
            let link = Link::start(worker.address).await?;
            let service = if number % DESK_WORKER_INTERVAL == 0 { "desk" } else { "llm" };
            environment.workers.push(Endpoint {
                link,
                worker,
                service,
                draining: false,
                withdrawn: false,
                crashed: false,
            });
            environment.register(number);
        }
        environment.configure();
        for number in 0..size.nodes {
            let store = Link::start(environment.store.address).await?;
            let zone = ZONES[number % ZONES.len()];
            let node = Node::start(program, &format!("n-{number}"), zone, store.address)?;
            let callers = Link::start(node.callers).await?;
            environment.nodes.push(Instance { node, callers, store, phase: Phase::Running });
        }
        for entry in &environment.nodes {
            testbed::wait_for_status(&entry.node, http::StatusCode::OK).await?;
        }
        environment.start = Instant::now();
        environment.record.configurations[0].from = Duration::ZERO;
        Ok(environment)
    }

    /// Addresses that callers connect to, by node.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|entry| entry.callers.address).collect()
    }

    /// Current prefix of the moving route.
    #[must_use]
    pub const fn prefix(&self) -> Prefix {
        self.prefix
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn register(&self, number: usize) {
        let entry = &self.workers[number];
        let state = if entry.draining { "draining" } else { "ready" };
        let mut row = entry.worker.entry(entry.service, ZONES[number % ZONES.len()], state);
        // A link would accept connections for a worker that has crashed.
        if self.deadly.is_none() {
            row["address"] = entry.link.address.to_string().into();
        }
        self.store.put("servers", &entry.worker.id(), &row);
    }

    fn configure(&mut self) {
        self.version += 1;
        self.write_configuration();
        let configuration =
            Configuration { from: self.now(), prefix: self.prefix, key_valid: self.key_valid };
        self.record.configurations.push(configuration);
    }

    fn write_configuration(&self) {
        let moving = route("moving", self.prefix.path(), "llm", "idempotent", false);
        let withdrawn = if self.key_valid { &["key-3"][..] } else { &[] };
        let mut document = testbed::configuration();
        document["version"] = self.version.into();
        document["routes"] = json!([
            route("safe", "/safe/", "llm", "idempotent", false),
            route("once", "/once/", "desk", "non_idempotent", false),
            route("stream", "/stream/", "llm", "streaming", false),
            route("resume", "/resume/", "llm", "streaming", true),
            moving,
        ]);
        let mut desk = document["services"][0].clone();
        desk["name"] = "desk".into();
        document["services"] = json!([document["services"][0], desk]);
        document["tenants"] = json!([
            testbed::organisation("org-1", &["key-1"], 0, 0),
            testbed::organisation("org-2", &["key-2"], check::QUOTA_RATE, check::QUOTA_BURST),
            testbed::organisation("org-3", withdrawn, 0, 0),
        ]);
        self.store.put("op", "config", &document);
    }

    /// Brings the store back from a copy; the operator and the workers write again.
    fn restore(&mut self, age: Duration) {
        self.record_disturbance(Scope::Store);
        self.store.restore(age);
        self.write_configuration();
        for (_, _, replaced) in &self.replaced {
            self.store.remove("servers", &replaced.id());
        }
        for number in 0..self.workers.len() {
            if self.workers[number].withdrawn {
                self.store.remove("servers", &self.workers[number].worker.id());
            } else {
                self.register(number);
            }
        }
    }

    fn begin_disturbance(&mut self, source: Source, scope: Scope) {
        self.ongoing.push((source, self.record.disturbances.len()));
        let from = self.now();
        self.record.disturbances.push(Disturbance { scope, from, until: None });
    }

    fn end_disturbance(&mut self, source: Source, scope: Scope) {
        let now = self.now();
        let disturbances = &mut self.record.disturbances;
        self.ongoing.retain(|(ongoing, index)| {
            let ends = *ongoing == source && disturbances[*index].scope == scope;
            if ends {
                disturbances[*index].until = Some(now);
            }
            !ends
        });
    }

    /// Records a disturbance of no duration.
    fn record_disturbance(&mut self, scope: Scope) {
        let now = self.now();
        self.record.disturbances.push(Disturbance { scope, from: now, until: Some(now) });
    }

    /// Applies an action of the plan.
    ///
    /// # Errors
    /// A process or worker cannot be started, or a process cannot be signalled.
    pub async fn apply(&mut self, action: Action) -> Result<()> {
        self.detect_exits();
        match action {
            Action::SetLink(hop, mode) => self.set_link(hop, mode),
            Action::Reset(hop) => {
                self.record_disturbance(scope(hop));
                self.link(hop).reset();
            }
            Action::Signal(number, signal) => self.signal(number, signal)?,
            Action::Start(number) => self.start_node(number)?,
            Action::SetFault(number, fault) => self.set_worker_fault(number, fault),
            Action::Replace(number) => self.replace(number).await?,
            Action::Drain(number, draining) => self.drain(number, draining),
            Action::Withdraw(number) => self.withdraw(number),
            Action::SetStore(store_state) => self.set_store_state(store_state),
            Action::ForgetHistory => {
                self.record_disturbance(Scope::Store);
                self.store.forget_history();
            }
            Action::Restore(age) => self.restore(age),
            Action::MoveRoute => {
                self.prefix = self.prefix.other();
                self.configure();
            }
            Action::ToggleKey => {
                self.key_valid = !self.key_valid;
                self.configure();
            }
        }
        Ok(())
    }

    fn link(&self, hop: Hop) -> &Link {
        match hop {
            Hop::Callers(number) => &self.nodes[number].callers,
            Hop::Store(number) => &self.nodes[number].store,
            Hop::Worker(number) => &self.workers[number].link,
        }
    }

    fn set_link(&mut self, hop: Hop, mode: Mode) {
        if mode == Mode::Forward {
            self.link(hop).set_mode(mode);
            self.end_disturbance(Source::Link(hop), scope(hop));
        } else {
            self.begin_disturbance(Source::Link(hop), scope(hop));
            self.link(hop).set_mode(mode);
        }
    }

    fn signal(&mut self, number: usize, signal: Signal) -> Result<()> {
        let phase = self.nodes[number].phase;
        if phase == Phase::Exited || !self.nodes[number].node.is_running() {
            return Ok(());
        }
        let scope = Scope::Node(number);
        match signal {
            Signal::Kill => {
                self.begin_disturbance(Source::Process, scope);
                self.nodes[number].phase = Phase::Exited;
            }
            Signal::Terminate if phase == Phase::Running => {
                self.begin_disturbance(Source::Process, Scope::Planned(number));
                self.nodes[number].phase = Phase::Stopping;
            }
            Signal::Terminate => {}
            Signal::Freeze => self.begin_disturbance(Source::Freeze, scope),
            Signal::Unfreeze => self.end_disturbance(Source::Freeze, scope),
            Signal::Reload => self.record_disturbance(Scope::Planned(number)),
        }
        self.nodes[number].node.signal(signal.name())
    }

    /// Restarts a node that was killed or terminated; kills it first if it still runs.
    fn start_node(&mut self, number: usize) -> Result<()> {
        if self.nodes[number].phase == Phase::Running {
            return Ok(());
        }
        if self.nodes[number].node.is_running() {
            self.signal(number, Signal::Kill)?;
        }
        self.nodes[number].node.wait()?;
        self.nodes[number].node.restart()?;
        self.nodes[number].phase = Phase::Running;
        for source in [Source::Process, Source::Freeze] {
            self.end_disturbance(source, Scope::Node(number));
            self.end_disturbance(source, Scope::Planned(number));
        }
        // A start counts as a disturbance, even after planned maintenance.
        self.record_disturbance(Scope::Node(number));
        Ok(())
    }

    fn set_worker_fault(&mut self, number: usize, fault: Fault) {
        let scope = Scope::Worker(number);
        if fault == Fault::None {
            self.end_disturbance(Source::WorkerFault, scope);
        } else {
            self.begin_disturbance(Source::WorkerFault, scope);
        }
        self.workers[number].worker.set_fault(fault);
    }

    /// Crashes a worker and replaces it at the same address. The replacement runs the other service
    /// if enough workers of the current one remain.
    async fn replace(&mut self, number: usize) -> Result<()> {
        let service = self.workers[number].service;
        let same = self.workers.iter().filter(|entry| entry.service == service).count();
        let next = match service {
            "desk" if same > 1 => "llm",
            "llm" if same > 2 => "desk",
            unchanged => unchanged,
        };
        self.replace_with(number, next).await
    }

    /// Replaces workers that have crashed under a request, `after` a time or at once.
    ///
    /// # Errors
    /// No address can be bound.
    pub async fn replace_crashed(&mut self, after: Option<Duration>) -> Result<()> {
        for number in 0..self.workers.len() {
            let entry = &mut self.workers[number];
            let Some(crashed_at) = entry.worker.crashed_at() else { continue };
            if !std::mem::replace(&mut entry.crashed, true) {
                self.begin_disturbance(Source::Crash, Scope::Worker(number));
                if let Some(disturbance) = self.record.disturbances.last_mut() {
                    disturbance.from = crashed_at.duration_since(self.start);
                }
                self.record.crashes.push(crashed_at.duration_since(self.start));
            }
            if after.is_none_or(|after| crashed_at.elapsed() >= after) {
                self.replace_with(number, self.workers[number].service).await?;
            }
        }
        Ok(())
    }

    /// Crashes a worker and replaces it at the same address with one of this service.
    async fn replace_with(&mut self, number: usize, next: &'static str) -> Result<()> {
        self.record_disturbance(Scope::Worker(number));
        let replacement = self.workers.len() + self.replaced.len();
        let replacement = start_worker(replacement, self.deadly.as_ref()).await?;
        let entry = &mut self.workers[number];
        let service = std::mem::replace(&mut entry.service, next);
        entry.worker.crash().await;
        entry.link.reset();
        entry.link.set_target(replacement.address);
        let crashed = std::mem::replace(&mut entry.worker, replacement);
        entry.crashed = false;
        entry.draining = false;
        entry.withdrawn = false;
        self.store.remove("servers", &crashed.id());
        self.replaced.push((number, service, crashed));
        self.end_drain(number);
        self.register(number);
        self.end_disturbance(Source::Crash, Scope::Worker(number));
        self.record_disturbance(Scope::Worker(number));
        Ok(())
    }

    fn drain(&mut self, number: usize, draining: bool) {
        self.workers[number].draining = draining;
        self.workers[number].withdrawn = false;
        self.register(number);
        if draining {
            self.begin_drain(number);
        } else {
            self.end_drain(number);
        }
    }

    fn withdraw(&mut self, number: usize) {
        self.workers[number].withdrawn = true;
        self.store.remove("servers", &self.workers[number].worker.id());
        self.begin_drain(number);
    }

    fn begin_drain(&mut self, number: usize) {
        let from = self.now();
        self.record.drains.push(Drain { worker: number, from, until: None });
    }

    fn end_drain(&mut self, number: usize) {
        let now = self.now();
        let drains = self.record.drains.iter_mut();
        for drain in drains.filter(|d| d.worker == number && d.until.is_none()) {
            drain.until = Some(now);
        }
    }

    fn set_store_state(&mut self, store_state: Availability) {
        if store_state == Availability::Up {
            self.end_disturbance(Source::Store, Scope::Store);
        } else {
            self.begin_disturbance(Source::Store, Scope::Store);
        }
        self.store.set_down(store_state == Availability::Down);
        self.store.set_drop_responses(store_state == Availability::DropResponses);
        let delay =
            if let Availability::Slow(delay) = store_state { delay } else { Duration::ZERO };
        self.store.set_delay(delay);
    }

    /// Ends all faults and restarts the nodes that have exited.
    ///
    /// # Errors
    /// A process cannot be started or signalled.
    pub async fn clear_faults(&mut self) -> Result<()> {
        self.set_store_state(Availability::Up);
        for number in 0..self.workers.len() {
            self.set_link(Hop::Worker(number), Mode::Forward);
            self.set_worker_fault(number, Fault::None);
            self.drain(number, false);
        }
        for number in 0..self.nodes.len() {
            self.set_link(Hop::Callers(number), Mode::Forward);
            self.set_link(Hop::Store(number), Mode::Forward);
            self.apply(Action::Signal(number, Signal::Unfreeze)).await?;
            self.start_node(number)?;
        }
        if !self.key_valid {
            self.apply(Action::ToggleKey).await?;
        }
        Ok(())
    }

    fn detect_exits(&mut self) {
        for (number, entry) in self.nodes.iter_mut().enumerate() {
            if entry.phase == Phase::Running && !entry.node.is_running() {
                entry.phase = Phase::Exited;
                self.record.failed_nodes.push(format!("n-{number} exited unexpectedly").into());
            }
        }
    }

    /// Output lines of every node so far.
    #[must_use]
    pub fn outputs(&self) -> Vec<Vec<String>> {
        self.nodes.iter().map(|entry| entry.node.output()).collect()
    }

    /// All observations except the requests of the callers.
    #[must_use]
    pub fn into_record(mut self) -> Record {
        self.detect_exits();
        for (number, output) in self.outputs().iter().enumerate() {
            if let Some(line) = output.iter().find(|line| line.contains("panicked at")) {
                self.record.failed_nodes.push(format!("n-{number}: {line}").into());
            }
        }
        let workers = self.workers.into_iter().enumerate();
        let current = workers.map(|(number, entry)| (number, entry.service, entry.worker));
        for (number, service, worker) in self.replaced.into_iter().chain(current) {
            let since = |at: Instant| at.duration_since(self.start);
            let rejections = worker.rejections().into_iter();
            self.record.rejections.extend(rejections.map(|rejection| Rejection {
                attempt: rejection.attempt.into(),
                worker: number,
                at: since(rejection.at),
            }));
            self.record.runs.extend(worker.runs().into_iter().map(|request| Run {
                worker: number,
                service,
                started_at: since(request.started_at),
                disconnected_at: request.disconnected_at.map(since),
                request,
            }));
        }
        self.record.runs.sort_by_key(|run| run.started_at);
        self.record.crashes.sort_unstable();
        self.record
    }
}

const fn scope(hop: Hop) -> Scope {
    match hop {
        Hop::Callers(number) | Hop::Store(number) => Scope::Node(number),
        Hop::Worker(number) => Scope::Worker(number),
    }
}

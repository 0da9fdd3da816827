//! The system under test and everything around it.
//!
//! Nodes are real processes. Between callers and a node, a node and the store,
//! and all nodes and a worker there is a [`Link`] each. Nodes speak with each
//! other directly.

use crate::{
    check,
    plan::{Action, Place, Signal, Size, Weather},
    proxy::{Link, Mode},
    record::{Disturbance, Leaving, Prefix, Record, Rules, Run, Scope},
};
use anyhow::Result;
use fake_host::{Fault, Node, Store, Worker, testbed};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

/// Availability zones, in turn.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];
/// Every such seat runs the plain service at first.
const DESK_EVERY: usize = 3;
/// Pause between the events of a stream.
const PAUSE: Duration = Duration::from_millis(25);

/// What a disturbance comes from; each may begin and end by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Link(Place),
    Process,
    Frozen,
    Fault,
    Weather,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Runs,
    Stops,
    Ended,
}

#[derive(Debug)]
struct Post {
    node: Node,
    callers: Link,
    store: Link,
    phase: Phase,
}

#[derive(Debug)]
struct Seat {
    link: Link,
    worker: Worker,
    service: &'static str,
    leaving: bool,
}

/// Everything of a run.
#[derive(Debug)]
pub struct Stage {
    /// Start of traffic.
    pub start: Instant,
    posts: Vec<Post>,
    seats: Vec<Seat>,
    past: Vec<(usize, &'static str, Worker)>,
    store: Store,
    version: u64,
    prefix: Prefix,
    key: bool,
    open: Vec<(Source, usize)>,
    record: Record,
}

fn route(name: &str, prefix: &str, service: &str, kind: &str, resume: bool) -> Value {
    let mut route = testbed::route(name, prefix, kind, check::ATTEMPTS, resume);
    route["service"] = service.into();
    route["timeout_ms"] = millis(check::TIMEOUT).into();
    route
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

async fn seat_worker(number: usize) -> Result<Worker> {
    let worker = Worker::start(&format!("w-{number}")).await?;
    worker.set_stream(check::EVENTS, PAUSE);
    Ok(worker)
}

impl Stage {
    /// Starts everything and waits until all nodes are ready.
    ///
    /// # Errors
    /// Something does not start.
    pub async fn start(program: &Path, size: Size) -> Result<Self> {
        let mut stage = Self {
            start: Instant::now(),
            posts: Vec::new(),
            seats: Vec::new(),
            past: Vec::new(),
            store: Store::start().await?,
            version: 0,
            prefix: Prefix::Here,
            key: true,
            open: Vec::new(),
            record: Record::default(),
        };
        for number in 0..size.workers {
            let worker = seat_worker(number).await?;
            let link = Link::start(worker.address).await?;
            let service = if number % DESK_EVERY == 0 { "desk" } else { "llm" };
            stage.seats.push(Seat { link, worker, service, leaving: false });
            stage.list(number);
        }
        stage.configure();
        for number in 0..size.nodes {
            let store = Link::start(stage.store.address).await?;
            let zone = ZONES[number % ZONES.len()];
            let node = Node::start(program, &format!("n-{number}"), zone, store.address)?;
            let callers = Link::start(node.callers).await?;
            stage.posts.push(Post { node, callers, store, phase: Phase::Runs });
        }
        for post in &stage.posts {
            testbed::wait_for_status(&post.node, http::StatusCode::OK).await?;
        }
        stage.start = Instant::now();
        stage.record.rules[0].from = Duration::ZERO;
        Ok(stage)
    }

    /// Addresses for callers, by node.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.posts.iter().map(|post| post.callers.address).collect()
    }

    /// Prefix of the route that moves, as published last.
    #[must_use]
    pub const fn prefix(&self) -> Prefix {
        self.prefix
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn list(&self, number: usize) {
        let seat = &self.seats[number];
        let state = if seat.leaving { "draining" } else { "ready" };
        let mut entry = seat.worker.entry(seat.service, ZONES[number % ZONES.len()], state);
        entry["address"] = seat.link.address.to_string().into();
        self.store.put("servers", &seat.worker.id(), &entry);
    }

    fn configure(&mut self) {
        self.version += 1;
        let moving = route("moving", self.prefix.path(), "llm", "idempotent", false);
        let withdrawn = if self.key { &["key-3"][..] } else { &[] };
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
            testbed::organisation("org-2", &["key-2"], check::RATE, check::BURST),
            testbed::organisation("org-3", withdrawn, 0, 0),
        ]);
        self.store.put("op", "config", &document);
        let rules = Rules { from: self.now(), prefix: self.prefix, key: self.key };
        self.record.rules.push(rules);
    }

    fn begin(&mut self, source: Source, scope: Scope) {
        self.open.push((source, self.record.disturbances.len()));
        let from = self.now();
        self.record.disturbances.push(Disturbance { scope, from, until: None });
    }

    fn end(&mut self, source: Source, scope: Scope) {
        let now = self.now();
        let disturbances = &mut self.record.disturbances;
        self.open.retain(|(open, index)| {
            let ends = *open == source && disturbances[*index].scope == scope;
            if ends {
                disturbances[*index].until = Some(now);
            }
            !ends
        });
    }

    fn moment(&mut self, scope: Scope) {
        let now = self.now();
        self.record.disturbances.push(Disturbance { scope, from: now, until: Some(now) });
    }

    /// Does what a step of the plan says.
    ///
    /// # Errors
    /// A process or worker cannot be started.
    pub async fn act(&mut self, action: Action) -> Result<()> {
        self.look_for_ends();
        match action {
            Action::Link(place, mode) => self.set_link(place, mode),
            Action::Reset(place) => {
                self.moment(scope(place));
                self.link(place).reset();
            }
            Action::Signal(number, signal) => self.signal(number, signal)?,
            Action::Start(number) => self.start_node(number)?,
            Action::Fail(number, fault) => self.fail(number, fault),
            Action::Replace(number) => self.replace(number).await?,
            Action::Drain(number, leaving) => self.drain(number, leaving),
            Action::Store(weather) => self.set_weather(weather),
            Action::Forget => {
                self.moment(Scope::Store);
                self.store.forget_history();
            }
            Action::Move => {
                self.prefix = self.prefix.other();
                self.configure();
            }
            Action::Withdraw => {
                self.key = !self.key;
                self.configure();
            }
        }
        Ok(())
    }

    fn link(&self, place: Place) -> &Link {
        match place {
            Place::Callers(number) => &self.posts[number].callers,
            Place::Store(number) => &self.posts[number].store,
            Place::Worker(number) => &self.seats[number].link,
        }
    }

    fn set_link(&mut self, place: Place, mode: Mode) {
        if mode == Mode::Pass {
            self.link(place).set(mode);
            self.end(Source::Link(place), scope(place));
        } else {
            self.begin(Source::Link(place), scope(place));
            self.link(place).set(mode);
        }
    }

    fn signal(&mut self, number: usize, signal: Signal) -> Result<()> {
        let phase = self.posts[number].phase;
        if phase == Phase::Ended || !self.posts[number].node.is_running() {
            return Ok(());
        }
        let scope = Scope::Node(number);
        match signal {
            Signal::Kill => {
                self.begin(Source::Process, scope);
                self.posts[number].phase = Phase::Ended;
            }
            Signal::Stop if phase == Phase::Runs => {
                self.begin(Source::Process, Scope::Planned(number));
                self.posts[number].phase = Phase::Stops;
            }
            Signal::Stop => {}
            Signal::Freeze => self.begin(Source::Frozen, scope),
            Signal::Thaw => self.end(Source::Frozen, scope),
            Signal::Reload => self.moment(Scope::Planned(number)),
        }
        self.posts[number].node.signal(signal.name())
    }

    /// Starts a node that was killed or told to stop; what has not ended by then is killed.
    fn start_node(&mut self, number: usize) -> Result<()> {
        if self.posts[number].phase == Phase::Runs {
            return Ok(());
        }
        if self.posts[number].node.is_running() {
            self.signal(number, Signal::Kill)?;
        }
        self.posts[number].node.wait()?;
        self.posts[number].node.restart()?;
        self.posts[number].phase = Phase::Runs;
        for source in [Source::Process, Source::Frozen] {
            self.end(source, Scope::Node(number));
            self.end(source, Scope::Planned(number));
        }
        // A start counts as a disturbance, also after planned work.
        self.moment(Scope::Node(number));
        Ok(())
    }

    fn fail(&mut self, number: usize, fault: Fault) {
        let scope = Scope::Worker(number);
        if fault == Fault::None {
            self.end(Source::Fault, scope);
        } else {
            self.begin(Source::Fault, scope);
        }
        self.seats[number].worker.set_fault(fault);
    }

    /// Crashes a worker. Its successor at the same address runs the other service where enough
    /// workers of this one are left.
    async fn replace(&mut self, number: usize) -> Result<()> {
        self.moment(Scope::Worker(number));
        let service = self.seats[number].service;
        let same = self.seats.iter().filter(|seat| seat.service == service).count();
        let successor = seat_worker(self.seats.len() + self.past.len()).await?;
        let seat = &mut self.seats[number];
        seat.worker.crash().await;
        seat.link.reset();
        seat.link.lead(successor.address);
        let gone = std::mem::replace(&mut seat.worker, successor);
        seat.service = match service {
            "desk" if same > 1 => "llm",
            "llm" if same > 2 => "desk",
            same => same,
        };
        seat.leaving = false;
        self.store.remove("servers", &gone.id());
        self.past.push((number, service, gone));
        self.close_leaving(number);
        self.list(number);
        self.moment(Scope::Worker(number));
        Ok(())
    }

    fn drain(&mut self, number: usize, leaving: bool) {
        self.seats[number].leaving = leaving;
        self.list(number);
        if leaving {
            let from = self.now();
            self.record.leavings.push(Leaving { seat: number, from, until: None });
        } else {
            self.close_leaving(number);
        }
    }

    fn close_leaving(&mut self, number: usize) {
        let now = self.now();
        let open = self.record.leavings.iter_mut();
        for leaving in open.filter(|l| l.seat == number && l.until.is_none()) {
            leaving.until = Some(now);
        }
    }

    fn set_weather(&mut self, weather: Weather) {
        if weather == Weather::Calm {
            self.end(Source::Weather, Scope::Store);
        } else {
            self.begin(Source::Weather, Scope::Store);
        }
        self.store.set_down(weather == Weather::Down);
        self.store.set_drop_responses(weather == Weather::Mute);
        let delay = if let Weather::Slow(delay) = weather { delay } else { Duration::ZERO };
        self.store.set_delay(delay);
    }

    /// Ends all trouble.
    ///
    /// # Errors
    /// A process cannot be started.
    pub async fn heal(&mut self) -> Result<()> {
        self.set_weather(Weather::Calm);
        for number in 0..self.seats.len() {
            self.set_link(Place::Worker(number), Mode::Pass);
            self.fail(number, Fault::None);
            self.drain(number, false);
        }
        for number in 0..self.posts.len() {
            self.set_link(Place::Callers(number), Mode::Pass);
            self.set_link(Place::Store(number), Mode::Pass);
            self.act(Action::Signal(number, Signal::Thaw)).await?;
            self.start_node(number)?;
        }
        if !self.key {
            self.act(Action::Withdraw).await?;
        }
        Ok(())
    }

    fn look_for_ends(&mut self) {
        for (number, post) in self.posts.iter_mut().enumerate() {
            if post.phase == Phase::Runs && !post.node.is_running() {
                post.phase = Phase::Ended;
                self.record.broken_nodes.push(format!("n-{number} ended by itself").into());
            }
        }
    }

    /// Output of every node so far.
    #[must_use]
    pub fn outputs(&self) -> Vec<Vec<String>> {
        self.posts.iter().map(|post| post.node.output()).collect()
    }

    /// Everything that was seen, but for the calls.
    #[must_use]
    pub fn into_record(mut self) -> Record {
        self.look_for_ends();
        for (number, output) in self.outputs().iter().enumerate() {
            if let Some(line) = output.iter().find(|line| line.contains("panicked at")) {
                self.record.broken_nodes.push(format!("n-{number}: {line}").into());
            }
        }
        let seats = self.seats.into_iter().enumerate();
        let present = seats.map(|(number, seat)| (number, seat.service, seat.worker));
        for (seat, service, worker) in self.past.into_iter().chain(present) {
            let since = |at: Instant| at.duration_since(self.start);
            self.record.runs.extend(worker.runs().into_iter().map(|request| Run {
                seat,
                service,
                at: since(request.started_at),
                cut: request.disconnected_at.map(since),
                request,
            }));
        }
        self.record.runs.sort_by_key(|run| run.at);
        self.record
    }
}

const fn scope(place: Place) -> Scope {
    match place {
        Place::Callers(number) | Place::Store(number) => Scope::Node(number),
        Place::Worker(number) => Scope::Worker(number),
    }
}

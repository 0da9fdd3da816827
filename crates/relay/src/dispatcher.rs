//! Where requests wait until an endpoint has room.
//!
//! The dispatcher joins the pure decisions to the tasks that wait: it keeps a
//! [`Backlog`] for each service, places requests by [`sched::fleet`], and hands a
//! [`Slot`] to the task whose turn it is. A slot that is dropped gives its
//! slot back and lets the next request go.

use crate::{
    blackboard::Blackboard,
    digest::{Waiting, tag},
    request,
    roster::Roster,
};
use codes::Code;
use sched::{
    Job,
    backlog::{Backlog, Deadlines},
    fleet::{Choice, Fleet, LoadReport, Outcome, Query, Size},
};
use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::sync::{Notify, oneshot};
use units::{
    EndpointId, Fingerprint, InstanceId, OrganisationId, Rank, RequestId, ServiceId, Time, Tokens,
};

/// Requests that may wait for one service.
const MAX_WAITING: usize = 512;
/// Interval at which waiting requests are looked at without an event, in ms.
const TICK: Duration = Duration::from_millis(25);

/// Request that looks for an endpoint.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Request.
    pub request: RequestId,
    /// Service.
    pub service: ServiceId,
    /// Tier.
    pub rank: Rank,
    /// Organisation whose turn it takes.
    pub organisation: OrganisationId,
    /// Size.
    pub demand: Size,
    /// Longest answer.
    pub output: Tokens,
    /// Longest pause of its stream that is in time.
    pub pause: Option<Duration>,
    /// Times that bound the wait.
    pub terms: Deadlines,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
}

impl Submission {
    /// Size of a request out of its headers.
    #[must_use]
    pub fn demand(head: &request::Head) -> Size {
        Size { prompt: head.prompt.unwrap_or_default(), output: head.expected_output() }
    }

    /// The same request under other terms, before all that have not begun.
    #[must_use]
    pub fn with_terms(mut self, terms: Deadlines) -> Self {
        self.terms = terms;
        self.rank = Rank(0);
        self
    }

    fn bid(&self, holder: &InstanceId) -> Job {
        Job {
            request: self.request,
            holder: holder.clone(),
            rank: self.rank,
            organisation: self.organisation.clone(),
            prompt: self.demand.prompt,
            output: self.output,
            deadline: self.terms.hard,
            prefixes: Box::default(),
            fingerprint: self.fingerprint,
            suspect: false,
        }
    }
}

#[derive(Debug)]
enum Decision {
    Dispatch(Slot),
    Refuse(Refusal),
}

/// Refusal of a request that was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Time after which there should be room.
    pub wait: Duration,
}

#[derive(Debug)]
struct Waiter {
    reply: oneshot::Sender<Decision>,
    avoid: Box<[EndpointId]>,
    pause: Option<Duration>,
    demand: Size,
}

/// Waiting requests of a node.
#[derive(Debug)]
pub struct Dispatcher {
    me: InstanceId,
    lines: HashMap<ServiceId, Backlog>,
    waiters: HashMap<RequestId, Waiter>,
    arrived: Rc<Notify>,
    arrivals: u32,
}

impl Dispatcher {
    /// Dispatcher without requests.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            lines: HashMap::new(),
            waiters: HashMap::new(),
            arrived: Rc::default(),
            arrivals: 0,
        }
    }

    /// Requests waiting.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Requests that can be answered in time and wait, and those that arrived since the last call.
    pub fn take_demand(&mut self) -> u32 {
        let timely: usize = self.lines.values().map(Backlog::on_time).sum();
        let waiting = u32::try_from(timely).unwrap_or(u32::MAX);
        waiting + std::mem::take(&mut self.arrivals)
    }

    /// Timely requests that wait, by service.
    pub fn timely(&self, fleet: &Fleet) -> Box<[Waiting]> {
        let busy = self.lines.iter().filter(|(_, line)| line.on_time() > 0);
        let waiting = |(service, line): (&ServiceId, &Backlog)| Waiting {
            service: tag(service.as_str()),
            requests: u32::try_from(line.on_time()).unwrap_or(u32::MAX),
            missing: fleet.shortfall(service),
        };
        busy.map(waiting).collect()
    }

    /// Takes over what waits at other nodes.
    pub fn look_elsewhere(&mut self, roster: &Roster, fleet: &mut Fleet, now: Time) {
        for (service, line) in &mut self.lines {
            let elsewhere = roster.waiting(service, now);
            line.set_on_time_elsewhere(elsewhere.requests, fleet.capacity(service, now).slots);
            fleet.set_waiting(service, line.on_time() > 0, elsewhere.missing);
        }
    }

    fn services(&self) -> Vec<ServiceId> {
        let busy = self.lines.iter().filter(|(_, line)| !line.is_empty());
        busy.map(|(service, _)| service.clone()).collect()
    }
}

/// Slot at an endpoint, held while a request runs there.
#[derive(Debug)]
pub struct Slot {
    board: Rc<Blackboard>,
    service: ServiceId,
    demand: Size,
    outcome: Outcome,
    read: bool,
    last: Time,
    /// Where the request goes.
    pub choice: Choice,
    /// When the slot was taken.
    pub since: Time,
}

impl Slot {
    /// Endpoint.
    #[must_use]
    pub fn endpoint(&self) -> &EndpointId {
        &self.choice.endpoint
    }

    /// Address of the endpoint.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.choice.address
    }

    /// Takes over the load that came with an answer.
    pub fn gauge(&self, gauge: Option<LoadReport>) {
        if let Some(gauge) = gauge {
            let now = self.board.now();
            self.board.fleet.borrow_mut().record_load(self.endpoint(), gauge, now);
        }
    }

    /// Notes events, or the whole answer of a plain call.
    pub fn heard(&mut self, events: u32) {
        let now = self.board.now();
        let mut fleet = self.board.fleet.borrow_mut();
        if self.read {
            fleet.record_gap(&self.choice.endpoint, now.since(self.last), events);
        } else {
            self.read = true;
            fleet.record_first_response(&self.choice.endpoint, self.demand);
        }
        self.last = now;
    }

    /// Whether an event has come.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.read
    }

    /// Ends the slot.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.board.now();
        let endpoint = &self.choice.endpoint;
        let mut fleet = self.board.fleet.borrow_mut();
        if self.outcome == Outcome::Completed {
            fleet.record_hold_time(endpoint, now.since(self.since));
        }
        fleet.finish(endpoint, self.demand, self.read, self.outcome, now);
        drop(fleet);
        dispatch_service(&self.board, &self.service);
    }
}

/// Takes a request out of its line when its task ends before its turn.
struct QueueGuard<'a> {
    board: &'a Blackboard,
    service: &'a ServiceId,
    request: RequestId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut dispatcher = self.board.dispatcher.borrow_mut();
        if dispatcher.waiters.remove(&self.request).is_some()
            && let Some(line) = dispatcher.lines.get_mut(self.service)
        {
            line.remove(self.request);
        }
    }
}

/// Waits for an endpoint with room.
///
/// # Errors
/// Why the request is refused; it has not been sent.
pub async fn acquire_slot(
    board: &Rc<Blackboard>,
    submission: &Submission,
    avoid: &[EndpointId],
) -> Result<Slot, Refusal> {
    let (reply, verdict) = oneshot::channel();
    let refused = enqueue(
        board,
        submission,
        Waiter { reply, avoid: avoid.into(), pause: submission.pause, demand: submission.demand },
    )?;
    let _guard = QueueGuard { board, service: &submission.service, request: submission.request };
    refuse(refused);
    dispatch_service(board, &submission.service);
    match verdict.await {
        Ok(Decision::Dispatch(slot)) => Ok(slot),
        Ok(Decision::Refuse(refusal)) => Err(refusal),
        Err(_) => Err(Refusal { code: Code::Draining, wait: Duration::ZERO }),
    }
}

type Refusals = Vec<(oneshot::Sender<Decision>, Refusal)>;

/// Puts a request in its line, and returns those that had to make room.
fn enqueue(
    board: &Blackboard,
    submission: &Submission,
    waiter: Waiter,
) -> Result<Refusals, Refusal> {
    let now = board.now();
    let mut dispatcher = board.dispatcher.borrow_mut();
    let dispatcher = &mut *dispatcher;
    let bid = submission.bid(&dispatcher.me);
    let line = dispatcher.lines.entry(submission.service.clone()).or_default();
    line.record_arrival(&bid, now);
    dispatcher.arrivals += 1;
    if let Some(wait) = line.excessive_wait(submission.rank, submission.terms, now) {
        return Err(Refusal { code: Code::QueueFull, wait });
    }
    dispatcher.waiters.insert(submission.request, waiter);
    line.push(bid, submission.terms, now);
    dispatcher.arrived.notify_one();
    if line.len() <= MAX_WAITING {
        return Ok(Vec::new());
    }
    let Some(victim) = line.victim().cloned() else { return Ok(Vec::new()) };
    line.remove(victim.request);
    let wait = line.expected_wait(victim.rank, now);
    let waiter = dispatcher.waiters.remove(&victim.request);
    let refusal = Refusal { code: Code::QueueFull, wait };
    Ok(waiter.into_iter().map(|waiter| (waiter.reply, refusal)).collect())
}

/// Tells waiting tasks of their refusal; a task that is gone needs no answer.
fn refuse(refused: Refusals) {
    for (reply, refusal) in refused {
        reply.send(Decision::Refuse(refusal)).ok();
    }
}

/// Places as many waiting requests of a service as there is room for.
pub fn dispatch_service(board: &Rc<Blackboard>, service: &ServiceId) {
    // A task that is gone drops its slot here, after the borrows have ended.
    while let Some((reply, slot)) = next(board, service) {
        reply.send(Decision::Dispatch(slot)).ok();
    }
}

/// Places waiting requests of all services.
pub fn dispatch_all(board: &Rc<Blackboard>) {
    let services = board.dispatcher.borrow().services();
    for service in services {
        dispatch_service(board, &service);
    }
}

fn next(board: &Rc<Blackboard>, service: &ServiceId) -> Option<(oneshot::Sender<Decision>, Slot)> {
    let now = board.now();
    let connections = board.connections(service);
    let mut dispatcher = board.dispatcher.borrow_mut();
    let dispatcher = &mut *dispatcher;
    let mut fleet = board.fleet.borrow_mut();
    let line = dispatcher.lines.get_mut(service)?;
    line.demote(now);
    let waiters = &dispatcher.waiters;
    let (bid, choice) = line.next(now, |bid| {
        let waiter = waiters.get(&bid.request)?;
        let (avoid, pause, demand) = (&*waiter.avoid, waiter.pause, waiter.demand);
        fleet.select(
            &Query {
                service,
                size: demand,
                avoid,
                max_connections: connections,
                target_gap: pause,
            },
            now,
        )
    })?;
    let waiter = dispatcher.waiters.remove(&bid.request)?;
    let demand = waiter.demand;
    fleet.start(&choice.endpoint, demand);
    let slot = Slot {
        board: Rc::clone(board),
        service: service.clone(),
        demand,
        outcome: Outcome::Cancelled,
        read: false,
        last: now,
        choice,
        since: now,
    };
    Some((waiter.reply, slot))
}

/// Gives up requests whose time is over, and tries again for the others.
pub async fn run(board: Rc<Blackboard>) {
    let arrived = Rc::clone(&board.dispatcher.borrow().arrived);
    loop {
        if board.dispatcher.borrow().waiting() == 0 {
            arrived.notified().await;
        }
        tokio::time::sleep(TICK).await;
        refuse(expire(&board));
        dispatch_all(&board);
    }
}

fn expire(board: &Blackboard) -> Refusals {
    let now = board.now();
    let mut dispatcher = board.dispatcher.borrow_mut();
    let dispatcher = &mut *dispatcher;
    let mut refused = Vec::new();
    for line in dispatcher.lines.values_mut() {
        line.demote(now);
        for bid in line.expire(now) {
            let waiter = dispatcher.waiters.remove(&bid.request);
            let wait = line.expected_wait(bid.rank, now);
            let refusal = Refusal { code: Code::DeadlineUnmeetable, wait };
            refused.extend(waiter.map(|waiter| (waiter.reply, refusal)));
        }
    }
    refused
}

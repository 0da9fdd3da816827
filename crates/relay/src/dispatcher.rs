//! Queues requests until an endpoint has a free slot.
//!
//! The dispatcher connects the scheduling decisions of [`sched`] to the tasks
//! that wait for them. It keeps a [`Backlog`] per service, selects endpoints with
//! [`sched::fleet`], and hands a [`Slot`] to the task of the request that is
//! next. Dropping a [`Slot`] releases it and dispatches the next request.

use crate::{
    blackboard::{Blackboard, Phase},
    digest::{Waiting, short_hash},
    holder,
    permit::{End, Message},
    request,
    rollout::{self, Ticket, counts::Response},
    roster::Roster,
};
use codes::Code;
use sched::{
    Job,
    backlog::{Backlog, Deadlines},
    fleet::{Choice, Cohort, Fleet, Load, Outcome, Query, Size, Usage},
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Notify, oneshot};
use units::{
    EndpointId, Fingerprint, InstanceId, OrganisationId, Rank, RequestId, ServiceId, Time, Tokens,
};

/// Maximum number of queued requests per service.
const MAX_WAITING: usize = 512;
/// Interval at which queued requests are rechecked when no event triggers a dispatch.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Request that needs an endpoint.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Request.
    pub request: RequestId,
    /// Service.
    pub service: ServiceId,
    /// Tier.
    pub rank: Rank,
    /// Organisation that the request is scheduled for.
    pub organisation: OrganisationId,
    /// Size of the prompt and of the expected output.
    pub size: Size,
    /// Maximum output.
    pub max_output: Tokens,
    /// Gap between events up to which the stream counts as on time.
    pub target_gap: Option<Duration>,
    /// Latest dispatch times.
    pub deadlines: Deadlines,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Tokens to charge to the organisation's quota where the request is queued; zero if they were
    /// charged before.
    pub cost: Tokens,
    /// Whether the response is a stream.
    pub streamed: bool,
}

impl Submission {
    /// Size of a request, from its headers.
    #[must_use]
    pub fn size(head: &request::Head) -> Size {
        Size { prompt: head.prompt.unwrap_or_default(), output: head.expected_output() }
    }

    /// Same request with other deadlines and the highest rank, so that it precedes all requests
    /// that have not started.
    #[must_use]
    pub fn with_deadlines(mut self, deadlines: Deadlines) -> Self {
        self.deadlines = deadlines;
        self.rank = Rank(0);
        self.cost = Tokens(0);
        self
    }

    fn job(&self, holder: &InstanceId) -> Job {
        Job {
            request: self.request,
            holder: holder.clone(),
            rank: self.rank,
            organisation: self.organisation.clone(),
            prompt: self.size.prompt,
            output: self.max_output,
            deadline: self.deadlines.hard,
            prefixes: Box::default(),
            fingerprint: self.fingerprint,
            suspect: false,
        }
    }
}

#[derive(Debug)]
enum Decision {
    Dispatch(Box<Slot>),
    Refuse(Refusal),
}

/// Refusal of a request that was not sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Expected time until an endpoint has room.
    pub wait: Duration,
}

impl Refusal {
    /// Refusal by a node that is about to exit.
    pub const DRAINING: Self = Self { code: Code::Draining, wait: Duration::ZERO };
}

#[derive(Debug)]
struct Waiter {
    decision: oneshot::Sender<Decision>,
    avoid: Box<[EndpointId]>,
    target_gap: Option<Duration>,
    size: Size,
    streamed: bool,
    cohort: Cohort,
}

/// Queued requests of a node.
#[derive(Debug)]
pub struct Dispatcher {
    instance: InstanceId,
    backlogs: HashMap<ServiceId, Backlog>,
    waiters: HashMap<RequestId, Waiter>,
    enqueued: Rc<Notify>,
    arrivals: u32,
}

impl Dispatcher {
    /// Dispatcher with no requests.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            backlogs: HashMap::new(),
            waiters: HashMap::new(),
            enqueued: Rc::default(),
            arrivals: 0,
        }
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Number of queued requests that can still be on time, plus the arrivals since the last call.
    pub fn take_demand(&mut self) -> u32 {
        let on_time: usize = self.backlogs.values().map(Backlog::on_time).sum();
        let waiting = u32::try_from(on_time).unwrap_or(u32::MAX);
        waiting + std::mem::take(&mut self.arrivals)
    }

    /// Queued requests that can still be on time, by service.
    pub fn waiting_by_service(&self, fleet: &Fleet) -> Box<[Waiting]> {
        let busy = self.backlogs.iter().filter(|(_, backlog)| backlog.on_time() > 0);
        let waiting = |(service, backlog): (&ServiceId, &Backlog)| Waiting {
            service: short_hash(service.as_str()),
            requests: u32::try_from(backlog.on_time()).unwrap_or(u32::MAX),
            shortfall: fleet.shortfall(service),
        };
        busy.map(waiting).collect()
    }

    /// Takes over the queue lengths that other nodes report.
    pub fn update_peer_waiting(
        &mut self,
        roster: &Roster,
        fleet: &mut Fleet,
        owned: &[ServiceId],
        now: Time,
    ) {
        for (service, backlog) in &mut self.backlogs {
            let mut at_peers = roster.waiting(service, now);
            let mut slots = fleet.capacity(service, now).slots;
            if owned.contains(service) {
                // All requests of the zone wait here.
                at_peers.requests = u32::try_from(backlog.on_time()).unwrap_or(u32::MAX);
                slots = fleet.capacity(service, now).slots_in_zone;
            }
            backlog.set_on_time_elsewhere(at_peers.requests, slots);
            fleet.set_waiting(service, backlog.on_time() > 0, at_peers.shortfall);
        }
    }

    /// Number of queued requests of a service.
    #[must_use]
    pub fn waiting_for(&self, service: &ServiceId) -> u32 {
        let waiting = self.backlogs.get(service).map_or(0, Backlog::len);
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    fn busy_services(&self) -> Vec<ServiceId> {
        let busy = self.backlogs.iter().filter(|(_, backlog)| !backlog.is_empty());
        busy.map(|(service, _)| service.clone()).collect()
    }
}

/// Slot at an endpoint, held while a request runs there and released on drop.
#[derive(Debug)]
pub struct Slot {
    board: Rc<Blackboard>,
    service: ServiceId,
    size: Size,
    outcome: Outcome,
    has_response: bool,
    first_event: Time,
    last_event: Time,
    events: u32,
    load: Option<Load>,
    /// Identifier of its permit, if the owner of the endpoint's cell issued one.
    permit: Option<RequestId>,
    /// Deadline of the request, once it is sent.
    deadline: Option<Time>,
    /// Counts the request, if the deployment has rollouts.
    ticket: Option<Ticket>,
    /// Load of the endpoint at dispatch, where the response is learned from.
    at_dispatch: Option<Usage>,
    /// Selected endpoint.
    pub choice: Choice,
    /// Time at which the slot was acquired.
    pub acquired: Time,
}

impl Slot {
    fn new(
        board: &Rc<Blackboard>,
        service: &ServiceId,
        size: Size,
        choice: Choice,
        ticket: Option<Ticket>,
    ) -> Self {
        let now = board.now();
        Self {
            board: Rc::clone(board),
            service: service.clone(),
            size,
            outcome: Outcome::Cancelled,
            has_response: false,
            first_event: now,
            last_event: now,
            events: 0,
            load: None,
            permit: None,
            deadline: None,
            ticket,
            at_dispatch: None,
            choice,
            acquired: now,
        }
    }

    /// Slot that the owner of a cell has given to this node.
    #[must_use]
    pub fn with_permit(
        board: &Rc<Blackboard>,
        submission: &Submission,
        permit: RequestId,
        choice: Choice,
    ) -> Self {
        let service = &submission.service;
        let ticket = Ticket::new(board, &board.fleet.borrow(), service, &choice.endpoint);
        let mut slot = Self::new(board, service, submission.size, choice, ticket);
        slot.permit = Some(permit);
        slot
    }

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

    /// Node that issued the permit for the request, if it has one.
    #[must_use]
    pub fn owner(&self) -> Option<SocketAddr> {
        self.board.permits.borrow().owner(self.permit?)
    }

    /// Records the load that the endpoint reported with its response.
    pub fn record_load(&mut self, load: Option<Load>) {
        self.load = load;
        if let Some(load) = load {
            let now = self.board.now();
            self.board.fleet.borrow_mut().record_load(self.endpoint(), load, now);
        }
    }

    /// Records events of a stream, or the complete response of a plain call.
    pub fn record_events(&mut self, events: u32) {
        let now = self.board.now();
        let mut fleet = self.board.fleet.borrow_mut();
        if self.has_response {
            fleet.record_gap(&self.choice.endpoint, now.since(self.last_event), events);
        } else {
            self.has_response = true;
            self.first_event = now;
            if let Some(ticket) = &self.ticket {
                ticket.record_response();
            }
            match self.permit {
                None => {
                    let endpoint = &self.choice.endpoint;
                    fleet.record_first_response(endpoint, self.size);
                    if let Some(load) = self.at_dispatch {
                        let elapsed = now.since(self.acquired);
                        fleet.record_first_time(endpoint, self.size.prompt, load, elapsed, now);
                    }
                }
                Some(request) => {
                    self.board.notify_owner(request, |request| Message::First(request, self.load))
                }
            }
        }
        self.events += events;
        self.last_event = now;
    }

    /// Records that a request of a route is sent.
    pub fn record_sent(&mut self, route: &str, deadline: Time) {
        self.deadline = Some(deadline);
        if let Some(ticket) = &self.ticket {
            ticket.record_sent(short_hash(route));
        }
    }

    /// Whether the endpoint must not be used any more, by a rollout that has ended since it was chosen.
    #[must_use]
    pub fn is_void(&self) -> bool {
        self.ticket.as_ref().is_some_and(Ticket::is_void)
    }

    /// Time at which a resumable stream is to leave its endpoint, by a rollout.
    #[must_use]
    pub fn leave_at(&self) -> Option<Time> {
        self.ticket.as_ref()?.leave_at()
    }

    /// Counts the response for a rollout.
    fn count(&self, now: Time) {
        let (Some(ticket), Some(deadline)) = (&self.ticket, self.deadline) else { return };
        let gaps = self.events.saturating_sub(1);
        let response = Response {
            outcome: self.outcome,
            timed_out: now >= deadline,
            first: self.first_event.since(self.acquired),
            gap: self.last_event.since(self.first_event).checked_div(gaps),
        };
        ticket.record(&response);
    }

    /// Whether an event has arrived.
    #[must_use]
    pub fn has_response(&self) -> bool {
        self.has_response
    }

    /// Releases the slot.
    pub fn release(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.board.now();
        self.count(now);
        let endpoint = &self.choice.endpoint;
        let mut fleet = self.board.fleet.borrow_mut();
        if self.outcome == Outcome::Completed {
            let hold = now.since(self.acquired);
            fleet.record_hold_time(endpoint, hold);
            if let Some(load) = self.at_dispatch {
                fleet.record_plain(endpoint, load, hold, now);
            }
        }
        if let Some(request) = self.permit {
            fleet.record_outcome(endpoint, self.outcome, now);
            let gaps = self.events.saturating_sub(1);
            // None without a second event.
            let gap = self.last_event.since(self.first_event).checked_div(gaps);
            let end = End { request, outcome: self.outcome, gap };
            let owner = self.board.permits.borrow_mut().release(request);
            if let Some(owner) = owner {
                self.board.send_message(owner, Message::End(end));
            }
            return;
        }
        fleet.finish(endpoint, self.size, self.has_response, self.outcome, now);
        drop(fleet);
        self.dispatch_next();
    }
}

impl Slot {
    /// Gives the slot to the next request. An unexpected error must not reach the task of the request
    /// that has released it.
    fn dispatch_next(&self) {
        let board = &self.board;
        let dispatch = AssertUnwindSafe(|| dispatch_service(board, &self.service));
        if catch_unwind(dispatch).is_err() {
            board.record_panic("dispatch");
        }
    }
}

/// Removes a request from its queue if its task ends before it is dispatched.
struct Guard<'a> {
    board: &'a Blackboard,
    service: &'a ServiceId,
    request: RequestId,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut dispatcher = self.board.dispatcher.borrow_mut();
        if dispatcher.waiters.remove(&self.request).is_some()
            && let Some(backlog) = dispatcher.backlogs.get_mut(self.service)
        {
            backlog.remove(self.request);
        }
    }
}

/// Waits for a free slot at an endpoint, preferably not one of `avoid`.
///
/// # Errors
/// The reason for refusal; the request has not been sent.
pub async fn acquire_slot(
    board: &Rc<Blackboard>,
    submission: &Submission,
    avoid: &[EndpointId],
) -> Result<Slot, Refusal> {
    if board.uses_owner(&submission.service)
        && let Some(decision) = holder::acquire(board, submission, avoid).await
    {
        return decision;
    }
    acquire_charged(board, submission, avoid).await
}

/// Charges the organisation's quota, unless that was done before, and waits for a free slot that
/// this node may give out.
///
/// # Errors
/// The reason for refusal; the request has not been sent, and nothing is charged.
pub async fn acquire_charged(
    board: &Rc<Blackboard>,
    submission: &Submission,
    avoid: &[EndpointId],
) -> Result<Slot, Refusal> {
    let cost = submission.cost;
    if cost > Tokens(0) {
        let charged = board.charge(&submission.organisation, cost);
        charged.map_err(|wait| Refusal { code: Code::AllotmentSpent, wait })?;
    }
    let acquired = acquire_local(board, submission, avoid).await;
    if acquired.is_err() && cost > Tokens(0) {
        board.limiter.borrow_mut().refund(&submission.organisation, cost, board.now());
    }
    acquired
}

/// Slot of a request that runs already, by a permit of an earlier owner; none if this node does not
/// own the endpoint.
#[must_use]
pub fn adopt(board: &Rc<Blackboard>, endpoint: &EndpointId, size: Size) -> Option<Slot> {
    let mut fleet = board.fleet.borrow_mut();
    if !fleet.owns(endpoint) {
        return None;
    }
    let listing = fleet.listing(endpoint)?.clone();
    fleet.start(endpoint, size);
    fleet.record_first_response(endpoint, size);
    drop(fleet);
    let choice = Choice {
        endpoint: listing.id,
        address: listing.address,
        born: listing.born,
        expected: Duration::ZERO,
        in_flight: 0,
        candidates: 0,
    };
    let ticket = Ticket::new(board, &board.fleet.borrow(), &listing.service, &choice.endpoint);
    let mut slot = Slot::new(board, &listing.service, size, choice, ticket);
    slot.has_response = true;
    Some(slot)
}

/// Waits for a free slot that this node may give out.
///
/// # Errors
/// The reason for refusal; the request has not been sent.
async fn acquire_local(
    board: &Rc<Blackboard>,
    submission: &Submission,
    avoid: &[EndpointId],
) -> Result<Slot, Refusal> {
    let (decision, decided) = oneshot::channel();
    let refused = enqueue(
        board,
        submission,
        Waiter {
            decision,
            avoid: avoid.into(),
            target_gap: submission.target_gap,
            size: submission.size,
            streamed: submission.streamed,
            cohort: rollout::sample(board, &submission.service, avoid),
        },
    )?;
    let _guard = Guard { board, service: &submission.service, request: submission.request };
    send_refusals(refused);
    dispatch_service(board, &submission.service);
    match decided.await {
        Ok(Decision::Dispatch(slot)) => Ok(*slot),
        Ok(Decision::Refuse(refusal)) => Err(refusal),
        Err(_) => Err(Refusal::DRAINING),
    }
}

type Refusals = Vec<(oneshot::Sender<Decision>, Refusal)>;

/// Queues a request and returns the requests that it displaced.
fn enqueue(
    board: &Blackboard,
    submission: &Submission,
    waiter: Waiter,
) -> Result<Refusals, Refusal> {
    if board.phase() >= Phase::Refusing {
        return Err(Refusal::DRAINING);
    }
    let now = board.now();
    let mut dispatcher = board.dispatcher.borrow_mut();
    let dispatcher = &mut *dispatcher;
    let job = submission.job(&dispatcher.instance);
    let backlog = dispatcher.backlogs.entry(submission.service.clone()).or_default();
    backlog.record_arrival(&job, now);
    dispatcher.arrivals += 1;
    if let Some(wait) = backlog.excessive_wait(submission.rank, submission.deadlines, now) {
        return Err(Refusal { code: Code::QueueFull, wait });
    }
    dispatcher.waiters.insert(submission.request, waiter);
    backlog.push(job, submission.deadlines, now);
    dispatcher.enqueued.notify_one();
    if backlog.len() <= MAX_WAITING {
        return Ok(Vec::new());
    }
    let Some(victim) = backlog.victim().cloned() else { return Ok(Vec::new()) };
    backlog.remove(victim.request);
    let wait = backlog.expected_wait(victim.rank, now);
    let waiter = dispatcher.waiters.remove(&victim.request);
    let refusal = Refusal { code: Code::QueueFull, wait };
    Ok(waiter.into_iter().map(|waiter| (waiter.decision, refusal)).collect())
}

/// Refuses all queued requests, since the process is about to exit.
pub fn refuse_all(board: &Blackboard) {
    let waiters = {
        let mut dispatcher = board.dispatcher.borrow_mut();
        dispatcher.backlogs.clear();
        std::mem::take(&mut dispatcher.waiters)
    };
    send_refusals(
        waiters.into_values().map(|waiter| (waiter.decision, Refusal::DRAINING)).collect(),
    );
}

/// Reports refusals to waiting tasks; tasks that have ended are skipped.
fn send_refusals(refused: Refusals) {
    for (decision, refusal) in refused {
        decision.send(Decision::Refuse(refusal)).ok();
    }
}

/// Dispatches queued requests of a service while endpoints have room.
pub fn dispatch_service(board: &Rc<Blackboard>, service: &ServiceId) {
    // If the task has ended, its slot is dropped here, after the borrows of the blackboard end.
    while let Some((decision, slot)) = dispatch_next(board, service) {
        decision.send(Decision::Dispatch(Box::new(slot))).ok();
    }
}

/// Dispatches queued requests of all services.
pub fn dispatch_all(board: &Rc<Blackboard>) {
    let services = board.dispatcher.borrow().busy_services();
    for service in services {
        dispatch_service(board, &service);
    }
}

fn dispatch_next(
    board: &Rc<Blackboard>,
    service: &ServiceId,
) -> Option<(oneshot::Sender<Decision>, Slot)> {
    let now = board.now();
    // The owner of a cell sends few of the requests itself.
    let is_owner = board.uses_owner(service) && board.is_owner(service);
    let connections = if is_owner { u32::MAX } else { board.max_connections(service) };
    let mut dispatcher = board.dispatcher.borrow_mut();
    let dispatcher = &mut *dispatcher;
    let mut fleet = board.fleet.borrow_mut();
    let backlog = dispatcher.backlogs.get_mut(service)?;
    backlog.demote(now);
    let waiters = &dispatcher.waiters;
    let (job, choice) = backlog.next(now, |job| {
        let waiter = waiters.get(&job.request)?;
        let (avoid, target_gap, size) = (&*waiter.avoid, waiter.target_gap, waiter.size);
        let streamed = waiter.streamed;
        let max_connections = connections;
        let cohort = waiter.cohort;
        let query = Query { service, size, avoid, max_connections, target_gap, streamed, cohort };
        fleet.select(&query, now)
    })?;
    let waiter = dispatcher.waiters.remove(&job.request)?;
    let size = waiter.size;
    fleet.start(&choice.endpoint, size);
    fleet.take_token(&choice.endpoint, now);
    let ticket = Ticket::new(board, &fleet, service, &choice.endpoint);
    let at_dispatch = fleet.dispatch_load(&choice.endpoint, now);
    let mut slot = Slot::new(board, service, size, choice, ticket);
    slot.at_dispatch = at_dispatch;
    Some((waiter.decision, slot))
}

/// Expires requests past their deadline and retries the dispatch of the others.
pub async fn run(board: Rc<Blackboard>) {
    let enqueued = Rc::clone(&board.dispatcher.borrow().enqueued);
    loop {
        if board.dispatcher.borrow().waiting() == 0 {
            enqueued.notified().await;
        }
        tokio::time::sleep(RECHECK_INTERVAL).await;
        send_refusals(expire(&board));
        dispatch_all(&board);
    }
}

fn expire(board: &Blackboard) -> Refusals {
    let now = board.now();
    let mut dispatcher = board.dispatcher.borrow_mut();
    let dispatcher = &mut *dispatcher;
    let mut refused = Vec::new();
    for backlog in dispatcher.backlogs.values_mut() {
        backlog.demote(now);
        for job in backlog.expire(now) {
            let waiter = dispatcher.waiters.remove(&job.request);
            let wait = backlog.expected_wait(job.rank, now);
            let refusal = Refusal { code: Code::DeadlineUnmeetable, wait };
            refused.extend(waiter.map(|waiter| (waiter.decision, refusal)));
        }
    }
    refused
}

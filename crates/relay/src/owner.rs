//! Issues permits for the endpoints of a cell.
//!
//! Load: at the crest of a wave, a zone gets twice the requests that its
//! endpoints serve, while another zone has room. The owner queues all requests
//! of its zone in one order, see [`sched::backlog`], and gives a slot to the next
//! one when it becomes free. While requests wait here and slots are free in
//! another cell, it forwards new requests to the owner of that one.
//!
//! Requests are charged to their organisation's quota here. Hundreds of nodes
//! that hear of each other every few seconds would each spend one large request
//! more than their part; the few owners hear of each other every second.
//!
//! A node that is not ready declines: it does not know the limits and quotas that
//! bind it.
//!
//! All state is soft. An owner that takes over does not know which permits are
//! in use, until their holders confirm them within half a second; until then
//! endpoints may get more requests than they have slots, which they queue. Two
//! owners at the same time have the same effect, but for limits that endpoints
//! name: owners that hear of each other share them. The permits of a holder that
//! is gone expire.

use crate::{
    blackboard::Blackboard,
    dispatcher::{self, Refusal, Slot, Submission},
    holder::CONFIRM_INTERVAL,
    permit::{self, End, Grant, Message, Pressure, Request},
};
use codes::Event;
use sched::{
    backlog::Deadlines,
    fleet::{Distance, Outcome, Size},
};
use slog::info;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::task::{AbortHandle, spawn_local};
use units::{EndpointId, RequestId, ServiceId, Time};

/// Time after which a permit that its holder does not confirm expires.
const PERMIT_TTL: Duration = Duration::from_millis(2_500);
/// Time after which a permit that is missing from a confirmation counts as returned. Its grant may
/// have been on the way.
const MIN_CONFIRM_AGE: Duration = Duration::from_millis(300);
/// Time for which a node acts as owner after a request for a permit, whatever the roster says.
const ACTING_TIME: Duration = Duration::from_secs(1);
/// Interval at which owners report their load to each other.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a reported load is used.
const PRESSURE_TTL: Duration = Duration::from_millis(400);
/// Free slots of another cell that are left to its own zone.
const SPARE_SLOTS: u32 = 4;
/// Waiting requests here above which another region's slots are used.
const MIN_WAITING_CROSS_REGION: u32 = 4;

#[derive(Debug)]
enum State {
    Waiting(AbortHandle),
    Granted { slot: Box<Slot>, confirmed: Time },
}

#[derive(Debug)]
struct Entry {
    holder: SocketAddr,
    state: State,
}

#[derive(Debug)]
struct Neighbour {
    distance: Distance,
    /// Free slots when last reported, less the requests forwarded since.
    free: u32,
    waiting: u32,
    at: Time,
}

/// Permits that a node has issued, and what it knows of other cells.
#[derive(Debug, Default)]
pub struct Cells {
    entries: HashMap<RequestId, Entry>,
    acting: HashMap<ServiceId, Time>,
    neighbours: HashMap<(ServiceId, SocketAddr), Neighbour>,
}

impl Cells {
    /// Whether the node has been asked for a permit of a service recently.
    #[must_use]
    pub fn is_acting(&self, service: &ServiceId, now: Time) -> bool {
        self.acting.get(service).is_some_and(|at| now.since(*at) < ACTING_TIME)
    }

    /// Number of permits issued and not returned.
    #[must_use]
    pub fn issued(&self) -> usize {
        let granted = |entry: &&Entry| matches!(entry.state, State::Granted { .. });
        self.entries.values().filter(granted).count()
    }

    /// Another cell to forward a request to, nearest first.
    fn roomy_neighbour(
        &mut self,
        service: &ServiceId,
        waiting: u32,
        now: Time,
    ) -> Option<SocketAddr> {
        let has_room = |(key, neighbour): &(&(ServiceId, SocketAddr), &mut Neighbour)| {
            let near = neighbour.distance != Distance::CrossRegion;
            key.0 == *service
                && now.since(neighbour.at) < PRESSURE_TTL
                && neighbour.free > SPARE_SLOTS
                && neighbour.waiting == 0
                && (near || waiting >= MIN_WAITING_CROSS_REGION)
        };
        let neighbours = self.neighbours.iter_mut().filter(has_room);
        let (key, neighbour) = neighbours.min_by_key(|(_, n)| (n.distance, u32::MAX - n.free))?;
        neighbour.free -= 1;
        Some(key.1)
    }
}

/// Handles a message of a holder or of another owner.
pub fn handle(board: &Rc<Blackboard>, message: Message, from: SocketAddr) {
    match message {
        Message::Request(request) => handle_request(board, *request, from),
        Message::Cancel(request) => {
            let entry = board.cells.borrow_mut().entries.remove(&request);
            close(entry, Outcome::Cancelled);
        }
        Message::First(request, load) => {
            let now = board.now();
            if let Some(Entry { state: State::Granted { slot, confirmed }, .. }) =
                board.cells.borrow_mut().entries.get_mut(&request)
            {
                *confirmed = now;
                slot.record_load(load);
                slot.record_events(1);
            }
        }
        Message::End(end) => handle_end(board, end),
        Message::Held(held) => handle_held(board, &held, from),
        Message::Pressure(pressure) => record_pressure(board, pressure, from),
        Message::Queued(_) | Message::Grant(_) | Message::Refuse(_) | Message::Decline(_) => {}
    }
}

fn close(entry: Option<Entry>, outcome: Outcome) {
    match entry.map(|entry| entry.state) {
        Some(State::Waiting(task)) => task.abort(),
        Some(State::Granted { slot, .. }) => slot.release(outcome),
        None => {}
    }
}

fn handle_end(board: &Blackboard, end: End) {
    let entry = board.cells.borrow_mut().entries.remove(&end.request);
    if let Some(Entry { state: State::Granted { slot, .. }, .. }) = &entry
        && let Some(gap) = end.gap
    {
        board.fleet.borrow_mut().record_gap(slot.endpoint(), gap, 1);
    }
    close(entry, end.outcome);
}

fn handle_request(board: &Rc<Blackboard>, request: Request, from: SocketAddr) {
    let now = board.now();
    let holder = request.holder.unwrap_or(from);
    let id = request.request;
    if let Some(answer) = repeated_answer(board, id) {
        return board.send_message(holder, answer);
    }
    // A node that has just started is still asked by those that knew its predecessor.
    if !board.is_ready() {
        return decline(board, id, holder, request.holder.is_some());
    }
    let was_acting = board.is_owner(&request.service);
    let is_forwarded = request.holder.is_some();
    // Requests that other owners forward do not keep a node acting: it would go on to report free
    // slots, beside the owner that has returned, and attract more of them.
    if !is_forwarded {
        board.cells.borrow_mut().acting.insert(request.service.clone(), now);
    }
    if !was_acting && !is_forwarded {
        info!(board.log, "acting as owner"; Event::CellTaken, "service" => %request.service);
        crate::peers::reallocate(board);
        // Other owners of the cell share limits with this node as soon as they know of it.
        board.broadcast_now.notify_one();
    }
    // A forwarded request is not forwarded again.
    if !is_forwarded && let Some(neighbour) = choose_neighbour(board, &request.service, now) {
        board.metrics.count("permit", "forwarded");
        let forwarded = Request { holder: Some(holder), ..request };
        return board.send_message(neighbour, Message::Request(Box::new(forwarded)));
    }
    let task = spawn_local(serve(Rc::clone(board), request, holder));
    let entry = Entry { holder, state: State::Waiting(task.abort_handle()) };
    board.cells.borrow_mut().entries.insert(id, entry);
}

/// Has a holder ask the next node in line.
fn decline(board: &Blackboard, id: RequestId, holder: SocketAddr, is_forwarded: bool) {
    board.metrics.count("permit", "declined");
    // If another owner has forwarded the request, its holder knows that one only.
    if !is_forwarded {
        board.send_message(holder, Message::Decline(id));
    }
}

/// Answer to a request that is known already.
fn repeated_answer(board: &Blackboard, id: RequestId) -> Option<Message> {
    match &board.cells.borrow().entries.get(&id)?.state {
        State::Waiting(_) => Some(Message::Queued(id)),
        State::Granted { slot, .. } => Some(Message::Grant(grant(id, slot))),
    }
}

fn grant(request: RequestId, slot: &Slot) -> Grant {
    let choice = &slot.choice;
    Grant {
        request,
        endpoint: choice.endpoint.clone(),
        expected: choice.expected,
        in_flight: choice.in_flight,
    }
}

fn choose_neighbour(board: &Blackboard, service: &ServiceId, now: Time) -> Option<SocketAddr> {
    let waiting = board.dispatcher.borrow().waiting_for(service);
    let free = board.fleet.borrow().capacity(service, now).free_in_zone;
    if free > waiting {
        return None;
    }
    board.cells.borrow_mut().roomy_neighbour(service, waiting, now)
}

/// Queues a request and sends the decision to its holder.
async fn serve(board: Rc<Blackboard>, request: Request, holder: SocketAddr) {
    let now = board.now();
    let id = request.request;
    let is_forwarded = request.holder.is_some();
    let submission = Submission {
        request: id,
        service: request.service,
        rank: request.rank,
        organisation: request.organisation,
        size: request.size,
        max_output: request.max_output,
        target_gap: request.target_gap,
        deadlines: Deadlines { soft: now + request.soft, hard: now + request.hard },
        fingerprint: request.fingerprint,
        cost: request.cost,
        streamed: true,
    };
    let acquiring = dispatcher::acquire_charged(&board, &submission, &request.avoid);
    let mut acquiring = std::pin::pin!(acquiring);
    // The holder is told that the request waits only if there is no decision at once.
    let decision = tokio::select! {
        biased;
        decision = acquiring.as_mut() => decision,
        () = std::future::ready(()) => {
            board.send_message(holder, Message::Queued(id));
            acquiring.await
        }
    };
    let now = board.now();
    match decision {
        Ok(slot) => {
            board.send_message(holder, Message::Grant(grant(id, &slot)));
            let state = State::Granted { slot: Box::new(slot), confirmed: now };
            board.cells.borrow_mut().entries.insert(id, Entry { holder, state });
        }
        Err(refusal) => {
            board.cells.borrow_mut().entries.remove(&id);
            if refusal == Refusal::DRAINING {
                return decline(&board, id, holder, is_forwarded);
            }
            let (code, wait) = (refusal.code, refusal.wait);
            board
                .send_message(holder, Message::Refuse(permit::Refusal { request: id, code, wait }));
        }
    }
}

/// Takes over what a holder says to hold: permits of an earlier owner are adopted, and those that it
/// no longer holds are returned.
fn handle_held(board: &Rc<Blackboard>, held: &[(RequestId, EndpointId, Size)], from: SocketAddr) {
    let now = board.now();
    let ids: HashSet<RequestId> = held.iter().map(|(id, ..)| *id).collect();
    let mut returned = Vec::new();
    for (id, entry) in &mut board.cells.borrow_mut().entries {
        let State::Granted { confirmed, .. } = &mut entry.state else { continue };
        if entry.holder != from {
            continue;
        }
        if ids.contains(id) {
            *confirmed = now;
        } else if now.since(*confirmed) > MIN_CONFIRM_AGE {
            returned.push(*id);
        }
    }
    for id in returned {
        let entry = board.cells.borrow_mut().entries.remove(&id);
        close(entry, Outcome::Cancelled);
    }
    for (id, endpoint, size) in held {
        if board.cells.borrow().entries.contains_key(id) {
            continue;
        }
        if let Some(slot) = dispatcher::adopt(board, endpoint, *size) {
            let state = State::Granted { slot: Box::new(slot), confirmed: now };
            board.cells.borrow_mut().entries.insert(*id, Entry { holder: from, state });
        }
    }
}

fn record_pressure(board: &Blackboard, pressure: Pressure, from: SocketAddr) {
    let Pressure { service, free, waiting } = pressure;
    let Some(distance) = board.roster.borrow().distance_of(from) else { return };
    let neighbour = Neighbour { distance, free, waiting, at: board.now() };
    board.cells.borrow_mut().neighbours.insert((service, from), neighbour);
}

/// Reports the load of this node's cells to the owners of other cells, and expires permits.
pub async fn run(board: Rc<Blackboard>) {
    let mut since_expiry = Duration::ZERO;
    loop {
        tokio::time::sleep(PRESSURE_INTERVAL).await;
        since_expiry += PRESSURE_INTERVAL;
        let now = board.now();
        if since_expiry >= CONFIRM_INTERVAL {
            since_expiry = Duration::ZERO;
            expire(&board, now);
        }
        for service in board.owned_services() {
            let free = board.fleet.borrow().capacity(&service, now).free_in_zone;
            let waiting = board.dispatcher.borrow().waiting_for(&service);
            let owners = board.roster.borrow().other_owners(&service, now);
            for owner in owners {
                let service = service.clone();
                let pressure = Pressure { service, free, waiting };
                board.send_message(owner, Message::Pressure(pressure));
            }
        }
    }
}

fn expire(board: &Blackboard, now: Time) {
    let is_expired = |entry: &Entry| match &entry.state {
        State::Granted { confirmed, .. } => now.since(*confirmed) > PERMIT_TTL,
        State::Waiting(_) => false,
    };
    let expired: Vec<RequestId> = {
        let cells = board.cells.borrow();
        let expired = cells.entries.iter().filter(|(_, entry)| is_expired(entry));
        expired.map(|(id, _)| *id).collect()
    };
    for id in expired {
        board.metrics.count("permit", "expired");
        let entry = board.cells.borrow_mut().entries.remove(&id);
        close(entry, Outcome::Cancelled);
    }
    let mut cells = board.cells.borrow_mut();
    cells.neighbours.retain(|_, neighbour| now.since(neighbour.at) < PRESSURE_TTL);
    cells.acting.retain(|_, at| now.since(*at) < ACTING_TIME);
}

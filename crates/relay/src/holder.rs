//! Obtains permits from the owners of cells.
//!
//! Load: 49 nodes of a zone share 216 slots and get five requests a second
//! each. If every node takes slots by what the others reported half a second
//! ago, some slots are taken twice and others stay empty. The owner of the cell
//! knows all of its slots and all waiting requests, and is a tenth of a
//! millisecond away.
//!
//! An owner that does not respond, or declines, is passed over for a while, and
//! the next node in line is asked. Two owners may act at the same time, see
//! [`crate::owner`]: each request uses the first permit that it gets and returns
//! any other. A node that finds no owner decides by itself, see
//! [`crate::dispatcher`].
//!
//! An owner that is cut off from the store may grant an endpoint that its holder
//! knows as leaving. The holder returns such a permit and asks again; the owner
//! then leaves the endpoint alone for a while.

use crate::{
    blackboard::{Blackboard, Phase},
    dispatcher::{Refusal, Slot, Submission},
    owner,
    permit::{End, Grant, Message, Request},
    roster::Owner,
};
use codes::{Code, Event};
use sched::fleet::{Choice, Outcome, Size};
use slog::info;
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::sync::mpsc;
use units::{EndpointId, RequestId, Time};

/// Time for an owner to respond; a round trip within a zone takes 0.2 ms, and a node of a tenth of
/// a core may be busy for some tens of milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of unanswered messages after which another owner is asked.
const MAX_UNANSWERED: u32 = 3;
/// Interval at which an owner is asked whether a request still waits.
const RECHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of owners asked for one permit.
const MAX_OWNERS: u32 = 3;
/// Number of permits that a request may return because their endpoints accept nothing.
const MAX_RETURNED: u32 = 3;
/// Time past its latest dispatch for which a request waits for the owner's refusal.
const REFUSAL_MARGIN: Duration = Duration::from_millis(100);
/// Interval at which a node confirms the permits that it holds.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Response of an owner.
#[derive(Debug)]
enum Response {
    Queued,
    Granted(SocketAddr, Grant),
    Refused(Refusal),
    Declined(SocketAddr),
}

#[derive(Debug)]
struct Held {
    endpoint: EndpointId,
    size: Size,
    owner: SocketAddr,
}

/// Permits that a node waits for and holds.
#[derive(Debug, Default)]
pub struct Permits {
    pending: HashMap<RequestId, mpsc::UnboundedSender<Response>>,
    held: HashMap<RequestId, Held>,
}

impl Permits {
    /// Owners of the permits that are held.
    fn owners(&self) -> BTreeSet<SocketAddr> {
        self.held.values().map(|held| held.owner).collect()
    }

    /// Owner that issued the permit of a request.
    #[must_use]
    pub fn owner(&self, request: RequestId) -> Option<SocketAddr> {
        self.held.get(&request).map(|held| held.owner)
    }

    fn confirmation(&self) -> Message {
        let held =
            self.held.iter().map(|(id, held)| (*id, held.endpoint.clone(), held.size)).collect();
        Message::Held(held)
    }

    /// Returns a permit; the owner that issued it, unless it was returned before.
    pub fn release(&mut self, request: RequestId) -> Option<SocketAddr> {
        self.held.remove(&request).map(|held| held.owner)
    }
}

/// Cancels a request for a permit if its task ends before there is a decision.
struct Guard<'a> {
    board: &'a Blackboard,
    request: RequestId,
    asked: Vec<SocketAddr>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if self.board.permits.borrow_mut().pending.remove(&self.request).is_some() {
            for owner in &self.asked {
                self.board.send_message(*owner, Message::Cancel(self.request));
            }
        }
    }
}

fn message(
    request: RequestId,
    submission: &Submission,
    avoid: &[EndpointId],
    now: Time,
) -> Message {
    Message::Request(Box::new(Request {
        request,
        holder: None,
        service: submission.service.clone(),
        rank: submission.rank,
        organisation: submission.organisation.clone(),
        size: submission.size,
        max_output: submission.max_output,
        target_gap: submission.target_gap,
        soft: submission.deadlines.soft.since(now),
        hard: submission.deadlines.hard.since(now),
        fingerprint: submission.fingerprint,
        cost: submission.cost,
        avoid: avoid.into(),
    }))
}

/// Waits for a permit from the owner of the service's cell in this zone. None if this node is the
/// owner or if no owner responds.
///
/// # Errors
/// The reason for refusal; the request has not been sent.
pub async fn acquire(
    board: &Rc<Blackboard>,
    submission: &Submission,
    avoid: &[EndpointId],
) -> Option<Result<Slot, Refusal>> {
    for _ in 0..MAX_RETURNED {
        match ask(board, submission, avoid).await {
            Answer::Slot(slot) => return Some(Ok(*slot)),
            Answer::Refused(refusal) => return Some(Err(refusal)),
            Answer::None => return None,
            Answer::Returned => {}
        }
    }
    None
}

/// Result of a request for a permit.
enum Answer {
    Slot(Box<Slot>),
    Refused(Refusal),
    /// No owner responds, or this node is the owner.
    None,
    /// The permit was returned.
    Returned,
}

/// Asks the owners in line for one permit.
async fn ask(board: &Rc<Blackboard>, submission: &Submission, avoid: &[EndpointId]) -> Answer {
    // A request may need several permits, one after the other; late messages about one must not be
    // taken for the next.
    let request = RequestId::random(&mut rand::rng());
    if board.phase() >= Phase::Refusing {
        return Answer::Refused(Refusal::DRAINING);
    }
    let (sender, mut responses) = mpsc::unbounded_channel();
    let mut guard = Guard { board, request, asked: Vec::new() };
    for _ in 0..MAX_OWNERS {
        let owner = board.roster.borrow().owner(&submission.service, board.now());
        let Owner::Peer(id, address) = owner else { return Answer::None };
        board.permits.borrow_mut().pending.insert(request, sender.clone());
        guard.asked.push(address);
        let mut unanswered = 0;
        let mut is_queued = false;
        while unanswered < MAX_UNANSWERED {
            if !is_queued {
                board.send_message(address, message(request, submission, avoid, board.now()));
            }
            let wait = if is_queued { RECHECK_INTERVAL } else { RESPONSE_TIMEOUT };
            match tokio::time::timeout(wait, responses.recv()).await {
                Ok(Some(Response::Queued)) => {
                    unanswered = 0;
                    is_queued = true;
                }
                Ok(Some(Response::Granted(owner, grant))) => {
                    return take(board, submission, owner, grant);
                }
                Ok(Some(Response::Refused(refusal))) => {
                    if refusal != Refusal::DRAINING {
                        guard.finish();
                    }
                    return Answer::Refused(refusal);
                }
                Ok(Some(Response::Declined(owner))) if owner == address => break,
                Ok(Some(Response::Declined(_))) => {}
                Ok(None) => return Answer::None,
                Err(_) if board.now() > submission.deadlines.hard + REFUSAL_MARGIN => {
                    let wait = Duration::ZERO;
                    return Answer::Refused(Refusal { code: Code::DeadlineUnmeetable, wait });
                }
                Err(_) if is_queued => is_queued = false,
                Err(_) => unanswered += 1,
            }
        }
        let declined = unanswered < MAX_UNANSWERED;
        info!(board.log, "owner does not respond"; Event::OwnerSilent, "owner" => %id,
            "service" => %submission.service, "declined" => declined);
        board.metrics.count("permit", if declined { "owner_declined" } else { "owner_silent" });
        board.roster.borrow_mut().suspect(&id, board.now());
    }
    Answer::None
}

impl Guard<'_> {
    /// Ends the request for a permit without a message to the owner.
    fn finish(&self) {
        self.board.permits.borrow_mut().pending.remove(&self.request);
    }
}

/// Takes a permit. If its endpoint is not known here, this node decides by itself.
fn take(
    board: &Rc<Blackboard>,
    submission: &Submission,
    owner: SocketAddr,
    grant: Grant,
) -> Answer {
    let Grant { request, endpoint, expected, in_flight } = grant;
    let mut permits = board.permits.borrow_mut();
    permits.pending.remove(&request);
    let listing = board.fleet.borrow().listing(&endpoint).map(|l| (l.address, l.born));
    let Some((address, born)) = listing else {
        drop(permits);
        board.metrics.count("permit", "unknown_endpoint");
        end(board, owner, request, Outcome::Cancelled);
        return Answer::None;
    };
    if !board.fleet.borrow().accepts(&endpoint, board.now()) {
        drop(permits);
        board.metrics.count("permit", "returned");
        info!(board.log, "permit returned"; Event::PermitReturned, "endpoint" => %endpoint,
            "owner" => %owner, "reason" => "the endpoint leaves or refuses requests");
        // An owner that does not know a stage yet must not leave the endpoint alone.
        let is_held_back = board.fleet.borrow().is_held_back(&endpoint, board.now());
        let outcome = if is_held_back { Outcome::Cancelled } else { Outcome::WrongEndpoint };
        end(board, owner, request, outcome);
        return Answer::Returned;
    }
    let held = Held { endpoint: endpoint.clone(), size: submission.size, owner };
    permits.held.insert(request, held);
    drop(permits);
    let choice = Choice { endpoint, address, born, expected, in_flight, candidates: 1 };
    Answer::Slot(Box::new(Slot::with_permit(board, submission, request, choice)))
}

fn end(board: &Blackboard, owner: SocketAddr, request: RequestId, outcome: Outcome) {
    board.send_message(owner, Message::End(End { request, outcome, gap: None }));
}

/// Refuses all requests that wait for a permit, since the process is about to exit. Their owners
/// are told.
pub fn refuse_all(board: &Blackboard) {
    for pending in board.permits.borrow().pending.values() {
        // A task that has ended needs no response.
        pending.send(Response::Refused(Refusal::DRAINING)).ok();
    }
}

/// Handles a response of an owner.
pub fn handle(board: &Blackboard, message: Message, from: SocketAddr) {
    let (request, response) = match message {
        Message::Queued(request) => (request, Response::Queued),
        Message::Grant(grant) => (grant.request, Response::Granted(from, grant)),
        Message::Refuse(refusal) => {
            let refused = Refusal { code: refusal.code, wait: refusal.wait };
            (refusal.request, Response::Refused(refused))
        }
        Message::Decline(request) => (request, Response::Declined(from)),
        _ => return,
    };
    let is_grant = matches!(response, Response::Granted(..));
    let (delivered, is_repeated) = {
        let permits = board.permits.borrow();
        let pending = permits.pending.get(&request);
        let delivered = pending.is_some_and(|pending| pending.send(response).is_ok());
        (delivered, permits.held.get(&request).is_some_and(|held| held.owner == from))
    };
    if is_grant && !delivered && !is_repeated {
        // The request has ended, or uses a permit of another owner.
        end(board, from, request, Outcome::Cancelled);
    }
}

/// Confirms the permits that this node holds.
pub async fn confirm(board: Rc<Blackboard>) {
    loop {
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        let confirmation = board.permits.borrow().confirmation();
        let mut owners = board.permits.borrow().owners();
        if !board.owned_services().is_empty() {
            // Permits from before this node became the owner.
            owner::handle(&board, confirmation.clone(), board.settings.listen.peers);
        }
        if owners.is_empty() {
            continue;
        }
        owners.extend(board.current_owners());
        for owner in owners {
            board.send_message(owner, confirmation.clone());
        }
    }
}

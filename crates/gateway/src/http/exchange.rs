//! Exchange of one request with an endpoint: grant, claim, dispatch and end.

use super::{admission, reply::Refused};
use crate::{
    blackboard::Blackboard,
    controller::{claims::Call as ClaimCall, facts},
    dispatcher::{Assignment, Decision},
};
use codes::{Code, Event};
use engine::{Client, Error, client::Call};
use ntex::client::ClientResponse;
use rand::Rng;
use sched::{
    Job, Outcome,
    lifecycle::{Dispatched, Ticket, Unsent, Waiting},
    strike::Identity,
};
use slog::info;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use store::claim::{Attempt, Claim, Key, Outcome as ClaimOutcome, Response};
use tokio::sync::oneshot;
use units::{AttemptToken, RequestId, Time, Tokens};

/// Number of grants with a failed connection after which the request is refused.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Delays before the probes of an endpoint whose connection ended early. A crashing process may
/// keep its sockets open for a while, so the last probes come late.
const PROBE_DELAYS: [Duration; 6] = [
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
    Duration::from_millis(300),
    Duration::from_millis(400),
];
/// Time for a strike to reach every gateway before the caller can send the request again.
const STRIKE_PROPAGATION_TIME: Duration = Duration::from_millis(100);

/// Claim of a non-idempotent request, with its key.
#[derive(Debug, Clone)]
pub struct KeyedClaim {
    /// Key of the claim's row.
    pub key: Key,
    /// Claim, with the token of this attempt.
    pub claim: Claim,
}

impl KeyedClaim {
    /// Creates the claim of one attempt, with a random token.
    pub fn new(key: Key, accepted: &admission::Request) -> Self {
        let token = AttemptToken::new(rand::rng().random());
        let Identity { request, content } = accepted.identity;
        let claim = Claim { token, fingerprint: content, request: Some(request), response: None };
        Self { key, claim }
    }
}

/// Guard that withdraws a waiting request when dropped, such as when its caller disconnects.
struct Guard<'a> {
    board: &'a Blackboard,
    request: RequestId,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.board.dispatcher.withdraw(self.board, self.request);
    }
}

/// Reservation of a granted permit, which is returned when the reservation is dropped unused.
struct Reservation {
    board: Arc<Blackboard>,
    assignment: Option<Assignment>,
}

impl Reservation {
    fn new(board: &Arc<Blackboard>, assignment: Assignment) -> Self {
        Self { board: Arc::clone(board), assignment: Some(assignment) }
    }

    fn take(mut self) -> Assignment {
        self.assignment.take().expect("an unused grant has its assignment")
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(assignment) = self.assignment.take() {
            self.board.dispatcher.release(&self.board, &assignment, Outcome::Returned);
        }
    }
}

/// Dispatched request; dropping it cancels the request at its endpoint.
#[derive(Debug)]
pub struct Running {
    /// Blackboard.
    pub board: Arc<Blackboard>,
    /// Client for endpoints.
    pub client: Client,
    /// Request.
    pub accepted: admission::Request,
    /// Endpoint and permit.
    pub assignment: Assignment,
    /// Claim, if the request is non-idempotent.
    pub claim: Option<KeyedClaim>,
    ticket: Option<Ticket<Dispatched>>,
    response_start: Option<Time>,
    last_token: Time,
    tokens: u64,
}

/// Waits for a grant, inserts the claim of a non-idempotent request, and sends the request. When
/// no connection could be made, it waits for another grant.
pub async fn send(
    board: &Arc<Blackboard>,
    client: &Client,
    accepted: admission::Request,
    job: Job,
    call: &Call,
    claim: Option<KeyedClaim>,
) -> Result<(ClientResponse, Running), Refused> {
    let mut ticket = Ticket::new(accepted.head.request, accepted.head.arrived);
    let mut claimed = false;
    let mut connect_failures = 0;
    loop {
        let submitted = board.now();
        let granted = match wait(board, &accepted, job.clone()).await {
            Ok(assignment) => Reservation::new(board, assignment),
            Err(code) => return Err(refuse_unsent(board, ticket, claim.filter(|_| claimed), code)),
        };
        if let Some(claim) = claim.as_ref().filter(|_| !claimed) {
            if let Err(refused) = insert_claim(board, ticket.request(), claim).await {
                let _ = ticket.refuse(refused.refusal.code);
                return Err(refused);
            }
            claimed = true;
        }
        let assignment = granted.take();
        log_routed(board, &accepted, &assignment, submitted);
        let endpoint = assignment.grant.endpoint.clone();
        let sent = ticket.dispatch(endpoint, assignment.grant.permit, board.now());
        let running = Running::new(board, client, &accepted, assignment, sent, claim.clone());
        match running.deliver(call).await {
            Ok(delivered) => return Ok(delivered),
            Err(Failure::Refused(refused)) => return Err(refused),
            Err(Failure::Unsent(waiting)) => ticket = waiting,
        }
        connect_failures += 1;
        if connect_failures >= MAX_CONNECT_FAILURES {
            let claim = claim.filter(|_| claimed);
            return Err(refuse_unsent(board, ticket, claim, Code::Unreachable));
        }
    }
}

/// Refuses a request that was never sent, and releases its claim.
fn refuse_unsent(
    board: &Blackboard,
    ticket: Ticket<Waiting>,
    claim: Option<KeyedClaim>,
    code: Code,
) -> Refused {
    if let Some(claim) = claim {
        let release = ClaimCall::Release(claim.key, claim.claim.token);
        let _ = board.claims.try_send(release);
    }
    Refused::of(ticket.refuse(code), "the request was not sent to an endpoint")
}

/// Queues a request and waits for its grant or refusal.
async fn wait(
    board: &Arc<Blackboard>,
    accepted: &admission::Request,
    job: Job,
) -> Result<Assignment, Code> {
    let request = job.request;
    let decision = board.dispatcher.submit(board, &accepted.service, job);
    let _guard = Guard { board, request };
    match decision.await {
        Ok(Decision::Run(assignment)) => Ok(*assignment),
        Ok(Decision::Refuse(code)) => Err(code),
        Err(_) => Err(Code::Draining),
    }
}

/// Inserts the claim, so that no other attempt with its key can run.
async fn insert_claim(
    board: &Blackboard,
    request: RequestId,
    claim: &KeyedClaim,
) -> Result<(), Refused> {
    let (reply, outcome) = oneshot::channel();
    let attempt = Attempt { key: claim.key.clone(), claim: claim.claim.clone() };
    let unavailable = || {
        let release = ClaimCall::Release(claim.key.clone(), claim.claim.token);
        let _ = board.claims.try_send(release);
        let detail = "this attempt was not run; an earlier one with the same key may have been";
        Refused::new(request, Code::ClaimUnavailable, detail)
    };
    if board.claims.send(ClaimCall::Insert(attempt, reply)).await.is_err() {
        return Err(unavailable());
    }
    match outcome.await {
        Ok(ClaimOutcome::Acquired) => Ok(()),
        Ok(ClaimOutcome::Held(other)) => Err(refuse_claimed(request, claim, &other)),
        Ok(ClaimOutcome::Unavailable) | Err(_) => Err(unavailable()),
    }
}

/// Refusal of an attempt whose key is claimed by another attempt.
pub fn refuse_claimed(request: RequestId, claim: &KeyedClaim, other: &Claim) -> Refused {
    if !other.is_repeat_of(&claim.claim) {
        let detail = "the key was used with another request; this one was not run";
        return Refused::new(request, Code::KeyReused, detail);
    }
    let detail = "an earlier attempt with this key was sent and its outcome is not known here";
    Refused::new(request, Code::KeyInDoubt, detail)
}

fn log_routed(
    board: &Blackboard,
    accepted: &admission::Request,
    assignment: &Assignment,
    submitted: Time,
) {
    let waited = board.now().since(submitted);
    let grant = &assignment.grant;
    let runners_up: Vec<String> = grant
        .runners_up
        .iter()
        .map(|r| format!("{}:{}ms", r.endpoint, r.expected.as_millis()))
        .collect();
    let waited_us = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
    info!(board.log, "routed"; Event::Routed, "request" => %accepted.head.request,
        "service" => %accepted.service, "tier" => accepted.rank.get(),
        "organisation" => %accepted.head.organisation, "endpoint" => %grant.endpoint,
        "reason" => format!("{:?}", grant.reason), "runners_up" => runners_up.join(" "),
        "owner" => %assignment.owner, "queue_us" => waited_us);
    board.metrics.time("queue", waited);
}

enum Failure {
    /// No connection was made; the request may be dispatched again.
    Unsent(Ticket<Waiting>),
    /// The request has ended.
    Refused(Refused),
}

impl Running {
    fn new(
        board: &Arc<Blackboard>,
        client: &Client,
        accepted: &admission::Request,
        assignment: Assignment,
        ticket: Ticket<Dispatched>,
        claim: Option<KeyedClaim>,
    ) -> Self {
        let last_token = ticket.dispatched_at();
        Self {
            board: Arc::clone(board),
            client: client.clone(),
            accepted: accepted.clone(),
            assignment,
            claim,
            ticket: Some(ticket),
            response_start: None,
            last_token,
            tokens: 0,
        }
    }

    /// Sends the request and waits for the head of the response.
    async fn deliver(mut self, call: &Call) -> Result<(ClientResponse, Self), Failure> {
        let sending = self.client.send(self.assignment.address, call);
        let sent = tokio::select! {
            sent = sending => Some(sent),
            () = tokio::time::sleep(self.remaining()) => None,
            () = self.board.shutdown_deadline() => return Err(Failure::Refused(self.shut_down())),
        };
        match sent {
            Some(Ok(response)) => Ok((response, self)),
            Some(Err(Error::Unsent(reason))) => Err(Failure::Unsent(self.unsent(&reason))),
            Some(Err(Error::Lost(reason))) => {
                Err(Failure::Refused(self.interrupted(&reason).await))
            }
            None => Err(Failure::Refused(self.timed_out())),
        }
    }

    /// Time that remains until the deadline.
    pub fn remaining(&self) -> Duration {
        self.accepted.head.deadline.since(self.board.now())
    }

    /// Takes back the ticket of a request whose connection could not be made.
    fn unsent(mut self, reason: &str) -> Ticket<Waiting> {
        info!(self.board.log, "cannot connect to endpoint"; Event::Requeued,
            "request" => %self.accepted.head.request, "reason" => reason.to_owned(),
            "endpoint" => %self.assignment.grant.endpoint);
        self.return_permit(Outcome::Unreachable);
        let ticket = self.ticket.take().expect("a running request has its ticket");
        ticket.revert(Unsent::no_connection())
    }

    /// Records a token of the response.
    pub fn record_token(&mut self) {
        self.tokens += 1;
        self.last_token = self.board.now();
        self.assignment.progress.record_token(self.last_token);
        self.record_start();
    }

    /// Records that the response has started.
    pub fn record_start(&mut self) {
        if self.response_start.is_none() {
            let now = self.board.now();
            self.response_start = Some(now);
            let sent = self.ticket.as_ref().map_or(now, Ticket::dispatched_at);
            self.board.dispatcher.record_first_token(
                &self.board,
                &self.assignment,
                now.since(sent),
            );
        }
    }

    fn return_permit(&self, outcome: Outcome) {
        self.board.dispatcher.release(&self.board, &self.assignment, outcome);
    }

    /// Mean gap between the tokens of the response, in microseconds.
    fn gap_us(&self) -> u32 {
        let first = self.response_start.unwrap_or(self.last_token);
        match self.tokens {
            0 | 1 => 0,
            tokens => {
                let micros = self.last_token.since(first).as_micros() / u128::from(tokens - 1);
                u32::try_from(micros).unwrap_or(u32::MAX)
            }
        }
    }

    /// Ends a request whose response is complete.
    pub fn complete(mut self) {
        let output = Tokens(self.tokens);
        self.return_permit(Outcome::Completed { output, gap_us: self.gap_us() });
        if self.tokens > 0 {
            self.board.estimator.observe(&self.accepted.service, self.accepted.rank, output);
        }
        if self.accepted.suspect {
            facts::clear(&self.board, self.accepted.identity);
        }
        self.log_end("whole");
        self.board.counters.whole.fetch_add(1, Ordering::Relaxed);
        if let Some(ticket) = self.ticket.take() {
            ticket.complete();
        }
    }

    /// Stores the response to a non-idempotent request for repeated calls.
    pub fn store_response(&self, response: Response) {
        if let Some(claim) = &self.claim {
            let finish = ClaimCall::Finish(claim.key.clone(), claim.claim.clone(), response);
            let _ = self.board.claims.try_send(finish);
        }
    }

    fn log_end(&self, outcome: &str) {
        let sent = self.ticket.as_ref().map_or(self.last_token, Ticket::dispatched_at);
        let first = self
            .response_start
            .map_or(0, |first| u64::try_from(first.since(sent).as_micros()).unwrap_or(u64::MAX));
        info!(self.board.log, "answered"; Event::Answered, "outcome" => outcome.to_owned(),
            "request" => %self.accepted.head.request, "first_token_us" => first,
            "tokens" => self.tokens, "endpoint" => %self.assignment.grant.endpoint);
    }

    /// Ends a request whose connection ended early. If the endpoint is down, the request gets a
    /// strike.
    pub async fn interrupted(mut self, reason: &str) -> Refused {
        info!(self.board.log, "connection to endpoint ended early"; Event::Cut,
            "request" => %self.accepted.head.request,
            "endpoint" => %self.assignment.grant.endpoint, "reason" => reason.to_owned());
        self.return_permit(Outcome::Interrupted);
        self.board.counters.cut.fetch_add(1, Ordering::Relaxed);
        // The response waits until the strike has had time to reach every gateway.
        if self.is_endpoint_down().await {
            facts::strike(&self.board, self.accepted.identity);
            tokio::time::sleep(STRIKE_PROPAGATION_TIME).await;
        }
        self.fail(
            Code::AnswerCut,
            "the connection to the endpoint ended before the answer was whole",
        )
    }

    /// Whether the endpoint refuses connections, by a series of probes.
    async fn is_endpoint_down(&self) -> bool {
        for delay in PROBE_DELAYS {
            tokio::time::sleep(delay).await;
            if !self.client.accepts_connections(self.assignment.address).await {
                return true;
            }
        }
        false
    }

    /// Ends a request at its deadline and cancels it at its endpoint.
    pub fn timed_out(&mut self) -> Refused {
        self.abandon();
        self.fail(Code::EndpointTimeout, "no whole answer before the deadline")
    }

    /// Ends a request when the gateway's shutdown deadline has passed.
    pub fn shut_down(&mut self) -> Refused {
        self.abandon();
        self.fail(Code::ShutdownCut, "the gateway ended before the answer was whole")
    }

    /// Ends a request that the endpoint answered with an error status.
    pub fn endpoint_error(&mut self, status: u16, detail: &str) -> Refused {
        let busy = matches!(status, 429 | 503);
        self.return_permit(if busy { Outcome::Unreachable } else { Outcome::Cancelled });
        self.fail(Code::EndpointError, &format!("endpoint answered {status}: {detail}"))
    }

    fn fail(&mut self, code: Code, detail: &str) -> Refused {
        self.log_end("failed");
        let ticket = self.ticket.take().expect("a running request has its ticket");
        Refused::of(ticket.fail(code), detail)
    }

    /// Returns the permit and cancels the request at the endpoint.
    fn abandon(&self) {
        self.return_permit(Outcome::Cancelled);
        let client = self.client.clone();
        let address = self.assignment.address;
        let request = self.accepted.head.request;
        ntex::rt::spawn(async move { client.cancel(address, request).await });
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.ticket.is_some() {
            self.abandon();
            self.log_end("cancelled");
        }
    }
}

//! One request at one endpoint: grant, claim, dispatch, end.

use super::{admission::AcceptedRequest, reply::Refused};
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
};
use slog::info;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use store::claim::{Attempt, Claim, Key, Outcome as ClaimOutcome, Response};
use tokio::sync::oneshot;
use units::{AttemptToken, RequestId, Time, Tokens};

/// Grants that may end in a refused connection before the request is refused.
const MAX_UNSENT: u32 = 4;
/// Pauses before the probes of an endpoint to which a connection ended early. A process that
/// crashes may hold its sockets for a while, so the last ones come late.
const PROBES: [Duration; 6] = [
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
    Duration::from_millis(300),
    Duration::from_millis(400),
];
/// Time for a strike to reach every gateway before the caller can send the request again.
const STRIKE_LEAD: Duration = Duration::from_millis(100);

/// Claim of a non-idempotent request.
#[derive(Debug, Clone)]
pub struct Guard {
    /// Name.
    pub key: Key,
    /// Value, with the attempt's token.
    pub claim: Claim,
}

impl Guard {
    /// Claim for one attempt.
    pub fn new(key: Key, accepted: &AcceptedRequest) -> Self {
        let token = AttemptToken::new(rand::rng().random());
        Self { key, claim: Claim { token, fingerprint: accepted.fingerprint, response: None } }
    }
}

/// Withdraws a waiting request when its caller goes away.
struct Registered<'a> {
    board: &'a Blackboard,
    request: RequestId,
}

impl Drop for Registered<'_> {
    fn drop(&mut self) {
        self.board.dispatcher.withdraw(self.board, self.request);
    }
}

/// Grant that is not used yet; it is handed back when its request goes away.
struct Granted {
    board: Arc<Blackboard>,
    assignment: Option<Assignment>,
}

impl Granted {
    fn new(board: &Arc<Blackboard>, assignment: Assignment) -> Self {
        Self { board: Arc::clone(board), assignment: Some(assignment) }
    }

    fn take(mut self) -> Assignment {
        self.assignment.take().expect("a grant is taken once")
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        if let Some(assignment) = self.assignment.take() {
            self.board.dispatcher.ended(&self.board, &assignment, Outcome::Returned);
        }
    }
}

/// Request that was sent; dropping it cancels the request at its endpoint.
#[derive(Debug)]
pub struct Running {
    /// Blackboard.
    pub board: Arc<Blackboard>,
    /// Client of endpoints.
    pub client: Client,
    /// Request.
    pub accepted: AcceptedRequest,
    /// Where it runs.
    pub assignment: Assignment,
    /// Claim, when the request is non-idempotent.
    pub guard: Option<Guard>,
    ticket: Option<Ticket<Dispatched>>,
    first: Option<Time>,
    last: Time,
    tokens: u64,
}

/// Waits for a grant, claims if need be, and sends; connections that were never made are retried.
pub async fn send(
    board: &Arc<Blackboard>,
    client: &Client,
    accepted: AcceptedRequest,
    bid: Job,
    call: &Call,
    guard: Option<Guard>,
) -> Result<(ClientResponse, Running), Refused> {
    let mut ticket = Ticket::new(accepted.head.request, accepted.head.arrived);
    let mut claimed = false;
    let mut unsent = 0;
    loop {
        let submitted = board.now();
        let granted = match wait(board, &accepted, bid.clone()).await {
            Ok(assignment) => Granted::new(board, assignment),
            Err(code) => return Err(give_up(board, ticket, guard.filter(|_| claimed), code)),
        };
        if let Some(guard) = guard.as_ref().filter(|_| !claimed) {
            if let Err(refused) = claim(board, ticket.request(), guard).await {
                let _ = ticket.refuse(refused.refusal.code);
                return Err(refused);
            }
            claimed = true;
        }
        let assignment = granted.take();
        log_routed(board, &accepted, &assignment, submitted);
        let endpoint = assignment.grant.endpoint.clone();
        let sent = ticket.dispatch(endpoint, assignment.grant.permit, board.now());
        let running = Running::new(board, client, &accepted, assignment, sent, guard.clone());
        match running.deliver(call).await {
            Ok(answer) => return Ok(answer),
            Err(Failure::Refused(refused)) => return Err(refused),
            Err(Failure::Unsent(back)) => ticket = back,
        }
        unsent += 1;
        if unsent >= MAX_UNSENT {
            let guard = guard.filter(|_| claimed);
            return Err(give_up(board, ticket, guard, Code::Unreachable));
        }
    }
}

/// Ends a request that was never sent, and takes its claim back.
fn give_up(
    board: &Blackboard,
    ticket: Ticket<Waiting>,
    guard: Option<Guard>,
    code: Code,
) -> Refused {
    if let Some(guard) = guard {
        let release = ClaimCall::Release(guard.key, guard.claim.token);
        let _ = board.claims.try_send(release);
    }
    Refused::of(ticket.refuse(code), "the request was not sent to an endpoint")
}

async fn wait(
    board: &Arc<Blackboard>,
    accepted: &AcceptedRequest,
    bid: Job,
) -> Result<Assignment, Code> {
    let request = bid.request;
    let verdict = board.dispatcher.submit(board, &accepted.service, bid);
    let _registered = Registered { board, request };
    match verdict.await {
        Ok(Decision::Run(assignment)) => Ok(*assignment),
        Ok(Decision::Refuse(code)) => Err(code),
        Err(_) => Err(Code::Draining),
    }
}

/// Makes sure that this attempt alone may run.
async fn claim(board: &Blackboard, request: RequestId, guard: &Guard) -> Result<(), Refused> {
    let (reply, verdict) = oneshot::channel();
    let attempt = Attempt { key: guard.key.clone(), claim: guard.claim.clone() };
    let unavailable = || {
        let release = ClaimCall::Release(guard.key.clone(), guard.claim.token);
        let _ = board.claims.try_send(release);
        let detail = "this attempt was not run; an earlier one with the same key may have been";
        Refused::new(request, Code::ClaimUnavailable, detail)
    };
    if board.claims.send(ClaimCall::Insert(attempt, reply)).await.is_err() {
        return Err(unavailable());
    }
    match verdict.await {
        Ok(ClaimOutcome::Acquired) => Ok(()),
        Ok(ClaimOutcome::Held(other)) => Err(other_claim(request, guard, &other)),
        Ok(ClaimOutcome::Unavailable) | Err(_) => Err(unavailable()),
    }
}

/// Refusal of an attempt whose key another attempt holds.
pub fn other_claim(request: RequestId, guard: &Guard, other: &Claim) -> Refused {
    if other.fingerprint != guard.claim.fingerprint {
        let detail = "the key was used with another request; this one was not run";
        return Refused::new(request, Code::KeyReused, detail);
    }
    let detail = "an earlier attempt with this key was sent and its outcome is not known here";
    Refused::new(request, Code::KeyInDoubt, detail)
}

fn log_routed(
    board: &Blackboard,
    accepted: &AcceptedRequest,
    assignment: &Assignment,
    submitted: Time,
) {
    let waited = board.now().since(submitted);
    let grant = &assignment.grant;
    let runners: Vec<String> = grant
        .runners_up
        .iter()
        .map(|r| format!("{}:{}ms", r.endpoint, r.expected.as_millis()))
        .collect();
    let waited_us = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
    info!(board.log, "routed"; Event::Routed, "request" => %accepted.head.request,
        "service" => %accepted.service, "tier" => accepted.rank.get(),
        "organisation" => %accepted.head.organisation, "endpoint" => %grant.endpoint,
        "reason" => format!("{:?}", grant.reason), "runners_up" => runners.join(" "),
        "owner" => %assignment.owner, "queue_us" => waited_us);
    board.metrics.time("queue", waited);
}

enum Failure {
    Unsent(Ticket<Waiting>),
    Refused(Refused),
}

impl Running {
    fn new(
        board: &Arc<Blackboard>,
        client: &Client,
        accepted: &AcceptedRequest,
        assignment: Assignment,
        ticket: Ticket<Dispatched>,
        guard: Option<Guard>,
    ) -> Self {
        let last = ticket.dispatched_at();
        Self {
            board: Arc::clone(board),
            client: client.clone(),
            accepted: accepted.clone(),
            assignment,
            guard,
            ticket: Some(ticket),
            first: None,
            last,
            tokens: 0,
        }
    }

    /// Sends and waits for the head of the answer.
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
            Some(Err(Error::Lost(reason))) => Err(Failure::Refused(self.cut(&reason).await)),
            None => Err(Failure::Refused(self.timed_out())),
        }
    }

    /// Time that remains to the deadline.
    pub fn remaining(&self) -> Duration {
        self.accepted.head.deadline.since(self.board.now())
    }

    fn unsent(mut self, reason: &str) -> Ticket<Waiting> {
        info!(self.board.log, "no connection"; Event::Requeued,
            "request" => %self.accepted.head.request, "reason" => reason.to_owned(),
            "endpoint" => %self.assignment.grant.endpoint);
        self.report(Outcome::Unreachable);
        let ticket = self.ticket.take().expect("a running request has its ticket");
        ticket.revert(Unsent::no_connection())
    }

    /// Notes a token.
    pub fn token(&mut self) {
        self.tokens += 1;
        self.last = self.board.now();
        self.assignment.pace.record_token(self.last);
        self.begun();
    }

    /// Notes that the answer has begun.
    pub fn begun(&mut self) {
        if self.first.is_none() {
            let now = self.board.now();
            self.first = Some(now);
            let sent = self.ticket.as_ref().map_or(now, Ticket::dispatched_at);
            self.board.dispatcher.first_token(&self.board, &self.assignment, now.since(sent));
        }
    }

    fn report(&self, outcome: Outcome) {
        self.board.dispatcher.ended(&self.board, &self.assignment, outcome);
    }

    fn gap_us(&self) -> u32 {
        let first = self.first.unwrap_or(self.last);
        match self.tokens {
            0 | 1 => 0,
            tokens => {
                let micros = self.last.since(first).as_micros() / u128::from(tokens - 1);
                u32::try_from(micros).unwrap_or(u32::MAX)
            }
        }
    }

    /// Ends a request that was answered whole.
    pub fn complete(mut self) {
        let output = Tokens(self.tokens);
        self.report(Outcome::Completed { output, gap_us: self.gap_us() });
        if self.tokens > 0 {
            self.board.estimator.observe(&self.accepted.service, self.accepted.rank, output);
        }
        if self.accepted.suspect {
            facts::clear(&self.board, self.accepted.fingerprint);
        }
        self.log_end("whole");
        self.board.counters.whole.fetch_add(1, Ordering::Relaxed);
        if let Some(ticket) = self.ticket.take() {
            ticket.complete();
        }
    }

    /// Keeps the outcome of a non-idempotent request for repeated calls.
    pub fn keep(&self, answer: Response) {
        if let Some(guard) = &self.guard {
            let finish = ClaimCall::Finish(guard.key.clone(), guard.claim.clone(), answer);
            let _ = self.board.claims.try_send(finish);
        }
    }

    fn log_end(&self, outcome: &str) {
        let sent = self.ticket.as_ref().map_or(self.last, Ticket::dispatched_at);
        let first = self
            .first
            .map_or(0, |first| u64::try_from(first.since(sent).as_micros()).unwrap_or(u64::MAX));
        info!(self.board.log, "answered"; Event::Answered, "outcome" => outcome.to_owned(),
            "request" => %self.accepted.head.request, "first_token_us" => first,
            "tokens" => self.tokens, "endpoint" => %self.assignment.grant.endpoint);
    }

    /// Ends a request whose connection ended early; an endpoint that is down earns it a strike.
    pub async fn cut(mut self, reason: &str) -> Refused {
        info!(self.board.log, "cut"; Event::Cut, "request" => %self.accepted.head.request,
            "endpoint" => %self.assignment.grant.endpoint, "reason" => reason.to_owned());
        self.report(Outcome::Interrupted);
        self.board.counters.cut.fetch_add(1, Ordering::Relaxed);
        // The caller is told after the strike had time to reach every gateway.
        if self.is_down().await {
            facts::strike(&self.board, self.accepted.fingerprint);
            tokio::time::sleep(STRIKE_LEAD).await;
        }
        self.fail(
            Code::AnswerCut,
            "the connection to the endpoint ended before the answer was whole",
        )
    }

    /// Whether the endpoint refuses connections now.
    async fn is_down(&self) -> bool {
        for pause in PROBES {
            tokio::time::sleep(pause).await;
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

    /// Ends a request at the gateway's own shutdown deadline.
    pub fn shut_down(&mut self) -> Refused {
        self.abandon();
        self.fail(Code::ShutdownCut, "the gateway ended before the answer was whole")
    }

    /// Ends a request that the endpoint answered with an error.
    pub fn endpoint_error(&mut self, status: u16, detail: &str) -> Refused {
        let busy = matches!(status, 429 | 503);
        self.report(if busy { Outcome::Unreachable } else { Outcome::Cancelled });
        self.fail(Code::EndpointError, &format!("endpoint answered {status}: {detail}"))
    }

    fn fail(&mut self, code: Code, detail: &str) -> Refused {
        self.log_end("failed");
        let ticket = self.ticket.take().expect("a running request has its ticket");
        Refused::of(ticket.fail(code), detail)
    }

    /// Gives the permit back and cancels at the endpoint.
    fn abandon(&self) {
        self.report(Outcome::Cancelled);
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

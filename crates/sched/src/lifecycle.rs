//! Life cycle of an accepted request, as a typestate.
//!
//! `Waiting → Dispatched → Ended`. A request counts as dispatched once its
//! first byte may have left for an endpoint. [`Ticket::dispatch`] consumes the
//! waiting ticket, and only [`Unsent`], which the engine adapter builds when a
//! connection was refused, turns a dispatched ticket back. Tickets are neither
//! `Clone` nor `Copy`, so the right to dispatch exists once.

use codes::{Code, Executed};
use units::{EndpointId, Permit, RequestId, Time};

/// Request that waits for a grant.
#[derive(Debug)]
pub struct Waiting(());

/// Request whose bytes may have left.
#[derive(Debug)]
pub struct Dispatched {
    endpoint: EndpointId,
    permit: Permit,
    at: Time,
}

/// The only right to dispatch a request.
#[derive(Debug)]
#[must_use = "a dropped ticket loses its request in silence"]
pub struct Ticket<S> {
    request: RequestId,
    accepted: Time,
    state: S,
}

/// Proof that no byte of a request left: the connection was never made.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Proof made by an engine adapter when it could not connect.
    #[must_use]
    pub const fn no_connection() -> Self {
        Self(())
    }
}

/// End of a request without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Request that ended.
    pub request: RequestId,
    /// Result code, whose `executed` is truthful for the state it ended in.
    pub code: Code,
}

impl Ticket<Waiting> {
    /// Ticket of a request accepted at `accepted`.
    pub const fn new(request: RequestId, accepted: Time) -> Self {
        Self { request, accepted, state: Waiting(()) }
    }

    /// Consumes the right to dispatch.
    pub fn dispatch(self, endpoint: EndpointId, permit: Permit, at: Time) -> Ticket<Dispatched> {
        let state = Dispatched { endpoint, permit, at };
        Ticket { request: self.request, accepted: self.accepted, state }
    }

    /// Ends a request that was never sent.
    #[must_use]
    pub fn refuse(self, code: Code) -> Refusal {
        assert_ne!(code.executed(), Executed::Completed, "{code} on a waiting request");
        Refusal { request: self.request, code }
    }
}

impl Ticket<Dispatched> {
    /// Endpoint that the request was sent to.
    #[must_use]
    pub const fn endpoint(&self) -> &EndpointId {
        &self.state.endpoint
    }

    /// Permit that was used.
    #[must_use]
    pub const fn permit(&self) -> Permit {
        self.state.permit
    }

    /// When the request was sent.
    #[must_use]
    pub const fn dispatched_at(&self) -> Time {
        self.state.at
    }

    /// Turns the ticket back, given proof that no byte left.
    pub fn revert(self, _proof: Unsent) -> Ticket<Waiting> {
        Ticket { request: self.request, accepted: self.accepted, state: Waiting(()) }
    }

    /// Ends a request that was answered whole.
    pub fn complete(self) {}

    /// Ends a request whose outcome is not known.
    #[must_use]
    pub fn fail(self, code: Code) -> Refusal {
        assert_eq!(code.executed(), Executed::Unknown, "{code} on a dispatched request");
        Refusal { request: self.request, code }
    }
}

impl<S> Ticket<S> {
    /// Request that the ticket stands for.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        self.request
    }

    /// When the request was accepted.
    #[must_use]
    pub const fn accepted_at(&self) -> Time {
        self.accepted
    }
}

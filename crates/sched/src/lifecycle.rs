//! Lifecycle of an accepted request, as a typestate.
//!
//! `Waiting → Dispatched → Ended`. A request counts as dispatched once its
//! first byte may have left for an endpoint. [`Ticket::dispatch`] consumes the
//! waiting ticket. A dispatched ticket can be reverted only with [`Unsent`],
//! which the engine adapter creates when it could not connect. Tickets are
//! neither `Clone` nor `Copy`, so a request has a single right to dispatch.

use codes::{Code, Executed};
use units::{EndpointId, Permit, RequestId, Time};

/// State of a request that waits for a grant.
#[derive(Debug)]
pub struct Waiting(());

/// State of a request whose bytes may have left.
#[derive(Debug)]
pub struct Dispatched {
    endpoint: EndpointId,
    permit: Permit,
    at: Time,
}

/// Exclusive right to dispatch a request.
#[derive(Debug)]
#[must_use = "dropping a ticket silently loses its request"]
pub struct Ticket<S> {
    request: RequestId,
    accepted: Time,
    state: S,
}

/// Proof that no byte of a request left: no connection was established.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Proof of an engine adapter that could not connect.
    #[must_use]
    pub const fn no_connection() -> Self {
        Self(())
    }
}

/// End of a request without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Refused request.
    pub request: RequestId,
    /// Result code; its `executed` matches the state in which the request ended.
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

    /// Ends a request that was never dispatched.
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

    /// Permit in use.
    #[must_use]
    pub const fn permit(&self) -> Permit {
        self.state.permit
    }

    /// When the request was dispatched.
    #[must_use]
    pub const fn dispatched_at(&self) -> Time {
        self.state.at
    }

    /// Returns to the waiting state, given proof that no byte left.
    pub fn revert(self, _proof: Unsent) -> Ticket<Waiting> {
        Ticket { request: self.request, accepted: self.accepted, state: Waiting(()) }
    }

    /// Ends a request whose response is complete.
    pub fn complete(self) {}

    /// Ends a request whose outcome is unknown.
    #[must_use]
    pub fn fail(self, code: Code) -> Refusal {
        assert_eq!(code.executed(), Executed::Unknown, "{code} on a dispatched request");
        Refusal { request: self.request, code }
    }
}

impl<S> Ticket<S> {
    /// Request of this ticket.
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

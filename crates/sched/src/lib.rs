//! Scheduling decisions, free of I/O, clocks and sockets.
//!
//! A request waits in the gateway that accepted it, its *holder*. The endpoints
//! of one service in one region are split into *cells* with an average of at most
//! [`route::CELL_ENDPOINTS`] endpoints. Each cell is managed by one gateway, its
//! *owner*, which is chosen by rendezvous hashing over the live members, so no
//! consensus protocol is needed. The holder registers a [`Job`] with the owners of one or
//! two cells. An owner issues grants by tier, then fair share, then deadline,
//! within a concurrency window that it adapts for each endpoint. The holder uses
//! the first grant and returns all others.
//!
//! [`backlog`], [`fleet`], [`quota`] and [`budget`] serve nodes that have no
//! owners: each node decides alone, from its own state and its peers' digests.
//!
//! Invariants:
//! * Only the holder can dispatch a request, and dispatching consumes its
//!   [`lifecycle::Ticket`]. A second owner, during a network partition or after
//!   a takeover, can overfill a window but cannot dispatch a request twice.
//! * An owner sheds from the lowest tier that has a request waiting (asserted).
//! * An endpoint that is leaving gets no grants (asserted), and a straggler gets
//!   none while its window is closed.
//!
//! The current time and random numbers are passed as arguments.

pub mod backlog;
pub mod budget;
pub mod capacity;
pub mod cell;
pub mod fair;
pub mod fleet;
pub mod holder;
pub mod job;
pub mod lifecycle;
pub mod placement;
pub mod policy;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod rollout;
pub mod route;
pub mod straggler;
pub mod strike;
pub mod window;

pub use self::{
    cell::Cell,
    holder::Holder,
    job::{Grant, Job, Outcome, Reason, Shed},
    route::CellId,
};

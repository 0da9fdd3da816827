//! Scheduling decisions, free of I/O, clocks and sockets.
//!
//! A request waits in the gateway that accepted it, its *holder*. Endpoints
//! are grouped into *cells*: the endpoints of one service in one region, in
//! groups of at most [`route::CELL_ENDPOINTS`]. Each cell is kept by one
//! gateway, its *owner*, found by rendezvous hashing over the live members, so
//! that no agreement is needed. The holder registers a short [`Job`] with the
//! owners of one or two cells; an owner grants by tier, then fair turn, then
//! deadline, within small windows that it learns for each endpoint. The first
//! grant is used, every other one is handed back.
//!
//! Invariants, asserted in this code:
//! * Only the holder can dispatch, and a dispatch consumes its
//!   [`lifecycle::Ticket`]; a second owner, in a split or after a takeover, can
//!   only fill a window twice, never dispatch a request twice.
//! * An owner sheds from the lowest tier that has a request waiting.
//! * An endpoint that is leaving or that straggles is granted nothing.
//!
//! Time and random numbers come in as arguments.

pub mod backlog;
pub mod budget;
pub mod cell;
pub mod fair;
pub mod fleet;
pub mod holder;
pub mod job;
pub mod lifecycle;
pub mod placement;
pub mod policy;
pub mod prefix;
pub mod quota;
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

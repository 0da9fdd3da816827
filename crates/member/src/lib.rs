//! Membership of the gateways and flooding of facts, free of I/O and clocks.
//!
//! Members stand on a hash ring. Each sends heartbeats to its *fingers*, the
//! members 1, 2, 4, … places further on, and watches the members 1, 2, 4, …
//! places before it. With n members that is about log2 n connections and
//! heartbeats a period in each direction, whatever n is. News (a member that
//! joined, is suspected, died or left; a fact) is forwarded once along the
//! fingers, so it reaches everybody in at most log2 n hops over many disjoint
//! paths. Heartbeats carry a digest of the roster; two members whose digests
//! differ exchange their rosters, which repairs whatever a loss or a split
//! left behind.
//!
//! Invariants:
//! * A member's own record is changed only by itself: it answers a suspicion
//!   with a higher incarnation.
//! * Records are ordered by incarnation, then state, so every order of
//!   delivery gives the same roster.
//! * A member that was itself paused does not suspect the others for it.

pub mod fact;
pub mod message;
pub mod ring;
pub mod roster;

pub use self::{
    fact::{Fact, Source},
    message::{Message, Record, State},
    roster::{Change, Config, Output, Roster},
};

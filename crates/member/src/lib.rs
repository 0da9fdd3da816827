//! Gateway membership and flooding of facts, free of I/O and clocks.
//!
//! Members are ordered on a hash ring. Each sends heartbeats to its *fingers*,
//! the members 1, 2, 4, … positions after it, and monitors the members 1, 2,
//! 4, … positions before it. With n members this takes about log2 n
//! connections, and log2 n heartbeats per interval in each direction. Updates
//! (a member that joined, is suspected, died or left; a fact) are forwarded
//! once along the fingers, so they reach every member in at most log2 n hops
//! over many disjoint paths. Heartbeats carry a digest of the sender's roster.
//! Two members whose digests differ exchange full rosters, which repairs
//! divergence after lost messages or a network partition.
//!
//! Invariants:
//! * A roster's record of its own member is changed only by that member, which
//!   refutes a suspicion with a higher incarnation.
//! * Records are ordered by incarnation, then by state, so the roster does not
//!   depend on the order of delivery.
//! * A member that detects a pause of its own process does not suspect others
//!   because of it.

pub mod fact;
pub mod message;
pub mod ring;
pub mod roster;

pub use self::{
    fact::{Fact, Source},
    message::{Message, Record, State},
    roster::{Change, Config, Output, Roster},
};

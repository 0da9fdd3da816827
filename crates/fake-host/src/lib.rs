//! Stand-ins for the users' platform: its store, its workers and its callers.
//!
//! Everything listens on a loopback address of its own, so that many of them
//! run side by side. Faults are switched at run time through the handles.
//!
//! * [`store`]: rows, their feed, transactions; outages, lost answers, lost history.
//! * [`worker`]: plain and streamed answers with receipts; crashes, lost,
//!   rejected and spoilt answers.
//! * [`node`]: a real process of the system, with its settings file.
//! * [`caller`]: requests, on connections of their own or on one that is kept.

pub mod caller;
pub mod node;
pub mod store;
pub mod testbed;
pub mod worker;

pub use self::{
    caller::{Connection, Request, Response},
    node::Node,
    store::Store,
    testbed::Testbed,
    worker::{Fault, Worker},
};

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU32, Ordering},
};

/// Addresses given out by this process.
static GIVEN: AtomicU32 = AtomicU32::new(0);

/// Loopback address that nothing else of this process uses, and hardly anything of another.
#[must_use]
pub fn unused_address() -> IpAddr {
    let given = GIVEN.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id().to_be_bytes();
    let last = u8::try_from(given % 250 + 2).unwrap_or(2);
    let third = process[3].wrapping_add(u8::try_from(given / 250).unwrap_or(0));
    IpAddr::V4(Ipv4Addr::new(127, 1 + process[2] % 250, third, last))
}

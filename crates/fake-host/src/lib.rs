//! Stand-ins for the platform that relays run on: its store, workers and callers.
//!
//! Every stand-in listens on its own loopback address, so that many run side
//! by side. Faults are injected at run time through the handles.
//!
//! * [`store`]: rows, change feed and transactions; outages, dropped responses,
//!   lost history, return from a copy; orders of rollouts and their status.
//! * [`worker`]: plain and streamed responses with receipts; crashes, rejected
//!   requests, pauses in reading, and dropped, truncated, repeated or unsigned
//!   responses; versions with defects.
//! * [`node`]: a relay process with its settings file.
//! * [`caller`]: requests, on a new or a kept connection.
//! * [`testbed`]: a store, workers and a configuration, ready for nodes.

pub mod caller;
pub mod node;
pub mod store;
pub mod testbed;
pub mod worker;

pub use self::{
    caller::{Connection, Request, Response},
    node::{Limits, Node},
    store::Store,
    testbed::Testbed,
    worker::{Defect, Fault, Worker},
};

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU32, Ordering},
};

/// Number of addresses handed out by this process.
static ADDRESS_COUNT: AtomicU32 = AtomicU32::new(0);

/// Loopback address that no other part of this process uses. It is derived from the process id, so
/// that other processes rarely use it.
#[must_use]
pub fn unused_address() -> IpAddr {
    let number = ADDRESS_COUNT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id().to_be_bytes();
    let last = u8::try_from(number % 250 + 2).unwrap_or(2);
    let third = process[3].wrapping_add(u8::try_from(number / 250).unwrap_or(0));
    IpAddr::V4(Ipv4Addr::new(127, 1 + process[2] % 250, third, last))
}

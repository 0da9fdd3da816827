//! Loopback addresses of the processes and stand-ins of a case.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU8, Ordering},
};

/// Number of addresses handed out by this process.
static ADDRESS_COUNT: AtomicU8 = AtomicU8::new(0);

/// Loopback address that no other part of this process uses. It is derived from the process id, so
/// that other processes rarely use it.
#[must_use]
pub fn unused_address() -> IpAddr {
    let number = ADDRESS_COUNT.fetch_add(1, Ordering::Relaxed) % 250;
    let process = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 1 + process[2] % 250, process[3], 2 + number))
}

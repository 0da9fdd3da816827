//! State of a TCP connection in the kernel.

use super::acknowledgement::State;
use std::{
    io::{Error, Result},
    mem::{size_of, zeroed},
    os::fd::AsRawFd,
    time::Duration,
};
use tokio::net::TcpStream;

/// Reads the state of a connection.
///
/// # Errors
/// The kernel does not give it.
#[allow(unsafe_code, reason = "no safe library reads TCP_INFO")]
pub fn read(stream: &TcpStream) -> Result<State> {
    // SAFETY: the structure consists of integers, for which zero is valid.
    let mut info: libc::tcp_info = unsafe { zeroed() };
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).unwrap_or_default();
    // SAFETY: the stream keeps the descriptor open, and the kernel writes at most `length` bytes.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(Error::last_os_error());
    }
    Ok(State {
        unacknowledged: info.tcpi_unacked,
        unsent: info.tcpi_notsent_bytes,
        acknowledged: info.tcpi_bytes_acked,
        last_received: Duration::from_millis(info.tcpi_last_ack_recv.into()),
        unanswered_probes: info.tcpi_probes,
    })
}

//! Frames that gateways exchange, and their encoding.
//!
//! A frame is a postcard value behind a length of four bytes, little endian.
//! Frames of one connection keep their order; nothing relies on the order of
//! frames of different connections. Times on the wire are spans, never
//! readings of a clock: a [`Job`]'s deadline travels as what remains of it.

use postcard::Error;
use sched::{
    CellId,
    job::{Grant, Job, Outcome, Shed},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use units::{EndpointId, InstanceId, Permit, RequestId, Time, Version};

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of the length before each frame.
pub const HEADER_BYTES: usize = 4;

/// Bid with the time that remains to its deadline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimedBid {
    bid: Job,
    remaining: Duration,
}

impl TimedBid {
    /// Bid as it is sent at `now`.
    #[must_use]
    pub fn new(bid: Job, now: Time) -> Self {
        let remaining = bid.deadline.since(now);
        Self { bid: Job { deadline: Time::ZERO, ..bid }, remaining }
    }

    /// Bid on the receiver's clock.
    #[must_use]
    pub fn into_bid(self, now: Time) -> Job {
        Job { deadline: now + self.remaining, ..self.bid }
    }
}

/// Permit in use, as its holder reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Permit.
    pub permit: Permit,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Descriptor; left out when the owner issued the permit itself.
    pub bid: Option<TimedBid>,
}

/// Demand for a cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Time that the waiting work takes.
    pub backlog: Duration,
    /// Permits in use.
    pub in_use: u32,
    /// Requests that the windows allow.
    pub room: u32,
}

/// One message between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a connection: who speaks.
    Hello(InstanceId),
    /// Membership.
    Member(member::Message),
    /// Facts, forwarded once.
    Facts(Box<[member::Fact]>),
    /// Holder to owner: a request waits.
    Register(CellId, TimedBid),
    /// Holder to owner: it waits no more.
    Cancel(CellId, RequestId),
    /// Holder to owner: first token after this time.
    FirstToken(CellId, Permit, Duration),
    /// Holder to owner: running answers are this many times slower than usual, in hundredths.
    Slowed(CellId, EndpointId, u32),
    /// Holder to owner: permit not in use any more.
    Ended(CellId, Permit, Outcome),
    /// Holder to owner: permits in use.
    Holding(CellId, Box<[Held]>),
    /// Owner to holder: right to send.
    Grant(CellId, Grant),
    /// Owner to holder: refusal.
    Shed(CellId, Shed),
    /// Owner to holder: a repeated registration is known.
    Queued(CellId),
    /// Owner to the gateway that plans placement: demand for a cell.
    Demand(CellId, Demand),
    /// Asks for the publication in force if it is newer.
    WantPublication(Version),
    /// Publication in force, as its digest and bytes.
    Publication(guild_bytes::Document),
}

pub mod guild_bytes {
    //! Publication as it travels: bytes that their digest vouches for.

    use serde::{Deserialize, Serialize};

    /// Encoded publication.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub struct Document {
        /// SHA-256 in hexadecimal.
        pub digest: Box<str>,
        /// Bytes.
        pub bytes: Box<[u8]>,
    }
}

/// Appends a frame with its length to `out`.
///
/// # Errors
/// The encoder's error.
pub fn encode(frame: &Frame, out: &mut Vec<u8>) -> Result<(), Error> {
    let start = out.len();
    out.extend_from_slice(&[0; HEADER_BYTES]);
    let body = postcard::to_stdvec(frame)?;
    out.extend_from_slice(&body);
    let length = u32::try_from(body.len()).map_err(|_| Error::SerializeBufferFull)?;
    out[start..start + HEADER_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Frame from the bytes behind its length.
///
/// # Errors
/// Bytes that are not a frame.
pub fn decode(body: &[u8]) -> Result<Frame, Error> {
    postcard::from_bytes(body)
}

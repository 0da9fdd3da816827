//! Frames that gateways exchange, and their encoding.
//!
//! A frame is a postcard value behind a 4-byte little-endian length. Frames on
//! one connection arrive in order; nothing relies on the order of frames on
//! different connections. Times on the wire are durations, never clock
//! readings: a job's deadline is sent as the time that remains until it.

use postcard::Error;
use sched::{
    CellId,
    job::{Grant, Job, Outcome, Shed},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use units::{EndpointId, InstanceId, Permit, RequestId, Time, Version};

/// Maximum size of a frame's body, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Size of the length prefix of each frame, in bytes.
pub const HEADER_BYTES: usize = 4;

/// Job whose deadline is given as the time that remains until it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimedJob {
    job: Job,
    remaining: Duration,
}

impl TimedJob {
    /// Converts a job for sending at `now` on the sender's clock.
    #[must_use]
    pub fn new(job: Job, now: Time) -> Self {
        let remaining = job.deadline.since(now);
        Self { job: Job { deadline: Time::ZERO, ..job }, remaining }
    }

    /// Restores the job's deadline at `now` on the receiver's clock.
    #[must_use]
    pub fn into_job(self, now: Time) -> Job {
        Job { deadline: now + self.remaining, ..self.job }
    }
}

/// Permit in use, as its holder reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// Permit.
    pub permit: Permit,
    /// Endpoint that the permit is for.
    pub endpoint: EndpointId,
    /// Job that uses the permit; omitted when the receiver issued the permit itself.
    pub job: Option<TimedJob>,
}

/// Demand for a cell, as its owner reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Estimated time to process the waiting work.
    pub backlog: Duration,
    /// Permits in use.
    pub in_use: u32,
    /// Sum of the windows of the endpoints that are not leaving, in requests.
    pub capacity: u32,
}

/// One message between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a stream: the sender.
    Hello(InstanceId),
    /// Membership message.
    Member(member::Message),
    /// Facts; the receiver forwards those that it did not know.
    Facts(Box<[member::Fact]>),
    /// Holder to owner: registers a waiting request.
    Register(CellId, TimedJob),
    /// Holder to owner: withdraws a registration.
    Cancel(CellId, RequestId),
    /// Holder to owner: time from dispatch to the first token.
    FirstToken(CellId, Permit, Duration),
    /// Holder to owner: slowdown of an endpoint's streams, as the ratio of their token gap to the
    /// usual one, in hundredths.
    Slowed(CellId, EndpointId, u32),
    /// Holder to owner: returns a permit.
    Ended(CellId, Permit, Outcome),
    /// Holder to owner: permits in use.
    Holding(CellId, Box<[Holding]>),
    /// Owner to holder: permission to dispatch a request.
    Grant(CellId, Grant),
    /// Owner to holder: rejects a registered request.
    Shed(CellId, Shed),
    /// Owner to holder: acknowledges a repeated registration.
    Queued(CellId),
    /// Owner to the gateway that plans placement: demand for a cell.
    Demand(CellId, Demand),
    /// Requests the publication in force if it is newer than this version.
    WantPublication(Version),
    /// Publication in force.
    Publication(publication::Document),
}

pub mod publication {
    //! Publications as gateways forward them: encoded bytes with their digest.

    use serde::{Deserialize, Serialize};

    /// Encoded publication.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub struct Document {
        /// SHA-256 of the bytes, in hexadecimal.
        pub digest: Box<str>,
        /// Encoded publication.
        pub bytes: Box<[u8]>,
    }
}

/// Appends a frame with its length prefix to `out`.
///
/// # Errors
/// The serializer's error, or a body whose length does not fit the prefix.
pub fn encode(frame: &Frame, out: &mut Vec<u8>) -> Result<(), Error> {
    let start = out.len();
    out.extend_from_slice(&[0; HEADER_BYTES]);
    let body = postcard::to_stdvec(frame)?;
    out.extend_from_slice(&body);
    let length = u32::try_from(body.len()).map_err(|_| Error::SerializeBufferFull)?;
    out[start..start + HEADER_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Decodes a frame from the bytes after its length prefix.
///
/// # Errors
/// Bytes that do not encode a frame.
pub fn decode(body: &[u8]) -> Result<Frame, Error> {
    postcard::from_bytes(body)
}

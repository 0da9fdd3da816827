//! Splits a byte stream into complete events.
//!
//! An event ends with an empty line and has its number in an `id` line. The
//! numbers of a stream are consecutive; anything else means that data is
//! missing or corrupt, and nothing from there on is forwarded.

use bytes::{Bytes, BytesMut};

/// Largest incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error that makes a stream unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event does not follow its predecessor.
    #[error("event {found} after event {last}")]
    Gap {
        /// Last valid event.
        last: u64,
        /// Event received instead of the next one.
        found: u64,
    },
    /// An event has no number.
    #[error("event without a number")]
    Unnumbered,
    /// An incomplete event exceeds the limit.
    #[error("event larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The stream ended within an event.
    #[error("stream ends within an event")]
    Truncated,
}

/// Decoder for the events of one stream.
#[derive(Debug, Default)]
pub struct Decoder {
    partial: BytesMut,
    last: Option<u64>,
}

/// Complete events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Events as received.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u32,
}

impl Decoder {
    /// Decoder of a stream that continues after event `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last }
    }

    /// Last valid event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Drops a partially received event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Decodes the events that `piece` completes.
    ///
    /// # Errors
    /// [`Error`]; valid events before it in the same piece are not returned, although
    /// [`Decoder::last`] counts them.
    pub fn push(&mut self, piece: Bytes) -> Result<Batch, Error> {
        let joined = if self.partial.is_empty() {
            piece
        } else {
            self.partial.extend_from_slice(&piece);
            self.partial.split().freeze()
        };
        let mut end = 0;
        let mut count = 0;
        while let Some(length) = event_length(&joined[end..]) {
            self.check_number(&joined[end..end + length])?;
            end += length;
            count += 1;
        }
        let rest = &joined[end..];
        if rest.len() > MAX_EVENT_BYTES {
            return Err(Error::TooLarge);
        }
        self.partial.extend_from_slice(rest);
        Ok(Batch { bytes: joined.slice(..end), count })
    }

    /// Checks that the stream did not end within an event.
    ///
    /// # Errors
    /// [`Error::Truncated`].
    pub fn finish(&self) -> Result<(), Error> {
        if self.partial.is_empty() { Ok(()) } else { Err(Error::Truncated) }
    }

    fn check_number(&mut self, event: &[u8]) -> Result<(), Error> {
        let found = number(event).ok_or(Error::Unnumbered)?;
        if let Some(last) = self.last
            && found != last + 1
        {
            return Err(Error::Gap { last, found });
        }
        self.last = Some(found);
        Ok(())
    }
}

/// Length of the first complete event.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + found + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn number(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

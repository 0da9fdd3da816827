//! Splits a byte stream into complete events.
//!
//! An event ends with an empty line and has its number in an `id` line. The
//! numbers of a stream are consecutive; anything else means that data is
//! missing or corrupt, and nothing from there on is forwarded.

use bytes::{Bytes, BytesMut};

/// Largest incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

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
    /// Error after the last event that was returned.
    error: Option<Error>,
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
        Self { last, ..Self::default() }
    }

    /// Last valid event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Drops a partially received event and an error after the last valid one.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.error = None;
    }

    /// Error after the events that were returned; nothing more can be decoded.
    #[must_use]
    pub fn error(&self) -> Option<Error> {
        self.error
    }

    /// Decodes the events that `piece` completes. If valid events precede an error in the same
    /// piece, they are returned, and [`Decoder::error`] and the next call return the error.
    ///
    /// # Errors
    /// [`Error`].
    pub fn push(&mut self, piece: Bytes) -> Result<Batch, Error> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let joined = if self.partial.is_empty() {
            piece
        } else {
            self.partial.extend_from_slice(&piece);
            self.partial.split().freeze()
        };
        let mut end = 0;
        let mut count = 0;
        while let Some(length) = event_length(&joined[end..]) {
            if let Err(error) = self.check_number(&joined[end..end + length]) {
                if count == 0 {
                    return Err(error);
                }
                self.error = Some(error);
                return Ok(Batch { bytes: joined.slice(..end), count });
            }
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
        match self.error {
            Some(error) => Err(error),
            None if self.partial.is_empty() => Ok(()),
            None => Err(Error::Truncated),
        }
    }

    fn check_number(&mut self, event: &[u8]) -> Result<(), Error> {
        let found = number(event).ok_or(Error::Unnumbered)?;
        if let Some(last) = self.last
            && last.checked_add(1) != Some(found)
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

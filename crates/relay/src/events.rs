//! Whole events out of the pieces in which a stream arrives.
//!
//! An event ends with an empty line and names its number in an `id` line. The
//! numbers of a stream increase by one; anything else means that a piece is
//! missing or spoilt, and nothing from there on is passed on.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An event does not follow the one before.
    #[error("event {found} after event {last}")]
    Gap {
        /// Last event passed on.
        last: u64,
        /// Event that came instead of the next.
        found: u64,
    },
    /// An event without a number.
    #[error("event without a number")]
    Unnumbered,
    /// An event of unreasonable size.
    #[error("event larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// Bytes after the last whole event.
    #[error("stream ends within an event")]
    Truncated,
}

/// Events of one stream.
#[derive(Debug, Default)]
pub struct Decoder {
    partial: BytesMut,
    last: Option<u64>,
}

/// Events that became whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Their bytes as they came.
    pub bytes: Bytes,
    /// Their number.
    pub count: u32,
}

impl Decoder {
    /// Sequence that goes on after `last`.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last }
    }

    /// Last event that was passed on.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Drops the beginning of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Events completed by `piece`.
    ///
    /// # Errors
    /// [`Broken`], with the events before it lost to the caller of this function only if they
    /// came in the same piece.
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

    /// Checks that a stream that ended is whole.
    ///
    /// # Errors
    /// [`Broken::Torn`].
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

/// Length of the first whole event.
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

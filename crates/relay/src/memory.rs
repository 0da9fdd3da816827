//! Memory for bodies.
//!
//! A node of 88 MB serves hundreds of requests at the same time. Callers that
//! send large bodies, or an endpoint in trouble that sends bytes without end,
//! would otherwise exhaust its memory together although each body is within its
//! own limit.

use std::{cell::Cell, rc::Rc};

/// Bytes that all bodies together may use.
#[derive(Debug, Clone)]
pub struct Pool {
    free: Rc<Cell<u64>>,
}

impl Pool {
    /// Pool of `bytes`.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        Self { free: Rc::new(Cell::new(bytes)) }
    }

    /// Empty reservation.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation { pool: self.clone(), bytes: 0 }
    }

    /// Bytes that are not reserved.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.free.get()
    }
}

/// Bytes of one body, returned on drop.
#[derive(Debug)]
pub struct Reservation {
    pool: Pool,
    bytes: u64,
}

impl Reservation {
    /// Raises the reservation to `bytes`; false if the pool does not have them.
    pub fn raise(&mut self, bytes: usize) -> bool {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let more = bytes.saturating_sub(self.bytes);
        if more > self.pool.free.get() {
            return false;
        }
        self.pool.free.set(self.pool.free.get() - more);
        self.bytes += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.free.set(self.pool.free.get() + self.bytes);
    }
}

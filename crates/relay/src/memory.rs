//! Memory for what a node holds on behalf of callers and endpoints.
//!
//! A node of 88 MB serves hundreds of requests at the same time. Callers that
//! send large bodies or do not read their responses, and endpoints that send
//! without end, would otherwise exhaust its memory together although each body
//! is within its own limit.
//!
//! A reservation lives as long as the bytes that it is for, also while they wait
//! in the queue of a connection: [`Buffer::into_segments`] ties each part of a
//! response to its part of the reservation.
//!
//! Small reservations may use the whole pool; large ones leave a share of it, so
//! that ordinary requests are served while large responses wait for their
//! callers. One organisation cannot take it all.

use bytes::Bytes;
use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::sync::{Notify, futures::Notified};
use units::OrganisationId;

/// Reservations up to this size may use the share of the pool that is kept for them.
const SMALL_BYTES: u64 = 64 << 10;
/// Share of the pool that is kept for small reservations, as a divisor.
const SMALL_SHARE_DIVISOR: u64 = 8;
/// Share of the pool that one organisation's large reservations may use, as a divisor.
const ORGANISATION_DIVISOR: u64 = 2;
/// Memory that one request may need: a body of 4 MB and a response of 16 MB, in whole segments. An
/// organisation may use as much even if it is more than its share, so that a single request is
/// served by the smallest node.
const SINGLE_REQUEST_BYTES: u64 = (20 << 20) + 2 * SEGMENT_BYTES as u64;
/// Size of the parts in which a response is handed to its caller's connection.
const SEGMENT_BYTES: usize = 64 << 10;

#[derive(Debug)]
struct Shared {
    total: u64,
    free: AtomicU64,
    returned: Notify,
    /// Bytes that each organisation holds. The names are those of configurations, so that the number
    /// of entries is bounded.
    accounts: Mutex<HashMap<OrganisationId, Arc<AtomicU64>>>,
}

/// Bytes that all bodies together may use.
#[derive(Debug, Clone)]
pub struct Pool(Arc<Shared>);

impl Pool {
    /// Pool of `bytes`.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(Shared {
            total: bytes,
            free: AtomicU64::new(bytes),
            returned: Notify::new(),
            accounts: Mutex::default(),
        }))
    }

    /// Empty reservation.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        Reservation { pool: self.clone(), account: None, bytes: 0 }
    }

    /// Empty reservation for an organisation.
    #[must_use]
    pub fn reserve_for(&self, organisation: &OrganisationId) -> Reservation {
        let mut accounts = self.0.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        let account = Arc::clone(accounts.entry(organisation.clone()).or_default());
        Reservation { pool: self.clone(), account: Some(account), bytes: 0 }
    }

    /// Bytes that are not reserved.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.0.free.load(Ordering::Relaxed)
    }

    /// Bytes of the pool.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.total
    }

    /// Completes when bytes are returned after this call.
    pub fn returned(&self) -> Notified<'_> {
        self.0.returned.notified()
    }

    fn allows(&self, account: Option<&AtomicU64>, more: u64, is_small: bool) -> bool {
        let free = self.free();
        let kept = if is_small { 0 } else { self.0.total / SMALL_SHARE_DIVISOR };
        let limit = (self.0.total / ORGANISATION_DIVISOR).max(SINGLE_REQUEST_BYTES);
        let held = account.map_or(0, |account| account.load(Ordering::Relaxed));
        more.saturating_add(kept) <= free && held.saturating_add(more) <= limit
    }
}

/// Reserved bytes, returned on drop.
#[derive(Debug)]
pub struct Reservation {
    pool: Pool,
    account: Option<Arc<AtomicU64>>,
    bytes: u64,
}

impl Reservation {
    /// Raises the reservation to `bytes`; false if the pool does not have them.
    pub fn raise(&mut self, bytes: usize) -> bool {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 {
            if !self.pool.allows(self.account.as_deref(), more, bytes <= SMALL_BYTES) {
                return false;
            }
            self.pool.0.free.fetch_sub(more, Ordering::Relaxed);
            if let Some(account) = &self.account {
                account.fetch_add(more, Ordering::Relaxed);
            }
            self.bytes += more;
        }
        true
    }

    /// Moves up to `bytes` to another reservation.
    fn split(&mut self, bytes: usize) -> Self {
        let moved = u64::try_from(bytes).unwrap_or(u64::MAX).min(self.bytes);
        self.bytes -= moved;
        Self { pool: self.pool.clone(), account: self.account.clone(), bytes: moved }
    }

    /// Bytes that return their reservation when their last clone is dropped.
    #[must_use]
    pub fn attach(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(Held { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.pool.0.free.fetch_add(self.bytes, Ordering::Relaxed);
            if let Some(account) = &self.account {
                account.fetch_sub(self.bytes, Ordering::Relaxed);
            }
            self.pool.0.returned.notify_waiters();
        }
    }
}

/// Bytes and their reservation.
struct Held {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Response that is being read.
///
/// Bytes are copied from the buffers of their connection: a slice would keep the whole buffer, of
/// which it may be a small part.
#[derive(Debug)]
pub struct Buffer {
    reservation: Reservation,
    segments: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl Buffer {
    /// Empty buffer within a reservation.
    #[must_use]
    pub fn new(reservation: Reservation) -> Self {
        Self { reservation, segments: Vec::new(), length: 0, capacity: 0 }
    }

    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Reserves memory for `bytes` in total; false if the pool does not have it.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        self.reservation.raise(bytes)
    }

    /// Appends bytes; false, and nothing is appended, if the pool has no memory for them.
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        let room = self.segments.last().map_or(0, |last| SEGMENT_BYTES - last.len());
        let beyond = bytes.len().saturating_sub(room);
        // The last segment grows to its full size at most, and further ones have no spare room.
        let more = |last: &Vec<u8>| grown(last, bytes.len().min(room)) - last.capacity();
        let capacity = self.capacity + self.segments.last().map_or(0, more) + beyond;
        if !self.reservation.raise(capacity) {
            return false;
        }
        self.capacity = capacity;
        self.length += bytes.len();
        if let Some(last) = self.segments.last_mut() {
            let part = bytes.len().min(room);
            let target = grown(last, part);
            last.reserve_exact(target - last.len());
            last.extend_from_slice(&bytes[..part]);
            bytes = &bytes[part..];
        }
        self.segments.extend(bytes.chunks(SEGMENT_BYTES).map(<[u8]>::to_vec));
        true
    }

    /// Parts of the response, each with its part of the reservation.
    #[must_use]
    pub fn into_segments(mut self) -> VecDeque<Bytes> {
        let segments = std::mem::take(&mut self.segments);
        let attach = |segment: Vec<u8>| self.reservation.split(segment.capacity()).attach(segment);
        segments.into_iter().map(attach).collect()
    }
}

/// Capacity of a segment that is to hold `more` bytes.
fn grown(segment: &Vec<u8>, more: usize) -> usize {
    let (capacity, needed) = (segment.capacity(), segment.len() + more);
    if needed <= capacity { capacity } else { needed.max((2 * capacity).min(SEGMENT_BYTES)) }
}

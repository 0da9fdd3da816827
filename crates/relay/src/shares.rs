//! Shares of the process's memory and file descriptors.
//!
//! Callers open connections and send as they like. Each kind of connection and
//! all bodies together therefore have a share, and the shares together stay
//! below the limits of the machine. `docs/design/memory.md` has the table.

/// Fraction of the memory for bodies, as a divisor and a multiple of the divided memory. A node of 88
/// MB needs 20 MB for a single request with the largest body and response, and an eighth is kept for
/// small ones.
const BODY_MEMORY: (u64, u64) = (8, 3);
/// Fraction of the memory for callers' connections without bodies, as a divisor.
const CALLER_MEMORY_DIVISOR: u64 = 4;
/// The same for connections to endpoints.
const ENDPOINT_MEMORY_DIVISOR: u64 = 8;
/// Memory of a connection without bodies: task, buffers, socket. 200 idle connections took 3.5 MB in a
/// debug build.
const CONNECTION_BYTES: u64 = 16 << 10;
/// Memory of a node without connections: program, configuration, directory. A node with a small
/// configuration has 14 to 15 MB in a debug build.
const BASE_BYTES: u64 = 20_000_000;

/// Fraction of the descriptors for callers' connections, as a divisor.
const CALLER_DIVISOR: u32 = 2;
/// Fraction of the descriptors for connections to endpoints, as a divisor and a multiple.
const ENDPOINTS: (u32, u32) = (16, 5);
/// Fraction of the descriptors for documents that other nodes ask for, as a divisor.
const TRANSFER_DIVISOR: u32 = 16;
/// Fraction of the descriptors for the connections of one page, as a divisor.
const PAGE_DIVISOR: u32 = 64;
/// Largest number of connections of one page.
const MAX_PAGE_CONNECTIONS: u32 = 32;
/// Number of pages: readiness and metrics.
const PAGES: u32 = 2;
/// Descriptors of the process itself: listeners, the store, signals, standard streams.
const BASE_DESCRIPTORS: u32 = 24;

/// Shares of a process's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    memory: u64,
    descriptors: u32,
    /// Memory for bodies, in bytes.
    pub bodies: u64,
    /// Connections of callers.
    pub callers: u32,
    /// Connections to endpoints.
    pub endpoints: u32,
    /// Connections of nodes that ask for documents.
    pub transfers: u32,
    /// Connections of each page.
    pub page: u32,
}

impl Shares {
    /// Shares of a memory in bytes and a number of descriptors.
    #[must_use]
    pub fn new(memory: u64, descriptors: u32) -> Self {
        let by_memory =
            |divisor| u32::try_from(memory / divisor / CONNECTION_BYTES).unwrap_or(u32::MAX);
        let share = |(divisor, factor)| descriptors / divisor * factor;
        Self {
            memory,
            descriptors,
            bodies: memory / BODY_MEMORY.0 * BODY_MEMORY.1,
            callers: (descriptors / CALLER_DIVISOR).min(by_memory(CALLER_MEMORY_DIVISOR)).max(1),
            endpoints: share(ENDPOINTS).min(by_memory(ENDPOINT_MEMORY_DIVISOR)).max(1),
            transfers: (descriptors / TRANSFER_DIVISOR).max(1),
            page: (descriptors / PAGE_DIVISOR).clamp(1, MAX_PAGE_CONNECTIONS),
        }
    }

    /// Most memory that the shares add up to, in bytes.
    #[must_use]
    pub fn memory_sum(&self) -> u64 {
        let connections = u64::from(self.callers) + u64::from(self.endpoints);
        BASE_BYTES + self.bodies + connections * CONNECTION_BYTES
    }

    /// Most descriptors that the shares add up to.
    #[must_use]
    pub fn descriptor_sum(&self) -> u32 {
        let connections = self.callers + self.endpoints + self.transfers;
        BASE_DESCRIPTORS + connections + PAGES * self.page
    }

    /// Whether the shares add up to more than the memory.
    #[must_use]
    pub fn exceed_memory(&self) -> bool {
        self.memory_sum() > self.memory
    }

    /// Whether the shares add up to more than the descriptors.
    #[must_use]
    pub fn exceed_descriptors(&self) -> bool {
        self.descriptor_sum() > self.descriptors
    }
}

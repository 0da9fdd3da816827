//! Identifiers, sizes, rates and times shared by every crate.
//!
//! Each kind of value has a type of its own so that an endpoint cannot be
//! passed where an organisation is meant, nor bytes where tokens are. Text
//! identifiers are checked when they are parsed: one to 64 characters out of
//! ASCII letters, digits, `-`, `_`, `.` and `:`. Numbers carry their unit in
//! the type name and print it through `Display`.
//!
//! [`time::Time`] is a monotonic reading handed to decision code as an
//! argument; no decision reads a clock by itself.

mod hash;
mod id;
mod macros;
mod number;
pub mod time;

pub use self::{
    hash::{Fingerprint, PrefixHash, score},
    id::{
        AttemptToken, EndpointId, IdempotencyKey, InstanceId, OrganisationId, ParseError, RegionId,
        RequestId, ServiceId, TierId, ZoneId,
    },
    number::{Bytes, Permit, Rank, Tokens, TokensPerSecond, Version, Work},
    time::Time,
};

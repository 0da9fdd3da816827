//! Identifiers, sizes, rates and times shared by every crate.
//!
//! Each kind of value has its own type, so that an endpoint cannot be passed
//! where an organisation is expected, nor bytes where tokens are. Text
//! identifiers are validated when they are parsed: one to 64 characters from
//! ASCII letters, digits, `-`, `_`, `.` and `:`. Numbers have their unit in
//! the type name and print it through `Display`.
//!
//! [`time::Time`] is a monotonic timestamp that is passed to decision code as
//! an argument; no decision reads a clock itself.

mod hash;
mod id;
mod macros;
mod number;
mod rate;
pub mod time;

pub use self::{
    hash::{Fingerprint, PrefixHash, score},
    id::{
        AttemptToken, EndpointId, IdempotencyKey, InstanceId, OrganisationId, ParseError, RegionId,
        Release, RequestId, ServiceId, TierId, ZoneId,
    },
    number::{Bytes, Permit, Rank, Tokens, TokensPerSecond, Version, Work},
    rate::{InvalidRate, RequestRate},
    time::Time,
};

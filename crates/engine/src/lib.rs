//! Adapter for endpoints: model engines and plain services.
//!
//! This is the one crate that knows how endpoints are talked to. [`chat`]
//! reads what a caller asks for, [`sse`] splits streams into whole events,
//! [`merge`] builds a plain answer out of a stream, and [`client`] sends.
//!
//! [`client::Error`] says whether a byte may have left: only a connection that
//! was never made counts as unsent. The HTTP client reports a connection that
//! broke while it waited for the answer with the same error type as a refused
//! one; the distinction is made here, in one place.

pub mod chat;
pub mod client;
pub mod merge;
pub mod sse;

pub use self::client::{Client, Error};

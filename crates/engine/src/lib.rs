//! Adapter for endpoints: model engines and plain services.
//!
//! This is the only crate that knows the protocol of endpoints. [`chat`] parses
//! chat completion requests, [`sse`] decodes event streams, [`merge`] builds a
//! plain response from the chunks of a stream, and [`client`] sends requests.
//!
//! [`client::Error`] tells whether a byte of the request may have been sent:
//! only a connection that was never established counts as unsent. The HTTP
//! client reports a connection that broke while it waited for the response
//! with the same error type as a refused one; `client` tells them apart.

pub mod chat;
pub mod client;
pub mod merge;
pub mod sse;

pub use self::client::{Client, Error};

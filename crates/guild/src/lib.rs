//! Service files, their validation, and the publication that contains them.
//!
//! Each service has a short TOML file next to its code. `publish` combines
//! several files into one [`Publication`], which is stored in the object store
//! under its [`Digest`] and ordered by its version. A gateway applies a
//! publication only if its version is higher than the one in force, so a
//! message that arrives late never reverts the configuration.

mod digest;
pub mod neutral;
mod publication;
pub mod service;

pub use self::{
    digest::Digest,
    publication::{Head, Publication},
};

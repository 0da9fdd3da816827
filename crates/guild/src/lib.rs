//! Service files, their checks, and the publication that carries them.
//!
//! Each service has a short TOML file beside its code. `publish` collects many
//! files into one [`Publication`], whose [`Digest`] names it in the object
//! store and whose version orders it. A gateway takes a publication into force
//! only when its version is higher than the one in force, so a configuration
//! never reverts, whatever arrives late.

mod digest;
mod publication;
pub mod service;

pub use self::{
    digest::Digest,
    publication::{Head, Publication},
};

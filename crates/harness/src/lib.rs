//! Starts the real processes over loopback, for tests and measurements.
//!
//! Processes are children of the one that uses this crate, on ports that the
//! system gives, and end with the [`Cluster`] that started them. Signals are
//! sent by process id, to own children only.

mod build;
mod client;
mod cluster;
mod process;
pub mod request;

pub use self::{
    build::{Profile, binary},
    client::{Client, Response},
    cluster::{Cluster, Gateway, Topology},
    process::{Process, Signal},
};

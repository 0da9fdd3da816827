//! Starts real processes on loopback, for tests and benchmarks.
//!
//! The processes are children of the current one, listen on ports assigned by
//! the operating system, and are killed when the [`Cluster`] that started them
//! is dropped. Signals are sent by process id, to child processes only.

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

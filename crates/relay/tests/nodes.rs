//! Nodes that exchange messages over loopback, in one process.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod nodes {
    pub mod limits;
    pub mod permits;
    pub mod quarantine;
    pub mod support;
    pub mod transfer;
}

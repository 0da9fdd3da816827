//! Adapters for the platform's table, object store and directory.
//!
//! This is the only crate that knows the platform's interfaces. The table runs
//! transactions of conditions and writes. Its response can be lost after the
//! transaction took effect, so claims and publications carry an
//! [`units::AttemptToken`] by which the writer recognises its own row when it
//! reads it back. A write is retried only under conditions that fail if an
//! earlier attempt took effect.
//!
//! * [`table`]: conditional writes and reads of rows.
//! * [`objects`]: immutable objects named by their digest.
//! * [`directory`]: the platform's list of instances and endpoints, which lags.
//! * [`publish`]: publication of a new configuration.
//! * [`claim`]: rows that let a non-idempotent request run at most once.
//! * [`lease`]: leases with fencing numbers.

pub mod claim;
pub mod directory;
pub mod http;
pub mod lease;
pub mod objects;
pub mod publish;
pub mod table;

pub use self::{directory::Directory, objects::Objects, table::Table};

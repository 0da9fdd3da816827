//! Adapters for the platform: table, objects and directory.
//!
//! This is the one crate that knows the platform's interfaces. The table runs
//! transactions of conditions and writes; its answer can be lost after the
//! transaction took effect, so every writer marks its rows with an
//! [`units::AttemptToken`] and reads them back when in doubt. Nothing here
//! retries a write blindly.
//!
//! * [`table`]: conditions, writes, reads.
//! * [`objects`]: immutable objects named by their digest.
//! * [`directory`]: the lagging list of instances and endpoints.
//! * [`publish`]: puts a publication in force.
//! * [`claim`]: rows that let a non-idempotent request run at most once.
//! * [`lease`]: a holder with a fencing number.

pub mod claim;
pub mod directory;
pub mod http;
pub mod lease;
pub mod objects;
pub mod publish;
pub mod table;

pub use self::{directory::Directory, objects::Objects, table::Table};

//! Seeded offers at the interfaces of a guild, and what became of them.
//!
//! A [`Plan`] is fixed by its seed before anything is sent. [`drive`] offers it
//! in open loop: a request is sent at its time whether or not earlier ones
//! were answered. Every request carries a mark that each token of its answer
//! repeats, so that a crossed or a cut answer shows.

mod drive;
mod mix;
mod plan;
pub mod report;

pub use self::{
    drive::{Outcome, Verdict, drive},
    mix::{Mix, Tier},
    plan::{Plan, Request},
    report::Report,
};

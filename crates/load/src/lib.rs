//! Seeded load on a cluster's public interfaces, and its outcomes.
//!
//! A seed fixes a [`Plan`] before anything is sent. [`drive`] executes it in
//! open loop: each request is sent at its planned time, whether or not earlier
//! ones have completed. Every request carries a marker that each token of its
//! response repeats, so that responses to other requests and truncated
//! responses are detected.

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

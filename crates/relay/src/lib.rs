//! Data path of a node: callers' requests in, endpoints' answers out.
//!
//! One process, one thread. Everything that a task reads or writes lies on
//! the [`blackboard`]; no lock is held across an await, since none is needed.
//!
//! * [`serve`] accepts callers' connections and hands each request to
//!   [`exchange`], which takes it from its checks ([`admission`]) over one or more
//!   endpoints ([`history`]) to its last byte ([`reply`]).
//! * [`dispatcher`] lets requests wait and places them; its decisions are those of
//!   the pure modules `sched::{backlog, fleet, quota, budget, strike}`.
//! * [`pool`] keeps connections to endpoints; [`stream`] passes events on and
//!   continues a broken stream at another endpoint where that is allowed.
//! * [`discovery`] finds the other nodes; [`peers`] tells them, kept in the
//!   [`roster`], by [`digest`]s what this one has in slot.
//! * [`watch`] follows the store's tables on a few nodes; the others hear of
//!   changes in the [`directory`] of endpoints through its [`journal`].
//!
//! The crate names no header, path or document of any deployment. A
//! [`headers::Codec`] translates headers and a [`watch::Table`] reads the
//! store; both come from an adapter.
//!
//! Invariants:
//! * a request that may run once leaves for a second endpoint only when the
//!   first is known not to have run it;
//! * a refusal that promises "not run" is sent only while nothing has left, or
//!   after an endpoint said that it did not run the request;
//! * only whole events are passed on, in order, each once.

pub mod admission;
pub mod blackboard;
pub mod configuration;
pub mod digest;
pub mod directory;
pub mod discovery;
pub mod dispatcher;
pub mod events;
pub mod exchange;
pub mod headers;
pub mod history;
pub mod journal;
pub mod lifecycle;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod reply;
pub mod request;
pub mod response;
pub mod roster;
pub mod serve;
pub mod settings;
pub mod stream;
pub mod watch;

pub use self::{
    blackboard::Blackboard, configuration::Configuration, headers::Codec, settings::Settings,
};

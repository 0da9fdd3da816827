//! Data path of a node: takes callers' requests and returns endpoints'
//! responses.
//!
//! A node is a single-threaded process. Shared state lives on the
//! [`blackboard`]; no lock is held across an await because none is needed.
//!
//! * [`serve`] accepts callers' connections and passes each request to
//!   [`exchange`], which handles it from validation ([`admission`]) through
//!   attempts at one or more endpoints ([`history`]) to the last byte of the
//!   response ([`reply`]). [`connections`] closes those without progress.
//! * [`dispatcher`] queues requests and assigns them to endpoints; the
//!   decisions are those of the pure modules `sched::{backlog, fleet, quota,
//!   budget, strike}`.
//! * [`owner`] issues permits for the endpoints of a zone, and [`holder`] obtains
//!   them; [`permit`] has their messages.
//! * [`pool`] keeps connections to endpoints; [`stream`] forwards events and
//!   resumes a broken stream at another endpoint where that is allowed.
//!   [`transport`] notices that a peer is gone.
//! * [`discovery`] finds the other nodes, which are tracked in the [`roster`];
//!   [`peers`] exchanges [`digest`]s of in-flight requests with them.
//! * [`transfer`] passes whole documents on, so that few nodes read them from
//!   the store.
//! * [`rollout`] moves the traffic of a service to another release of its
//!   endpoints' software.
//! * [`watch`] follows the store's tables on a few nodes; the others learn of
//!   changes in the endpoint [`directory`] through its [`journal`]. [`waits`]
//!   derives its times from the settings, and [`outage`] tells whether the store
//!   was away.
//!
//! The crate knows no header, path or document of any deployment. A
//! [`headers::Codec`] translates headers and a [`watch::Store`] reads the
//! store; an adapter provides both.
//!
//! Invariants:
//! * a request that may run at most once is sent to a second endpoint only if
//!   the first is known not to have run it;
//! * a refusal that promises "not run" is sent only before anything was sent to
//!   an endpoint, or after the endpoint stated that it did not run the request;
//! * only complete events are forwarded, in order and exactly once.

pub mod admission;
pub mod announce;
pub mod authentication;
pub mod blackboard;
pub mod configuration;
pub mod connections;
pub mod digest;
pub mod directory;
pub mod discovery;
pub mod dispatcher;
pub mod events;
pub mod exchange;
pub mod headers;
pub mod history;
pub mod holder;
pub mod identity;
pub mod journal;
pub mod learning;
pub mod lifecycle;
pub mod limits;
pub mod memory;
pub mod metrics;
pub mod outage;
pub mod owner;
pub mod peers;
pub mod permit;
pub mod pool;
pub mod progress;
pub mod quarantine;
pub mod reply;
pub mod request;
pub mod response;
pub mod rollout;
pub mod roster;
pub mod serve;
pub mod settings;
pub mod shares;
pub mod stream;
pub mod transfer;
pub mod transport;
pub mod waits;
pub mod watch;

pub use self::{
    blackboard::Blackboard, configuration::Configuration, headers::Codec, settings::Settings,
};

//! Connections between gateways, over QUIC with mutual authentication.
//!
//! One connection carries the frames of both directions, each side on one
//! unidirectional stream. Connections are made when a frame is to be sent and
//! end by themselves when idle, so a gateway keeps only those to its fingers
//! and to the owners that it deals with.
//!
//! Every peer presents a certificate of one of the guild's authorities; a
//! stranger is refused during the handshake. [`Link::reload`] replaces
//! certificate and authorities without closing connections, so keys rotate in
//! three steps: add the new authority everywhere, replace the certificates,
//! remove the old authority.
//!
//! Sending never waits: a frame for a peer whose queue is full is dropped and
//! counted. Everything above is built to lose frames.

mod identity;
mod peer;

pub use self::{
    identity::{Authority, Identity, PEER_NAME},
    peer::{Counters, Incoming, Link},
};

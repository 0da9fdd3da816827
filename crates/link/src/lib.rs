//! QUIC connections between gateways, with mutual TLS authentication.
//!
//! One connection carries frames in both directions; each side sends on a
//! unidirectional stream of its own. A connection is opened when there is a
//! frame to send and closes after an idle timeout, so a gateway keeps
//! connections only to its fingers on the membership ring and to the cell owners
//! that it works with.
//!
//! Every peer presents a certificate issued by one of the cluster's
//! authorities; the handshake fails without one. [`Link::reload`] replaces
//! certificate and authorities without closing connections, so keys rotate in
//! three steps: add the new authority everywhere, replace the certificates,
//! remove the old authority.
//!
//! Sending never blocks: a frame for a peer whose queue is full is dropped and
//! counted. The protocols on top tolerate lost frames.

mod identity;
mod peer;

pub use self::{
    identity::{Authority, Identity, PEER_NAME},
    peer::{Counters, Incoming, Link},
};

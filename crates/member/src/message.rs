//! Messages between members.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use units::{InstanceId, RegionId, Version, ZoneId, score};

/// State of a member; within an incarnation, later variants override earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats are missing.
    Suspect,
    /// The suspicion was not refuted in time.
    Dead,
    /// Left gracefully.
    Left,
}

/// Known state of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Member.
    pub instance: InstanceId,
    /// Address for peer traffic.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// Incarnation number, which the member raises to refute a suspicion.
    pub incarnation: u64,
    /// State.
    pub state: State,
}

impl Record {
    /// Whether this record replaces `other`.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Hash of the record; the roster's digest is the XOR of these.
    #[must_use]
    pub fn digest(&self) -> u64 {
        score(self.instance.as_str(), &format!("{}:{:?}", self.incarnation, self.state))
    }
}

/// Membership message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic liveness message.
    Heartbeat {
        /// Digest of the sender's roster.
        digest: u64,
        /// Configuration version in force at the sender.
        version: Version,
    },
    /// Changed records; a receiver forwards those that are new to it.
    Rumours(Box<[Record]>),
    /// Full roster; the receiver returns its own when `reply` is set.
    Sync {
        /// Records.
        records: Box<[Record]>,
        /// Whether the receiver should return its roster.
        reply: bool,
    },
}

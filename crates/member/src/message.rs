//! What members tell each other.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use units::{InstanceId, RegionId, Version, ZoneId, score};

/// State of a member; a later one overrides an earlier one of the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats are missing.
    Suspect,
    /// The suspicion was not answered.
    Dead,
    /// Left in order.
    Left,
}

/// One member as it is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Member.
    pub instance: InstanceId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Number of its life, raised to answer a suspicion.
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

    /// Part of the roster's digest.
    #[must_use]
    pub fn digest(&self) -> u64 {
        score(self.instance.as_str(), &format!("{}:{:?}", self.incarnation, self.state))
    }
}

/// Membership message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sign of life.
    Heartbeat {
        /// Digest of the sender's roster.
        digest: u64,
        /// Configuration version in force at the sender.
        version: Version,
    },
    /// Changed records, forwarded once.
    Rumours(Box<[Record]>),
    /// Whole roster; the receiver answers with its own when `reply` is set.
    Sync {
        /// Records.
        records: Box<[Record]>,
        /// Whether an answer is wanted.
        reply: bool,
    },
}

//! State that a node sends to the others, as an authenticated datagram.
//!
//! A digest contains totals and current values, so the next one makes up for a
//! lost one. Only changes of the directory are sent incrementally; they are
//! repeated and include the version that they build on, see [`crate::journal`].

use crate::{
    authentication::{append_hmac, verify_hmac},
    journal::Delta,
    permit::Message,
    rollout::{Announcement, Counts},
};
use anyhow::{Context, Result};
use sched::quarantine::Evidence;
use serde::{Deserialize, Serialize};
use units::{EndpointId, Fingerprint, InstanceId, OrganisationId, RequestRate, Version, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// State of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Sending node.
    pub from: InstanceId,
    /// Incarnation of its process; a larger one is newer.
    pub incarnation: u64,
    /// Number of the digest within the incarnation.
    pub sequence: u64,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// Version of its configuration in force.
    pub configuration: Version,
    /// Version up to which it knows the directory.
    pub directory_head: Version,
    /// Changes of the directory, if the node reads the store for the others.
    pub directory: Option<Delta>,
    /// Preference of the node as an owner of cells; 0 if it cannot be one.
    pub owner_weight: u32,
    /// Short hashes of the services whose slots it gives out in its zone.
    pub owned: Box<[u32]>,
    /// Whether its last calls of the store failed.
    pub store_lost: bool,
    /// Whether it reached the store again so recently that entries may still be missing; only older
    /// builds use it.
    pub store_returned: bool,
    /// Number of requests queued or recently arrived.
    pub demand: u32,
    /// Queued requests that can still be on time.
    pub waiting: Box<[Waiting]>,
    /// In-flight requests.
    pub loads: Box<[Load]>,
    /// Tokens charged to organisations.
    pub spent: Box<[Spent]>,
    /// Always empty; older builds expect the field. See [`Datagram::Crashes`].
    pub strikes: Box<[Strike]>,
}

/// Queued requests of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// Short hash of the service's name.
    pub service: u32,
    /// Number of requests.
    pub requests: u32,
    /// Number of slots by which the node is below its share.
    pub shortfall: u32,
}

/// In-flight requests at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Short hash of the endpoint's identifier.
    pub endpoint: u32,
    /// Number of requests.
    pub in_flight: u32,
    /// Prompt tokens of requests without a first response.
    pub pending_prefill: u64,
}

/// Tokens charged to one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Tokens admitted since the process started.
    pub admitted: u64,
    /// Tokens requested since the process started.
    pub requested: u64,
}

/// Strikes against one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Number of strikes.
    pub count: u8,
    /// Age of the last strike, in ms.
    pub age_ms: u32,
}

/// Limit that an endpoint named in a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Start time of its process, in Unix milliseconds.
    pub born: Option<u64>,
    /// Requests that it takes from all nodes together; none without a limit.
    pub rate: Option<RequestRate>,
    /// Age of the response, in ms.
    pub age_ms: u32,
}

/// What nodes send to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// State of the sender.
    Digest(Box<Digest>),
    /// Messages about permits.
    Permits(Box<[Message]>),
    /// Evidence against shared traits of requests under which endpoints crashed.
    Crashes(Box<[Evidence<Fingerprint>]>),
    /// Limits that endpoints named, or that have ended.
    Limits(Box<[Limit]>),
    /// Stages of rollouts.
    Rollouts(Box<[Announcement]>),
    /// Counts of a node for the coordinator of a rollout.
    Counts(Box<Counts>),
    /// Evidence against other traits of such requests. It follows an empty [`Self::Crashes`], after
    /// which older builds read nothing: to them, each suspected trait that a request lacks explains
    /// the crashes under it.
    #[serde(skip)]
    RequestCrashes(Box<[Evidence]>),
}

impl Datagram {
    /// Encodes the datagram and appends its HMAC.
    ///
    /// # Errors
    /// The datagram cannot be encoded.
    pub fn encode_with_hmac(&self, secret: &[u8]) -> Result<Vec<u8>> {
        let encode = |datagram| postcard::to_stdvec(datagram).context("encoding a datagram");
        let bytes = if let Self::RequestCrashes(evidence) = self {
            let prefix = encode(&Self::Crashes(Box::default()))?;
            postcard::to_extend(evidence, prefix).context("encoding a datagram")?
        } else {
            encode(self)?
        };
        append_hmac(bytes, secret)
    }

    /// Verifies the HMAC of a datagram and decodes it.
    ///
    /// # Errors
    /// The HMAC or the encoding is invalid.
    pub fn verify_and_decode(datagram: &[u8], secret: &[u8]) -> Result<Self> {
        let bytes = verify_hmac(datagram, secret)?;
        let (datagram, rest) = postcard::take_from_bytes(bytes).context("decoding a datagram")?;
        match datagram {
            Self::Crashes(_) if !rest.is_empty() => {
                postcard::from_bytes(rest).map(Self::RequestCrashes).context("decoding evidence")
            }
            datagram => Ok(datagram),
        }
    }
}

impl Digest {
    /// Whether a later digest contains the same loads, totals, strikes and directory changes.
    #[must_use]
    pub fn is_equivalent(&self, later: &Self) -> bool {
        self.loads == later.loads
            && self.spent == later.spent
            && self.strikes == later.strikes
            && self.directory == later.directory
            && (self.owner_weight, &self.owned) == (later.owner_weight, &later.owned)
    }
}

/// Short hash of an identifier.
#[must_use]
pub fn short_hash(id: &str) -> u32 {
    let hash = xxh3_64(id.as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}

//! What a node tells the others, as an authenticated datagram.
//!
//! A digest carries sums and present values, so that a lost one costs nothing
//! but its age. Only changes of the directory are told as such, several times
//! and with the version that they follow on; see [`crate::journal`].

use crate::journal::Delta;
use anyhow::{Context, Result, ensure};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use units::{Fingerprint, InstanceId, OrganisationId, Version, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// Length of a digest's code of authenticity, in bytes.
const MAC_BYTES: usize = 16;

type HmacSha256 = Hmac<Sha256>;

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Node that sends it.
    pub from: InstanceId,
    /// Lifetime of its process; a larger one is newer.
    pub incarnation: u64,
    /// Number of the digest within the lifetime.
    pub sequence: u64,
    /// Availability zone of the node.
    pub zone: ZoneId,
    /// Whether the node leaves.
    pub leaving: bool,
    /// Version of the configuration that it has in force.
    pub configuration: Version,
    /// What it tells of the directory, if it follows the store for all.
    pub directory: Option<Delta>,
    /// Whether the store came back so recently that entries may be missing.
    pub store_returned: bool,
    /// Requests waiting and those that have just arrived.
    pub demand: u32,
    /// Requests that wait and can still be answered in time.
    pub waiting: Box<[Waiting]>,
    /// Requests in slot.
    pub loads: Box<[Load]>,
    /// Tokens admitted since the start of the process.
    pub spent: Box<[Spent]>,
    /// Requests under which endpoints failed.
    pub strikes: Box<[Strike]>,
}

/// Requests that wait for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// Short hash of the service's name.
    pub service: u32,
    /// Requests.
    pub requests: u32,
    /// Slots that the node has less than its part.
    pub shortfall: u32,
}

/// Requests in slot at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Short hash of the endpoint's identifier.
    pub endpoint: u32,
    /// Requests.
    pub in_flight: u32,
    /// Prompt tokens without a first answer.
    pub pending_prefill: u64,
}

/// Tokens that a node has admitted for an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Tokens admitted since the start of the process.
    pub admitted: u64,
    /// Tokens asked for since then.
    pub requested: u64,
}

/// Request under which endpoints failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Number of failures.
    pub count: u8,
    /// Age of the last, in ms.
    pub age_ms: u32,
}

impl Digest {
    /// Whether there is nothing new in a later digest.
    #[must_use]
    pub fn is_equivalent(&self, later: &Self) -> bool {
        self.loads == later.loads
            && self.spent == later.spent
            && self.strikes == later.strikes
            && self.directory == later.directory
    }

    /// Datagram with its code of authenticity.
    ///
    /// # Errors
    /// The digest cannot be encoded.
    pub fn seal(&self, secret: &[u8]) -> Result<Vec<u8>> {
        let mut bytes = postcard::to_stdvec(self).context("encoding a digest")?;
        let code = authentication_code(secret, &bytes)?;
        bytes.extend_from_slice(&code);
        Ok(bytes)
    }

    /// Digest out of a datagram.
    ///
    /// # Errors
    /// The code of authenticity or the encoding is wrong.
    pub fn open(datagram: &[u8], secret: &[u8]) -> Result<Self> {
        ensure!(datagram.len() > MAC_BYTES, "datagram of {} bytes", datagram.len());
        let (bytes, seal) = datagram.split_at(datagram.len() - MAC_BYTES);
        let mut mac = HmacSha256::new_from_slice(secret).context("key of the code")?;
        mac.update(bytes);
        mac.verify_truncated_left(seal).context("code of authenticity")?;
        postcard::from_bytes(bytes).context("decoding a digest")
    }
}

fn authentication_code(secret: &[u8], bytes: &[u8]) -> Result<[u8; MAC_BYTES]> {
    let mut mac = HmacSha256::new_from_slice(secret).context("key of the code")?;
    mac.update(bytes);
    let full = mac.finalize().into_bytes();
    let mut code = [0; MAC_BYTES];
    code.copy_from_slice(&full[..MAC_BYTES]);
    Ok(code)
}

/// Short hash of an identifier.
#[must_use]
pub fn short_hash(id: &str) -> u32 {
    let hash = xxh3_64(id.as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}

//! Hashes of requests, prompt prefixes and placements.

use crate::common;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Keeps the fingerprints of parts apart from those of requests.
const PART_KEY: &str = "prompt part";

common! {
    /// Hash of what a request is recognised by: of its organisation, service, path and body, or of
    /// one part of its prompt.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct Fingerprint(pub u64);

    /// Hash of a prompt prefix that ends at a block boundary.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct PrefixHash(pub u64);
}

impl Fingerprint {
    /// Fingerprint of the part of a prompt with this identifier. Nodes compare it, so all builds must
    /// agree on it.
    #[must_use]
    pub fn of_part(id: &str) -> Self {
        Self(score(&id.to_ascii_lowercase(), PART_KEY))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Rendezvous hash (highest random weight) of `node` for `key`; the node with the highest score
/// is chosen. Nodes compare values derived from it, so all builds must agree on it.
#[must_use]
pub fn score(node: &str, key: &str) -> u64 {
    let mut input = Vec::with_capacity(node.len() + key.len() + 1);
    input.extend_from_slice(key.as_bytes());
    input.push(0);
    input.extend_from_slice(node.as_bytes());
    xxh3_64(&input)
}

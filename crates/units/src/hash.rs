//! Hashes of requests, prompt prefixes and placements.

use crate::common;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

common! {
    /// Hash of a request's organisation, service, path and body.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct Fingerprint(pub u64);

    /// Hash of a prompt prefix that ends at a block boundary.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct PrefixHash(pub u64);
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

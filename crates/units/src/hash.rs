//! Hashes of requests, prompt prefixes and placements.

use crate::value_types;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

value_types! {
    /// Hash of a request's organisation, service and body.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct Fingerprint(pub u64);

    /// Hash of a prompt's beginning, up to a block boundary.
    #[derive(Copy)]
    #[serde(transparent)]
    pub struct PrefixHash(pub u64);
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Rendezvous score of `node` for `key`; the node with the highest score is chosen.
#[must_use]
pub fn score(node: &str, key: &str) -> u64 {
    let mut joined = Vec::with_capacity(node.len() + key.len() + 1);
    joined.extend_from_slice(key.as_bytes());
    joined.push(0);
    joined.extend_from_slice(node.as_bytes());
    xxh3_64(&joined)
}

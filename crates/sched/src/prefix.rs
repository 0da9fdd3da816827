//! Model of an endpoint's prefix cache.
//!
//! The owner records the prompt prefixes that it has sent to an endpoint, and
//! evicts the least recently used ones beyond a token limit. The model is an
//! estimate: an error costs prefill time, never correctness.

use crate::job::Prefix;
use std::collections::{BTreeMap, HashMap};
use units::{PrefixHash, Tokens};

/// Assumed size of an endpoint's cache, in tokens.
const CACHE_TOKENS: u64 = 120_000;

#[derive(Debug, Clone, Copy)]
struct Entry {
    used: u64,
    tokens: u64,
}

/// Prefixes that an endpoint has probably cached.
#[derive(Debug, Default)]
pub struct Cache {
    entries: HashMap<PrefixHash, Entry>,
    order: BTreeMap<u64, PrefixHash>,
    tokens: u64,
    clock: u64,
}

impl Cache {
    /// Length of the longest prefix that is probably cached.
    #[must_use]
    pub fn longest_match(&self, prefixes: &[Prefix]) -> Tokens {
        let hit = prefixes.iter().rev().find(|prefix| self.entries.contains_key(&prefix.hash));
        hit.map_or(Tokens(0), |prefix| prefix.tokens)
    }

    /// Records that a prompt with these prefixes was sent.
    pub fn insert(&mut self, prefixes: &[Prefix]) {
        let mut shorter = 0;
        for prefix in prefixes {
            let added = prefix.tokens.0.saturating_sub(shorter);
            shorter = prefix.tokens.0;
            self.touch(prefix.hash, added);
        }
        while self.tokens > CACHE_TOKENS {
            self.evict();
        }
    }

    fn touch(&mut self, hash: PrefixHash, tokens: u64) {
        self.clock += 1;
        let entry = Entry { used: self.clock, tokens };
        if let Some(old) = self.entries.insert(hash, entry) {
            self.order.remove(&old.used);
            self.tokens -= old.tokens;
        }
        self.order.insert(self.clock, hash);
        self.tokens += tokens;
    }

    fn evict(&mut self) {
        if let Some((_, hash)) = self.order.pop_first()
            && let Some(entry) = self.entries.remove(&hash)
        {
            self.tokens -= entry.tokens;
        }
    }

    /// Clears the cache, after the endpoint may have restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

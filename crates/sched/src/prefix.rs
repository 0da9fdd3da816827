//! Model of an endpoint's prefix cache.
//!
//! The owner remembers which beginnings of prompts it sent to an endpoint,
//! newest last, and forgets the oldest beyond a token budget. It is an
//! estimate: a wrong one costs prefill time, never correctness.

use crate::job::Prefix;
use std::collections::{BTreeMap, HashMap};
use units::{PrefixHash, Tokens};

/// Tokens that an endpoint's cache is assumed to hold.
const CACHE_TOKENS: u64 = 120_000;

#[derive(Debug, Clone, Copy)]
struct Entry {
    used: u64,
    tokens: u64,
}

/// Beginnings that an endpoint is believed to hold.
#[derive(Debug, Default)]
pub struct Cache {
    entries: HashMap<PrefixHash, Entry>,
    order: BTreeMap<u64, PrefixHash>,
    tokens: u64,
    clock: u64,
}

impl Cache {
    /// Longest beginning that is believed to be cached.
    #[must_use]
    pub fn longest_match(&self, prefixes: &[Prefix]) -> Tokens {
        let hit = prefixes.iter().rev().find(|prefix| self.entries.contains_key(&prefix.hash));
        hit.map_or(Tokens(0), |prefix| prefix.tokens)
    }

    /// Notes that a prompt with these beginnings was sent.
    pub fn insert(&mut self, prefixes: &[Prefix]) {
        let mut shorter = 0;
        for prefix in prefixes {
            let own = prefix.tokens.0.saturating_sub(shorter);
            shorter = prefix.tokens.0;
            self.touch(prefix.hash, own);
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

    /// Forgets everything, after the endpoint restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

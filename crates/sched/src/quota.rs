//! Allotments of organisations, kept by all nodes together.
//!
//! Load pattern: one organisation sends many times its usual, spread over all
//! nodes. Each node keeps a token bucket for the whole guild, takes from it
//! what it admits itself at once, and what its peers admitted when their next
//! digest says so. While peers that are known cannot be heard, a node uses
//! only its group's share of the rate: parted groups together then stay
//! within the allotment.

use std::{collections::HashMap, time::Duration};
use units::{InstanceId, OrganisationId, Time, Tokens};

/// Allotment of an organisation over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allotment {
    /// Tokens a second; zero for no limit.
    pub rate: Tokens,
    /// Tokens that may be used at once beyond the rate.
    pub burst: Tokens,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    at: Time,
    spent: u64,
    heard: HashMap<InstanceId, Total>,
}

/// Tokens that a node has admitted in one lifetime of its process, less what it gave back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Total {
    /// Lifetime; a later one is larger.
    pub lifetime: u64,
    /// Tokens.
    pub spent: u64,
}

/// Buckets of all organisations.
#[derive(Debug, Default)]
pub struct Meter {
    buckets: HashMap<OrganisationId, Bucket>,
}

#[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn float(tokens: Tokens) -> f64 {
    tokens.0 as f64
}

impl Bucket {
    fn refill(&mut self, allotment: Allotment, share: f64, now: Time) {
        let gained = now.since(self.at).as_secs_f64() * float(allotment.rate) * share;
        let burst = float(allotment.burst).max(1.0);
        self.level = (self.level + gained).min(burst);
        self.at = now;
    }
}

impl Meter {
    /// Meter with full buckets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes `cost` from the organisation's bucket.
    ///
    /// `share` is the part of the known nodes that can be heard, this one included.
    ///
    /// # Errors
    /// The time after which the bucket will hold enough.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        allotment: Allotment,
        share: f64,
        cost: Tokens,
        now: Time,
    ) -> Result<(), Duration> {
        if allotment.rate.0 == 0 {
            return Ok(());
        }
        let bucket = self.bucket(organisation, allotment, now);
        bucket.refill(allotment, share, now);
        // A request larger than the burst passes when the bucket is full.
        let needed = float(cost).min(float(allotment.burst));
        if bucket.level < needed {
            let missing = needed - bucket.level;
            return Err(Duration::from_secs_f64(missing / (float(allotment.rate) * share)));
        }
        bucket.level -= float(cost);
        bucket.spent += cost.0;
        Ok(())
    }

    /// Gives back what a request took that was not run.
    pub fn refund(&mut self, organisation: &OrganisationId, cost: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.level += float(cost);
            bucket.spent = bucket.spent.saturating_sub(cost.0);
        }
    }

    /// Takes over the total that a peer states.
    pub fn hear(
        &mut self,
        peer: &InstanceId,
        organisation: &OrganisationId,
        allotment: Allotment,
        total: Total,
        now: Time,
    ) {
        let bucket = self.bucket(organisation, allotment, now);
        // The first total of a peer does not say when it was spent; a new lifetime begins at zero.
        let before = match bucket.heard.insert(peer.clone(), total) {
            None => total.spent,
            Some(before) if before.lifetime == total.lifetime => before.spent,
            Some(_) => 0,
        };
        bucket.level -= float(Tokens(total.spent)) - float(Tokens(before));
    }

    /// Tokens that this node has admitted since its start, less what it gave back.
    pub fn spent(&self) -> impl Iterator<Item = (&OrganisationId, u64)> {
        self.buckets.iter().map(|(organisation, bucket)| (organisation, bucket.spent))
    }

    fn bucket(
        &mut self,
        organisation: &OrganisationId,
        allotment: Allotment,
        now: Time,
    ) -> &mut Bucket {
        self.buckets.entry(organisation.clone()).or_insert_with(|| Bucket {
            level: float(allotment.burst),
            at: now,
            spent: 0,
            heard: HashMap::new(),
        })
    }
}

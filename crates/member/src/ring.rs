//! Positions on the hash ring.

use units::{InstanceId, score};

/// Key that is hashed with a member's name to get its position.
const RING_KEY: &str = "ring";

/// Sorts members by ring position.
pub fn sort(members: &mut [InstanceId]) {
    members.sort_by_cached_key(|id| (score(id.as_str(), RING_KEY), id.clone()));
}

/// Members 1, 2, 4, … positions after `me` in a sorted ring.
#[must_use]
pub fn fingers(ring: &[InstanceId], me: &InstanceId) -> Vec<InstanceId> {
    at_powers_of_two(ring, me, |position, step, len| (position + step) % len)
}

/// Members that have `me` as a finger: those 1, 2, 4, … positions before it.
#[must_use]
pub fn monitored(ring: &[InstanceId], me: &InstanceId) -> Vec<InstanceId> {
    at_powers_of_two(ring, me, |position, step, len| (position + len - step) % len)
}

fn at_powers_of_two(
    ring: &[InstanceId],
    me: &InstanceId,
    at: impl Fn(usize, usize, usize) -> usize,
) -> Vec<InstanceId> {
    let Some(position) = ring.iter().position(|id| id == me) else {
        return Vec::new();
    };
    let mut members = Vec::new();
    let mut step = 1;
    while step < ring.len() {
        let id = &ring[at(position, step, ring.len())];
        if !members.contains(id) {
            members.push(id.clone());
        }
        step *= 2;
    }
    members
}

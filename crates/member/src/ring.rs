//! Places on the hash ring.

use units::{InstanceId, score};

/// Salt of the ring's hash.
const RING: &str = "ring";

/// Sorts members by their place.
pub fn sort(members: &mut [InstanceId]) {
    members.sort_by_cached_key(|id| (score(id.as_str(), RING), id.clone()));
}

/// Members 1, 2, 4, … places after `me`, in a sorted ring.
#[must_use]
pub fn fingers(ring: &[InstanceId], me: &InstanceId) -> Vec<InstanceId> {
    at_powers(ring, me, |place, step, len| (place + step) % len)
}

/// Members whose finger `me` is.
#[must_use]
pub fn watched(ring: &[InstanceId], me: &InstanceId) -> Vec<InstanceId> {
    at_powers(ring, me, |place, step, len| (place + len - step) % len)
}

fn at_powers(
    ring: &[InstanceId],
    me: &InstanceId,
    at: impl Fn(usize, usize, usize) -> usize,
) -> Vec<InstanceId> {
    let Some(place) = ring.iter().position(|id| id == me) else {
        return Vec::new();
    };
    let mut found = Vec::new();
    let mut step = 1;
    while step < ring.len() {
        let id = &ring[at(place, step, ring.len())];
        if !found.contains(id) {
            found.push(id.clone());
        }
        step *= 2;
    }
    found
}

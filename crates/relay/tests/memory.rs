//! Reservations of memory for bodies.

use proptest::{collection::vec, prelude::*};
use relay::{
    memory::{Buffer, Pool},
    shares::Shares,
};
use units::OrganisationId;

const MEGABYTE: usize = 1 << 20;

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::new(name).expect("the name is valid")
}

/// A reservation ended when a response was known, while its bytes waited for the caller.
#[test]
fn reservation_lives_as_long_as_the_last_clone_of_its_bytes() {
    let pool = Pool::new(40 << 20);
    let mut buffer = Buffer::new(pool.reserve_for(&organisation("a")));
    assert!(buffer.push(&vec![1; 3 * MEGABYTE]));
    let segments = buffer.into_segments();
    let held = pool.total() - pool.free();
    assert!(held >= 3 << 20, "{held} bytes are held");
    let kept = segments[0].slice(1..2);
    drop(segments);
    let held = pool.total() - pool.free();
    assert!((1..=64 << 10).contains(&held), "{held} bytes are held");
    drop(kept);
    assert_eq!(pool.free(), pool.total());
}

/// Large responses that nobody reads left no memory for small ones.
#[test]
fn large_reservations_leave_a_share_to_small_ones() {
    let pool = Pool::new(40 << 20);
    let mut large = Vec::new();
    for number in 0..100 {
        let mut reservation = pool.reserve_for(&organisation(&format!("o-{number}")));
        if reservation.raise(4 * MEGABYTE) {
            large.push(reservation);
        }
    }
    assert_eq!(large.len(), 8, "an eighth is kept");
    assert!(pool.reserve_for(&organisation("a")).raise(60 << 10));
}

/// One organisation's responses took the memory of all.
#[test]
fn one_organisation_cannot_take_it_all() {
    let pool = Pool::new(80 << 20);
    let one = organisation("one");
    let mut held: Vec<_> = (0..30).map(|_| pool.reserve_for(&one)).collect();
    let raised = held.iter_mut().filter_map(|r| r.raise(4 * MEGABYTE).then_some(()));
    assert_eq!(raised.count(), 10, "half of the pool");
    assert!(pool.reserve_for(&organisation("other")).raise(16 * MEGABYTE));
}

/// The share of one organisation must not refuse a single request on the smallest machine.
#[test]
fn single_largest_request_fits_the_smallest_machine() {
    let pool = Pool::new(Shares::new(88_000_000, 4_100).bodies);
    let one = organisation("one");
    let mut body = pool.reserve_for(&one);
    assert!(body.raise(4 * MEGABYTE));
    assert!(Buffer::new(pool.reserve_for(&one)).push(&vec![0; 16 * MEGABYTE]));
}

/// Half of the descriptors were for callers, and nothing bounded the rest.
#[test]
fn shares_of_the_smallest_machines_stay_below_their_limits() {
    for (memory, descriptors) in [(160_000_000, 4_100), (88_000_000, 4_100), (88_000_000, 1_000)] {
        let shares = Shares::new(memory, descriptors);
        assert!(!shares.exceed_memory(), "{shares:?}: {} bytes", shares.memory_sum());
        assert!(!shares.exceed_descriptors(), "{shares:?}: {}", shares.descriptor_sum());
    }
    assert!(Shares::new(40_000_000, 4_100).exceed_memory());
    assert!(Shares::new(160_000_000, 64).exceed_descriptors());
}

proptest! {
    /// A response that is kept in parts must come out as it was read.
    #[test]
    fn segments_hold_the_bytes_in_order(lengths in vec(0..90_000_usize, 0..12)) {
        let byte = |at: usize| u8::try_from(at % 251).expect("below 256");
        let piece = |length: &usize| (0..*length).map(byte).collect::<Vec<u8>>();
        let pieces: Vec<Vec<u8>> = lengths.iter().map(piece).collect();
        let pool = Pool::new(40 << 20);
        let mut buffer = Buffer::new(pool.reserve());
        for piece in &pieces {
            prop_assert!(buffer.push(piece));
        }
        prop_assert_eq!(buffer.len(), pieces.concat().len());
        let segments = buffer.into_segments();
        let held: usize = segments.iter().map(|segment| segment.len()).sum();
        prop_assert!(pool.total() - pool.free() >= held as u64);
        prop_assert_eq!(segments.iter().flatten().copied().collect::<Vec<u8>>(), pieces.concat());
        drop(segments);
        prop_assert_eq!(pool.free(), pool.total());
    }
}

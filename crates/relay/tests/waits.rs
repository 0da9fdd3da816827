//! Sums of the waits between the store's confirmation of a change and the decision at a node.

use relay::waits::Waits;
use std::time::Duration;

/// Answer of a sound store on a slow machine.
const READ: Duration = Duration::from_millis(100);
/// Time for a connection to an endpoint, after which a request that was assigned to it is sent.
const CONNECT: Duration = Duration::from_millis(400);
/// Part of a bound, as a divisor, that stays free.
const RESERVE: u32 = 40;

/// Chains of waits with one party lost, by name.
fn chains(waits: &Waits) -> [(&'static str, Duration); 6] {
    let Waits { reader_interval, endpoints_hold, store_answer, store_fallback, .. } = *waits;
    [
        ("reader", reader_interval + READ),
        ("datagram lost", reader_interval + READ + waits.reader_digest),
        (
            "changes missed, peers mute",
            reader_interval + waits.directory_interval + store_fallback + READ,
        ),
        ("readers gone", waits.readers_absence + waits.role_check + READ),
        ("readers cut off", reader_interval + endpoints_hold + store_answer + READ),
        ("configuration, sender lost", waits.reader_digest + store_fallback + READ),
    ]
}

/// Bounds in ms: those of the deployments, smaller and larger ones.
const BOUNDS: [(u64, u64); 8] = [
    (2_500, 2_500),
    (4_000, 4_000),
    (2_500, 4_000),
    (4_000, 2_500),
    (2_000, 6_000),
    (60_000, 2_000),
    (3_333, 2_777),
    (10_000, 10_000),
];

#[test]
fn chains_with_one_party_lost_stay_within_the_bounds() {
    for (apply, drain) in BOUNDS {
        let (apply, drain) = (Duration::from_millis(apply), Duration::from_millis(drain));
        let bound = apply.min(drain);
        for (name, sum) in chains(&Waits::new(apply, drain)) {
            let whole = sum + CONNECT;
            assert!(whole + bound / RESERVE <= bound, "{name}: {whole:?} of {bound:?}");
        }
    }
}

/// Readers that replace others are heard before every node takes their place.
#[test]
fn replaced_readers_are_heard_in_time() {
    for (apply, drain) in BOUNDS {
        let waits = Waits::new(Duration::from_millis(apply), Duration::from_millis(drain));
        assert!(waits.reader_silence + waits.role_check < waits.readers_absence);
        assert!(waits.reader_digest * 3 / 2 < waits.reader_silence, "one late digest is no loss");
    }
}

/// A bound of nothing, or without end, leaves waits that are of use.
#[test]
fn extreme_bounds_give_usable_waits() {
    for bound in [Duration::ZERO, Duration::from_micros(1), Duration::MAX / 2_000] {
        let waits = Waits::new(bound, bound);
        assert!(waits.reader_interval >= Duration::from_millis(200));
        assert!(waits.store_answer >= Duration::from_millis(200));
        assert!(waits.overdue > Duration::ZERO);
        assert!(waits.readers_absence <= Duration::from_secs(4));
    }
}

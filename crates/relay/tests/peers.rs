//! Digests and the roster built from them.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use relay::{
    digest::{Datagram, Digest, Load, Spent},
    journal::Delta,
    roster::Roster,
};
use sched::fleet::Distance;
use std::{net::SocketAddr, time::Duration};
use units::{InstanceId, OrganisationId, Time, Version, ZoneId};

fn digest(from: &str, zone: &str, sequence: u64) -> Digest {
    Digest {
        from: InstanceId::new(from).unwrap(),
        incarnation: 1,
        sequence,
        zone: ZoneId::new(zone).unwrap(),
        leaving: false,
        configuration: Version(3),
        directory_head: Version(5),
        directory: Some(Delta::default()),
        owner_weight: 12,
        owned: Box::default(),
        store_lost: false,
        store_returned: false,
        demand: 10,
        waiting: Box::default(),
        loads: Box::new([Load { endpoint: 1, in_flight: 2, pending_prefill: 3 }]),
        spent: Box::new([Spent {
            organisation: OrganisationId::new("o").unwrap(),
            admitted: 9,
            requested: 9,
        }]),
        strikes: Box::default(),
    }
}

fn address() -> SocketAddr {
    "10.0.0.1:7600".parse().unwrap()
}

fn roster(me: &str) -> Roster {
    Roster::new(InstanceId::new(me).unwrap())
}

fn receive(roster: &mut Roster, digest: &Digest, now: Time) -> bool {
    let distance = match digest.zone.as_str() {
        "a" => Distance::SameZone,
        "b" => Distance::SameRegion,
        _ => Distance::CrossRegion,
    };
    roster.accept(digest, address(), distance, now)
}

#[test]
fn only_the_holder_of_the_secret_is_heard() {
    let sent = Datagram::Digest(Box::new(digest("n", "a", 1)));
    let datagram = sent.encode_with_hmac(b"secret").unwrap();
    assert_eq!(Datagram::verify_and_decode(&datagram, b"secret").unwrap(), sent);
    assert!(Datagram::verify_and_decode(&datagram, b"another").is_err());
    assert!(Datagram::verify_and_decode(b"short", b"secret").is_err());
    for at in 0..datagram.len() {
        let mut forged = datagram.clone();
        forged[at] ^= 1;
        assert!(Datagram::verify_and_decode(&forged, b"secret").is_err(), "byte {at}");
    }
}

#[test]
fn late_and_repeated_digests_are_dropped() {
    let mut roster = roster("me");
    let now = Time::from_millis(1_000);
    assert!(receive(&mut roster, &digest("n", "a", 2), now));
    assert!(!receive(&mut roster, &digest("n", "a", 2), now));
    assert!(!receive(&mut roster, &digest("n", "a", 1), now));
    let restarted = Digest { incarnation: 2, ..digest("n", "a", 1) };
    assert!(receive(&mut roster, &restarted, now));
}

/// If the clock was set back before a restart, the new incarnation has a smaller number.
#[test]
fn node_that_starts_after_its_clock_was_set_back_is_heard() {
    let mut roster = roster("me");
    let start = Time::from_millis(1_000);
    assert!(receive(&mut roster, &Digest { incarnation: 9, ..digest("n", "a", 50) }, start));
    let set_back = Digest { incarnation: 3, ..digest("n", "a", 1) };
    assert!(
        !receive(&mut roster, &set_back, start),
        "may be a late digest of the previous incarnation"
    );
    let later = start + Duration::from_secs(6);
    assert!(receive(&mut roster, &set_back, later));
    assert!(!receive(&mut roster, &set_back, later), "already received");
}

#[test]
fn silent_nodes_count_until_they_are_forgotten() {
    let mut roster = roster("me");
    let start = Time::from_millis(1_000);
    receive(&mut roster, &digest("n", "a", 1), start);
    assert!((roster.live_fraction(start) - 1.0).abs() < 1e-9);
    let later = start + Duration::from_secs(10);
    assert!((roster.live_fraction(later) - 0.5).abs() < 1e-9, "known but not live");
    assert_eq!(roster.newest_configuration(later), Version(0));
    let removed = roster.remove_silent(start + Duration::from_secs(31));
    assert_eq!(removed.len(), 1);
    assert!((roster.live_fraction(later) - 1.0).abs() < 1e-9);
}

/// Among nodes that are live to each other, only a few read the store, and lost readers are
/// replaced.
#[test]
fn few_nodes_read_the_store() {
    let readers = |alive: &[String], now: Time| -> Vec<String> {
        let reads = |me: &&String| {
            let mut roster = roster(me);
            for other in alive.iter().filter(|other| *other != *me) {
                receive(&mut roster, &digest(other, "a", 1), now);
            }
            roster.is_reader(false, now)
        };
        alive.iter().filter(reads).cloned().collect()
    };
    let now = Time::from_millis(1_000);
    for (nodes, first, second) in [(7, 4, 3), (60, 5, 4), (300, 8, 8)] {
        let names: Vec<String> = (0..nodes).map(|number| format!("n-{number}")).collect();
        let lost = readers(&names, now);
        assert_eq!(lost.len(), first, "{nodes} nodes");
        let alive: Vec<String> = names.into_iter().filter(|name| !lost.contains(name)).collect();
        assert_eq!(
            readers(&alive, now).len(),
            second,
            "{nodes} nodes, of which the first readers are lost"
        );
    }
    assert!(roster("alone").is_reader(false, now));
}

#[test]
fn part_follows_demand_and_zone() {
    let mut roster = roster("me");
    let now = Time::from_millis(1_000);
    receive(&mut roster, &Digest { demand: 30, ..digest("near", "a", 1) }, now);
    receive(&mut roster, &Digest { demand: 60, ..digest("far", "b", 1) }, now);
    let shares = roster.demand_shares(10, now);
    assert!((shares.zone - 0.25).abs() < 1e-9);
    assert!((shares.all - 0.1).abs() < 1e-9);
}

/// Six of seven nodes lose the store: the one that reaches it reads, whatever its rank. The first
/// nodes keep trying, and the others stop.
#[test]
fn node_that_reaches_the_store_replaces_the_readers() {
    let now = Time::from_millis(1_000);
    let names: Vec<String> = (0..7).map(|number| format!("n-{number}")).collect();
    for reaching in &names {
        let reads = |me: &String| {
            let mut roster = roster(me);
            for other in names.iter().filter(|other| *other != me) {
                let lost = Digest { store_lost: other != reaching, ..digest(other, "a", 1) };
                receive(&mut roster, &lost, now);
            }
            roster.is_reader(me != reaching, now)
        };
        assert!(reads(reaching), "{reaching}");
        let others = names.iter().filter(|name| *name != reaching && reads(name)).count();
        assert!((3..=4).contains(&others), "{others} keep trying");
    }
}

/// Each region has readers of its own, so that a document crosses the link between regions only a
/// few times.
#[test]
fn each_region_has_readers() {
    let now = Time::from_millis(1_000);
    let names: Vec<String> = (0..300).map(|number| format!("n-{number}")).collect();
    let zone = |number: usize| if number < 150 { "a" } else { "c" };
    let reads = |number: &usize| {
        let mut roster = roster(&names[*number]).with_regions(2);
        for other in (0..300).filter(|other| other != number) {
            let same = zone(other) == zone(*number);
            let digest = digest(&names[other], if same { "a" } else { "c" }, 1);
            receive(&mut roster, &digest, now);
        }
        roster.is_reader(false, now)
    };
    assert_eq!((0..150).filter(reads).count(), 4);
    assert_eq!((150..300).filter(reads).count(), 4);
}

/// All nodes start at once: those that know the others from their rows only do not all read.
#[test]
fn nodes_that_start_together_do_not_all_read() {
    let now = Time::from_millis(1_000);
    let names: Vec<String> = (0..60).map(|number| format!("n-{number}")).collect();
    let reads = |me: &&String, at: Time| {
        let mut roster = roster(me);
        for other in names.iter().filter(|other| other != me) {
            let id = InstanceId::new(other).unwrap();
            roster.upsert(&id, address(), Some(Distance::SameZone), now);
        }
        roster.is_reader(false, at)
    };
    assert_eq!(names.iter().filter(|me| reads(me, now)).count(), 5);
    let later = now + Duration::from_secs(2);
    assert_eq!(names.iter().filter(|me| reads(me, later)).count(), 60, "the others may be gone");
}

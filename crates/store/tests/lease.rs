//! At most one elector holds a lease, whatever pauses occur between its steps.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use std::time::Duration;
use store::lease::{Elector, LEASE_DURATION, Lease};
use units::{InstanceId, Time};

const KEY: &str = "lease/test";
const ELECTORS: usize = 3;

/// Step of one gateway: delay before the read starts, duration of the read, delay until the write
/// is applied.
#[derive(Debug, Clone)]
struct Step {
    elector: usize,
    pause_ms: u64,
    read_ms: u64,
    write_ms: u64,
}

fn step() -> impl Strategy<Value = Step> {
    let pause = prop_oneof![5 => 0u64..1500, 1 => 0u64..15_000];
    let call = prop_oneof![5 => 0u64..50, 1 => 0u64..12_000];
    (0..ELECTORS, pause, call.clone(), call).prop_map(|(elector, pause_ms, read_ms, write_ms)| {
        Step { elector, pause_ms, read_ms, write_ms }
    })
}

/// Events of overlapping steps, processed in order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Read(usize),
    Write(usize),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn never_two_holders(steps in prop::collection::vec(step(), 1..60)) {
        let name = |i: usize| InstanceId::new(&format!("gw-{i}")).unwrap();
        let mut electors: Vec<Elector> =
            (0..ELECTORS).map(|i| Elector::new(name(i), KEY)).collect();
        let mut free_at = [0u64; ELECTORS];
        let mut events = Vec::new();
        let mut start = 0;
        for (index, step) in steps.iter().enumerate() {
            start += step.pause_ms / 4;
            let started = free_at[step.elector].max(start) + step.pause_ms;
            let read = started + step.read_ms;
            let write = read + step.write_ms;
            free_at[step.elector] = write + 1;
            events.push((read, Event::Read(index), started));
            events.push((write, Event::Write(index), started));
        }
        events.sort();
        let mut row: Option<(Lease, u64)> = None;
        let mut planned: Vec<Option<(Lease, Option<u64>)>> = vec![None; steps.len()];
        let mut fences = Vec::new();
        for (at, event, started) in events {
            let (now, started) = (Time::from_millis(at), Time::from_millis(started));
            match event {
                Event::Read(index) => {
                    let version = row.as_ref().map(|(_, version)| *version);
                    let found = row.as_ref().map(|(lease, _)| lease);
                    let next = electors[steps[index].elector].next_lease(found, started, now);
                    planned[index] = next.map(|lease| (lease, version));
                }
                Event::Write(index) => {
                    let Some((lease, version)) = planned[index].take() else { continue };
                    if row.as_ref().map(|(_, version)| *version) == version {
                        fences.push(lease.fence);
                        row = Some((lease.clone(), version.unwrap_or(0) + 1));
                        electors[steps[index].elector].confirm(lease, started);
                    }
                }
            }
            for probe in [0, 500, 3000] {
                let later = now + Duration::from_millis(probe);
                let holders = electors.iter().filter(|e| e.fence(later).is_some()).count();
                prop_assert!(probe > 0 || holders <= 1, "{holders} holders at {now}");
            }
        }
        prop_assert!(fences.windows(2).all(|pair| pair[0] <= pair[1]), "a fencing number decreased");
    }
}

#[test]
fn a_holder_that_wakes_late_gives_no_order() {
    let mut elector = Elector::new(InstanceId::new("gw-1").unwrap(), KEY);
    let lease = elector.next_lease(None, Time::ZERO, Time::ZERO).unwrap();
    elector.confirm(lease, Time::ZERO);
    assert_eq!(elector.fence(Time::from_millis(100)), Some(1));
    assert_eq!(elector.fence(Time::ZERO + LEASE_DURATION), None);
}

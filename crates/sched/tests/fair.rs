//! Properties of the fair queue.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use sched::{Job, fair::Queue};
use std::collections::BTreeMap;
use units::{Fingerprint, InstanceId, OrganisationId, Rank, RequestId, Time, Tokens, Work};

fn job(number: u64, rank: u8, organisation: u8, output: u64, deadline_ms: u64) -> Job {
    Job {
        request: RequestId::new(u128::from(number)),
        holder: InstanceId::new("gw-1").unwrap(),
        rank: Rank(rank),
        organisation: OrganisationId::new(&format!("org-{organisation}")).unwrap(),
        prompt: Tokens(0),
        output: Tokens(output),
        deadline: Time::from_millis(deadline_ms),
        prefixes: Box::new([]),
        fingerprint: Fingerprint(number),
        suspect: false,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push { rank: u8, organisation: u8, output: u64, deadline_ms: u64 },
    Serve,
    Shed,
    Correct { organisation: u8, actual: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..5, 0u8..6, 1u64..400, 0u64..1000).prop_map(|(rank, organisation, output, deadline_ms)| {
            Step::Push { rank, organisation, output, deadline_ms }
        }),
        3 => Just(Step::Serve),
        1 => Just(Step::Shed),
        1 => (0u8..6, 0u64..500).prop_map(|(organisation, actual)| Step::Correct { organisation, actual }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// The queue keeps exactly what was pushed and not taken; it serves the highest tier and
    /// sheds the lowest.
    #[test]
    fn highest_served_lowest_shed(steps in prop::collection::vec(step(), 1..200)) {
        let mut queue = Queue::new();
        let mut model: BTreeMap<RequestId, Job> = BTreeMap::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Push { rank, organisation, output, deadline_ms } => {
                    let job = job(number as u64, rank, organisation, output, deadline_ms);
                    model.insert(job.request, job.clone());
                    queue.push(job);
                }
                Step::Serve => {
                    let head = queue.heads().next().cloned();
                    prop_assert_eq!(head.is_some(), !model.is_empty());
                    let Some(head) = head else { continue };
                    let highest = model.values().map(|job| job.rank).min().unwrap();
                    prop_assert_eq!(head.rank, highest);
                    let own = model.values().filter(|job| {
                        job.organisation == head.organisation && job.rank == head.rank
                    });
                    prop_assert_eq!(head.deadline, own.map(|job| job.deadline).min().unwrap());
                    queue.serve(head.request).unwrap();
                    model.remove(&head.request);
                }
                Step::Shed => {
                    let victim = queue.victim().cloned();
                    prop_assert_eq!(victim.is_some(), !model.is_empty());
                    let Some(victim) = victim else { continue };
                    prop_assert_eq!(victim.rank, model.values().map(|job| job.rank).max().unwrap());
                    queue.remove(victim.request).unwrap();
                    model.remove(&victim.request);
                }
                Step::Correct { organisation, actual } => {
                    let id = OrganisationId::new(&format!("org-{organisation}")).unwrap();
                    queue.correct(&id, Work(50), Work(actual));
                }
            }
            prop_assert_eq!(queue.len(), model.len());
            let work: u64 = model.values().map(|job| job.work().0).sum();
            prop_assert_eq!(queue.work(), Work(work));
            prop_assert_eq!(queue.heads().count(), {
                let mut groups: Vec<_> = model.values().map(|job| (job.rank, job.organisation.clone())).collect();
                groups.sort();
                groups.dedup();
                groups.len()
            });
        }
    }

    /// Backlogged organisations get equal work, up to one request, whatever the sizes of their
    /// requests.
    #[test]
    fn equal_work(sizes in prop::collection::vec(1u64..400, 2..8), serves in 50usize..300) {
        let mut queue = Queue::new();
        let mut number = 0;
        for (organisation, size) in sizes.iter().enumerate() {
            for _ in 0..serves + 1 {
                number += 1;
                queue.push(job(number, 2, u8::try_from(organisation).unwrap(), *size, number));
            }
        }
        let mut served: BTreeMap<OrganisationId, u64> = BTreeMap::new();
        for _ in 0..serves {
            let request = queue.heads().next().unwrap().request;
            let job = queue.serve(request).unwrap();
            *served.entry(job.organisation.clone()).or_default() += job.work().0;
        }
        let all = || sizes.iter().enumerate().map(|(i, _)| {
            let id = OrganisationId::new(&format!("org-{i}")).unwrap();
            served.get(&id).copied().unwrap_or(0)
        });
        let largest = sizes.iter().max().unwrap() + 1;
        prop_assert!(all().max().unwrap() - all().min().unwrap() <= largest, "{served:?}");
    }

    /// A newcomer is served within one round of the others, however long it was idle.
    #[test]
    fn newcomer_waits_one_round(others in 1u8..20, before in 1usize..200) {
        let mut queue = Queue::new();
        let mut number = 0;
        for organisation in 0..others {
            for _ in 0..before + 30 {
                number += 1;
                queue.push(job(number, 1, organisation, 100, number));
            }
        }
        for _ in 0..before {
            let request = queue.heads().next().unwrap().request;
            queue.serve(request);
        }
        number += 1;
        queue.push(job(number, 1, 200, 100, number));
        let mut waited = 0;
        loop {
            let head = queue.heads().next().unwrap();
            let (request, own) = (head.request, head.organisation.as_str() == "org-200");
            if own {
                break;
            }
            queue.serve(request);
            waited += 1;
            prop_assert!(waited <= usize::from(others), "waited {waited} turns");
        }
    }
}

/// An organisation that was idle must not get more than its share afterwards.
#[test]
fn idle_time_is_not_saved() {
    let mut queue = Queue::new();
    for number in 0..100 {
        queue.push(job(number, 0, 0, 100, number));
    }
    for _ in 0..50 {
        let request = queue.heads().next().unwrap().request;
        queue.serve(request);
    }
    for number in 100..150 {
        queue.push(job(number, 0, 1, 100, number));
    }
    let mut newcomer = 0;
    for _ in 0..20 {
        let request = queue.heads().next().unwrap().request;
        newcomer += u32::from(queue.serve(request).unwrap().organisation.as_str() == "org-1");
    }
    assert!((9..=11).contains(&newcomer), "{newcomer} of 20 turns");
}

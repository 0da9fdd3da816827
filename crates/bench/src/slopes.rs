//! Scaling of the decision code with the number of endpoints, organisations and members.

use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sched::{
    Cell, CellId, Job, Outcome,
    cell::Config,
    fair::Queue,
    job::Prefix,
    route::{Backend, CELL_ENDPOINTS, Member, owners, shard_count, shard_of},
};
use std::{
    hint::black_box,
    time::{Duration, Instant},
};
use units::{
    EndpointId, Fingerprint, InstanceId, OrganisationId, PrefixHash, Rank, RegionId, RequestId,
    ServiceId, Time, Tokens, ZoneId,
};

/// Decisions per measurement.
const ROUNDS: u64 = 20_000;
/// Repetitions of each measurement.
const REPETITIONS: usize = 5;

/// time and memory cost of the decision code by endpoints, organisations and members
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Options {
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the benchmark.
pub fn run(options: &Options) -> Result<()> {
    println!("| measurement | size | min | median | max | unit |\n|---|---|---|---|---|---|");
    // Memory is measured first, since the other measurements leave freed pages in the process.
    print_memory(options.seed);
    for endpoints in [12, 24, 100, 500, 2300] {
        let times_us = repeat(|| decide(options.seed, endpoints, 5));
        print("request through cells of 24 or fewer", &endpoints.to_string(), &times_us);
    }
    for organisations in [5, 50, 500, 2200] {
        let times_us = repeat(|| decide(options.seed, 12, organisations));
        print("request at 12 endpoints, organisations", &organisations.to_string(), &times_us);
    }
    for organisations in [5, 50, 500, 2200] {
        let times_us = repeat(|| queue(options.seed, organisations));
        print("fair queue push and serve", &organisations.to_string(), &times_us);
    }
    for members in [7, 60, 360] {
        let times_us = repeat(|| rank(members));
        print("ranking owners of a cell", &members.to_string(), &times_us);
    }
    print_sizes()
}

/// Resident memory of this process in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Prints the memory of a waiting request at its owner and at its holder, and of a member.
fn print_memory(seed: u64) {
    const WAITING: u64 = 100_000;
    const MEMBERS: u64 = 5_000;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let before = resident();
    let mut queue = Queue::new();
    for _ in 0..WAITING {
        queue.push(job(&mut rng, 5));
    }
    let queued = (resident() - before) / WAITING;
    println!("| memory of a waiting request at its owner | {WAITING} | | {queued} | | B |");
    let before = resident();
    let mut holder = sched::Holder::new();
    let route = sched::holder::Route {
        cell: cells(CELL_ENDPOINTS)[0].id().clone(),
        owners: Box::new([InstanceId::new("gw-1").expect("a valid name")]),
    };
    for _ in 0..WAITING {
        black_box(holder.submit(job(&mut rng, 5), std::slice::from_ref(&route), Time::ZERO));
    }
    let held = (resident() - before) / WAITING;
    println!(
        "| memory of a waiting request at its holder, without its body | {WAITING} | | {held} | | B |"
    );
    let before = resident();
    let mut roster = None;
    for index in 0..MEMBERS {
        let record = member::Record {
            instance: InstanceId::new(&format!("gw-{index}")).expect("a valid name"),
            address: std::net::SocketAddr::from(([10, 0, 0, 1], 7400)),
            zone: ZoneId::new("zone").expect("a valid name"),
            region: RegionId::new("region").expect("a valid name"),
            incarnation: index,
            state: member::State::Alive,
        };
        let roster = roster.get_or_insert_with(|| {
            member::Roster::new(record.clone(), member::Config::default(), Time::ZERO)
        });
        let from = record.instance.clone();
        let message = member::Message::Rumours(Box::new([record]));
        black_box(roster.receive(&from, message, Time::ZERO).len());
    }
    let known = (resident() - before) / MEMBERS;
    println!("| memory of a member in the roster | {MEMBERS} | | {known} | | B |");
}

fn repeat(measure: impl Fn() -> Duration) -> Vec<f64> {
    let mut times_us: Vec<f64> = (0..REPETITIONS).map(|_| measure().as_secs_f64() * 1e6).collect();
    times_us.sort_by(f64::total_cmp);
    times_us
}

fn print(name: &str, size: &str, times_us: &[f64]) {
    let (min, median, max) =
        (times_us[0], times_us[times_us.len() / 2], times_us[times_us.len() - 1]);
    println!("| {name} | {size} | {min:.2} | {median:.2} | {max:.2} | µs |");
}

fn job(rng: &mut Pcg64Mcg, organisations: u64) -> Job {
    let prefix = |i: u64| Prefix { hash: PrefixHash(i), tokens: Tokens(256 * (i + 1)) };
    Job {
        request: RequestId::random(rng),
        holder: InstanceId::new("gw-1").expect("a valid name"),
        rank: Rank(rng.random_range(0..5)),
        organisation: organisation(rng.random_range(0..organisations)),
        prompt: Tokens(rng.random_range(50..5000)),
        output: Tokens(rng.random_range(8..400)),
        deadline: Time::from_millis(u64::MAX / 2000),
        prefixes: (0..8).map(prefix).collect(),
        fingerprint: Fingerprint(rng.random()),
        suspect: false,
    }
}

fn organisation(index: u64) -> OrganisationId {
    OrganisationId::new(&format!("org-{index}")).expect("a valid name")
}

fn backend(index: usize) -> Backend {
    Backend {
        endpoint: EndpointId::new(&format!("engine-{index}")).expect("a valid name"),
        service: ServiceId::new("model").expect("a valid name"),
        zone: ZoneId::new("zone").expect("a valid name"),
        region: RegionId::new("region").expect("a valid name"),
    }
}

fn cells(endpoints: usize) -> Vec<Cell> {
    let count = shard_count(endpoints);
    let backends: Vec<Backend> = (0..endpoints).map(backend).collect();
    let mut groups: Vec<Vec<EndpointId>> = vec![Vec::new(); usize::from(count)];
    for backend in &backends {
        groups[usize::from(shard_of(&backend.endpoint, count))].push(backend.endpoint.clone());
    }
    let service = &backends[0].service;
    let region = &backends[0].region;
    let make = |(shard, group): (u16, Vec<EndpointId>)| {
        let id = CellId { service: service.clone(), region: region.clone(), shard };
        let mut cell = Cell::new(id, Config::default(), 0, Time::ZERO);
        cell.set_endpoints(&group);
        cell
    };
    (0..count).zip(groups).map(make).collect()
}

/// Mean time of one request's lifecycle at its owner: registration, grant, first token and release.
fn decide(seed: u64, endpoints: usize, organisations: u64) -> Duration {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut cells = cells(endpoints);
    let jobs: Vec<Job> = (0..ROUNDS).map(|_| job(&mut rng, organisations)).collect();
    let started = Instant::now();
    let mut now = Time::from_millis(1);
    for (index, job) in jobs.into_iter().enumerate() {
        let count = cells.len();
        let cell = &mut cells[index % count];
        cell.register(job, now);
        let decisions = cell.decide(now);
        for grant in decisions.grants {
            now = now + Duration::from_micros(50);
            cell.record_first_token(grant.permit, Duration::from_millis(20), now);
            let outcome = Outcome::Completed { output: Tokens(40), gap_us: 12_000 };
            cell.release(black_box(grant.permit), outcome, now);
        }
    }
    started.elapsed() / u32::try_from(ROUNDS).unwrap_or(1)
}

/// Mean time of a push and a serve while every organisation is backlogged.
fn queue(seed: u64, organisations: u64) -> Duration {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut queue = Queue::new();
    for _ in 0..organisations * 4 {
        queue.push(job(&mut rng, organisations));
    }
    let jobs: Vec<Job> = (0..ROUNDS).map(|_| job(&mut rng, organisations)).collect();
    let started = Instant::now();
    for job in jobs {
        queue.push(job);
        let next = queue.heads().next().map(|head| head.request);
        if let Some(request) = next {
            black_box(queue.serve(request));
        }
    }
    started.elapsed() / u32::try_from(ROUNDS).unwrap_or(1)
}

/// Mean time to rank the owners of a cell.
fn rank(members: usize) -> Duration {
    const RANKINGS: u32 = 500;
    let region = RegionId::new("region").expect("a valid name");
    let member = |index: usize| Member {
        instance: InstanceId::new(&format!("gw-{index}")).expect("a valid name"),
        region: region.clone(),
    };
    let members: Vec<Member> = (0..members).map(member).collect();
    let service = ServiceId::new("model").expect("a valid name");
    let started = Instant::now();
    for shard in 0..RANKINGS {
        let shard = u16::try_from(shard).unwrap_or(0);
        let id = CellId { service: service.clone(), region: region.clone(), shard };
        black_box(owners(&id, &members));
    }
    started.elapsed() / RANKINGS
}

/// Prints the sizes of the frames of one request.
fn print_sizes() -> Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let job = job(&mut rng, 5);
    let id = cells(CELL_ENDPOINTS)[0].id().clone();
    let timed = wire::TimedJob::new(job.clone(), Time::ZERO);
    let grant = sched::Grant {
        request: job.request,
        holder: job.holder.clone(),
        permit: units::Permit(u64::MAX / 3),
        endpoint: backend(1).endpoint,
        reason: sched::Reason::EarliestEnd,
        runners_up: Box::new([]),
    };
    let frames = [
        ("register", wire::Frame::Register(id.clone(), timed)),
        ("grant", wire::Frame::Grant(id.clone(), grant.clone())),
        (
            "first token",
            wire::Frame::FirstToken(id.clone(), grant.permit, Duration::from_millis(9)),
        ),
        (
            "ended",
            wire::Frame::Ended(
                id,
                grant.permit,
                Outcome::Completed { output: Tokens(400), gap_us: 20_000 },
            ),
        ),
    ];
    for (name, frame) in frames {
        let mut bytes = Vec::new();
        wire::encode(&frame, &mut bytes)?;
        println!("| frame {name} | 1 | | {} | | B |", bytes.len());
    }
    Ok(())
}

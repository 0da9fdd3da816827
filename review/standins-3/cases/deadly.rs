//! A request that crashes each worker that begins to run it comes again and again.

use super::{configuration, route};
use crate::{
    client::Request,
    options::Options,
    site::{Record, Site},
    worker::micros,
};
use std::{
    collections::BTreeSet,
    io::{Error, Result},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Bound of the pages: `stable_ms`.
const STABLE_MICROS: u128 = 4_000_000;
/// Retries that may reach workers after it.
const ALLOWED: usize = 3;
/// Idempotent request under which workers crash, told from sound ones by its query alone.
const DEADLY_QUERY: &str = "/lookup/record?id=7";
/// The same for a request that may run once at most.
const DEADLY_BOOKING: &str = "/book/visit-13";
/// Time between two sendings of the deadly request.
const AGAIN: Duration = Duration::from_secs(5);

/// Zones with their workers and nodes, as on the sheet: one worker of the service in each zone.
fn start(nodes: &[&str], routes: &[String], options: &Options) -> Result<Site> {
    let mut site = Site::start()?;
    site.store.put("op", "config", &configuration(3, &routes.join(",")));
    for zone in ["z1", "z2", "z3"] {
        site.add_worker("desk", zone, 6, options);
    }
    for zone in nodes {
        site.add_node(zone, "")?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Err(Error::other("the nodes do not become ready"));
    }
    thread::sleep(Duration::from_secs(1));
    Ok(site)
}

fn desk_routes() -> [String; 2] {
    [
        route("lookup", "idempotent", "desk", 800, 150, 2, false),
        route("book", "non_idempotent", "desk", 800, 150, 1, false),
    ]
}

fn desk_options(deadly: &str, trouble: bool) -> Options {
    let options = Options::default().with("work-ms", 15);
    if trouble { options.with("deadly-path", deadly) } else { options }
}

/// Sends a request and records what its client sees.
fn send(record: &Record, request: &Request, front: SocketAddr) {
    let attempt = &request.attempt;
    record.add(format!("client: sends {attempt} {}", request.path));
    match request.send(front) {
        Ok(answer) => record.add(format!("client: {attempt} gets {}", answer.status())),
        Err(e) => record.add(format!("client: {attempt} fails: {e}")),
    }
}

/// Ordinary bookings and look-ups at each node, until it is dropped.
struct Sound {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Sound {
    fn start(site: &Site) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = site.nodes.iter().enumerate().map(|(number, node)| {
            let (front, stop, record) = (node.front, Arc::clone(&stop), site.record.clone());
            thread::spawn(move || {
                for round in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("sound-{number}-{round}");
                    let request = if round % 2 == 0 {
                        let request = Request::new("POST", "/book/visit", &attempt, 800);
                        request.with_body(attempt.as_bytes())
                    } else {
                        Request::new("GET", &format!("/lookup/record?id={attempt}"), &attempt, 800)
                    };
                    send(&record, &request, front);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        });
        Self { threads: threads.collect(), stop }
    }
}

impl Drop for Sound {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().ok();
        }
    }
}

/// Counts the retries that reached workers later than the bound after the third crash, and ends the
/// run. One sending by the client counts once, however many workers it reached.
fn judge(site: Site, deadly: &str, record: &str) -> Result<bool> {
    let seen = site.seen();
    let crashes: Vec<u128> = seen.iter().filter(|s| s.what == "crash").map(|s| s.micros).collect();
    let late: BTreeSet<&str> = crashes.get(2).map_or_else(BTreeSet::new, |third| {
        let runs = seen.iter().filter(|s| s.what == "run" && s.path == deadly);
        runs.filter(|s| s.micros > third + STABLE_MICROS).map(|s| s.attempt.as_str()).collect()
    });
    let result = format!(
        "{} crashes; {} retries of the request reached workers later than 4 s after the third crash, {ALLOWED} are allowed",
        crashes.len(),
        late.len()
    );
    println!("{result}");
    let held = late.len() <= ALLOWED;
    site.record.add_at(micros(), format!("result: {result}"));
    site.record.write(record)?;
    Ok(held)
}

fn wait_for_round(begun: Instant, round: u32) {
    thread::sleep((AGAIN * round).saturating_sub(begun.elapsed()));
}

/// Sound look-ups have the same path and caller, no body, and another query.
pub fn queried(record: &str, trouble: bool) -> Result<bool> {
    let options = desk_options(DEADLY_QUERY, trouble);
    let site = start(&["z1", "z2", "z3"], &desk_routes(), &options)?;
    let sound = Sound::start(&site);
    let begun = Instant::now();
    for round in 0..13_u32 {
        wait_for_round(begun, round);
        let node = &site.nodes[round as usize % site.nodes.len()];
        let deadly = Request::new("GET", DEADLY_QUERY, &format!("deadly-{round}"), 800);
        send(&site.record, &deadly, node.front);
    }
    drop(sound);
    judge(site, DEADLY_QUERY, record)
}

/// A client sends a sound request and, 5 ms later, the deadly one, and both again some seconds later.
/// Both may run once at most, and their nodes have one worker in their region.
pub fn accompanied(record: &str, trouble: bool) -> Result<bool> {
    let site = start(&["z3", "z3", "z1"], &desk_routes(), &desk_options(DEADLY_BOOKING, trouble))?;
    let sound = Sound::start(&site);
    let begun = Instant::now();
    for round in 0..13_u32 {
        wait_for_round(begun, round);
        let node = &site.nodes[round as usize % 2];
        let first = Request::new("POST", "/book/beside", &format!("beside-{round}"), 800);
        let first = first.with_body(b"visit 12");
        let (record, front) = (site.record.clone(), node.front);
        let first = thread::spawn(move || send(&record, &first, front));
        thread::sleep(Duration::from_millis(5));
        let deadly = Request::new("POST", DEADLY_BOOKING, &format!("deadly-{round}"), 800);
        send(&site.record, &deadly.with_body(b"visit 13"), node.front);
        first.join().ok();
    }
    drop(sound);
    judge(site, DEADLY_BOOKING, record)
}

/// All nodes are killed at once after the second crash, and start again.
pub fn forgotten(record: &str, trouble: bool) -> Result<bool> {
    let mut site = start(&["z1", "z2", "z3"], &desk_routes(), &desk_options(DEADLY_BOOKING, true))?;
    let sound = Sound::start(&site);
    let begun = Instant::now();
    let rounds = [0, 1].into_iter().chain((6..=66).step_by(5));
    for (round, second) in rounds.enumerate() {
        if second == 6 {
            thread::sleep(Duration::from_secs(2).saturating_sub(begun.elapsed()));
            if trouble {
                site.kill_nodes(Duration::from_millis(500))?;
            }
        }
        thread::sleep(Duration::from_secs(second).saturating_sub(begun.elapsed()));
        let node = &site.nodes[round % site.nodes.len()];
        let deadly = Request::new("POST", DEADLY_BOOKING, &format!("deadly-{round}"), 800);
        send(&site.record, &deadly.with_body(b"visit 13"), node.front);
    }
    drop(sound);
    judge(site, DEADLY_BOOKING, record)
}

/// Workers of language models and nodes in three zones.
fn start_engines(route: String, options: &Options) -> Result<Site> {
    let mut site = Site::start()?;
    site.store.put("op", "config", &configuration(3, &route));
    let options = options.clone().with("first-ms", 50).with("events", 10).with("gap-ms", 25);
    for number in 0..12 {
        site.add_worker("llm", ["z1", "z2", "z3"][number % 3], 11, &options);
    }
    for zone in ["z1", "z2", "z3"] {
        site.add_node(zone, "")?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Err(Error::other("the nodes do not become ready"));
    }
    thread::sleep(Duration::from_secs(1));
    Ok(site)
}

/// Sends a request whose prompt holds a part, in a thread of its own.
fn send_prompt(site: &Site, node: usize, attempt: &str, path: &str, part: &str) -> JoinHandle<()> {
    let own = attempt.bytes().fold(0_u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
    let request = Request::new("POST", path, attempt, 10_000);
    let request = request.with_body(attempt.as_bytes());
    let request = request
        .with_header("X-Model", "m")
        .with_header("X-Token-Usage", "628,70")
        .with_header("X-Prompt-Prefix", &format!("5a4ed1:60,{part}:400,{own:08x}:168"));
    let (front, record) = (site.nodes[node].front, site.record.clone());
    thread::spawn(move || {
        let attempt = &request.attempt;
        record.add(format!("client: sends {attempt} {}", request.path));
        match request.send(front) {
            Ok(answer) => {
                let (status, end) =
                    (answer.status(), if answer.complete { "whole" } else { "broken off" });
                let events = answer.body.windows(4).filter(|w| w == b"id: ").count();
                record.add(format!("client: {attempt} gets {status}, {events} events, {end}"));
            }
            Err(e) => record.add(format!("client: {attempt} fails: {e}")),
        }
    })
}

/// Counts the requests with the part that reached workers later than the bound after the fifth crash,
/// and ends the run.
fn judge_part(site: Site, record: &str) -> Result<bool> {
    let seen = site.seen();
    let crashes: Vec<u128> = seen.iter().filter(|s| s.what == "crash").map(|s| s.micros).collect();
    let late: BTreeSet<&str> = crashes.get(4).map_or_else(BTreeSet::new, |fifth| {
        let runs = seen.iter().filter(|s| s.what == "run" && s.attempt.starts_with("deadly"));
        runs.filter(|s| s.micros > fifth + STABLE_MICROS).map(|s| s.attempt.as_str()).collect()
    });
    let result = format!(
        "{} crashes; {} requests with the part reached workers later than 4 s after the fifth crash, {ALLOWED} are allowed",
        crashes.len(),
        late.len()
    );
    println!("{result}");
    let held = late.len() <= ALLOWED;
    site.record.add_at(micros(), format!("result: {result}"));
    site.record.write(record)?;
    Ok(held)
}

/// Streams come without a length and without chunks. A part of a prompt crashes each worker that begins
/// to write an answer on it.
pub fn unframed(record: &str, trouble: bool) -> Result<bool> {
    let options = Options::default().with("framing", "none");
    let options = if trouble { options.with("deadly-part", "dead01") } else { options };
    let route = route("answer", "streaming", "llm", 10_000, 400, 1, false);
    let site = start_engines(route, &options)?;
    let begun = Instant::now();
    let mut clients = Vec::new();
    for round in 0..160_u32 {
        thread::sleep((Duration::from_millis(250) * round).saturating_sub(begun.elapsed()));
        let (name, part) = if round % 4 == 1 { ("deadly", "dead01") } else { ("sound", "50d001") };
        let (node, attempt) = (round as usize % site.nodes.len(), format!("{name}-{round}"));
        clients.push(send_prompt(&site, node, &attempt, "/answer/rider", part));
    }
    for client in clients {
        client.join().ok();
    }
    judge_part(site, record)
}

/// A part of a prompt crashes each worker that begins to write an answer on it. Three requests with it
/// come at the same moment, one at each node, and three others some seconds later.
pub fn together(record: &str, trouble: bool) -> Result<bool> {
    let options = Options::default();
    let options = if trouble { options.with("deadly-part", "dead01") } else { options };
    let route = route("report", "streaming", "llm", 12_000, 600, 2, true);
    let site = start_engines(route, &options)?;
    let begun = Instant::now();
    let mut clients = Vec::new();
    for round in 0..120_u32 {
        thread::sleep((Duration::from_millis(250) * round).saturating_sub(begun.elapsed()));
        for node in 0..site.nodes.len() {
            let (name, part) =
                if round % 20 == 4 { ("deadly", "dead01") } else { ("sound", "50d001") };
            if name == "deadly" || node == round as usize % site.nodes.len() {
                let attempt = format!("{name}-{round}-{node}");
                clients.push(send_prompt(&site, node, &attempt, "/report/draft", part));
            }
        }
    }
    for client in clients {
        client.join().ok();
    }
    judge_part(site, record)
}

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
/// Time between two sound requests for a stream.
const TICK: Duration = Duration::from_millis(10);
/// Events of a stream.
const EVENTS: usize = 10;
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
        Ok(answer) => {
            let status = answer.status();
            record.end(attempt, status == 200, &format!("gets {status}"));
        }
        Err(e) => record.end(attempt, false, &format!("fails: {e}")),
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

/// Ends the run: the rule held if no more than [`ALLOWED`] attempts of the deadly request or part reached
/// workers later than the bound after a crash, the third or the fifth. An attempt counts once, however
/// many workers it reached. Also counts the sound requests that a worker had begun and that were lost or
/// cut short later than that.
fn judge(site: &Site, crash: usize, record: &str) -> Result<bool> {
    let seen = site.seen();
    let crashes: Vec<u128> = seen.iter().filter(|s| s.what == "crash").map(|s| s.micros).collect();
    let bound = crashes.get(crash - 1).map(|at| at + STABLE_MICROS);
    let is_late = |at: u128| bound.is_some_and(|bound| at > bound);
    let runs = seen.iter().filter(|s| s.what == "run" && is_late(s.micros));
    let late: BTreeSet<&str> =
        runs.map(|s| s.attempt.as_str()).filter(|attempt| attempt.starts_with("deadly")).collect();
    let begun: BTreeSet<&str> =
        seen.iter().filter(|s| s.what == "run").map(|s| s.attempt.as_str()).collect();
    let lost = site.record.outcomes().into_iter().filter(|outcome| {
        let is_sound = !outcome.attempt.starts_with("deadly");
        is_sound && !outcome.served && is_late(outcome.micros) && begun.contains(&*outcome.attempt)
    });
    let result = format!(
        "{} crashes; {} deadly requests reached workers later than 4 s after crash {crash}, {ALLOWED} are allowed; \
         {} sound ones that workers had begun were lost or cut short later than that",
        crashes.len(),
        late.len(),
        lost.count()
    );
    println!("{result}");
    site.record.add_at(micros(), format!("result: {result}"));
    site.record.write(record)?;
    Ok(late.len() <= ALLOWED)
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
    judge(&site, 3, record)
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
    judge(&site, 3, record)
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
    judge(&site, 3, record)
}

/// Workers of language models and nodes in three zones.
fn start_engines(routes: &[String], options: &Options) -> Result<Site> {
    let mut site = Site::start()?;
    site.store.put("op", "config", &configuration(3, &routes.join(",")));
    let options = options.clone().with("first-ms", 50).with("events", EVENTS).with("gap-ms", 25);
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
                let served = status == 200 && answer.complete && events == EVENTS;
                let text = format!("gets {status}, {events} events, {end}");
                record.end(attempt, served, &text);
            }
            Err(e) => record.end(attempt, false, &format!("fails: {e}")),
        }
    })
}

/// Streams come without a length and without chunks. A part of a prompt crashes each worker that begins
/// to write an answer on it.
pub fn unframed(record: &str, trouble: bool) -> Result<bool> {
    let options = Options::default().with("framing", "none");
    let options = if trouble { options.with("deadly-part", "dead01") } else { options };
    let routes = [route("answer", "streaming", "llm", 10_000, 400, 1, false)];
    let site = start_engines(&routes, &options)?;
    let begun = Instant::now();
    let mut clients = Vec::new();
    for round in 0..4_000_u32 {
        thread::sleep((TICK * round).saturating_sub(begun.elapsed()));
        let (name, part) =
            if round % 100 == 25 { ("deadly", "dead01") } else { ("sound", "50d001") };
        let (node, attempt) = (round as usize % site.nodes.len(), format!("{name}-{round}"));
        clients.push(send_prompt(&site, node, &attempt, "/answer/rider", part));
    }
    for client in clients {
        client.join().ok();
    }
    judge(&site, 5, record)
}

/// A part of a prompt crashes each worker that begins to write an answer on it. Three requests with it
/// come at the same moment, one at each node, and three others some seconds later.
pub fn together(record: &str, trouble: bool) -> Result<bool> {
    let options = Options::default();
    let options = if trouble { options.with("deadly-part", "dead01") } else { options };
    let routes = [
        route("report", "streaming", "llm", 12_000, 600, 2, true),
        route("answer", "streaming", "llm", 10_000, 400, 1, false),
    ];
    let site = start_engines(&routes, &options)?;
    let begun = Instant::now();
    let mut clients = Vec::new();
    for round in 0..3_000_u32 {
        thread::sleep((TICK * round).saturating_sub(begun.elapsed()));
        if round % 500 == 100 {
            for node in 0..site.nodes.len() {
                let attempt = format!("deadly-{round}-{node}");
                clients.push(send_prompt(&site, node, &attempt, "/report/draft", "dead01"));
            }
        }
        let (node, attempt) = (round as usize % site.nodes.len(), format!("sound-{round}"));
        clients.push(send_prompt(&site, node, &attempt, "/answer/rider", "50d001"));
    }
    for client in clients {
        client.join().ok();
    }
    judge(&site, 5, record)
}

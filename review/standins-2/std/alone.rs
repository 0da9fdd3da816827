//! Two of three machines lose power at the moment at which a key is withdrawn. The third one, which was never
//! disturbed, must not serve the key later than `config_apply_ms` after the confirmation.

#[path = "kit.rs"]
mod kit;

use kit::{Machine, Node, Record, Server, Store};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Key that the operator withdraws.
const WITHDRAWN: &str = "key-2";
const SETTLE: Duration = Duration::from_millis(6_200);
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// Time for which requests are sent after the change, and between two requests.
const LENGTH: Duration = Duration::from_secs(6);
const INTERVAL: Duration = Duration::from_millis(10);

fn look(frontend: SocketAddr, attempt: &str, key: &str) -> io::Result<u16> {
    let mut connection = TcpStream::connect_timeout(&frontend, Duration::from_secs(1))?;
    connection.set_read_timeout(Some(Duration::from_secs(2)))?;
    connection.write_all(&kit::request_with_key("GET", "/look/1", attempt, 800, "", b"", key))?;
    Ok(kit::read_reply(&mut connection, &mut Vec::new(), || {}).status)
}

fn run(directory: &str) -> io::Result<Option<bool>> {
    let record = Record::create(&format!("{directory}/record.txt"))?;
    let store = Store::new(&record);
    let routes = [kit::route("look", "idempotent", 2, false, 800)];
    let keys = [kit::KEY, WITHDRAWN];
    store.put("op", "config", &kit::configuration_with(3, &routes, 16_384, &keys));
    let mut servers = Vec::new();
    for number in 0..3 {
        let run = record.clone();
        let server = Server::start(&format!("i-{number}"), 6, "z1", move |connection, arrival, id| {
            if arrival.attempt.starts_with("w-") {
                run.add(&format!("server {id} runs {}", arrival.attempt));
            }
            let head = kit::success(arrival, id);
            connection.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())?;
            Ok(true)
        })?;
        server.register(&store);
        servers.push(Arc::new(server));
    }
    let stop = Arc::new(AtomicBool::new(false));
    for server in &servers {
        let (server, store, stop) = (Arc::clone(server), store.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                server.beat(&store);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    let machine = |name, zone| Machine { name, zone, memory_mb: 110, max_fds: 4_200 };
    let machines = [machine("n-1", "z1"), machine("n-2", "z1"), machine("n-3", "z2")];
    let (mut paths, mut nodes) = (Vec::new(), Vec::new());
    for machine in &machines {
        let path = store.path()?;
        nodes.push(Node::start(machine, path.address)?);
        paths.push(path);
    }
    if !nodes.iter().all(Node::wait_ready) {
        record.add("a process did not become ready");
        return Ok(None);
    }
    // Ordinary traffic at all machines.
    for (number, node) in nodes.iter().enumerate() {
        let (frontend, stop) = (node.frontend, Arc::clone(&stop));
        thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                look(frontend, &format!("o-{number}-{count}"), kit::KEY).ok();
                thread::sleep(Duration::from_millis(20));
            }
        });
    }
    let before: Vec<u64> = paths.iter().map(kit::StorePath::feeds).collect();
    thread::sleep(SETTLE);
    // Not all machines follow the store; the one that does not stays.
    let reads = |number: &usize| paths[*number].feeds() - before[*number];
    let left = (0..machines.len()).min_by_key(reads).unwrap_or(0);
    record.add(&format!("{} does not follow the store itself", machines[left].name));
    if kit::has_trouble() {
        for (number, node) in nodes.iter().enumerate().filter(|(number, _)| *number != left) {
            node.signal("KILL");
            record.add(&format!("{} loses power", machines[number].name));
        }
    }
    let confirmed = store.put("op", "config", &kit::configuration(6, &routes));
    let (mut number, late, mut last) = (0, AtomicUsize::new(0), Duration::ZERO);
    let until = Instant::now() + LENGTH;
    while Instant::now() < until {
        let sent = record.now();
        let status = look(nodes[left].frontend, &format!("w-{number}"), WITHDRAWN).unwrap_or(0);
        let after = sent.saturating_sub(confirmed);
        if status != 401 {
            record.add(&format!("w-{number} with the withdrawn key, sent {} ms after the confirmation: status {status}", after.as_millis()));
        }
        if status == 200 {
            last = after;
            late.fetch_add(usize::from(after > CONFIG_APPLY), Ordering::SeqCst);
        }
        number += 1;
        thread::sleep(INTERVAL);
    }
    stop.store(true, Ordering::SeqCst);
    let late = late.load(Ordering::SeqCst);
    record.add(&format!(
        "the withdrawn key was served until {} ms after the confirmation; {late} requests beyond {} ms",
        last.as_millis(),
        CONFIG_APPLY.as_millis()
    ));
    Ok(Some(late == 0))
}

fn main() -> ExitCode {
    let directory = std::env::args().nth(1).unwrap_or_else(|| "review/9".into());
    match run(&directory) {
        Ok(Some(true)) => ExitCode::from(0),
        Ok(Some(false)) => ExitCode::from(1),
        Ok(None) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

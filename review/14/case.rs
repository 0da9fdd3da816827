//! Servers leave while one machine finds the store again. The other machines, which were never disturbed,
//! must send nothing to them later than `drain_ms` after the store has confirmed that they are gone.

#[path = "../stand-ins-3/mod.rs"]
mod kit;

use kit::{Machine, Node, Record, Server, Store};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SERVERS: usize = 6;
/// Servers that leave at the same time, without reporting `draining`.
const LEAVING: usize = 2;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Length of the cut of one machine from the store.
const CUT: Duration = Duration::from_secs(4);
/// Time for the start, and for the return of the machine.
const SETTLE: Duration = Duration::from_secs(5);
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time for which requests are sent after the servers have left, and between two requests.
const LENGTH: Duration = Duration::from_secs(5);
const INTERVAL: Duration = Duration::from_millis(10);

fn answer(connection: &mut TcpStream, arrival: &kit::Arrival, id: &str) -> io::Result<bool> {
    let head = kit::success(arrival, id);
    connection.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())?;
    Ok(true)
}

fn look(frontend: SocketAddr, attempt: &str) -> io::Result<u16> {
    let mut connection = TcpStream::connect_timeout(&frontend, Duration::from_secs(1))?;
    connection.set_read_timeout(Some(Duration::from_secs(2)))?;
    connection.write_all(&kit::request("GET", "/look/1", attempt, 800, "", b""))?;
    Ok(kit::read_reply(&mut connection, &mut Vec::new(), || {}).status)
}

fn run(directory: &str) -> io::Result<Option<bool>> {
    let record = Record::create(&format!("{directory}/record.txt"))?;
    let store = Store::new(&record);
    let routes = [kit::route("look", "idempotent", 2, false, 800)];
    store.put("op", "config", &kit::configuration(3, &routes));
    // Time at which each server that leaves was gone.
    let gone: Arc<Mutex<Vec<Option<Duration>>>> = Arc::new(Mutex::new(vec![None; SERVERS]));
    let late = Arc::new(AtomicUsize::new(0));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let (gone, late, run) = (Arc::clone(&gone), Arc::clone(&late), record.clone());
        let server = Server::start(&format!("i-{number}"), 6, "z1", move |connection, arrival, id| {
            let at = gone.lock().unwrap()[number];
            if let Some(after) = at.map(|at| run.now().saturating_sub(at)) {
                run.add(&format!("server {id} runs {}, {} ms after it had left", arrival.attempt, after.as_millis()));
                late.fetch_add(usize::from(after > DRAIN), Ordering::SeqCst);
            }
            answer(connection, arrival, id)
        })?;
        server.register(&store);
        servers.push(Arc::new(server));
    }
    let stop = Arc::new(AtomicBool::new(false));
    for (number, server) in servers.iter().enumerate() {
        let (server, store, stop) = (Arc::clone(server), store.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * u32::try_from(number).unwrap_or(0) / u32::try_from(SERVERS).unwrap_or(1));
            while !stop.load(Ordering::SeqCst) {
                server.beat(&store);
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let machine = |name, zone| Machine { name, zone, memory_mb: 110, max_fds: 4_200 };
    let machines = [machine("n-1", "z1"), machine("n-2", "z1"), machine("n-3", "z2")];
    let mut paths = Vec::new();
    let mut nodes = Vec::new();
    for machine in &machines {
        let path = store.path()?;
        nodes.push(Node::start(machine, path.address)?);
        paths.push(path);
    }
    if !nodes.iter().all(Node::wait_ready) {
        record.add("a process did not become ready");
        return Ok(None);
    }
    let before: Vec<u64> = paths.iter().map(kit::StorePath::feeds).collect();
    thread::sleep(SETTLE);
    // Not all machines follow the store.
    let reads = |number: &usize| paths[*number].feeds() - before[*number];
    let reader = (0..machines.len()).max_by_key(reads).unwrap_or(0);
    let (name, path) = (machines[reader].name, &paths[reader]);
    record.add(&format!("{name} follows the servers' entries"));
    if kit::has_trouble() {
        record.add(&format!("{name} is cut from the store"));
        path.cut();
        thread::sleep(CUT);
        path.heal();
        record.add("the cut heals");
    } else {
        thread::sleep(CUT);
    }
    let before = path.feeds();
    let until = Instant::now() + SETTLE;
    while path.feeds() == before && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
    record.add(&format!("{name} has read the servers' changes again"));
    thread::sleep(Duration::from_millis(200));
    for (number, server) in servers.iter().take(LEAVING).enumerate() {
        gone.lock().unwrap()[number] = Some(server.leave(&store));
    }
    // Clients of the machines that were never disturbed.
    let (mut number, mut answered) = (0, 0);
    let until = Instant::now() + LENGTH;
    while Instant::now() < until {
        let node = &nodes[(reader + 1 + number % 2) % nodes.len()];
        let attempt = format!("r-{number}");
        answered += usize::from(look(node.frontend, &attempt).is_ok_and(|status| status == 200));
        number += 1;
        thread::sleep(INTERVAL);
    }
    stop.store(true, Ordering::SeqCst);
    let late = late.load(Ordering::SeqCst);
    record.add(&format!("{answered} of {number} requests answered; {late} reached a server more than {} ms after it had left", DRAIN.as_millis()));
    Ok(Some(late == 0))
}

fn main() -> ExitCode {
    let directory = std::env::args().nth(1).unwrap_or_else(|| "review/14".into());
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

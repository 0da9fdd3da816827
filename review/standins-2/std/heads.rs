//! The operator raises `max_header_bytes` while clients keep their connections. Requests within the new
//! limit must not be denied.

#[path = "kit.rs"]
mod kit;

use kit::{Machine, Node, Record, Reply, Server, Store};
use std::{
    io::{self, Write},
    net::TcpStream,
    process::ExitCode,
    thread,
    time::Duration,
};

/// Machines of `sites/saddlefit-nw.toml`.
const MACHINE: Machine = Machine { name: "n-1", zone: "z1", memory_mb: 110, max_fds: 4_200 };
const CLIENTS: usize = 10;
/// Limits on heads before and after the change.
const BEFORE: usize = 16_384;
const AFTER: usize = 65_536;
/// Head of a request after the change, within the new limit.
const HEAD_BYTES: usize = 32_768;
/// Time after the confirmation of the change: `config_apply_ms` is 2,500, `stable_ms` 4,000.
const WAIT: Duration = Duration::from_secs(6);
/// Requests that may be denied.
const ALLOWED: usize = 5;

fn answer(connection: &mut TcpStream, arrival: &kit::Arrival, id: &str) -> io::Result<bool> {
    let head = kit::success(arrival, id);
    connection.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())?;
    Ok(true)
}

fn book(connection: &mut TcpStream, buffer: &mut Vec<u8>, attempt: &str, head: usize) -> io::Result<Reply> {
    let more = format!("X-Context: {}\r\n", "x".repeat(head));
    connection.write_all(&kit::request("POST", "/book/1", attempt, 3_000, &more, b"visit"))?;
    Ok(kit::read_reply(connection, buffer, || {}))
}

fn run(directory: &str) -> io::Result<Option<bool>> {
    let record = Record::create(&format!("{directory}/record.txt"))?;
    let store = Store::new(&record);
    let routes = [kit::route("book", "non_idempotent", 1, false, 3_000)];
    let first = if kit::has_trouble() { BEFORE } else { AFTER };
    store.put("op", "config", &kit::configuration_with(3, &routes, first, &[kit::KEY]));
    let mut servers = Vec::new();
    for number in 0..3 {
        let server = Server::start(&format!("i-{number}"), 6, "z1", answer)?;
        server.register(&store);
        servers.push(server);
    }
    let path = store.path()?;
    let node = Node::start(&MACHINE, path.address)?;
    if !node.wait_ready() {
        record.add("the process did not become ready");
        return Ok(None);
    }
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut connection = TcpStream::connect(node.frontend)?;
        connection.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut buffer = Vec::new();
        let reply = book(&mut connection, &mut buffer, &format!("a-{number}"), 100)?;
        record.add(&format!("client {number}: small head: status {}", reply.status));
        clients.push((connection, buffer));
    }
    store.put("op", "config", &kit::configuration_with(6, &routes, AFTER, &[kit::KEY]));
    thread::sleep(WAIT);
    let mut denied = 0;
    for (number, (connection, buffer)) in clients.iter_mut().enumerate() {
        let reply = book(connection, buffer, &format!("b-{number}"), HEAD_BYTES);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        record.add(&format!("client {number}: head of {HEAD_BYTES} bytes on its kept connection: status {status}"));
        denied += usize::from((400..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    let mut connection = TcpStream::connect(node.frontend)?;
    connection.set_read_timeout(Some(Duration::from_secs(5)))?;
    let reply = book(&mut connection, &mut Vec::new(), "c-0", HEAD_BYTES)?;
    record.add(&format!("the same head on a new connection: status {}", reply.status));
    record.add(&format!("{denied} of {CLIENTS} requests denied"));
    Ok(Some(denied <= ALLOWED))
}

fn main() -> ExitCode {
    let directory = std::env::args().nth(1).unwrap_or_else(|| "target/review-2".into());
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

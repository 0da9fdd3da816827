//! Many clients read long streams slowly. The process must stay within the memory of its machine.

#[path = "kit.rs"]
mod kit;

use kit::{Machine, Node, Record, Server, Store};
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Smallest machines, servers and slots of `grown/saddlefit-nw-grown.toml`.
const MACHINE: Machine = Machine { name: "n-1", zone: "z1", memory_mb: 88, max_fds: 4_100 };
const SERVERS: usize = 60;
const SLOTS: u32 = 10;
/// Clients with a stream each; fewer than the slots.
const CLIENTS: usize = 560;
/// Time between two clients.
const ARRIVAL: Duration = Duration::from_millis(16);
/// Data of an event, and the events of a stream: 520 kB, a long answer.
const EVENT_BYTES: usize = 2_000;
const EVENTS: usize = 260;
/// A slow client reads this much at each interval.
const SLOW_BYTES: usize = 2_048;
const SLOW_INTERVAL: Duration = Duration::from_millis(500);
const RECEIVE_BUFFER: i32 = 4_096;
/// Time after which a server cuts off an answer that is not read.
const UNREAD_LIMIT: Duration = Duration::from_secs(6);
/// Length of the observation.
const LENGTH: Duration = Duration::from_secs(18);

fn stream(connection: &mut TcpStream, arrival: &kit::Arrival, id: &str) -> io::Result<bool> {
    let head = kit::success(arrival, id);
    if arrival.head.line.contains("/look/") {
        connection.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())?;
        return Ok(true);
    }
    // A server cuts off an answer that stays unread for some seconds.
    connection.set_write_timeout(Some(UNREAD_LIMIT))?;
    let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    connection.write_all(format!("{head}{kind}").as_bytes())?;
    let data = "x".repeat(EVENT_BYTES);
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: {data}\n\n");
        connection.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    connection.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Reads a stream, slowly or at once; the number of bytes.
fn read_stream(frontend: SocketAddr, number: usize, slow: bool, until: Instant) -> io::Result<usize> {
    let mut connection = TcpStream::connect(frontend)?;
    if slow {
        kit::set_receive_buffer(&connection, RECEIVE_BUFFER);
    }
    let more = "X-Model: m\r\nX-Token-Usage: 600,400\r\n";
    let request = kit::request("POST", "/write/1", &format!("s-{number}"), 12_000, more, b"prompt");
    connection.write_all(&request)?;
    connection.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut buffer = vec![0; if slow { SLOW_BYTES } else { 65_536 }];
    let (mut total, mut tail) = (0, Vec::new());
    while Instant::now() < until {
        match connection.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                total += count;
                tail.extend_from_slice(&buffer[..count]);
                tail.drain(..tail.len().saturating_sub(7));
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
        if tail == b"\r\n0\r\n\r\n" {
            break;
        }
        if slow {
            thread::sleep(SLOW_INTERVAL);
        }
    }
    Ok(total)
}

fn look(frontend: SocketAddr, number: usize) -> io::Result<u16> {
    let mut connection = TcpStream::connect_timeout(&frontend, Duration::from_secs(1))?;
    connection.set_read_timeout(Some(Duration::from_secs(2)))?;
    connection.write_all(&kit::request("GET", "/look/1", &format!("o-{number}"), 2_000, "", b""))?;
    let reply = kit::read_reply(&mut connection, &mut Vec::new(), || {});
    if reply.status == 0 { Err(io::Error::other(reply.error)) } else { Ok(reply.status) }
}

fn run(directory: &str) -> io::Result<Option<bool>> {
    let record = Record::create(&format!("{directory}/record.txt"))?;
    let slow = kit::has_trouble();
    let store = Store::new(&record);
    let routes = [
        kit::route("write", "streaming", 1, false, 12_000),
        kit::route("look", "idempotent", 2, false, 2_000),
    ];
    store.put("op", "config", &kit::configuration(3, &routes));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Server::start(&format!("i-{number}"), SLOTS, "z1", stream)?;
        server.register(&store);
        servers.push(server);
    }
    let path = store.path()?;
    let mut node = Node::start(&MACHINE, path.address)?;
    if !node.wait_ready() {
        record.add("the process did not become ready");
        return Ok(None);
    }
    record.add(&format!("ready, resident {:.1} MB", node.resident() as f64 / 1e6));
    record.add(&format!("{CLIENTS} clients ask for a stream each and read {}", if slow { "slowly" } else { "at once" }));
    let until = Instant::now() + LENGTH;
    let (frontend, whole) = (node.frontend, Arc::new(AtomicUsize::new(0)));
    let arrivals = {
        let whole = Arc::clone(&whole);
        move || {
            for number in 0..CLIENTS {
                let whole = Arc::clone(&whole);
                let client = move || {
                    let read = read_stream(frontend, number, slow, until);
                    if read.is_ok_and(|bytes| bytes > EVENTS * EVENT_BYTES) {
                        whole.fetch_add(1, Ordering::SeqCst);
                    }
                };
                thread::Builder::new().stack_size(128 << 10).spawn(client).ok();
                thread::sleep(ARRIVAL);
            }
        }
    };
    thread::spawn(arrivals);
    let limit = MACHINE.memory_mb * 1_000_000;
    let mut killed = false;
    let (mut last, mut number, mut answered) = (Instant::now(), 0, 0);
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
        let resident = node.resident();
        if !killed && resident > limit {
            record.add(&format!(
                "platform: resident {:.1} MB of {} MB, the process is killed",
                resident as f64 / 1e6,
                MACHINE.memory_mb
            ));
            node.signal("KILL");
            killed = true;
        }
        if last.elapsed() >= Duration::from_millis(500) {
            last = Instant::now();
            number += 1;
            let answer = look(frontend, number);
            answered += usize::from(answer.as_ref().is_ok_and(|status| *status == 200));
            let resident = resident as f64 / 1e6;
            record.add(&format!("ordinary request {number}: {answer:?}; resident {resident:.1} MB"));
        }
    }
    if !killed && !node.is_running() {
        record.add("the process ended by itself");
        killed = true;
    }
    record.add(&format!(
        "peak {:.1} MB; {answered} of {number} ordinary requests answered; {} whole streams",
        node.peak_resident() as f64 / 1e6,
        whole.load(Ordering::SeqCst)
    ));
    Ok(Some(!killed))
}

fn main() -> ExitCode {
    let directory = std::env::args().nth(1).unwrap_or_else(|| "review/7".into());
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

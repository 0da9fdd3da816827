//! All nodes are killed and start again. Some seconds later the store is away for 4.5 s.

use super::{configuration, route};
use crate::{client::Request, options::Options, site::Site, worker::micros};
use std::{
    io::{Error, Result},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Bound of the pages: `recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time from the start of the nodes to the outage.
const CALM: Duration = Duration::from_secs(4);
/// Time from the start of the nodes to the end of the run.
const LENGTH: Duration = Duration::from_secs(40);

pub fn run(record: &str, trouble: bool) -> Result<bool> {
    let mut site = Site::start()?;
    let routes = [
        route("lookup", "idempotent", "desk", 800, 150, 2, false),
        route("book", "non_idempotent", "desk", 800, 150, 1, false),
    ];
    site.store.put("op", "config", &configuration(3, &routes.join(",")));
    let options = Options::default().with("work-ms", 15);
    for zone in ["z1", "z2", "z3", "z1", "z2", "z3"] {
        site.add_worker("desk", zone, 6, &options);
        thread::sleep(Duration::from_millis(200));
    }
    for zone in ["z1", "z1", "z1", "z2", "z2", "z3", "z3"] {
        site.add_node(zone, "")?;
    }
    if !site.wait_ready(Duration::from_secs(15)) {
        return Err(Error::other("the nodes do not become ready"));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(Instant, Option<u16>)>>> = Arc::default();
    let clients = site.nodes.iter().enumerate().map(|(number, node)| {
        let (front, stop, record) = (node.front, Arc::clone(&stop), site.record.clone());
        let answers = Arc::clone(&answers);
        thread::spawn(move || {
            for round in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let attempt = format!("{number}-{round}");
                let request = if round % 2 == 0 {
                    let request = Request::new("POST", "/book/visit", &attempt, 800);
                    request.with_body(attempt.as_bytes())
                } else {
                    Request::new("GET", &format!("/lookup/{attempt}"), &attempt, 800)
                };
                let sent = Instant::now();
                record.add(format!("client: sends {attempt} {}", request.path));
                let status = request.send(front).ok().map(|answer| answer.status());
                record.add(format!("client: {attempt} gets {status:?}"));
                answers.lock().unwrap().push((sent, status));
                thread::sleep(Duration::from_millis(100).saturating_sub(sent.elapsed()));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_secs(5));
    let fault = Instant::now();
    site.kill_nodes(Duration::from_millis(500))?;
    let back = Instant::now();
    thread::sleep(CALM);
    if trouble {
        site.record.add("store: answers no call");
        site.store.set_silent(true);
        thread::sleep(OUTAGE);
        site.store.set_silent(false);
        site.record.add("store: answers again");
    }
    thread::sleep(LENGTH.saturating_sub(back.elapsed()));
    let end = Instant::now();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    let share = |from: Instant, to: Instant| {
        let answers = answers.lock().unwrap();
        let sent: Vec<_> = answers.iter().filter(|(at, _)| *at >= from && *at < to).collect();
        let served = sent.iter().filter(|(_, status)| *status == Some(200)).count();
        (served, sent.len())
    };
    let (before, all_before) = share(fault - Duration::from_secs(4), fault);
    let (after, all_after) = share(back + RECOVER, end);
    let held = 4 * after >= all_after || 4 * before < all_before;
    let result = format!(
        "served before the fault: {before} of {all_before}; later than 12 s after the nodes were back: {after} of {all_after}"
    );
    println!("{result}");
    site.record.add_at(micros(), format!("result: {result}"));
    site.record.write(record)?;
    Ok(held)
}

//! Speaking with the other nodes, and dealing by what they say.
//!
//! Load pattern: seven to some hundred nodes fill the same endpoints within
//! milliseconds of each other. Each node sends a small digest of what it has
//! in slot to every other node at an interval that grows with their number,
//! so that a node receives about the same number of datagrams at any size.
//! Those in the same availability zone hear each other often, the others less
//! often: the first compete for the same endpoints, the others only when their
//! own are full.

use crate::{
    blackboard::Blackboard,
    digest::{Digest, Load, Spent, Strike, tag},
    directory, dispatcher,
    watch::RETURN,
};
use codes::Event;
use sched::{
    fleet::{Distance, Usage},
    quota::Total,
};
use slog::info;
use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::UdpSocket;
use units::{Time, Tokens};

/// Longest time without a digest to a node near, a fifth of the time after which it is not heard.
const IDLE_MOST: Duration = Duration::from_millis(500);
/// Largest datagram that is read; digests of today's sizes take under 1 KB.
const MAX_DATAGRAM: usize = 8 * 1024;
/// Strikes that are told along; crashing requests are few at a time.
const MAX_STRIKES: usize = 16;

/// Takes over what other nodes say.
pub async fn listen(board: Rc<Blackboard>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => hear(&board, &buffer[..length], from),
            // An answer of the network to an earlier datagram: its node is down.
            Err(e) => board.metrics.count("datagram_error", &e.kind().to_string()),
        }
    }
}

fn hear(board: &Rc<Blackboard>, datagram: &[u8], from: SocketAddr) {
    let secret = board.roster.borrow().secret.clone();
    let Some(secret) = secret else { return };
    let digest = match Digest::open(datagram, &secret) {
        Ok(digest) => digest,
        Err(e) => {
            board.metrics.count("datagram", "refused");
            return info!(board.log, "datagram refused"; Event::DatagramRefused,
                "from" => %from, "error" => format!("{e:#}"));
        }
    };
    let now = board.now();
    if digest.from == board.settings.instance
        || !board.roster.borrow_mut().accept(&digest, from, &board.settings.zone, now)
    {
        return;
    }
    take_over(board, &digest, now);
    let changed = digest.directory.as_ref().is_some_and(|told| directory::hear(board, told));
    if changed {
        dispatcher::dispatch_all(board);
    }
    if digest.configuration > board.version() || board.journal.borrow().has_gap(now) {
        board.behind.notify_waiters();
    }
}

fn take_over(board: &Blackboard, digest: &Digest, now: Time) {
    let mut fleet = board.fleet.borrow_mut();
    if digest.leaving {
        info!(board.log, "node leaves"; Event::MemberLeft, "node" => %digest.from);
        board.roster.borrow_mut().remove(&digest.from);
        fleet.remove_peer(&digest.from);
        board.meter.borrow_mut().remove_peer(&digest.from);
        return;
    }
    let loads: HashMap<u32, &Load> = digest.loads.iter().map(|l| (l.endpoint, l)).collect();
    let shares = fleet.ids().filter_map(|id| {
        let load = loads.get(&tag(id.as_str()))?;
        let share = Usage { in_flight: load.flights, pending_prefill: Tokens(load.unread) };
        Some((id.clone(), share))
    });
    let shares = shares.collect();
    fleet.set_peer_usage(&digest.from, &shares, now);
    let configuration = board.configuration.borrow();
    let mut meter = board.meter.borrow_mut();
    for spent in &digest.spent {
        let organisation = &spent.organisation;
        if let Some(quota) = configuration.as_ref().and_then(|c| c.quota(organisation)) {
            let (spent, asked) = (spent.tokens, spent.asked);
            let total = Total { lifetime: digest.lifetime, admitted: spent, requested: asked };
            meter.record_peer_total(&digest.from, organisation, quota, total, now);
        }
    }
    let mut ledger = board.ledger.borrow_mut();
    for strike in &digest.strikes {
        let age = Duration::from_millis(strike.age_ms.into());
        ledger.merge(strike.fingerprint, strike.count, age, now);
    }
}

/// Deals this node its part of what is free, and tells the other nodes what it has in slot.
pub async fn speak(board: Rc<Blackboard>, socket: Rc<UdpSocket>) {
    let mut number = 0;
    let mut last: Option<Digest> = None;
    let mut told_near = Time::ZERO;
    let mut told_all = Time::ZERO;
    loop {
        let interval = board.roster.borrow().intervals(board.now());
        // News are told at once, everything else at the interval.
        let news = tokio::time::timeout(interval.near, board.news.notified()).await.is_ok();
        forget(&board);
        deal(&board, interval.near);
        number += 1;
        let digest = digest(&board, number);
        let now = board.now();
        let due = news || now.since(told_all) >= interval.all;
        let same = last.as_ref().is_some_and(|last| last.says_the_same(&digest));
        if !due && same && now.since(told_near) < IDLE_MOST {
            continue;
        }
        told_near = now;
        if due {
            told_all = now;
            let nodes = board.roster.borrow().known();
            let mut meter = board.meter.borrow_mut();
            meter.set_lag(interval.all);
            meter.set_node_count(nodes);
            meter.rebalance(now);
        }
        send(&board, &socket, &digest, due).await;
        last = Some(digest);
    }
}

fn deal(board: &Rc<Blackboard>, interval: Duration) {
    let now = board.now();
    let demand = board.dispatcher.borrow_mut().take_demand();
    board.demand.set(demand);
    let parts = board.roster.borrow().parts(demand, now);
    let small = board.roster.borrow().is_small();
    let part = |distance| match distance {
        Distance::SameZone if !small => parts.near,
        _ => parts.all,
    };
    let mut fleet = board.fleet.borrow_mut();
    fleet.set_usage_ttl(board.roster.borrow().horizon());
    board.dispatcher.borrow_mut().look_elsewhere(&board.roster.borrow(), &mut fleet, now);
    fleet.allocate(part, interval, rand::random, now);
    drop(fleet);
    dispatcher::dispatch_all(board);
}

fn forget(board: &Blackboard) {
    let gone = board.roster.borrow_mut().forget(board.now());
    for id in gone {
        info!(board.log, "node forgotten"; Event::MemberDead, "node" => %id);
        board.fleet.borrow_mut().remove_peer(&id);
        board.meter.borrow_mut().remove_peer(&id);
    }
}

fn digest(board: &Blackboard, number: u64) -> Digest {
    let now = board.now();
    let reads = board.listed.get() && board.roster.borrow().reads(now);
    let fleet = board.fleet.borrow();
    let loads = fleet.usage().map(|(id, share)| Load {
        endpoint: tag(id.as_str()),
        flights: share.in_flight,
        unread: share.pending_prefill.0,
    });
    let meter = board.meter.borrow();
    // A total that has not changed for some digests is known to all.
    let since = now - board.roster.borrow().horizon();
    let spent = meter.totals(since).map(|(id, tokens, asked)| Spent {
        organisation: id.clone(),
        tokens,
        asked,
    });
    let mut spent: Vec<Spent> = spent.collect();
    spent.sort_by(|a, b| a.organisation.cmp(&b.organisation));
    let strikes = board.ledger.borrow().records(now);
    let strikes = strikes.into_iter().take(MAX_STRIKES).map(|(fingerprint, count, age)| Strike {
        fingerprint,
        count,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    });
    Digest {
        from: board.settings.instance.clone(),
        lifetime: board.lifetime,
        number,
        zone: board.settings.zone.clone(),
        leaving: false,
        configuration: board.version(),
        directory: reads.then(|| board.journal.borrow_mut().excerpt(now)),
        returned: board.store_returned.get().is_some_and(|at| now.since(at) < RETURN),
        demand: board.demand.get(),
        waiting: board.dispatcher.borrow().timely(&fleet),
        loads: loads.collect(),
        spent: spent.into(),
        strikes: strikes.collect(),
    }
}

async fn send(board: &Blackboard, socket: &UdpSocket, digest: &Digest, all: bool) {
    let (secret, addresses) = {
        let roster = board.roster.borrow();
        (roster.secret.clone(), roster.addresses(all || roster.is_small()))
    };
    let Some(secret) = secret else { return };
    let datagram = match digest.seal(&secret) {
        Ok(datagram) => datagram,
        Err(e) => return info!(board.log, "digest not sent"; "error" => format!("{e:#}")),
    };
    for address in addresses {
        if let Err(e) = socket.try_send_to(&datagram, address) {
            board.metrics.count("datagram_error", &e.kind().to_string());
        }
    }
}

/// Tells the other nodes that this one leaves.
pub async fn leave(board: &Blackboard, socket: &UdpSocket) {
    let digest = Digest { leaving: true, ..digest(board, u64::MAX) };
    send(board, socket, &digest, true).await;
}

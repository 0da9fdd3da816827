//! Exchange of digests with other nodes, and allocation of slots based on them.
//!
//! Between seven and several hundred nodes fill the same endpoints within
//! milliseconds of each other. Each node sends a small digest of its in-flight
//! requests to every other node. The interval grows with the number of nodes,
//! so a node receives about the same number of datagrams per second at any
//! cluster size. Nodes in the same availability zone exchange digests more
//! often than others: they compete for the same endpoints, the others only when
//! their own zone is full.

use crate::{
    announce,
    blackboard::Blackboard,
    digest::{Datagram, Digest, Load, Spent, short_hash},
    directory, dispatcher, holder, learning, limits, owner,
    permit::Message,
    quarantine, rollout,
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

/// Longest time without a digest to nodes in the same zone; a fifth of the liveness timeout.
const MAX_QUIET_TIME: Duration = Duration::from_millis(500);
/// Largest datagram that is read, in bytes. A confirmation of 200 permits takes 8 KB.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Receives and applies digests.
pub async fn receive(board: Rc<Blackboard>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&board, &socket, &buffer[..length], from),
            // ICMP error in response to an earlier datagram: its recipient is down.
            Err(e) => board.metrics.count("datagram_error", &e.kind().to_string()),
        }
    }
}

fn handle_datagram(board: &Rc<Blackboard>, socket: &UdpSocket, datagram: &[u8], from: SocketAddr) {
    let secret = board.roster.borrow().secret.clone();
    let Some(secret) = secret else { return };
    let digest = match Datagram::verify_and_decode(datagram, &secret) {
        Ok(Datagram::Digest(digest)) => digest,
        Ok(Datagram::Permits(messages)) => return handle_permits(board, messages, from),
        Ok(Datagram::Crashes(evidence)) => {
            let evidence = evidence.into_iter().map(Into::into);
            return quarantine::merge(board, evidence, from);
        }
        Ok(Datagram::RequestCrashes(evidence)) => {
            return quarantine::merge(board, evidence, from);
        }
        Ok(Datagram::Limits(limits)) => return limits::merge(board, &limits, from),
        Ok(Datagram::Rollouts(rollouts)) => {
            return rollout::merge(board, &rollouts, &from.to_string());
        }
        Ok(Datagram::Counts(counts)) => return rollout::coordinator::record(board, *counts),
        Err(e) => {
            board.metrics.count("datagram", "refused");
            return info!(board.log, "datagram refused"; Event::DatagramRefused,
                "from" => %from, "error" => format!("{e:#}"));
        }
    };
    let now = board.now();
    let had_lost_store = board.roster.borrow().has_lost_store(&digest.from);
    let has_restarted = board.roster.borrow().incarnation(&digest.from) != Some(digest.incarnation);
    if digest.from == board.settings.instance
        || !board.roster.borrow_mut().accept(
            &digest,
            from,
            board.settings.distance(&digest.zone),
            now,
        )
    {
        return;
    }
    if has_restarted {
        announce::greet(board, socket, from);
    }
    apply_digest(board, &digest, now);
    let changed = digest.directory.as_ref().is_some_and(|delta| directory::merge(board, delta));
    if changed {
        dispatcher::dispatch_all(board);
    }
    let known = board.configuration_version();
    board.overdue.borrow_mut().announce(digest.configuration, known, now);
    // This node may have to read the store in place of the sender.
    let loses_store = digest.store_lost && !had_lost_store;
    if digest.configuration > known || board.journal.borrow().has_gap(now) || loses_store {
        board.outdated.notify_waiters();
    }
}

fn handle_permits(board: &Rc<Blackboard>, messages: Box<[Message]>, from: SocketAddr) {
    for message in messages {
        match message {
            Message::Queued(_) | Message::Grant(_) | Message::Refuse(_) | Message::Decline(_) => {
                holder::handle(board, message, from);
            }
            message => owner::handle(board, message, from),
        }
    }
}

/// Sends messages about permits. Messages of one turn of the event loop share datagrams.
pub async fn send_permits(board: Rc<Blackboard>, socket: Rc<UdpSocket>) {
    loop {
        board.outbox_ready.notified().await;
        tokio::task::yield_now().await;
        let groups = board.outbox.borrow_mut().take();
        let Some(secret) = board.roster.borrow().secret.clone() else { continue };
        for (to, messages) in groups {
            match Datagram::Permits(messages).encode_with_hmac(&secret) {
                Ok(datagram) => send_datagram(&board, &socket, &datagram, to),
                Err(e) => info!(board.log, "encoding messages failed"; "error" => format!("{e:#}")),
            }
        }
    }
}

/// Sends a datagram; one that cannot be sent now is lost, like any other.
fn send_datagram(board: &Blackboard, socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    if let Err(e) = socket.try_send_to(datagram, to) {
        board.metrics.count("datagram_error", &e.kind().to_string());
    }
}

fn apply_digest(board: &Blackboard, digest: &Digest, now: Time) {
    let mut fleet = board.fleet.borrow_mut();
    if digest.leaving {
        info!(board.log, "node left"; Event::MemberLeft, "node" => %digest.from);
        board.roster.borrow_mut().remove(&digest.from);
        fleet.remove_peer(&digest.from);
        board.limiter.borrow_mut().remove_peer(&digest.from);
        return;
    }
    let loads: HashMap<u32, &Load> =
        digest.loads.iter().map(|load| (load.endpoint, load)).collect();
    let usage = fleet.ids().filter_map(|id| {
        let load = loads.get(&short_hash(id.as_str()))?;
        let usage =
            Usage { in_flight: load.in_flight, pending_prefill: Tokens(load.pending_prefill) };
        Some((id.clone(), usage))
    });
    let usage = usage.collect();
    fleet.set_peer_usage(&digest.from, &usage, now);
    let configuration = board.configuration.borrow();
    let mut limiter = board.limiter.borrow_mut();
    for spent in &digest.spent {
        let organisation = &spent.organisation;
        if let Some(quota) = configuration.as_ref().and_then(|c| c.quota(organisation)) {
            let (admitted, requested) = (spent.admitted, spent.requested);
            let total = Total { lifetime: digest.incarnation, admitted, requested };
            limiter.record_peer_total(&digest.from, organisation, quota, total, now);
        }
    }
}

/// Allocates this node's share of free slots and sends digests to the other nodes.
pub async fn broadcast(board: Rc<Blackboard>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut last: Option<Digest> = None;
    let mut sent_zone = Time::ZERO;
    let mut sent_all = Time::ZERO;
    loop {
        let intervals = board
            .roster
            .borrow()
            .intervals(board.is_reader() || !board.owned_services().is_empty());
        // Urgent changes are sent at once, everything else at the interval.
        let urgent =
            tokio::time::timeout(intervals.zone, board.broadcast_now.notified()).await.is_ok();
        remove_silent(&board);
        reallocate(&board);
        sequence += 1;
        let digest = build_digest(&board, sequence);
        let now = board.now();
        let due = urgent || now.since(sent_all) >= intervals.all;
        let unchanged = last.as_ref().is_some_and(|last| last.is_equivalent(&digest));
        if !due && unchanged && now.since(sent_zone) < MAX_QUIET_TIME {
            continue;
        }
        sent_zone = now;
        if due {
            sent_all = now;
            let nodes = board.charging_nodes();
            let mut limiter = board.limiter.borrow_mut();
            limiter.set_lag(intervals.all);
            limiter.set_node_count(nodes);
            limiter.rebalance(now);
        }
        send(&board, &socket, &digest, due);
        last = Some(digest);
    }
}

/// Allocates this node its share of the free slots, or all slots of the cells that it owns.
pub fn reallocate(board: &Rc<Blackboard>) {
    let now = board.now();
    let interval = board.roster.borrow().intervals(false).zone;
    let weight = if board.is_ready() { board.settings.processor.max(1) } else { 0 };
    board.roster.borrow_mut().set_owner_weight(weight);
    let owned = board.owned_services();
    let demand = board.dispatcher.borrow_mut().take_demand();
    board.demand.set(demand);
    let shares = board.roster.borrow().demand_shares(demand, now);
    let is_small = board.roster.borrow().is_small();
    let share = |distance| match distance {
        Distance::SameZone if !is_small => shares.zone,
        _ => shares.all,
    };
    let mut fleet = board.fleet.borrow_mut();
    fleet.set_usage_ttl(board.roster.borrow().liveness_timeout());
    board.dispatcher.borrow_mut().update_peer_waiting(
        &board.roster.borrow(),
        &mut fleet,
        &owned,
        now,
    );
    fleet.set_owned(owned);
    fleet.allocate(share, interval, rand::random, now);
    drop(fleet);
    learning::report(board);
    limits::update(board);
    dispatcher::dispatch_all(board);
}

fn remove_silent(board: &Blackboard) {
    let silent = board.roster.borrow_mut().remove_silent(board.now());
    for id in silent {
        info!(board.log, "node forgotten"; Event::MemberDead, "node" => %id);
        board.fleet.borrow_mut().remove_peer(&id);
        board.limiter.borrow_mut().remove_peer(&id);
    }
}

fn build_digest(board: &Blackboard, sequence: u64) -> Digest {
    let now = board.now();
    let is_reader = board.endpoints_read.get() && board.is_reader();
    let directory_head = board.journal.borrow().head();
    let owned = board.owned_services();
    let owned = owned.iter().map(|service| short_hash(service.as_str()));
    let owner_weight = if board.is_ready() { board.settings.processor.max(1) } else { 0 };
    let fleet = board.fleet.borrow();
    // Permits are counted by the owners of the cells.
    let loads = fleet.usage(|service| !board.uses_owner(service)).map(|(id, usage)| Load {
        endpoint: short_hash(id.as_str()),
        in_flight: usage.in_flight,
        pending_prefill: usage.pending_prefill.0,
    });
    let limiter = board.limiter.borrow();
    // A total that has been unchanged for several digests is known to all nodes.
    let since = now - board.roster.borrow().liveness_timeout();
    let spent = limiter.totals(since).map(|(id, admitted, requested)| Spent {
        organisation: id.clone(),
        admitted,
        requested,
    });
    let mut spent: Vec<Spent> = spent.collect();
    spent.sort_by(|a, b| a.organisation.cmp(&b.organisation));
    Digest {
        from: board.settings.instance.clone(),
        incarnation: board.incarnation,
        sequence,
        zone: board.settings.zone.clone(),
        leaving: false,
        configuration: board.configuration_version(),
        directory_head,
        directory: is_reader.then(|| board.journal.borrow_mut().delta(now)),
        owner_weight,
        owned: owned.collect(),
        store_lost: board.is_store_lost(),
        store_returned: board.outage.borrow().recovery_end(now).is_some(),
        demand: board.demand.get(),
        waiting: board.dispatcher.borrow().waiting_by_service(&fleet),
        loads: loads.collect(),
        spent: spent.into(),
        strikes: Box::default(),
    }
}

fn send(board: &Blackboard, socket: &UdpSocket, digest: &Digest, all: bool) {
    let addresses = {
        let roster = board.roster.borrow();
        roster.addresses(all || roster.is_small())
    };
    send_to(board, socket, &Datagram::Digest(Box::new(digest.clone())), &addresses);
}

/// Sends a datagram to other nodes.
pub fn send_to(board: &Blackboard, socket: &UdpSocket, datagram: &Datagram, nodes: &[SocketAddr]) {
    let Some(secret) = board.roster.borrow().secret.clone() else { return };
    let datagram = match datagram.encode_with_hmac(&secret) {
        Ok(datagram) => datagram,
        Err(e) => {
            return info!(board.log, "encoding a datagram failed"; "error" => format!("{e:#}"));
        }
    };
    for address in nodes {
        send_datagram(board, socket, &datagram, *address);
    }
}

/// Announces to the other nodes that this node is leaving.
pub fn announce_leave(board: &Blackboard, socket: &UdpSocket) {
    let digest = Digest { leaving: true, ..build_digest(board, u64::MAX) };
    send(board, socket, &digest, true);
}

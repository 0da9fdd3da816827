//! Limits that endpoints name in their responses, as known to all nodes.
//!
//! A node that sends nothing to an endpoint learns of its limit, and of the end
//! of the limit, from the other nodes' announcements. The newest response counts.
//! A node that starts hears of limits before it has read the directory; they are
//! kept until the endpoint is listed. See [`sched::fleet`] for how nodes share a
//! limit.

use crate::{
    blackboard::Blackboard,
    digest::{self, Datagram},
    dispatcher, response,
};
use codes::Event;
use sched::fleet::{Limit, share};
use slog::info;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use units::{EndpointId, RequestRate, ServiceId};

/// Maximum number of limits in a datagram; one takes up to 50 bytes.
const MAX_LIMITS: usize = 24;
/// Time added to the age of what another node tells. It exceeds the time that a datagram takes, so
/// that a limit which nodes repeat to each other never seems younger than it is.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(50);
/// Time for which a limit of an endpoint that is not listed yet is kept.
const EARLY_TTL: Duration = Duration::from_secs(30);
/// Time for which the end of a limit is repeated.
const END_REPEATED_FOR: Duration = Duration::from_secs(10);

/// Records what a response says of its endpoint's limit.
pub fn record_response(board: &Blackboard, endpoint: &EndpointId, limit: response::Limit) {
    match limit {
        response::Limit::None => record(board, endpoint, None),
        response::Limit::Rate(rate) => record(board, endpoint, Some(rate)),
        response::Limit::Malformed => board.metrics.count("limit", "malformed"),
    }
}

/// Records the limit that an endpoint names in a response, or that it names none.
pub fn record(board: &Blackboard, endpoint: &EndpointId, rate: Option<RequestRate>) {
    let now = board.now();
    if board.fleet.borrow_mut().record_limit(endpoint, Limit { rate, at: now }, now) {
        log(board, endpoint, rate, "own");
        update(board);
        board.unsent_limits.borrow_mut().insert(endpoint.clone());
        board.announce_now.notify_one();
    }
}

fn log(board: &Blackboard, endpoint: &EndpointId, rate: Option<RequestRate>, source: &str) {
    info!(board.log, "endpoint limit"; Event::EndpointLimit, "endpoint" => %endpoint,
        "per_second" => rate.map(RequestRate::per_second), "source" => source);
    board.metrics.count("limit", if rate.is_some() { "named" } else { "ended" });
}

/// Takes over limits that another node announces.
pub fn merge(board: &Rc<Blackboard>, limits: &[digest::Limit], from: SocketAddr) {
    let now = board.now();
    let mut changed = false;
    for limit in limits {
        let age = Duration::from_millis(limit.age_ms.into()) + TRANSIT_ALLOWANCE;
        let newer = Limit { rate: limit.rate, at: now - age };
        let mut fleet = board.fleet.borrow_mut();
        let is_new = fleet.record_announced_limit(&limit.endpoint, limit.born, newer, now);
        drop(fleet);
        if is_new {
            log(board, &limit.endpoint, limit.rate, &from.to_string());
            changed = true;
        }
    }
    if changed {
        update(board);
        dispatcher::dispatch_all(board);
    }
}

/// Updates this node's shares of the endpoints' limits, and the services that have limited ones.
pub fn update(board: &Blackboard) {
    let now = board.now();
    board.fleet.borrow_mut().prune_early_limits(now - EARLY_TTL);
    let roster = board.roster.borrow();
    let nodes = u32::try_from(roster.live_count(now) + 1).unwrap_or(u32::MAX);
    let mut fleet = board.fleet.borrow_mut();
    let is_small = roster.is_small();
    let limited = fleet.limited_services();
    let owner_share = |service: &ServiceId| 1.0 / f64::from(1 + roster.owners_beside(service, now));
    let owner_shares: BTreeMap<&ServiceId, f64> =
        limited.iter().map(|service| (service, owner_share(service))).collect();
    // In a large cluster, owners give out the slots, and other nodes have no share.
    let share_of = |endpoint: &EndpointId, rate| {
        if is_small { share(rate, roster.rank(endpoint.as_str(), now), nodes) } else { 0.0 }
    };
    fleet.set_limit_shares(|service| owner_shares[service], share_of, now);
    *board.limited_services.borrow_mut() = limited;
}

/// Announcements of changes that this node has learned from responses.
pub fn take_unsent(board: &Blackboard) -> Vec<Datagram> {
    let unsent = std::mem::take(&mut *board.unsent_limits.borrow_mut());
    datagrams(board, unsent)
}

/// Limits in force, and those that have ended lately; if they are too many, some of them at random.
pub fn summary(board: &Blackboard) -> Vec<Datagram> {
    let since = board.now() - END_REPEATED_FOR;
    let limited: Vec<EndpointId> = board.fleet.borrow().limited(since).cloned().collect();
    let start = if limited.len() > MAX_LIMITS { rand::random_range(0..limited.len()) } else { 0 };
    let chosen = limited.iter().cycle().skip(start).take(limited.len().min(MAX_LIMITS));
    datagrams(board, chosen.cloned())
}

fn datagrams(board: &Blackboard, endpoints: impl IntoIterator<Item = EndpointId>) -> Vec<Datagram> {
    let now = board.now();
    let fleet = board.fleet.borrow();
    let limit = |endpoint: EndpointId| {
        let Limit { rate, at } = fleet.limit(&endpoint)?;
        let born = fleet.listing(&endpoint)?.born;
        let age_ms = u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Some(digest::Limit { endpoint, born, rate, age_ms })
    };
    let limits: Vec<digest::Limit> = endpoints.into_iter().filter_map(limit).collect();
    limits.chunks(MAX_LIMITS).map(|limits| Datagram::Limits(limits.into())).collect()
}

//! Facts about endpoints and requests: each gateway merges the facts it
//! receives, forwards those that were new to it, and sends all of them to a
//! peer that requests a sync.

use super::membership;
use crate::blackboard::{Blackboard, Mark, unix_time_ms};
use codes::Event;
use member::{Fact, Source};
use sched::strike::{Identity, Verdict};
use slog::{info, warn};
use std::time::Duration;
use units::{EndpointId, Fingerprint, InstanceId};
use wire::Frame;

/// Merges facts from a peer and forwards those that were new.
pub fn receive(board: &Blackboard, from: &InstanceId, facts: &[Fact]) {
    let new_facts: Vec<Fact> = facts.iter().filter(|fact| merge(board, fact)).cloned().collect();
    forward(board, Some(from), new_facts);
}

/// Merges a fact observed by this gateway and sends it to its fingers if it is new.
pub fn announce(board: &Blackboard, fact: Fact) {
    if merge(board, &fact) {
        forward(board, None, vec![fact]);
    }
}

fn forward(board: &Blackboard, except: Option<&InstanceId>, facts: Vec<Fact>) {
    if facts.is_empty() {
        return;
    }
    let facts: Box<[Fact]> = facts.into();
    for finger in membership::fingers(board) {
        if Some(&finger.instance) != except {
            board.link.send(finger.address, Frame::Facts(facts.clone()));
        }
    }
}

/// Merges a fact; true when it changed what was known.
fn merge(board: &Blackboard, fact: &Fact) -> bool {
    match fact {
        Fact::Leaving { endpoint, leaving, source, timestamp_ms } => {
            let mark = Mark { source: *source, timestamp_ms: *timestamp_ms };
            merge_leaving(board, endpoint, *leaving, mark)
        }
        Fact::Strike { fingerprint, strikes, age_ms } => {
            let age = Duration::from_millis(*age_ms);
            let changed = board.strikes.lock().merge(*fingerprint, *strikes, age, board.now());
            if changed {
                log_strike(board, *fingerprint, *strikes);
            }
            changed
        }
        Fact::Cleared { fingerprint } => board.strikes.lock().clear(*fingerprint),
    }
}

/// Merges the mark of an endpoint, or its removal. A mark is replaced by one from a source of
/// higher rank, and removed by a newer removal from a source of at least its rank.
fn merge_leaving(board: &Blackboard, endpoint: &EndpointId, leaving: bool, mark: Mark) -> bool {
    let mut marks = board.leaving.lock();
    let changed = match marks.get(endpoint) {
        Some(old) if leaving => mark.source > old.source,
        Some(old) => mark.timestamp_ms > old.timestamp_ms && mark.source >= old.source,
        None => leaving,
    };
    if !changed {
        return false;
    }
    let event = if leaving {
        marks.insert(endpoint.clone(), mark);
        Event::EndpointLeaving
    } else {
        marks.remove(endpoint);
        Event::EndpointJoined
    };
    drop(marks);
    info!(board.log, "endpoint changed"; event, "endpoint" => %endpoint);
    board.map_changed.notify_one();
    true
}

fn log_strike(board: &Blackboard, fingerprint: Fingerprint, strikes: u8) {
    let verdict = board.strikes.lock().verdict(fingerprint, board.now());
    let event = match verdict {
        Verdict::Quarantined { .. } => Event::Quarantine,
        Verdict::Clear | Verdict::Suspect => Event::Strike,
    };
    warn!(board.log, "strike"; event, "fingerprint" => %fingerprint, "strikes" => strikes);
    board.metrics.count("strikes", &strikes.to_string());
}

/// Adds a strike against a request and sends it to the fingers.
pub fn strike(board: &Blackboard, identity: Identity) {
    let strikes = board.strikes.lock().strike_all(identity, board.now());
    if let Some((fingerprint, strikes)) = strikes.first() {
        log_strike(board, *fingerprint, *strikes);
    }
    let facts = strikes.into_iter();
    let facts =
        facts.map(|(fingerprint, strikes)| Fact::Strike { fingerprint, strikes, age_ms: 0 });
    forward(board, None, facts.collect());
}

/// Clears the strikes of a request that completed.
pub fn clear(board: &Blackboard, identity: Identity) {
    announce(board, Fact::Cleared { fingerprint: identity.request });
    announce(board, Fact::Cleared { fingerprint: identity.content });
}

/// All known facts, for a peer that joins or was paused.
pub fn snapshot(board: &Blackboard) -> Vec<Fact> {
    let strikes = board.strikes.lock().records(board.now());
    let leaving = board.leaving.lock();
    let strikes = strikes.into_iter().map(|(fingerprint, strikes, age)| {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Fact::Strike { fingerprint, strikes, age_ms }
    });
    let leaving = leaving.iter().map(|(endpoint, mark)| Fact::Leaving {
        endpoint: endpoint.clone(),
        leaving: true,
        source: mark.source,
        timestamp_ms: mark.timestamp_ms,
    });
    strikes.chain(leaving).collect()
}

/// Fact that an endpoint is leaving, or no longer leaving, with the current time.
#[must_use]
pub fn leaving(endpoint: &EndpointId, leaving: bool, source: Source) -> Fact {
    Fact::Leaving { endpoint: endpoint.clone(), leaving, source, timestamp_ms: unix_time_ms() }
}

//! Waiting requests of one service at one node.
//!
//! Load pattern: a burst of a few seconds asks for twice what the endpoints
//! give. A request that can still be answered in time goes before one that
//! cannot, whatever their tiers: serving the late ones first would make the
//! timely ones late as well, and the whole burst with them. Within each of
//! the two groups the order is by tier, fair turn and deadline
//! ([`crate::fair`]). Late requests are served from what is left and given up
//! only when their answer could not be whole before their deadline.

use crate::{Bid, fair::Queue};
use std::{collections::HashMap, time::Duration};
use units::{RequestId, Time};

/// Time that an answer takes at least; a request with less time left is given up.
const LEAST_ANSWER: Duration = Duration::from_millis(40);

/// Times that decide how long a request may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Latest dispatch for an answer in time.
    pub timely: Time,
    /// Latest end of the whole answer.
    pub deadline: Time,
}

/// Line of waiting requests.
#[derive(Debug, Default)]
pub struct Line {
    timely: Queue,
    late: Queue,
    terms: HashMap<RequestId, Terms>,
}

impl Line {
    /// Empty line.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.terms.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, mut bid: Bid, terms: Terms, now: Time) {
        let request = bid.request;
        let queue = if now <= terms.timely {
            bid.deadline = terms.timely;
            &mut self.timely
        } else {
            bid.deadline = terms.deadline;
            &mut self.late
        };
        queue.push(bid);
        self.terms.insert(request, terms);
    }

    /// Takes out the first request that `place` finds an endpoint for.
    pub fn next<T>(&mut self, mut place: impl FnMut(&Bid) -> Option<T>) -> Option<(Bid, T)> {
        for queue in [&mut self.timely, &mut self.late] {
            let found = queue.heads().find_map(|bid| place(bid).map(|at| (bid.request, at)));
            if let Some((request, at)) = found {
                self.terms.remove(&request);
                return queue.serve(request).map(|bid| (bid, at));
            }
        }
        None
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: RequestId) -> Option<Bid> {
        self.terms.remove(&request)?;
        self.timely.remove(request).or_else(|| self.late.remove(request))
    }

    /// Moves requests that cannot be answered in time any more behind the others.
    pub fn demote(&mut self, now: Time) {
        for request in self.timely.expired(now) {
            let Some(mut bid) = self.timely.remove(request) else { continue };
            if let Some(terms) = self.terms.get(&request) {
                bid.deadline = terms.deadline;
            }
            self.late.push(bid);
        }
    }

    /// Takes out the requests whose answer could not be whole any more.
    pub fn expire(&mut self, now: Time) -> Vec<Bid> {
        let expired = self.late.expired(now + LEAST_ANSWER);
        expired.into_iter().filter_map(|request| self.remove(request)).collect()
    }

    /// Request to refuse first when the line is too long: lowest tier, latest deadline.
    #[must_use]
    pub fn victim(&self) -> Option<&Bid> {
        self.late.victim().or_else(|| self.timely.victim())
    }
}

//! What callers, workers and the operator saw in a run.
//!
//! All times count from the start of traffic.

use fake_host::worker;
use std::{collections::BTreeMap, time::Duration};

/// Kind of request; each has a route of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May be repeated.
    Safe,
    /// May run once at most.
    Once,
    /// Stream that may run once at most.
    Stream,
    /// Stream that may go on elsewhere.
    Resume,
    /// May be repeated; its route moves.
    Moving(Prefix),
    /// May be repeated; its key is withdrawn at times.
    Withdrawn,
    /// May be repeated; its organisation has an allotment.
    Metered,
}

impl Kind {
    /// Every kind, while the route that moves has a prefix.
    #[must_use]
    pub const fn all(prefix: Prefix) -> [Self; 7] {
        [
            Self::Safe,
            Self::Once,
            Self::Stream,
            Self::Resume,
            Self::Moving(prefix),
            Self::Withdrawn,
            Self::Metered,
        ]
    }

    /// Whether a request may run more than once.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        !matches!(self, Self::Once | Self::Stream)
    }

    /// Whether the answer is a stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }

    /// Service that may run it.
    #[must_use]
    pub const fn service(self) -> &'static str {
        if matches!(self, Self::Once) { "desk" } else { "llm" }
    }
}

/// Prefix of the route that moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prefix {
    /// At first.
    Here,
    /// After a move.
    There,
}

impl Prefix {
    /// The other one.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Here => Self::There,
            Self::There => Self::Here,
        }
    }

    /// Path under it.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Here => "/here/",
            Self::There => "/there/",
        }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The head of an answer came.
    Answered {
        /// Status.
        status: u16,
        /// Attempt that it names.
        attempt: Option<Box<str>>,
        /// Worker's receipt.
        receipt: Option<Box<str>>,
        /// Body.
        text: Box<str>,
        /// Whether the body looked complete.
        whole: bool,
    },
    /// The connection ended without an answer.
    Closed,
    /// The caller left.
    Left,
}

impl Outcome {
    /// Status, if there was one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Answered { status, .. } => Some(*status),
            Self::Closed | Self::Left => None,
        }
    }
}

/// Request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Attempt.
    pub attempt: Box<str>,
    /// Kind.
    pub kind: Kind,
    /// Node that it was sent to.
    pub node: usize,
    /// Organisation that holds its key.
    pub organisation: &'static str,
    /// Method and path, as its request line has them.
    pub line: Box<str>,
    /// Body.
    pub body: Box<[u8]>,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub outcome: Outcome,
}

/// Run of a request at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Seat of the worker.
    pub seat: usize,
    /// Service that the worker ran.
    pub service: &'static str,
    /// What arrived.
    pub request: worker::Run,
    /// When.
    pub at: Duration,
    /// When its connection closed before its end.
    pub cut: Option<Duration>,
}

/// What a disturbance touches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One node.
    Node(usize),
    /// Planned work on one node: a signal to stop or to read the settings.
    Planned(usize),
    /// One worker.
    Worker(usize),
    /// The store, and so every node.
    Store,
}

/// Time in which something is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// What.
    pub scope: Scope,
    /// From when.
    pub from: Duration,
    /// Until when; none while it lasts.
    pub until: Option<Duration>,
}

/// Configuration from its confirmation on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// From when.
    pub from: Duration,
    /// Prefix of the route that moves.
    pub prefix: Prefix,
    /// Whether the key that is withdrawn at times holds.
    pub key: bool,
}

/// Worker listed as leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    /// Seat.
    pub seat: usize,
    /// From when.
    pub from: Duration,
    /// Until when it is listed so.
    pub until: Option<Duration>,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests.
    pub calls: Vec<Call>,
    /// Runs.
    pub runs: Vec<Run>,
    /// Disturbances.
    pub disturbances: Vec<Disturbance>,
    /// Configurations, in order.
    pub rules: Vec<Rules>,
    /// Workers listed as leaving.
    pub leavings: Vec<Leaving>,
    /// Nodes that ended by themselves or wrote of a panic.
    pub broken_nodes: Vec<Box<str>>,
    /// Nodes and the kinds of request that they did not serve once the trouble was over.
    pub unrecovered: Vec<Box<str>>,
}

impl Record {
    /// Whether a node was calm from `stable` before `from` until `until`, and the store with it.
    #[must_use]
    pub fn in_touch(&self, node: usize, from: Duration, until: Duration, stable: Duration) -> bool {
        let touches = |scope| match scope {
            Scope::Node(n) | Scope::Planned(n) => n == node,
            Scope::Store => true,
            Scope::Worker(_) => false,
        };
        self.is_calm(touches, from.saturating_sub(stable), until)
    }

    /// Whether nothing disturbed what `touches` names in a span of time.
    #[must_use]
    pub fn is_calm(
        &self,
        touches: impl Fn(Scope) -> bool,
        from: Duration,
        until: Duration,
    ) -> bool {
        let overlaps = |d: &Disturbance| d.from <= until && d.until.is_none_or(|end| end >= from);
        !self.disturbances.iter().any(|d| touches(d.scope) && overlaps(d))
    }

    /// Runs by attempt.
    #[must_use]
    pub fn runs_by_attempt(&self) -> BTreeMap<&str, Vec<&Run>> {
        let mut found: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            found.entry(&run.request.attempt).or_default().push(run);
        }
        found
    }
}

//! Observations of callers, workers and the operator in a run.
//!
//! All times are relative to the start of traffic.

use fake_host::worker;
use std::{
    collections::BTreeMap,
    fmt::{self, Display},
    time::Duration,
};

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Once,
    /// Stream that may run at most once.
    Stream,
    /// Stream that may be resumed on another worker.
    Resume,
    /// May run more than once; its route alternates between two prefixes.
    Moving(Prefix),
    /// May run more than once; its API key is revoked at times.
    Withdrawn,
    /// May run more than once; its organisation has a quota.
    Metered,
    /// May run more than once; crashes each worker that begins to run it.
    Deadly,
    /// May run more than once; differs from the deadly one in one respect.
    Similar,
}

impl Kind {
    /// Every kind, with the given prefix for the moving route.
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

    /// Whether the response is a stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }

    /// Service that its route leads to.
    #[must_use]
    pub const fn service(self) -> &'static str {
        if matches!(self, Self::Once) { "desk" } else { "llm" }
    }
}

/// Prefix of the moving route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prefix {
    /// Initial prefix.
    Here,
    /// Prefix after the first move.
    There,
}

impl Prefix {
    /// The other prefix.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Here => Self::There,
            Self::There => Self::Here,
        }
    }

    /// Path of the prefix.
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
    /// The head of a response arrived.
    Responded {
        /// Status.
        status: u16,
        /// Attempt that the response names.
        attempt: Option<Box<str>>,
        /// Receipt of the worker.
        receipt: Option<Box<str>>,
        /// Body.
        text: Box<str>,
        /// Whether the body arrived to its end.
        complete: bool,
    },
    /// The connection ended without a response.
    Closed,
    /// The caller gave up or timed out.
    Abandoned,
}

impl Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Responded { status, .. } => write!(f, "answered {status}"),
            Self::Closed => f.write_str("closed without an answer"),
            Self::Abandoned => f.write_str("given up by the caller"),
        }
    }
}

impl Outcome {
    /// Status, if a response arrived.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Responded { status, .. } => Some(*status),
            Self::Closed | Self::Abandoned => None,
        }
    }
}

/// Request of a caller, with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Id of the attempt.
    pub attempt: Box<str>,
    /// Kind.
    pub kind: Kind,
    /// Index of the node that it was sent to.
    pub node: usize,
    /// Organisation that owns its API key.
    pub organisation: &'static str,
    /// Method and path, as in its request line.
    pub request_line: Box<str>,
    /// Body.
    pub body: Box<[u8]>,
    /// When it was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// Run of a request at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Index of the worker, which its replacements keep.
    pub worker: usize,
    /// Service of the worker.
    pub service: &'static str,
    /// Request as the worker received it.
    pub request: worker::Run,
    /// When it began.
    pub started_at: Duration,
    /// When its connection closed, if before the end of the run.
    pub disconnected_at: Option<Duration>,
}

/// Rejection of a request by a worker, which has not run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Id of the attempt.
    pub attempt: Box<str>,
    /// Index of the worker.
    pub worker: usize,
    /// When the request was received.
    pub at: Duration,
}

/// Parts of the system that a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One node.
    Node(usize),
    /// Planned maintenance of one node: a signal to terminate or to reload the settings.
    Planned(usize),
    /// One worker.
    Worker(usize),
    /// The store, and therefore every node.
    Store,
}

/// Period in which part of the system is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// Affected part.
    pub scope: Scope,
    /// Start.
    pub from: Duration,
    /// End; none while it lasts.
    pub until: Option<Duration>,
}

/// Configuration that the operator stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Configuration {
    /// When it was stored.
    pub from: Duration,
    /// Prefix of the moving route.
    pub prefix: Prefix,
    /// Whether the API key of [`Kind::Withdrawn`] is valid.
    pub key_valid: bool,
}

/// Period in which a worker is registered as draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// Index of the worker.
    pub worker: usize,
    /// Start.
    pub from: Duration,
    /// End; none while it lasts.
    pub until: Option<Duration>,
}

/// All observations of a run.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests of the callers.
    pub calls: Vec<Call>,
    /// Runs at the workers.
    pub runs: Vec<Run>,
    /// Rejections by the workers.
    pub rejections: Vec<Rejection>,
    /// Disturbances.
    pub disturbances: Vec<Disturbance>,
    /// Configurations, in the order of their times.
    pub configurations: Vec<Configuration>,
    /// Drains of workers.
    pub drains: Vec<Drain>,
    /// Times at which workers crashed under the deadly request, in order.
    pub crashes: Vec<Duration>,
    /// Nodes that exited unexpectedly or logged a panic.
    pub failed_nodes: Vec<Box<str>>,
    /// Nodes with the kinds of request that they still did not serve after all faults had ended.
    pub unrecovered: Vec<Box<str>>,
}

impl Record {
    /// Whether neither a node nor the store was disturbed from `margin` before `from` until `until`.
    #[must_use]
    pub fn is_node_undisturbed(
        &self,
        node: usize,
        from: Duration,
        until: Duration,
        margin: Duration,
    ) -> bool {
        let affects = |scope| match scope {
            Scope::Node(n) | Scope::Planned(n) => n == node,
            Scope::Store => true,
            Scope::Worker(_) => false,
        };
        self.is_undisturbed(affects, from.saturating_sub(margin), until)
    }

    /// Whether no disturbance whose scope `affects` accepts overlapped a period.
    #[must_use]
    pub fn is_undisturbed(
        &self,
        affects: impl Fn(Scope) -> bool,
        from: Duration,
        until: Duration,
    ) -> bool {
        let overlaps = |d: &Disturbance| d.from <= until && d.until.is_none_or(|end| end >= from);
        !self.disturbances.iter().any(|d| affects(d.scope) && overlaps(d))
    }

    /// What was sent, rejected, run and answered of an attempt, in the order of the times.
    #[must_use]
    pub fn trace(&self, call: &Call) -> String {
        let mut steps = vec![
            (call.sent_at, format!("sent to n-{}", call.node)),
            (call.ended_at, call.outcome.to_string()),
        ];
        let rejections = self.rejections.iter().filter(|known| known.attempt == call.attempt);
        steps.extend(rejections.map(|r| (r.at, format!("rejected by worker {}", r.worker))));
        let runs = self.runs.iter().filter(|run| *run.request.attempt == *call.attempt);
        steps.extend(runs.map(|run| (run.started_at, format!("ran at worker {}", run.worker))));
        steps.sort();
        let steps = steps.into_iter().map(|(at, step)| format!("{at:.3?} {step}"));
        steps.collect::<Vec<_>>().join(", ")
    }

    /// Groups the runs by attempt.
    #[must_use]
    pub fn runs_by_attempt(&self) -> BTreeMap<&str, Vec<&Run>> {
        let mut by_attempt: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &self.runs {
            by_attempt.entry(&run.request.attempt).or_default().push(run);
        }
        by_attempt
    }
}

//! Schedule of the faults in a run, generated from its seed.
//!
//! Each run selects a few kinds of fault and injects them in overlapping
//! series. Faults never target some of the nodes, so that guarantees with a
//! time limit can be checked on those throughout the run.

use crate::proxy::Mode;
use fake_host::Fault;
use rand::{
    Rng, SeedableRng,
    seq::{IndexedRandom, SliceRandom},
};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Number of different kinds of fault in one run.
const FAULT_KINDS: std::ops::RangeInclusive<usize> = 3..=6;
/// Time between the starts of two consecutive faults, in ms.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 40..700;
/// Duration of a fault, in ms; the range covers values below and above the timeouts of the nodes.
const FAULT_DURATION_MS: std::ops::Range<u64> = 60..2_500;
/// Time between an operator's changes of one kind, in ms; long enough to check each of them.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 4_500..7_000;
/// Time without faults at the beginning.
const WARMUP: Duration = Duration::from_secs(1);
/// Time that a terminated node has to finish its requests.
pub const TERMINATION_GRACE: Duration = Duration::from_secs(8);

/// Size of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of workers; a crashed worker is replaced by another at the same address.
    pub workers: usize,
    /// Number of callers, with one connection each.
    pub callers: usize,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Faults of workers.
    pub workers_do: Worker,
}

/// Faults of the workers in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Worker {
    /// As often as the other faults, with bytes that are mostly in place.
    #[default]
    Fail,
    /// All the time, with answers that are misplaced, early, late or spoiled.
    Garble,
    /// As in [`Self::Fail`], and they crash under requests that come again and again, see
    /// [`crate::deadly`].
    Crash,
}

/// Identifies a link by the two sides that it connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// Between callers and a node.
    Callers(usize),
    /// Between a node and the store.
    Store(usize),
    /// Between all nodes and a worker.
    Worker(usize),
}

/// Signal sent to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Exit at once.
    Kill,
    /// Exit after the requests in progress.
    Terminate,
    /// Suspend the process.
    Freeze,
    /// Continue after a freeze.
    Unfreeze,
    /// Reload the settings.
    Reload,
}

impl Signal {
    /// Name of the signal for the `kill` command.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Terminate => "TERM",
            Self::Freeze => "STOP",
            Self::Unfreeze => "CONT",
            Self::Reload => "HUP",
        }
    }
}

/// Behaviour of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Availability {
    /// Responds normally.
    #[default]
    Up,
    /// Refuses every request.
    Down,
    /// Executes requests without responding.
    DropResponses,
    /// Responds after a delay.
    Slow(Duration),
}

/// Fault or operation applied to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Sets the mode of a link.
    SetLink(Hop, Mode),
    /// Resets the connections of a link.
    Reset(Hop),
    /// Sends a signal to a node.
    Signal(usize, Signal),
    /// Restarts a killed or terminated node; kills it first if it still runs.
    Start(usize),
    /// Sets the fault of a worker.
    SetFault(usize, Fault),
    /// Crashes a worker and replaces it at the same address, possibly with one of another service.
    Replace(usize),
    /// Registers a worker as draining (`true`) or as ready again.
    Drain(usize, bool),
    /// Removes the entry of a worker, which goes on to serve.
    Withdraw(usize),
    /// Sets the behaviour of the store.
    SetStore(Availability),
    /// Makes the store discard its history.
    ForgetHistory,
    /// Brings the store back from a copy of this age.
    Restore(Duration),
    /// Switches the moving route to its other prefix.
    MoveRoute,
    /// Revokes an API key, or restores it.
    ToggleKey,
}

/// Action with its scheduled time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of traffic.
    pub at: Duration,
    /// Action to apply.
    pub action: Action,
}

/// All steps of a run, in the order of their times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Steps.
    pub steps: Vec<Step>,
}

#[derive(Debug, Clone, Copy)]
enum FaultKind {
    Links,
    Resets,
    Kills,
    Terminations,
    Freezes,
    Reloads,
    WorkerFaults,
    Replacements,
    Store,
}

const ALL_FAULT_KINDS: [FaultKind; 9] = [
    FaultKind::Links,
    FaultKind::Resets,
    FaultKind::Kills,
    FaultKind::Terminations,
    FaultKind::Freezes,
    FaultKind::Reloads,
    FaultKind::WorkerFaults,
    FaultKind::Replacements,
    FaultKind::Store,
];

struct Generator {
    random: Pcg64Mcg,
    size: Size,
    /// Only nodes below this index are faulted.
    faulted_nodes: usize,
}

impl Generator {
    fn ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn node(&mut self) -> usize {
        self.random.random_range(0..self.faulted_nodes)
    }

    fn worker(&mut self) -> usize {
        self.random.random_range(0..self.size.workers)
    }

    fn hop(&mut self) -> Hop {
        match self.random.random_range(0..3) {
            0 => Hop::Callers(self.node()),
            1 => Hop::Store(self.node()),
            _ => Hop::Worker(self.worker()),
        }
    }

    fn link_mode(&mut self) -> Mode {
        match self.random.random_range(0..5) {
            0 => Mode::Delay(self.ms(5..400)),
            1 => Mode::Stall,
            2 => Mode::StallUpstream,
            3 => Mode::StallDownstream,
            _ => Mode::Refuse,
        }
    }

    fn garbling_fault(&mut self) -> Fault {
        match self.random.random_range(0..8) {
            0..=3 => Fault::LateCopies,
            4 => Fault::EarlyRejection,
            5 => Fault::Garbage,
            6 => Fault::UnnamedRejection,
            _ => Fault::ExtraResponse,
        }
    }

    fn worker_fault(&mut self) -> Fault {
        if self.size.workers_do == Worker::Garble {
            return self.garbling_fault();
        }
        match self.random.random_range(0..6) {
            0 => Fault::Reject,
            1 => Fault::DropResponse,
            2 => Fault::TruncateAfter(self.random.random_range(0..12)),
            3 => Fault::ExtraResponse,
            4 => Fault::Unsigned,
            _ => Fault::Error,
        }
    }

    fn store_state(&mut self) -> Availability {
        match self.random.random_range(0..3) {
            0 => Availability::Down,
            1 => Availability::DropResponses,
            _ => Availability::Slow(self.ms(50..1_500)),
        }
    }

    /// Steps that begin a fault at `at` and, where it lasts, end it.
    fn fault_steps(&mut self, kind: FaultKind, at: Duration) -> Vec<Step> {
        let until = at + self.ms(FAULT_DURATION_MS);
        let (first, last, until) = match kind {
            FaultKind::Links => {
                let hop = self.hop();
                (
                    Action::SetLink(hop, self.link_mode()),
                    Some(Action::SetLink(hop, Mode::Forward)),
                    until,
                )
            }
            FaultKind::Resets => (Action::Reset(self.hop()), None, until),
            FaultKind::Kills => {
                let node = self.node();
                (Action::Signal(node, Signal::Kill), Some(Action::Start(node)), until)
            }
            FaultKind::Terminations => {
                let node = self.node();
                (
                    Action::Signal(node, Signal::Terminate),
                    Some(Action::Start(node)),
                    at + TERMINATION_GRACE,
                )
            }
            FaultKind::Freezes => {
                let node = self.node();
                let unfreeze = Action::Signal(node, Signal::Unfreeze);
                (Action::Signal(node, Signal::Freeze), Some(unfreeze), until)
            }
            FaultKind::Reloads => (Action::Signal(self.node(), Signal::Reload), None, until),
            FaultKind::WorkerFaults => {
                let worker = self.worker();
                let repaired = Action::SetFault(worker, Fault::None);
                (Action::SetFault(worker, self.worker_fault()), Some(repaired), until)
            }
            FaultKind::Replacements => (Action::Replace(self.worker()), None, until),
            FaultKind::Store if self.random.random_bool(0.2) => {
                let age = until - at;
                let is_drill = age.as_millis() % 2 == 1;
                let action = if is_drill { Action::Restore(age) } else { Action::ForgetHistory };
                (action, None, until)
            }
            FaultKind::Store => (
                Action::SetStore(self.store_state()),
                Some(Action::SetStore(Availability::Up)),
                until,
            ),
        };
        let last = last.map(|action| Step { at: until, action });
        [Step { at, action: first }].into_iter().chain(last).collect()
    }

    /// Faults of one kind throughout the run.
    fn series(&mut self, kind: FaultKind) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut at = WARMUP;
        while at < self.size.duration {
            steps.extend(self.fault_steps(kind, at));
            at += self.ms(FAULT_INTERVAL_MS);
        }
        steps
    }

    /// Changes that operators make throughout the run.
    fn operator_steps(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        for kind in 0..3 {
            let mut at = WARMUP + self.ms(0..CHANGE_INTERVAL_MS.start);
            let worker = self.worker();
            let mut draining = true;
            while at < self.size.duration {
                let action = match kind {
                    0 => Action::MoveRoute,
                    1 => Action::ToggleKey,
                    // Some workers never report that they drain.
                    _ if draining && worker % 2 == 1 => Action::Withdraw(worker),
                    _ => Action::Drain(worker, draining),
                };
                steps.push(Step { at, action });
                draining = !draining;
                at += self.ms(CHANGE_INTERVAL_MS);
            }
        }
        steps
    }
}

impl Plan {
    /// Generates the plan of a seed.
    #[must_use]
    pub fn new(seed: u64, size: Size) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let faulted_nodes = random.random_range(1..size.nodes.max(2));
        let mut kinds = ALL_FAULT_KINDS;
        kinds.shuffle(&mut random);
        let count = random.random_range(FAULT_KINDS);
        let kinds = &kinds[..count];
        let mut generator = Generator { random, size, faulted_nodes };
        let mut steps = generator.operator_steps();
        if size.workers_do == Worker::Garble {
            steps.extend(generator.series(FaultKind::WorkerFaults));
        }
        let mut at = WARMUP;
        while at < size.duration {
            let Some(kind) = kinds.choose(&mut generator.random) else { break };
            steps.extend(generator.fault_steps(*kind, at));
            at += generator.ms(FAULT_INTERVAL_MS);
        }
        steps.sort_by_key(|step| step.at);
        Self { steps }
    }
}

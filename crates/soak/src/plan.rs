//! What goes wrong in a run, and when; drawn from its seed.
//!
//! A run draws a few kinds of trouble and plays them in series that overlap.
//! Some nodes are left alone, so that promises with a time limit can be
//! checked on them all the while.

use crate::proxy::Mode;
use fake_host::Fault;
use rand::{
    Rng, SeedableRng,
    seq::{IndexedRandom, SliceRandom},
};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Kinds of trouble in one run.
const KINDS: std::ops::RangeInclusive<usize> = 3..=6;
/// Pause between two troubles of a run, in ms.
const PAUSES_MS: std::ops::Range<u64> = 40..700;
/// Length of a trouble, in ms: beyond and below the timeouts of the nodes.
const LENGTHS_MS: std::ops::Range<u64> = 60..2_500;
/// Time between an operator's changes, in ms; each can be checked in between.
const CHANGES_MS: std::ops::Range<u64> = 4_500..7_000;
/// Time without trouble at the begin.
const CALM: Duration = Duration::from_secs(1);
/// Time that a stopped node has for its requests.
pub const GRACE: Duration = Duration::from_secs(8);

/// Size of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Seats of workers; a worker that is lost is followed by another at its address.
    pub workers: usize,
    /// Callers with a connection each.
    pub callers: usize,
    /// Time in which trouble begins.
    pub length: Duration,
}

/// End of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Between callers and a node.
    Callers(usize),
    /// Between a node and the store.
    Store(usize),
    /// Between all nodes and a worker.
    Worker(usize),
}

/// Signal to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// End at once.
    Kill,
    /// End after the requests in progress.
    Stop,
    /// Stand still.
    Freeze,
    /// Go on.
    Thaw,
    /// Read the settings again.
    Reload,
}

impl Signal {
    /// Name that `kill` takes.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Stop => "TERM",
            Self::Freeze => "STOP",
            Self::Thaw => "CONT",
            Self::Reload => "HUP",
        }
    }
}

/// State of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Weather {
    /// Answers.
    #[default]
    Calm,
    /// Refuses every call.
    Down,
    /// Carries calls out and gives no answer.
    Mute,
    /// Answers late.
    Slow(Duration),
}

/// Something that is done to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Changes a link.
    Link(Place, Mode),
    /// Resets the connections of a link.
    Reset(Place),
    /// Sends a signal.
    Signal(usize, Signal),
    /// Starts a node that has ended, killing it first if it has not.
    Start(usize),
    /// Switches a worker's fault.
    Fail(usize, Fault),
    /// Crashes a worker; another one comes at its address, perhaps of another service.
    Replace(usize),
    /// Lists a worker as leaving, or as ready again.
    Drain(usize, bool),
    /// Changes the store.
    Store(Weather),
    /// Makes the store forget its history.
    Forget,
    /// Moves a route to its other prefix.
    Move,
    /// Withdraws a key, or gives it again.
    Withdraw,
}

/// Action at its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time from the start of traffic.
    pub at: Duration,
    /// Action.
    pub action: Action,
}

/// All steps of a run, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Steps.
    pub steps: Vec<Step>,
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Links,
    Resets,
    Kills,
    Stops,
    Freezes,
    Reloads,
    Failures,
    Losses,
    Store,
}

const ALL: [Kind; 9] = [
    Kind::Links,
    Kind::Resets,
    Kind::Kills,
    Kind::Stops,
    Kind::Freezes,
    Kind::Reloads,
    Kind::Failures,
    Kind::Losses,
    Kind::Store,
];

struct Draw {
    random: Pcg64Mcg,
    size: Size,
    /// Nodes below this number are disturbed.
    disturbed: usize,
}

impl Draw {
    fn ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn node(&mut self) -> usize {
        self.random.random_range(0..self.disturbed)
    }

    fn worker(&mut self) -> usize {
        self.random.random_range(0..self.size.workers)
    }

    fn place(&mut self) -> Place {
        match self.random.random_range(0..3) {
            0 => Place::Callers(self.node()),
            1 => Place::Store(self.node()),
            _ => Place::Worker(self.worker()),
        }
    }

    fn mode(&mut self) -> Mode {
        match self.random.random_range(0..5) {
            0 => Mode::Delay(self.ms(5..400)),
            1 => Mode::Silent,
            2 => Mode::SilentUp,
            3 => Mode::SilentDown,
            _ => Mode::Refuse,
        }
    }

    fn fault(&mut self) -> Fault {
        match self.random.random_range(0..6) {
            0 => Fault::Reject,
            1 => Fault::DropResponse,
            2 => Fault::TruncateAfter(self.random.random_range(0..12)),
            3 => Fault::ExtraResponse,
            4 => Fault::Unsigned,
            _ => Fault::Error,
        }
    }

    fn weather(&mut self) -> Weather {
        match self.random.random_range(0..3) {
            0 => Weather::Down,
            1 => Weather::Mute,
            _ => Weather::Slow(self.ms(50..1_500)),
        }
    }

    /// First and last action of a trouble that begins at `at`.
    fn trouble(&mut self, kind: Kind, at: Duration) -> Vec<Step> {
        let until = at + self.ms(LENGTHS_MS);
        let (first, last, until) = match kind {
            Kind::Links => {
                let place = self.place();
                (Action::Link(place, self.mode()), Some(Action::Link(place, Mode::Pass)), until)
            }
            Kind::Resets => (Action::Reset(self.place()), None, until),
            Kind::Kills => {
                let node = self.node();
                (Action::Signal(node, Signal::Kill), Some(Action::Start(node)), until)
            }
            Kind::Stops => {
                let node = self.node();
                (Action::Signal(node, Signal::Stop), Some(Action::Start(node)), at + GRACE)
            }
            Kind::Freezes => {
                let node = self.node();
                let thaw = Action::Signal(node, Signal::Thaw);
                (Action::Signal(node, Signal::Freeze), Some(thaw), until)
            }
            Kind::Reloads => (Action::Signal(self.node(), Signal::Reload), None, until),
            Kind::Failures => {
                let worker = self.worker();
                let sound = Action::Fail(worker, Fault::None);
                (Action::Fail(worker, self.fault()), Some(sound), until)
            }
            Kind::Losses => (Action::Replace(self.worker()), None, until),
            Kind::Store if self.random.random_bool(0.2) => (Action::Forget, None, until),
            Kind::Store => {
                (Action::Store(self.weather()), Some(Action::Store(Weather::Calm)), until)
            }
        };
        let last = last.map(|action| Step { at: until, action });
        [Step { at, action: first }].into_iter().chain(last).collect()
    }

    /// Changes that operators make all the time.
    fn changes(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        for kind in 0..3 {
            let mut at = CALM + self.ms(0..CHANGES_MS.start);
            let worker = self.worker();
            let mut on = true;
            while at < self.size.length {
                let action = match kind {
                    0 => Action::Move,
                    1 => Action::Withdraw,
                    _ => Action::Drain(worker, on),
                };
                steps.push(Step { at, action });
                on = !on;
                at += self.ms(CHANGES_MS);
            }
        }
        steps
    }
}

impl Plan {
    /// Plan out of a seed.
    #[must_use]
    pub fn new(seed: u64, size: Size) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let disturbed = random.random_range(1..size.nodes.max(2));
        let mut kinds = ALL;
        kinds.shuffle(&mut random);
        let count = random.random_range(KINDS);
        let kinds = &kinds[..count];
        let mut draw = Draw { random, size, disturbed };
        let mut steps = draw.changes();
        let mut at = CALM;
        while at < size.length {
            let Some(kind) = kinds.choose(&mut draw.random) else { break };
            steps.extend(draw.trouble(*kind, at));
            at += draw.ms(PAUSES_MS);
        }
        steps.sort_by_key(|step| step.at);
        Self { steps }
    }
}

//! Whether a peer still acknowledges what it is sent.

use super::ACKNOWLEDGEMENT_TIMEOUT;
use std::time::Duration;
use units::Time;

/// Number of unanswered probes of a closed window after which the peer is gone. The kernel doubles
/// the time between them.
const MAX_PROBES: u8 = 3;

/// State of a connection, as the kernel knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    /// Segments that were sent and not acknowledged.
    pub unacknowledged: u32,
    /// Bytes that were not sent yet.
    pub unsent: u32,
    /// Bytes that the peer has acknowledged since the start.
    pub acknowledged: u64,
    /// Time since the last acknowledgement, also one of nothing new; zero if it is not known.
    pub last_received: Duration,
    /// Probes of a closed window without an answer.
    pub unanswered_probes: u8,
}

/// What the state of a connection says of its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It has acknowledged everything.
    Confirmed,
    /// Something is outstanding.
    Outstanding,
    /// It acknowledges nothing any more.
    Gone,
}

/// Progress of a connection between checks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Acknowledgement {
    since: Time,
    acknowledged: u64,
}

impl Acknowledgement {
    /// Records that something was sent after everything had been acknowledged.
    pub fn begin(&mut self, now: Time) {
        self.since = now;
    }

    /// Takes over the state of the connection at a check.
    pub fn update(&mut self, state: State, now: Time) -> Verdict {
        if state.unacknowledged == 0 {
            self.since = now;
            // A peer with a closed window answers the probes.
            return match state {
                State { unanswered_probes: MAX_PROBES.., .. } => Verdict::Gone,
                State { unsent: 0, .. } => Verdict::Confirmed,
                State { .. } => Verdict::Outstanding,
            };
        }
        if state.acknowledged != self.acknowledged {
            self.acknowledged = state.acknowledged;
            self.since = now;
        }
        if state.last_received > Duration::ZERO {
            self.since = self.since.max(now - state.last_received);
        }
        let is_gone = now.since(self.since) >= ACKNOWLEDGEMENT_TIMEOUT;
        if is_gone { Verdict::Gone } else { Verdict::Outstanding }
    }
}

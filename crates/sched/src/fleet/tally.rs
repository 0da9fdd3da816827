//! Slots of one service, and how they move to nodes that have too few.

/// Part of its fair number of slots below which a node misses some.
const HUNGRY: f64 = 0.75;
/// Part of what others miss that is given up between two deals; they hear of it after some.
const GIVEN: f64 = 0.5;

/// Slots of a service, from this node's point of view.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Tally {
    /// All of them, at the last deal.
    pub(super) slots: u32,
    /// Those that this node holds.
    pub(super) own: u32,
    /// Those that nobody holds, at the last deal.
    pub(super) free: u32,
    /// Requests wait here.
    pub(super) waits: bool,
    /// Slots that this node misses.
    pub(super) shortfall: u32,
    /// Slots that other nodes miss.
    pub(super) shortfall_elsewhere: u32,
    /// Slots that this node gives up until the next deal.
    to_give: u32,
}

impl Tally {
    /// Part of the free slots that goes first to those who miss some.
    fn reserved(&self) -> f64 {
        let shortfall = f64::from(self.shortfall + self.shortfall_elsewhere);
        (shortfall / f64::from(self.free.max(1))).min(1.0)
    }

    /// Part of the free slots that this node is allocated, `part` being its part of the demand.
    pub(super) fn allocated_part(&self, part: f64) -> f64 {
        let reserved = self.reserved();
        if reserved <= 0.0 {
            return part;
        }
        let shortfall = f64::from(self.shortfall + self.shortfall_elsewhere);
        part * (1.0 - reserved) + reserved * f64::from(self.shortfall) / shortfall
    }

    /// Decides what this node misses and what it gives up, `part` being its part of the demand;
    /// `draw` is a number from 0 to 1 that rounds it.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "parts of slot counts"
    )]
    pub(super) fn settle(&mut self, part: f64, draw: f64) {
        let slots = f64::from(self.slots.max(1));
        let (fair, own) = (part * slots, f64::from(self.own));
        let shortfall = if self.waits { (HUNGRY * fair - own).max(0.0) } else { 0.0 };
        self.shortfall = shortfall as u32;
        let given = GIVEN * f64::from(self.shortfall_elsewhere) * own / slots;
        self.to_give = if own > fair { (given + draw).floor() as u32 } else { 0 };
    }

    /// Notes that a request has left a slot; whether the slot is this node's again.
    pub(super) fn leave(&mut self) -> bool {
        self.own = self.own.saturating_sub(1);
        let gives = self.to_give > 0;
        self.to_give = self.to_give.saturating_sub(1);
        !gives
    }
}

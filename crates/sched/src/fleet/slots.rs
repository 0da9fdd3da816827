//! Slots of one service, and their transfer to nodes that have too few.

/// Fraction of a node's fair share of slots below which it reports a shortfall.
const SHORTFALL_THRESHOLD: f64 = 0.75;
/// Fraction of the other nodes' shortfall that is released between two allocations; the others
/// learn of a release only after several allocations.
const RELEASE_FRACTION: f64 = 0.5;

/// Slots of a service, as known to this node.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pool {
    /// All slots, at the last allocation.
    pub(super) slots: u32,
    /// Slots used by this node.
    pub(super) own: u32,
    /// Unused slots, at the last allocation.
    pub(super) free: u32,
    /// Whether requests wait at this node.
    pub(super) has_waiting: bool,
    /// Slots that this node lacks.
    pub(super) shortfall: u32,
    /// Slots that other nodes lack.
    pub(super) shortfall_elsewhere: u32,
    /// Slots to release until the next allocation.
    to_release: u32,
}

impl Pool {
    /// Fraction of the free slots that is reserved for nodes with a shortfall.
    fn reserved(&self) -> f64 {
        let shortfall = f64::from(self.shortfall) + f64::from(self.shortfall_elsewhere);
        (shortfall / f64::from(self.free.max(1))).min(1.0)
    }

    /// Fraction of the free slots that this node is allocated; `share` is its share of the demand.
    pub(super) fn allocated_share(&self, share: f64) -> f64 {
        let reserved = self.reserved();
        if reserved <= 0.0 {
            return share;
        }
        let shortfall = f64::from(self.shortfall) + f64::from(self.shortfall_elsewhere);
        share * (1.0 - reserved) + reserved * f64::from(self.shortfall) / shortfall
    }

    /// Computes this node's shortfall and the slots to release; `share` is its share of the demand,
    /// `draw` a random number from 0 to 1 for rounding.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "parts of slot counts"
    )]
    pub(super) fn update_shortfall(&mut self, share: f64, draw: f64) {
        let slots = f64::from(self.slots.max(1));
        let (fair, own) = (share * slots, f64::from(self.own));
        let shortfall =
            if self.has_waiting { (SHORTFALL_THRESHOLD * fair - own).max(0.0) } else { 0.0 };
        self.shortfall = shortfall as u32;
        let released = RELEASE_FRACTION * f64::from(self.shortfall_elsewhere) * own / slots;
        self.to_release = if own > fair { (released + draw).floor() as u32 } else { 0 };
    }

    /// Records that a request has released its slot; true if this node may use the slot again.
    pub(super) fn release(&mut self) -> bool {
        self.own = self.own.saturating_sub(1);
        let released = self.to_release > 0;
        self.to_release = self.to_release.saturating_sub(1);
        !released
    }
}

//! How many messages a sender holds.

use super::*;

/// One part in so many of the settings' bound is kept free.
const SPARE_PART: usize = 16;

impl Scheduler {
    /// Messages that may be handed over before the least worthy of those held are ended for want of room.
    pub fn capacity(&self) -> usize {
        self.max_pending().saturating_sub(self.messages.len())
    }

    /// Messages held after a turn, at most. Room is kept so that the next arrivals are chosen among, not turned away unseen.
    pub(super) fn max_pending(&self) -> usize {
        let most = self.settings.max_pending;
        most - (most / SPARE_PART).clamp(1, most)
    }
}

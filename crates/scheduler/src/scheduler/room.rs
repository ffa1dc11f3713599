//! How many messages a sender holds.

use super::*;

/// One part in so many of the settings' bound is kept free.
const SPARE_PART: usize = 16;

impl Sender {
    /// Messages that may be handed over before the least worthy of those held are ended for want of room.
    pub fn room(&self) -> usize {
        self.kept_most().saturating_sub(self.messages.len())
    }

    /// Messages held after a turn, at most. Room is kept so that the next arrivals are chosen among, not turned away unseen.
    pub(super) fn kept_most(&self) -> usize {
        let most = self.set.most_held;
        most - (most / SPARE_PART).clamp(1, most)
    }
}

//! Admission of messages by the room left in the disk budget.

use std::time::Duration;

use super::state::Journal;
use crate::storage::Storage;

/// Bytes that a message needs in addition to those that the caller counts: ids, keys, frames and the first attempt.
const MESSAGE_OVERHEAD_BYTES: u64 = 2048;
/// Retry delay while compaction has more than a segment's worth of dead bytes to free.
const RETRY_SOON: Duration = Duration::from_millis(250);
/// Retry delay while room is freed only as pending messages end.
const RETRY_LATER: Duration = Duration::from_secs(2);

impl<S: Storage> Journal<S> {
    /// Checks that there is room for a further message of `bytes` bytes. Room granted here is set aside until the next
    /// call of [`Journal::append`].
    ///
    /// # Errors
    /// If there is no room: how long to wait before the next attempt.
    pub fn admit(&mut self, bytes: usize) -> Result<(), Duration> {
        let needed = bytes as u64 + MESSAGE_OVERHEAD_BYTES;
        let reserve = self.compaction_reserve() * 2 + self.index.reserved_bytes();
        if self.storage.free_bytes() >= self.admitted_bytes + needed + reserve {
            self.admitted_bytes += needed;
            return Ok(());
        }
        let dead: u64 = self
            .sealed
            .iter()
            .map(|(&sequence, s)| s.len.saturating_sub(self.index.live_bytes(sequence)))
            .sum();
        Err(if dead > self.segment_bytes {
            RETRY_SOON
        } else {
            RETRY_LATER
        })
    }
}

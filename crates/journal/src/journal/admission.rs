//! Whether there is room for a further message.

use std::time::Duration;

use super::state::Journal;
use crate::storage::Storage;

/// Bytes that a message takes besides those that its caller counts: ids, keys, frames and the first attempt.
const MESSAGE_OVERHEAD_BYTES: u64 = 2048;
/// When to retry while compaction has a segment's worth of dead bytes to free.
const RETRY_SOON: Duration = Duration::from_millis(250);
/// When to retry while room depends on pending messages ending.
const RETRY_LATER: Duration = Duration::from_secs(2);

impl<S: Storage> Journal<S> {
    /// Whether there is room for a further message of `bytes`. Messages that are admitted count until the next batch
    /// is appended.
    ///
    /// # Errors
    /// How long to wait before the next try.
    pub fn admit(&mut self, bytes: usize) -> Result<(), Duration> {
        let needed = bytes as u64 + MESSAGE_OVERHEAD_BYTES;
        let reserve = self.compaction_reserve() * 2 + self.index.reserved_bytes();
        if self.storage.room() >= self.promised_bytes + needed + reserve {
            self.promised_bytes += needed;
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

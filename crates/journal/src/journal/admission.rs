//! Admission of messages by the room left in the disk budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::state::Journal;
use crate::storage::Storage;

/// Bytes that a message needs in addition to those that the caller counts: ids, keys, frames and the first attempt.
const MESSAGE_OVERHEAD_BYTES: u64 = 2048;
/// Retry delay while compaction has more than a segment's worth of dead bytes to free.
const RETRY_SOON: Duration = Duration::from_millis(250);
/// Retry delay while room is freed only as pending messages end.
const RETRY_LATER: Duration = Duration::from_secs(2);

/// Room set aside for a message that is not appended yet. Dropping it gives the room back, whether or not the message was
/// appended.
#[derive(Debug)]
#[must_use = "the room is given back when this is dropped"]
pub struct AdmittedRoom {
    bytes: u64,
    admitted: Arc<AtomicU64>,
}

impl Drop for AdmittedRoom {
    fn drop(&mut self) {
        self.admitted.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl<S: Storage> Journal<S> {
    /// Sets room aside for a further message of `bytes` bytes.
    ///
    /// # Errors
    /// If there is no room: how long to wait before the next attempt.
    pub fn admit(&mut self, bytes: usize) -> Result<AdmittedRoom, Duration> {
        let needed = bytes as u64 + MESSAGE_OVERHEAD_BYTES;
        let reserve = self.compaction_reserve() * 2 + self.index.reserved_bytes();
        if self.storage.free_bytes() >= self.admitted_bytes() + needed + reserve {
            self.admitted.fetch_add(needed, Ordering::Relaxed);
            return Ok(AdmittedRoom {
                bytes: needed,
                admitted: self.admitted.clone(),
            });
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

    /// Bytes set aside by [`Journal::admit`].
    pub fn admitted_bytes(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed)
    }
}

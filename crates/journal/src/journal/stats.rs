//! Figures of a running journal.

use super::state::Journal;
use crate::storage::Storage;

/// Figures of a running journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Segments, the head among them.
    pub segments: usize,
    /// Bytes of all segments.
    pub bytes: u64,
    /// Bytes of live frames in them.
    pub live: u64,
    /// Pending messages.
    pub open: u64,
    /// Messages whose final report is due.
    pub final_report: u64,
    /// Completed messages that are remembered.
    pub completed: u64,
    /// Bytes of the disk budget that are free.
    pub room: u64,
    /// Bytes appended since the start.
    pub appended: u64,
    /// Bytes that compaction has relocated since the start.
    pub relocated: u64,
    /// Segments removed since the start.
    pub removed: u64,
    /// Batches that were not written whole since the start.
    pub rejected: u64,
}

/// What one step of compaction did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CompactionStep {
    /// Bytes read.
    pub read: u64,
    /// Bytes written to the head.
    pub relocated: u64,
    /// Segments removed.
    pub removed: u32,
    /// It could not continue, for want of room or because a file operation failed. Tried again in the next step.
    pub stuck: bool,
}

impl<S: Storage> Journal<S> {
    /// The present figures.
    pub fn stats(&mut self) -> Stats {
        let head = self.head.iter().map(|head| (head.sequence, head.len));
        let sealed = self.sealed.iter().map(|(&sequence, s)| (sequence, s.len));
        let (mut segments, mut bytes, mut live) = (0, 0, 0);
        for (sequence, len) in sealed.chain(head) {
            segments += 1;
            bytes += len;
            live += self.index.live_bytes(sequence);
        }
        let counts = self.index.counts();
        Stats {
            segments,
            bytes,
            live,
            open: counts.open,
            final_report: counts.final_report_due,
            completed: counts.completed,
            room: self.storage.room(),
            appended: self.counters.appended_bytes,
            relocated: self.counters.relocated_bytes,
            removed: self.counters.removed_segments,
            rejected: self.counters.rejected_batches,
        }
    }
}

//! Statistics of an open journal, and of a step of compaction.

use super::state::Journal;
use crate::storage::Storage;

/// Statistics of an open journal. Totals count from when it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of segments, including the head.
    pub segments: usize,
    /// Bytes of all segments, headers included.
    pub bytes: u64,
    /// Bytes of live frames.
    pub live_bytes: u64,
    /// Number of pending messages.
    pub pending: u64,
    /// Number of messages whose final report is due.
    pub final_reports_due: u64,
    /// Number of completed messages whose ids are retained.
    pub completed: u64,
    /// Bytes of the disk budget that are free.
    pub free_bytes: u64,
    /// Total bytes appended in batches.
    pub appended_bytes: u64,
    /// Total bytes relocated by compaction.
    pub relocated_bytes: u64,
    /// Total segments removed by compaction.
    pub removed_segments: u64,
    /// Total batches that were not persisted, or only in part.
    pub failed_batches: u64,
}

/// The work done by one step of compaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CompactionStep {
    /// Bytes read from segments.
    pub read: u64,
    /// Bytes relocated to the head.
    pub relocated: u64,
    /// Segments whose files were removed.
    pub removed: u32,
    /// Whether the step stopped early, for lack of room or because a file operation failed. The next step retries.
    pub incomplete: bool,
}

impl<S: Storage> Journal<S> {
    /// The current statistics.
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
            live_bytes: live,
            pending: counts.open,
            final_reports_due: counts.final_report_due,
            completed: counts.completed,
            free_bytes: self.storage.free_bytes(),
            appended_bytes: self.counters.appended_bytes,
            relocated_bytes: self.counters.relocated_bytes,
            removed_segments: self.counters.removed_segments,
            failed_batches: self.counters.rejected_batches,
        }
    }
}

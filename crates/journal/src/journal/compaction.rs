//! Compaction in bounded steps: each relocates a slice of the segment with the fewest live bytes to the head; when
//! all that is live in it has been, the manifest is replaced, and then the file is removed.

use super::rotation::ManifestChange;
use super::segments::{ObsoleteSegment, Relocation, SealedSegment};
use super::state::Journal;
use super::stats::CompactionStep;
use crate::format::segment::HEADER_BYTES;
use crate::storage::Storage;

/// Bytes read in one step, which takes some tens of microseconds.
const SLICE_BYTES: usize = 16 * 1024;
/// Completed messages that are forgotten in one step.
const MAX_EXPIRED_PER_STEP: usize = 256;
/// More sealed segments than these are made fewer even if all are nearly full: each takes room in the manifest.
const MAX_SEALED_SEGMENTS: usize = 48;
/// Segments are relocated once they use more than one part in this many of the disk budget.
const DISK_PARTS: u64 = 3;
/// Segments with a greater part of live bytes than this, in thousandths, are not worth relocating.
const MAX_LIVE_PERMILLE: u64 = 875;

impl<S: Storage> Journal<S> {
    /// Whether [`Journal::compact`] has something to do at `now` (Unix time in milliseconds), even if nothing is
    /// appended.
    pub fn wants_compaction(&self, now: u64) -> bool {
        self.relocation.is_some()
            || !self.obsolete.is_empty()
            || self.index.has_expired(now)
            || self.next_victim().is_some()
    }

    /// One bounded step of compaction, to be called once a tick. `now` is Unix time in milliseconds.
    pub fn compact(&mut self, now: u64) -> CompactionStep {
        let mut step = CompactionStep::default();
        self.index.expire(now, MAX_EXPIRED_PER_STEP);
        self.remove_obsolete(&mut step);
        if self.relocation.is_none() {
            self.relocation = self.next_victim().map(|sequence| Relocation {
                sequence,
                offset: HEADER_BYTES as u64,
                slots: Vec::new(),
            });
        }
        let Some(mut relocation) = self.relocation.take() else {
            return step;
        };
        // With little room left, room matters more than short steps.
        let slice_bytes = if self.storage.room() < self.disk / DISK_PARTS {
            SLICE_BYTES * 2
        } else {
            SLICE_BYTES
        };
        let all_read = self.relocate_slice(now, &mut relocation, slice_bytes, &mut step);
        if all_read && self.unlist(relocation.sequence, &mut step) {
            self.retire(relocation);
            self.remove_obsolete(&mut step);
        } else {
            self.relocation = Some(relocation);
        }
        step
    }

    /// The segment that is most worth relocating.
    fn next_victim(&self) -> Option<u32> {
        let candidates = || {
            self.sealed.iter().filter(|(sequence, _)| {
                !self
                    .obsolete
                    .iter()
                    .any(|obsolete| obsolete.sequence == **sequence)
            })
        };
        let is_dead =
            |(sequence, _): &(&u32, &SealedSegment)| self.index.live_bytes(**sequence) == 0;
        if let Some((&sequence, _)) = candidates().find(is_dead) {
            return Some(sequence);
        }
        // A damaged one is relocated once the attempts that it may hide are recorded elsewhere.
        if self.possible_executions_recorded()
            && let Some((&sequence, _)) = candidates().find(|(_, segment)| segment.damaged)
        {
            return Some(sequence);
        }
        let too_many = self.sealed.len() > MAX_SEALED_SEGMENTS;
        let used: u64 = self.sealed.values().map(|segment| segment.len).sum();
        if !too_many && used < self.disk / DISK_PARTS {
            return None;
        }
        let live_permille =
            |sequence: u32, len: u64| self.index.live_bytes(sequence) * 1000 / len.max(1);
        let (&sequence, segment) = candidates().min_by_key(|(sequence, segment)| {
            (live_permille(**sequence, segment.len), segment.len)
        })?;
        let worth_it = too_many || live_permille(sequence, segment.len) < MAX_LIVE_PERMILLE;
        worth_it.then_some(sequence)
    }

    /// Removes a segment from the manifest; false if that failed.
    fn unlist(&mut self, sequence: u32, step: &mut CompactionStep) -> bool {
        let unlisted = self
            .write_manifest(ManifestChange::SegmentRemoved(sequence))
            .is_ok();
        step.stuck |= !unlisted;
        unlisted
    }

    /// Marks a segment's file for removal.
    fn retire(&mut self, relocation: Relocation) {
        if let Some(segment) = self.sealed.remove(&relocation.sequence) {
            self.obsolete.push(ObsoleteSegment {
                sequence: relocation.sequence,
                name: segment.name,
                slots: relocation.slots,
            });
        }
    }

    fn remove_obsolete(&mut self, step: &mut CompactionStep) {
        for obsolete in std::mem::take(&mut self.obsolete) {
            if self.storage.remove(&obsolete.name).is_err() {
                step.stuck = true;
                self.obsolete.push(obsolete);
                continue;
            }
            // Only now are its frames off the disk: a completion may be forgotten only when no other record could
            // make its message pending again.
            self.index
                .segment_removed(obsolete.sequence, &obsolete.slots);
            self.counters.removed_segments += 1;
            step.removed += 1;
        }
    }
}

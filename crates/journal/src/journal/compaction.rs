//! Compaction in bounded steps. Each step relocates the live frames of one slice of the selected segment to the head.
//! Once the whole segment is done, a new manifest without it is written, and then its file is removed.

use super::rotation::ManifestChange;
use super::segments::{ObsoleteSegment, Relocation, SealedSegment};
use super::state::Journal;
use super::stats::CompactionStep;
use crate::format::segment::HEADER_BYTES;
use crate::storage::Storage;

/// Bytes read in one step, so that a step takes some tens of microseconds.
const SLICE_BYTES: usize = 16 * 1024;
/// Maximum number of completed messages that expire in one step.
const MAX_EXPIRED_PER_STEP: usize = 256;
/// Above this number of sealed segments, segments are relocated even if their frames are nearly all live, since each
/// takes room in the manifest.
const MAX_SEALED_SEGMENTS: usize = 48;
/// Segments with live frames are relocated once the sealed segments together use at least this fraction of the disk
/// budget, as a divisor.
const MIN_SEALED_USAGE_DIVISOR: u64 = 3;
/// Segments with at least this share of live bytes, in thousandths, are not relocated: that would free too little space.
const MAX_LIVE_PERMILLE: u64 = 875;

impl<S: Storage> Journal<S> {
    /// Whether [`Journal::compact`] has work at `now` (Unix time in milliseconds), even if nothing is appended.
    pub fn wants_compaction(&self, now: u64) -> bool {
        self.relocation.is_some()
            || !self.obsolete.is_empty()
            || self.index.has_expired(now)
            || self.next_segment_to_relocate().is_some()
    }

    /// Does one bounded step of compaction; called once per tick. `now` is Unix time in milliseconds.
    pub fn compact(&mut self, now: u64) -> CompactionStep {
        let mut step = CompactionStep::default();
        self.index.expire(now, MAX_EXPIRED_PER_STEP);
        self.remove_obsolete(&mut step);
        if self.relocation.is_none() {
            self.relocation = self.next_segment_to_relocate().map(|sequence| Relocation {
                sequence,
                offset: HEADER_BYTES as u64,
                slots: Vec::new(),
            });
        }
        let Some(mut relocation) = self.relocation.take() else {
            return step;
        };
        // With little room left, freeing room takes precedence over short steps.
        let slice_bytes = if self.storage.free_bytes() < self.disk / MIN_SEALED_USAGE_DIVISOR {
            SLICE_BYTES * 2
        } else {
            SLICE_BYTES
        };
        let all_read = self.relocate_slice(now, &mut relocation, slice_bytes, &mut step);
        if all_read && self.remove_from_manifest(relocation.sequence, &mut step) {
            self.mark_obsolete(relocation);
            self.remove_obsolete(&mut step);
        } else {
            self.relocation = Some(relocation);
        }
        step
    }

    /// Selects the next segment to relocate: one without live frames, else a damaged one, else the one with the
    /// smallest share of live bytes. `None` if none is worth relocating.
    fn next_segment_to_relocate(&self) -> Option<u32> {
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
        // A damaged segment is kept until the attempts whose records it may have lost are recorded elsewhere.
        if self.possible_executions_recorded()
            && let Some((&sequence, _)) = candidates().find(|(_, segment)| segment.damaged)
        {
            return Some(sequence);
        }
        let too_many = self.sealed.len() > MAX_SEALED_SEGMENTS;
        let used: u64 = self.sealed.values().map(|segment| segment.len).sum();
        if !too_many && used < self.disk / MIN_SEALED_USAGE_DIVISOR {
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

    /// Writes a manifest without this segment; false if that failed.
    fn remove_from_manifest(&mut self, sequence: u32, step: &mut CompactionStep) -> bool {
        let written = self
            .write_manifest(ManifestChange::SegmentRemoved(sequence))
            .is_ok();
        step.incomplete |= !written;
        written
    }

    /// Moves a relocated segment to the list of files to remove.
    fn mark_obsolete(&mut self, relocation: Relocation) {
        if let Some(segment) = self.sealed.remove(&relocation.sequence) {
            self.obsolete.push(ObsoleteSegment {
                sequence: relocation.sequence,
                name: segment.name,
                slots: relocation.slots,
            });
        }
    }

    /// Removes the files of obsolete segments; those that can't be removed are retried in the next step.
    fn remove_obsolete(&mut self, step: &mut CompactionStep) {
        for obsolete in std::mem::take(&mut self.obsolete) {
            if self.storage.remove(&obsolete.name).is_err() {
                step.incomplete = true;
                self.obsolete.push(obsolete);
                continue;
            }
            // The index is updated only after the file is removed: a completion may be dropped only when no other
            // record on disk could make its message pending again.
            self.index
                .segment_removed(obsolete.sequence, &obsolete.slots);
            self.counters.removed_segments += 1;
            step.removed += 1;
        }
    }
}

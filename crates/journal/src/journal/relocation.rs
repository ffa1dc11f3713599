//! Relocation: copies the live frames of one slice of a sealed segment to the head.

use std::io;
use std::ops::Range;

use super::segments::Relocation;
use super::state::Journal;
use super::stats::CompactionStep;
use crate::format::frame::{self, DecodedFrame};
use crate::format::key::Salt;
use crate::format::packed_id::PackedId;
use crate::format::record::{self, DecodedRecord, JournalRecord, RecordKind};
use crate::index::StoredFrame;
use crate::storage::Storage;

/// Upper bound on the growth of a frame when it is copied: its log numbers may have longer encodings.
const MAX_FRAME_GROWTH: usize = 16;
/// Bytes that must be free in addition to the room for the slice's live frames.
const MIN_ROOM_BYTES: u64 = 1024;
/// Milliseconds for which a record of possible executions is kept after the last affected message has ended.
const POSSIBLE_EXECUTIONS_GRACE_MS: u64 = 60_000;

/// The owner of a live frame.
#[derive(Clone, Copy, Debug)]
enum FrameOwner {
    /// A message, by its slot.
    Message(u32),
    /// A record of possible executions, by its position in the journal's list.
    PossibleExecutions(usize),
}

/// A live frame in the slice.
#[derive(Clone, Debug)]
struct LiveFrame {
    /// Range of its payload within the slice's bytes.
    payload: Range<usize>,
    owner: FrameOwner,
}

/// A parsed slice of a segment.
#[derive(Debug, Default)]
struct Slice {
    live: Vec<LiveFrame>,
    /// The slot of each frame's message, completions excepted; see [`Relocation::slots`].
    slots: Vec<u32>,
    /// Bytes parsed so far, damaged ranges included.
    len: usize,
    /// Upper bound on the bytes of the live frames' copies.
    max_bytes: u64,
}

/// A live frame that has been copied to the buffer for the head, or dropped.
#[derive(Debug)]
struct CopiedFrame {
    owner: FrameOwner,
    kind: RecordKind,
    /// Bytes of the copy; `None` if the record was dropped because all messages that it affects have ended.
    len: Option<u32>,
}

impl<S: Storage> Journal<S> {
    /// Relocates the live frames of the next slice; true once the whole segment is done. On failure `step.incomplete`
    /// is set and the same slice is tried again in the next step.
    pub(super) fn relocate_slice(
        &mut self,
        now_ms: u64,
        relocation: &mut Relocation,
        slice_bytes: usize,
        step: &mut CompactionStep,
    ) -> bool {
        let Some(segment) = self.sealed.get(&relocation.sequence) else {
            return true;
        };
        let (salt, len) = (segment.salt, segment.len);
        let unread = len.saturating_sub(relocation.offset) as usize;
        let bytes = match self.read_slice(relocation, salt, slice_bytes, unread) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::warn!(segment = self.segment_name(relocation), offset = relocation.offset;
                    "journal: can't read a segment to compact it: {e}");
                step.incomplete = true;
                return false;
            }
        };
        step.read += bytes.len() as u64;
        if unread > 0 && bytes.is_empty() {
            // The file is shorter than when it was sealed. Recovery has reported that as damage, unless it happened
            // since.
            return true;
        }
        let mut slice = self.parse_slice(relocation, salt, &bytes, slice_bytes, unread);
        if !slice.live.is_empty() {
            if self.storage.free_bytes() < slice.max_bytes + MIN_ROOM_BYTES {
                step.incomplete = true;
                return false;
            }
            match self.copy_to_head(now_ms, relocation, &bytes, &slice) {
                Ok(copied) => step.relocated += copied,
                Err(e) => {
                    log::debug!(segment = self.segment_name(relocation);
                        "journal: live records can't be relocated: {e}");
                    step.incomplete = true;
                    return false;
                }
            }
        }
        relocation.slots.append(&mut slice.slots);
        relocation.offset += slice.len as u64;
        relocation.offset >= len
    }

    fn segment_name(&self, relocation: &Relocation) -> &str {
        self.sealed
            .get(&relocation.sequence)
            .map_or("", |segment| segment.name.as_str())
    }

    /// Reads the next slice, or the whole rest of the segment if its first frame is damaged or larger than a slice.
    fn read_slice(
        &mut self,
        relocation: &Relocation,
        salt: Salt,
        slice_bytes: usize,
        unread: usize,
    ) -> io::Result<Vec<u8>> {
        let Some(segment) = self.sealed.get(&relocation.sequence) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let (name, offset) = (&segment.name, relocation.offset);
        let bytes = self.storage.read(name, offset, slice_bytes.min(unread))?;
        if bytes.len() == unread || matches!(frame::decode(salt, &bytes, 0), DecodedFrame::Valid(_))
        {
            return Ok(bytes);
        }
        Ok(self.storage.read(name, offset, unread).unwrap_or(bytes))
    }

    /// Finds the live frames in a slice. Copies are encoded later, since a frame's salt depends on the segment that it
    /// is written to.
    fn parse_slice(
        &self,
        relocation: &Relocation,
        salt: Salt,
        bytes: &[u8],
        slice_bytes: usize,
        unread: usize,
    ) -> Slice {
        let mut slice = Slice::default();
        while slice.len < bytes.len() && (slice.len < slice_bytes || slice.live.is_empty()) {
            match frame::decode(salt, bytes, slice.len) {
                DecodedFrame::Valid(payload) => {
                    let start = slice.len + frame::HEADER_BYTES;
                    slice.len = start + payload.len();
                    if let Some(decoded) = record::decode(payload) {
                        let payload = start..slice.len;
                        self.add_frame(&mut slice, relocation.sequence, payload, &decoded.record);
                    }
                }
                DecodedFrame::Truncated if bytes.len() < unread => break,
                DecodedFrame::Truncated | DecodedFrame::Damaged => {
                    slice.len = frame::next_valid(salt, bytes, slice.len).unwrap_or(bytes.len());
                }
            }
        }
        slice
    }

    /// Adds a frame's message, and the frame itself if it is live, to the slice.
    fn add_frame(
        &self,
        slice: &mut Slice,
        sequence: u32,
        payload: Range<usize>,
        record: &JournalRecord<'_>,
    ) {
        let slot = record
            .message()
            .and_then(|message| self.index.slot(&PackedId::from_bytes(message.id)?));
        if let Some(slot) = slot
            && !matches!(record, JournalRecord::Completed { .. })
        {
            slice.slots.push(slot);
        }
        if let Some(owner) = self.live_owner(record, slot, sequence) {
            slice.max_bytes += (frame::HEADER_BYTES + payload.len() + MAX_FRAME_GROWTH) as u64;
            slice.live.push(LiveFrame { payload, owner });
        }
    }

    /// The owner of a record's frame in segment `sequence`; `None` if the frame is dead.
    fn live_owner(
        &self,
        record: &JournalRecord<'_>,
        slot: Option<u32>,
        sequence: u32,
    ) -> Option<FrameOwner> {
        if let JournalRecord::PossiblyExecuted {
            accepted_before, ..
        } = *record
        {
            let position = self.possible_executions.iter().position(|possible| {
                possible.accepted_before == accepted_before
                    && possible.frame.is_some_and(|f| f.sequence == sequence)
            });
            return position.map(FrameOwner::PossibleExecutions);
        }
        let (slot, message) = (slot?, record.message()?);
        self.index
            .is_live(slot, message.accepted_lsn, record.kind(), sequence)
            .then_some(FrameOwner::Message(slot))
    }

    /// Appends copies of a slice's live frames to the head; returns the number of bytes written.
    fn copy_to_head(
        &mut self,
        now_ms: u64,
        relocation: &Relocation,
        bytes: &[u8],
        slice: &Slice,
    ) -> io::Result<u64> {
        let salt = self.prepare_head(now_ms, slice.max_bytes)?;
        let (mut buffer, mut copied, mut accepted) = (Vec::new(), Vec::new(), 0);
        let first_lsn = self.next_lsn;
        let mut lsn = first_lsn;
        for live in &slice.live {
            let payload = bytes.get(live.payload.clone());
            let Some(DecodedRecord { record, .. }) = payload.and_then(record::decode) else {
                continue;
            };
            let (owner, kind) = (live.owner, record.kind());
            let mut len = None;
            if let Some(record) = self.updated_record(record, owner, now_ms) {
                let start = buffer.len();
                frame::encode(salt, &mut buffer, |b| record::encode(lsn, &record, b));
                len = Some((buffer.len() - start) as u32);
                lsn += 1;
                accepted += u32::from(record.accepted().is_some());
            }
            copied.push(CopiedFrame { owner, kind, len });
        }
        let sequence = if buffer.is_empty() {
            0
        } else {
            self.append_to_head(&buffer, (lsn - first_lsn) as u32, accepted)?
        };
        self.next_lsn = lsn;
        self.counters.relocated_bytes += buffer.len() as u64;
        self.set_relocated(&copied, relocation.sequence, sequence);
        Ok(buffer.len() as u64)
    }

    /// The record to write to the copy. For possible executions it has the latest time; `None` if all messages that it
    /// affects have ended.
    fn updated_record<'a>(
        &self,
        mut record: JournalRecord<'a>,
        owner: FrameOwner,
        now_ms: u64,
    ) -> Option<JournalRecord<'a>> {
        if let JournalRecord::PossiblyExecuted { until_ms, .. } = &mut record
            && let FrameOwner::PossibleExecutions(position) = owner
        {
            // A later process may have found affected messages with a later deadline.
            if let Some(known) = self.possible_executions.get(position) {
                *until_ms = known.until_ms.max(*until_ms);
            }
            if until_ms.saturating_add(POSSIBLE_EXECUTIONS_GRACE_MS) < now_ms {
                return None;
            }
        }
        Some(record)
    }

    /// Updates the index and the possible executions after frames of segment `from` have been copied to segment `to`,
    /// or dropped.
    fn set_relocated(&mut self, copied: &[CopiedFrame], from: u32, to: u32) {
        let mut dropped = Vec::new();
        for frame in copied {
            let stored = frame.len.map(|len| StoredFrame { sequence: to, len });
            match frame.owner {
                FrameOwner::Message(slot) => {
                    if let Some(stored) = stored {
                        self.index.relocated(slot, frame.kind, from, stored);
                    }
                }
                FrameOwner::PossibleExecutions(position) => {
                    let Some(possible) = self.possible_executions.get_mut(position) else {
                        continue;
                    };
                    if let Some(old) = possible.frame {
                        self.index.subtract_live(old);
                    }
                    match stored {
                        Some(stored) => {
                            possible.frame = Some(stored);
                            self.index.add_live(stored);
                        }
                        None => dropped.push(possible.accepted_before),
                    }
                }
            }
        }
        self.possible_executions
            .retain(|possible| !dropped.contains(&possible.accepted_before));
    }
}

//! Relocation: the live frames of a slice of a sealed segment are written again to the head.

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

/// Bytes by which a frame may grow when it is written again: its log numbers may take more.
const MAX_FRAME_GROWTH: usize = 16;
/// Bytes that must be free besides the slice's live frames.
const MIN_ROOM_BYTES: u64 = 1024;
/// Milliseconds for which possible executions stay recorded after the last message that they affect has ended.
const POSSIBLE_EXECUTIONS_GRACE_MS: u64 = 60_000;

/// What a live frame belongs to.
#[derive(Clone, Copy, Debug)]
enum FrameOwner {
    /// A message, by its slot.
    Message(u32),
    /// Possible executions, by their position in the journal's list.
    PossibleExecutions(usize),
}

#[derive(Clone, Debug)]
struct LiveFrame {
    /// Its payload in the slice.
    payload: Range<usize>,
    owner: FrameOwner,
}

/// What a slice of a segment holds.
#[derive(Debug, Default)]
struct Slice {
    live: Vec<LiveFrame>,
    /// As in [`Relocation`].
    slots: Vec<u32>,
    /// Bytes that were passed.
    len: usize,
    /// Bytes that the live frames take at most when they are written again.
    max_bytes: u64,
}

/// A live frame in the buffer for the head.
#[derive(Debug)]
struct RewrittenFrame {
    owner: FrameOwner,
    kind: RecordKind,
    /// Bytes of the new frame; `None` if it was left out, since all that it affected has ended.
    len: Option<u32>,
}

impl<S: Storage> Journal<S> {
    /// Relocates the live frames of the next slice; true if the whole segment is done.
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
                step.stuck = true;
                return false;
            }
        };
        step.read += bytes.len() as u64;
        if unread > 0 && bytes.is_empty() {
            // Shorter than it was sealed: recovery has counted that as damage, or it happened since.
            return true;
        }
        let mut slice = self.parse_slice(relocation, salt, &bytes, slice_bytes, unread);
        if !slice.live.is_empty() {
            if self.storage.room() < slice.max_bytes + MIN_ROOM_BYTES {
                step.stuck = true;
                return false;
            }
            match self.rewrite(now_ms, relocation, &bytes, &slice) {
                Ok(rewritten) => step.relocated += rewritten,
                Err(e) => {
                    log::debug!(segment = self.segment_name(relocation);
                        "journal: live records can't be relocated: {e}");
                    step.stuck = true;
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

    /// Reads the next slice; all that is unread if its first frame is larger than a slice, or damaged.
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

    /// Finds what is live in a slice. It is written again only after that, since a frame's salt depends on the
    /// segment that it is written to.
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

    /// Counts a frame of the slice.
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

    /// What a frame in segment `sequence` belongs to; `None` if it is dead.
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

    /// Writes a slice's live frames to the head; returns the bytes written.
    fn rewrite(
        &mut self,
        now_ms: u64,
        relocation: &Relocation,
        bytes: &[u8],
        slice: &Slice,
    ) -> io::Result<u64> {
        let salt = self.prepare_head(now_ms, slice.max_bytes)?;
        let (mut buffer, mut rewritten, mut accepted) = (Vec::new(), Vec::new(), 0);
        let first_lsn = self.next_lsn;
        let mut lsn = first_lsn;
        for live in &slice.live {
            let payload = bytes.get(live.payload.clone());
            let Some(DecodedRecord { record, .. }) = payload.and_then(record::decode) else {
                continue;
            };
            let (owner, kind) = (live.owner, record.kind());
            let mut len = None;
            if let Some(record) = self.refresh(record, owner, now_ms) {
                let start = buffer.len();
                frame::encode(salt, &mut buffer, |b| record::encode(lsn, &record, b));
                len = Some((buffer.len() - start) as u32);
                lsn += 1;
                accepted += u32::from(record.accepted().is_some());
            }
            rewritten.push(RewrittenFrame { owner, kind, len });
        }
        let sequence = if buffer.is_empty() {
            0
        } else {
            self.append_to_head(&buffer, (lsn - first_lsn) as u32, accepted)?
        };
        self.next_lsn = lsn;
        self.counters.relocated_bytes += buffer.len() as u64;
        self.set_relocated(&rewritten, relocation.sequence, sequence);
        Ok(buffer.len() as u64)
    }

    /// The record as it is to be written again; `None` if nothing that it affects is left.
    fn refresh<'a>(
        &self,
        mut record: JournalRecord<'a>,
        owner: FrameOwner,
        now_ms: u64,
    ) -> Option<JournalRecord<'a>> {
        if let JournalRecord::PossiblyExecuted { until_ms, .. } = &mut record
            && let FrameOwner::PossibleExecutions(position) = owner
        {
            // A later process may have found messages that it affects for longer.
            if let Some(known) = self.possible_executions.get(position) {
                *until_ms = known.until_ms.max(*until_ms);
            }
            if until_ms.saturating_add(POSSIBLE_EXECUTIONS_GRACE_MS) < now_ms {
                return None;
            }
        }
        Some(record)
    }

    /// Records that frames of segment `from` have been written again to segment `to`, or left out.
    fn set_relocated(&mut self, rewritten: &[RewrittenFrame], from: u32, to: u32) {
        let mut left_out = Vec::new();
        for frame in rewritten {
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
                        None => left_out.push(possible.accepted_before),
                    }
                }
            }
        }
        self.possible_executions
            .retain(|possible| !left_out.contains(&possible.accepted_before));
    }
}

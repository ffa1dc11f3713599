//! Reads a segment frame by frame, and continues after damaged ranges.

use super::contents::{Scan, ScannedSegment, TornWrite};
use super::damage::{DamageCause, DamagedRange, max_attempts_in};
use crate::error::OpenError;
use crate::format::frame::{self, DecodedFrame};
use crate::format::key::{Salt, mac};
use crate::format::record::{self, DecodedRecord, JournalRecord, MIN_ATTEMPT_FRAME_BYTES};
use crate::format::segment::HEADER_BYTES;
use crate::storage::Storage;

/// The location of a record on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The segment's sequence number.
    pub sequence: u32,
    /// Offset of the record's frame in the file, in bytes.
    pub offset: u64,
    /// Bytes of the frame, header included.
    pub len: u32,
    /// Log number of the record.
    pub lsn: u64,
}

/// Reads a segment's frames; `on_record` is called with each readable record.
pub(super) fn read_segment<S: Storage>(
    scan: &mut Scan,
    storage: &mut S,
    sequence: u32,
    on_record: &mut impl FnMut(RecordLocation, JournalRecord<'_>),
) -> Result<(), OpenError> {
    let is_last = scan.segments.range(sequence + 1..).next().is_none();
    let lowest_lsn_after = scan.lowest_lsn_after(sequence);
    let Some(segment) = scan.segments.get_mut(&sequence) else {
        return Ok(());
    };
    let readable = segment
        .seal
        .map_or(segment.size, |seal| u64::from(seal.len).min(segment.size));
    let bytes = storage
        .read(&segment.name, 0, readable as usize)
        .map_err(OpenError::io(&segment.name))?;
    if segment.header.is_none() {
        let key_index = scan.key_ring.index_by_first_frame(sequence, &bytes);
        segment.key_index = key_index.unwrap_or(0);
    }
    let key = scan.key_ring.get(segment.key_index).unwrap_or_default();
    let mut walk = FrameWalk {
        salt: Salt::new(&key, sequence),
        bytes: &bytes,
        may_be_torn: is_last && segment.seal.is_none(),
        segment: &mut *segment,
        lowest_lsn_after,
        latest_ms: scan.latest_ms,
        torn_bytes: 0,
        damage: Vec::new(),
    };
    walk.read_frames(on_record);
    walk.check_length();
    let FrameWalk {
        latest_ms,
        torn_bytes,
        mut damage,
        ..
    } = walk;
    segment.len = bytes.len() as u64 - torn_bytes;
    let frames = &bytes[HEADER_BYTES.min(bytes.len())..segment.len as usize];
    segment.chain = mac(&key, &[&segment.previous_chain, frames]);
    if damage.is_empty() {
        damage.extend(altered(segment, lowest_lsn_after));
    }
    // Log numbers of records that may have been in a damaged range are not used again.
    let possibly_used: u64 = damage
        .iter()
        .map(|range| range.len / MIN_ATTEMPT_FRAME_BYTES as u64 + 1)
        .sum();
    scan.next_lsn = scan.next_lsn.max(segment.last_lsn + 1 + possibly_used);
    scan.latest_ms = latest_ms;
    scan.damage.extend(damage);
    if torn_bytes > 0 {
        scan.torn = Some(TornWrite {
            file: segment.name.clone(),
            bytes: torn_bytes,
        });
    }
    Ok(())
}

/// The whole segment as a damaged range, if its frames are valid but are not those that were sealed: the file is an
/// older copy, or has the header of another one.
fn altered(segment: &ScannedSegment, lowest_lsn_after: u64) -> Option<DamagedRange> {
    let seal = segment.seal.filter(|seal| seal.chain != segment.chain)?;
    Some(DamagedRange {
        file: segment.name.clone(),
        offset: 0,
        len: segment.size,
        accepted_before: lowest_lsn_after,
        max_attempts: max_attempts_in(segment.size),
        max_messages: seal.accepted.saturating_sub(segment.accepted),
        cause: DamageCause::Altered,
    })
}

/// The state of reading one segment's frames.
struct FrameWalk<'a> {
    salt: Salt,
    bytes: &'a [u8],
    segment: &'a mut ScannedSegment,
    /// Whether a truncated frame at the end counts as a torn write, as in the head.
    may_be_torn: bool,
    /// Messages accepted under this log number or a later one are not affected by damage to the segment.
    lowest_lsn_after: u64,
    /// The latest Unix time in milliseconds recorded so far.
    latest_ms: u64,
    /// Bytes of a torn write at the end.
    torn_bytes: u64,
    damage: Vec<DamagedRange>,
}

impl FrameWalk<'_> {
    fn read_frames(&mut self, on_record: &mut impl FnMut(RecordLocation, JournalRecord<'_>)) {
        let bytes = self.bytes;
        let mut offset = HEADER_BYTES.min(bytes.len());
        while offset < bytes.len() {
            offset += match frame::decode(self.salt, bytes, offset) {
                DecodedFrame::Valid(payload) => self.read_payload(offset, payload, on_record),
                DecodedFrame::Truncated if self.may_be_torn => {
                    self.torn_bytes = (bytes.len() - offset) as u64;
                    return;
                }
                DecodedFrame::Truncated | DecodedFrame::Damaged => self.skip_damage(offset),
            };
        }
    }

    /// Reads the record of a valid frame; returns the frame's length.
    fn read_payload(
        &mut self,
        offset: usize,
        payload: &[u8],
        on_record: &mut impl FnMut(RecordLocation, JournalRecord<'_>),
    ) -> usize {
        let len = frame::HEADER_BYTES + payload.len();
        let Some(DecodedRecord { lsn, record }) = record::decode(payload) else {
            // The checksum is right, but the payload is not a record of this format.
            self.add_damage(offset, len, self.lowest_lsn_after, 1);
            return len;
        };
        let segment = &mut *self.segment;
        segment.frames += 1;
        segment.accepted += u32::from(record.accepted().is_some());
        if segment.first_lsn == 0 {
            segment.first_lsn = lsn;
        }
        segment.last_lsn = segment.last_lsn.max(lsn);
        self.latest_ms = self.latest_ms.max(record.event_ms());
        let location = RecordLocation {
            sequence: segment.sequence,
            offset: offset as u64,
            len: len as u32,
            lsn,
        };
        on_record(location, record);
        len
    }

    /// Adds the damaged range that begins at `offset`; returns its length.
    fn skip_damage(&mut self, offset: usize) -> usize {
        let next = frame::next_valid(self.salt, self.bytes, offset);
        let len = next.unwrap_or(self.bytes.len()) - offset;
        // Log numbers increase within a file, so lost records had lower ones than the next readable record.
        let accepted_before = next
            .and_then(|next| self.lsn_at(next))
            .unwrap_or(self.lowest_lsn_after);
        let is_one_frame =
            next.is_some() && frame::end_by_header(self.salt, self.bytes, offset) == next;
        let records = if is_one_frame {
            1
        } else {
            max_attempts_in(len as u64)
        };
        self.add_damage(offset, len, accepted_before, records);
        len
    }

    /// The log number of the frame at `offset`, if it is valid.
    fn lsn_at(&self, offset: usize) -> Option<u64> {
        match frame::decode(self.salt, self.bytes, offset) {
            DecodedFrame::Valid(payload) => record::decode(payload).map(|decoded| decoded.lsn),
            DecodedFrame::Truncated | DecodedFrame::Damaged => None,
        }
    }

    fn add_damage(&mut self, offset: usize, len: usize, accepted_before: u64, max_records: u32) {
        self.damage.push(DamagedRange {
            file: self.segment.name.clone(),
            offset: offset as u64,
            len: len as u64,
            accepted_before,
            max_attempts: max_records,
            max_messages: max_records,
            cause: DamageCause::Damaged,
        });
    }

    /// Adds a damaged range if a sealed segment is shorter than its sealed length.
    fn check_length(&mut self) {
        let Some(seal) = self.segment.seal else {
            return;
        };
        let found = self.bytes.len() as u64;
        let missing = u64::from(seal.len).saturating_sub(found);
        if missing > 0 {
            self.damage.push(DamagedRange {
                file: self.segment.name.clone(),
                offset: found,
                len: missing,
                accepted_before: self.lowest_lsn_after,
                max_attempts: max_attempts_in(missing),
                max_messages: seal.accepted.saturating_sub(self.segment.accepted),
                cause: DamageCause::Short,
            });
        }
    }
}

//! The index's entry for a message.

use smallvec::SmallVec;

use crate::format::packed_id::PackedId;
use crate::format::record::RecordKind;

/// A frame on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoredFrame {
    /// The segment's sequence number.
    pub(crate) sequence: u32,
    /// Bytes of the frame, header included.
    pub(crate) len: u32,
}

/// A message's state and its live frames.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// Pending. If no frame is of kind [`RecordKind::Accepted`], the record of the message itself is lost.
    Open(SmallVec<[(RecordKind, StoredFrame); 2]>),
    /// The final report is due; holds the frame that records it.
    FinalReportDue(StoredFrame),
    /// Completed; the id is retained.
    Completed {
        /// Unix time in milliseconds until which the id is retained.
        remember_until_ms: u64,
        /// The frame of the completion.
        frame: StoredFrame,
        /// The id need not be retained any more; the entry is kept only while other records of its message are on
        /// disk. Its frame is not counted as live bytes, so that a segment with only such frames can be removed.
        expired: bool,
    },
}

/// A message in the index.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: PackedId,
    /// Log number of its acceptance; 0 until a record has been joined.
    pub(crate) accepted_lsn: u64,
    pub(crate) state: EntryState,
    /// Frames of this id on disk, live or dead, other than completions. While there are any, the completion must stay
    /// on disk, since they would make the message pending again.
    pub(crate) frames_on_disk: u32,
}

impl Entry {
    /// An entry to which no record has been joined.
    pub(crate) fn new(id: PackedId) -> Entry {
        Entry {
            id,
            accepted_lsn: 0,
            state: EntryState::Open(SmallVec::new()),
            frames_on_disk: 0,
        }
    }

    /// Whether the message's record of this kind is live in segment `sequence`.
    pub(crate) fn is_live(&self, kind: RecordKind, sequence: u32) -> bool {
        match (&self.state, kind) {
            (EntryState::Open(frames), _) => frames
                .iter()
                .any(|(of, frame)| *of == kind && frame.sequence == sequence),
            (EntryState::FinalReportDue(frame), RecordKind::FinalReportDue) => {
                frame.sequence == sequence
            }
            (EntryState::Completed { frame, expired, .. }, RecordKind::Completed) => {
                frame.sequence == sequence && !(*expired && self.frames_on_disk == 0)
            }
            _ => false,
        }
    }

    /// The live frame of this kind in segment `sequence`.
    pub(crate) fn live_frame_mut(
        &mut self,
        kind: RecordKind,
        sequence: u32,
    ) -> Option<&mut StoredFrame> {
        match &mut self.state {
            EntryState::Open(frames) => frames
                .iter_mut()
                .find(|(of, frame)| *of == kind && frame.sequence == sequence)
                .map(|(_, frame)| frame),
            EntryState::FinalReportDue(frame) | EntryState::Completed { frame, .. } => Some(frame),
        }
    }

    /// Whether the message is completed and its id need not be retained any more.
    pub(crate) fn is_expired(&self) -> bool {
        matches!(self.state, EntryState::Completed { expired: true, .. })
    }
}

//! What the index knows of one message.

use smallvec::SmallVec;

use crate::format::packed_id::PackedId;
use crate::format::record::RecordKind;

/// A frame on disk: in which segment, and its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoredFrame {
    /// The segment's sequence number.
    pub(crate) sequence: u32,
    /// Bytes of the frame with its header.
    pub(crate) len: u32,
}

/// The state of a message, with its live frames.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// Pending; without a [`RecordKind::Accepted`] among these its own record is lost.
    Open(SmallVec<[(RecordKind, StoredFrame); 2]>),
    /// Its final report is due.
    FinalReportDue(StoredFrame),
    /// Completed; its id is remembered.
    Completed {
        /// Unix time in milliseconds.
        remember_until_ms: u64,
        frame: StoredFrame,
        /// The time is over, and the entry stays only because older records of its message are still on disk. Its
        /// frame no longer counts as live bytes, so that a segment with nothing else in it is removed.
        expired: bool,
    },
}

/// A message of the index.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: PackedId,
    /// Log number under which it was accepted; 0 if no record of it has been joined yet.
    pub(crate) accepted_lsn: u64,
    pub(crate) state: EntryState,
    /// Frames about this id on disk, live or dead, but for those of completions. While there are any, its completion
    /// must stay on disk.
    pub(crate) frames_on_disk: u32,
}

impl Entry {
    /// An entry without records.
    pub(crate) fn new(id: PackedId) -> Entry {
        Entry {
            id,
            accepted_lsn: 0,
            state: EntryState::Open(SmallVec::new()),
            frames_on_disk: 0,
        }
    }

    /// Whether the frame of this kind in this segment is the live one.
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

    /// Whether its time to be remembered is over.
    pub(crate) fn is_expired(&self) -> bool {
        matches!(self.state, EntryState::Completed { expired: true, .. })
    }
}

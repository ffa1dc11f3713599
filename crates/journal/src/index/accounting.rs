//! Totals of the index: live bytes by segment, messages by state, and the room reserved for pending messages.

use std::collections::BTreeMap;

use super::entry::StoredFrame;
use crate::format::frame;
use crate::format::packed_id::PackedId;

/// Further records that a pending message may need: start and end of six attempts, its final report and its completion.
const MAX_RECORDS_PER_MESSAGE: u64 = 14;
/// Upper bound on the bytes of such a record's frame, without the id.
const MAX_RECORD_BYTES: u64 = (frame::HEADER_BYTES + 56) as u64;

/// Bytes of live frames, by the segment's sequence number.
#[derive(Debug, Default)]
pub(super) struct LiveBytes(BTreeMap<u32, u64>);

impl LiveBytes {
    pub(super) fn of(&self, sequence: u32) -> u64 {
        self.0.get(&sequence).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, frame: StoredFrame) {
        *self.0.entry(frame.sequence).or_default() += u64::from(frame.len);
    }

    pub(super) fn subtract(&mut self, frame: StoredFrame) {
        if let Some(bytes) = self.0.get_mut(&frame.sequence) {
            *bytes = bytes.saturating_sub(u64::from(frame.len));
        }
    }

    pub(super) fn remove_segment(&mut self, sequence: u32) {
        self.0.remove(&sequence);
    }
}

/// Number of messages in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Pending messages.
    pub open: u64,
    /// Messages whose final report is due.
    pub final_report_due: u64,
    /// Completed messages that are retained.
    pub completed: u64,
}

/// Number of entries by state, and the room reserved for pending messages.
#[derive(Debug, Default)]
pub(super) struct Totals {
    /// All entries.
    pub(super) known: u64,
    pub(super) open: u64,
    pub(super) final_report_due: u64,
    /// Bytes reserved for further records of open messages.
    pub(super) reserved_bytes: u64,
}

impl Totals {
    pub(super) fn add_open(&mut self, id: &PackedId) {
        self.open += 1;
        self.reserved_bytes += reservation_for(id);
    }

    pub(super) fn remove_open(&mut self, id: &PackedId) {
        self.open -= 1;
        self.reserved_bytes -= reservation_for(id);
    }

    pub(super) fn counts(&self) -> MessageCounts {
        MessageCounts {
            open: self.open,
            final_report_due: self.final_report_due,
            completed: self.known - self.open - self.final_report_due,
        }
    }
}

/// Bytes reserved for further records of an open message.
fn reservation_for(id: &PackedId) -> u64 {
    MAX_RECORDS_PER_MESSAGE * (MAX_RECORD_BYTES + id.as_bytes().len() as u64)
}

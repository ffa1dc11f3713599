//! The live records in the order in which they are read. Records that become dead are dropped from time to time.

use cranehill_core::Record;

use crate::index::{EntryState, Index, Joined};
use crate::scan::RecordLocation;

/// Dead records are dropped once their estimated number exceeds both this and the number of records.
const MIN_DEAD_TO_SWEEP: usize = 4096;
/// Estimated number of records that become dead when a message ends.
const DEAD_PER_END: usize = 3;

/// The message that a record belongs to, and the record's rank among the message's records.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordOrigin {
    /// The message's slot in the index.
    pub(super) slot: u32,
    /// Log number of the message's acceptance.
    pub(super) accepted_lsn: u64,
    /// Orders the records of one message: the acceptance first, then the start and end of each attempt.
    rank: u64,
    /// Where the record is on disk.
    pub(super) location: RecordLocation,
}

impl RecordOrigin {
    pub(super) fn new(
        record: &Record,
        slot: u32,
        accepted_lsn: u64,
        location: RecordLocation,
    ) -> RecordOrigin {
        let rank = match record {
            Record::Accepted { .. } | Record::FinalReportDue { .. } | Record::Completed { .. } => 0,
            Record::AttemptStarted { attempt, .. } => 1 + 2 * u64::from(*attempt),
            Record::AttemptFinished { attempt, .. } => 2 + 2 * u64::from(*attempt),
        };
        RecordOrigin {
            slot,
            accepted_lsn,
            rank,
            location,
        }
    }
}

/// Records with their origins, in two parallel lists so that the records can be returned without copying.
#[derive(Debug, Default)]
pub(super) struct LiveRecords {
    pub(super) records: Vec<Record>,
    pub(super) origins: Vec<RecordOrigin>,
    /// Estimated number of dead records among them.
    dead: usize,
}

impl LiveRecords {
    /// Reserves memory for this many records.
    pub(super) fn reserve(&mut self, records: usize) {
        self.records.reserve(records);
        self.origins.reserve(records);
    }

    /// Adds a record that the index reported as live.
    pub(super) fn push(
        &mut self,
        record: Record,
        origin: RecordOrigin,
        joined: Joined,
        index: &Index,
    ) {
        if is_end(&record) || joined == Joined::NewIncarnation {
            self.dead += DEAD_PER_END;
        }
        self.records.push(record);
        self.origins.push(origin);
        if self.dead > MIN_DEAD_TO_SWEEP && self.dead > self.records.len() {
            self.sweep(index);
        }
    }

    /// Drops dead records, so that the records of ended messages do not take up memory.
    pub(super) fn sweep(&mut self, index: &Index) {
        self.dead = 0;
        let mut live = 0;
        for n in 0..self.records.len() {
            if is_live(&self.records[n], self.origins[n], index) {
                if live < n {
                    self.records.swap(live, n);
                    self.origins[live] = self.origins[n];
                }
                live += 1;
            }
        }
        self.records.truncate(live);
        self.origins.truncate(live);
    }

    /// Sorts the records: completions by the time until which they are retained, then final reports due and then the
    /// records of pending messages, both in the order of acceptance.
    pub(super) fn sort(&mut self) {
        let sort_key = |(record, origin): (&Record, &RecordOrigin)| match record {
            Record::Completed {
                remembered_until, ..
            } => (0u8, *remembered_until, u64::from(origin.slot)),
            Record::FinalReportDue { .. } => (1, origin.accepted_lsn, 0),
            _ => (2, origin.accepted_lsn, origin.rank),
        };
        let sort_keys = || self.records.iter().zip(&self.origins).map(sort_key);
        if sort_keys().is_sorted() {
            return;
        }
        let sort_keys: Vec<_> = sort_keys().collect();
        let mut order: Vec<usize> = (0..sort_keys.len()).collect();
        order.sort_by_key(|&n| sort_keys[n]);
        let mut records: Vec<Option<Record>> = std::mem::take(&mut self.records)
            .into_iter()
            .map(Some)
            .collect();
        self.records = order.iter().filter_map(|&n| records[n].take()).collect();
        self.origins = order.iter().map(|&n| self.origins[n]).collect();
    }
}

/// Whether no further attempt of the message follows the record.
pub(super) fn is_end(record: &Record) -> bool {
    matches!(
        record,
        Record::FinalReportDue { .. } | Record::Completed { .. }
    )
}

/// Whether a record is still live in the index.
fn is_live(record: &Record, origin: RecordOrigin, index: &Index) -> bool {
    let entry = index
        .entry(origin.slot)
        .filter(|entry| entry.accepted_lsn == origin.accepted_lsn);
    let Some(entry) = entry else {
        return false;
    };
    match &entry.state {
        EntryState::Open(_) => !is_end(record),
        EntryState::FinalReportDue(_) => matches!(record, Record::FinalReportDue { .. }),
        EntryState::Completed { .. } => matches!(record, Record::Completed { .. }),
    }
}

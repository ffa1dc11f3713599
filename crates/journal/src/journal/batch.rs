//! A batch of records, encoded into one buffer for a single write and joined to the index after it.

use cranehill_core::Record;

use crate::format::frame;
use crate::format::key::Salt;
use crate::format::packed_id::PackedId;
use crate::format::record::{self, RecordKind};
use crate::index::{EntryState, Index, RecordEntry, StoredFrame};
use crate::record_conversion::{self, kind_of};
use crate::recovery::PossibleExecutions;
use crate::time::millis;

/// A record whose frame is in the buffer.
#[derive(Debug)]
struct BatchRecord {
    id: PackedId,
    /// Its message's slot, if the index has one before this batch is applied.
    slot: Option<u32>,
    /// Position in the batch of its first record of the same message.
    first: usize,
    /// Log number of its message's acceptance.
    accepted_lsn: u64,
    kind: RecordKind,
    /// For a completion: Unix time in milliseconds until which the id is retained. 0 for other kinds.
    remember_until_ms: u64,
    /// Bytes of its frame.
    len: u32,
}

/// A record of possible executions whose frame is in the buffer.
#[derive(Debug)]
struct BatchPossibleExecutions {
    /// Position in the journal's list of possible executions.
    position: usize,
    /// Bytes of its frame.
    len: u32,
}

/// The message that a record is added to.
#[derive(Clone, Copy, Debug)]
struct TargetMessage {
    accepted_lsn: u64,
    slot: Option<u32>,
    /// Position in the batch of its first record of the same message, if it has one already.
    first: Option<usize>,
}

/// The stage of a message's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Unknown,
    Open,
    FinalReportDue,
    Completed,
}

/// The records whose frames are in the buffer.
#[derive(Debug)]
pub(super) struct Batch {
    records: Vec<BatchRecord>,
    possible_executions: Vec<BatchPossibleExecutions>,
    /// Log number of the batch's first frame.
    first_lsn: u64,
    /// Log number of the next frame.
    pub(super) next_lsn: u64,
    /// Number of records of accepted messages.
    pub(super) accepted: u32,
}

impl Batch {
    /// An empty batch with memory reserved for this many records.
    pub(super) fn new(first_lsn: u64, records: usize) -> Batch {
        Batch {
            records: Vec::with_capacity(records),
            possible_executions: Vec::new(),
            first_lsn,
            next_lsn: first_lsn,
            accepted: 0,
        }
    }

    /// Number of frames in the buffer.
    pub(super) fn frames(&self) -> u32 {
        (self.next_lsn - self.first_lsn) as u32
    }

    /// Adds a record of each of the possible executions that have none on disk yet.
    pub(super) fn add_possible_executions(
        &mut self,
        salt: Salt,
        all: &[PossibleExecutions],
        buffer: &mut Vec<u8>,
    ) {
        let unrecorded = all
            .iter()
            .enumerate()
            .filter(|(_, possible)| possible.frame.is_none());
        for (position, possible) in unrecorded {
            let start = buffer.len();
            let record = possible.to_record();
            frame::encode(salt, buffer, |b| record::encode(self.next_lsn, &record, b));
            self.next_lsn += 1;
            let len = (buffer.len() - start) as u32;
            self.possible_executions
                .push(BatchPossibleExecutions { position, len });
        }
    }

    /// Adds a record, unless it would not change its message's state.
    pub(super) fn add(&mut self, salt: Salt, record: &Record, index: &Index, buffer: &mut Vec<u8>) {
        let id = PackedId::new(record.id());
        let Some(message) = self.target_message(&id, record, index) else {
            return;
        };
        let accepted_lsn = message.accepted_lsn;
        let start = buffer.len();
        frame::encode(salt, buffer, |b| {
            record_conversion::encode(self.next_lsn, accepted_lsn, &id, record, b);
        });
        self.next_lsn += 1;
        self.accepted += u32::from(matches!(record, Record::Accepted { .. }));
        self.records.push(BatchRecord {
            id,
            slot: message.slot,
            first: message.first.unwrap_or(self.records.len()),
            accepted_lsn,
            kind: kind_of(record),
            remember_until_ms: match record {
                Record::Completed {
                    remembered_until, ..
                } => millis(*remembered_until),
                _ => 0,
            },
            len: (buffer.len() - start) as u32,
        });
    }

    /// The message that a record is added to; `None` if the record would not change its state.
    fn target_message(
        &self,
        id: &PackedId,
        record: &Record,
        index: &Index,
    ) -> Option<TargetMessage> {
        let slot = index.slot(id);
        // Records of this batch are not in the index yet, and are newer.
        let in_batch = self.records.iter().rev().find(|earlier| earlier.id == *id);
        let (known_lsn, stage) = match (in_batch, slot.and_then(|slot| index.entry(slot))) {
            (Some(earlier), _) => (earlier.accepted_lsn, stage_after(earlier.kind)),
            (None, Some(entry)) => (entry.accepted_lsn, stage_of(&entry.state)),
            (None, None) => (0, Stage::Unknown),
        };
        let changes_state = match record {
            // An id accepted again after its message has ended is a new incarnation.
            Record::Accepted { .. } => stage != Stage::Open,
            Record::AttemptStarted { .. } | Record::AttemptFinished { .. } => stage == Stage::Open,
            Record::FinalReportDue { .. } => known_lsn == 0 || stage == Stage::Open,
            Record::Completed { .. } => known_lsn == 0 || stage != Stage::Completed,
        };
        let is_first = match record {
            Record::Accepted { .. } => true,
            Record::FinalReportDue { .. } | Record::Completed { .. } => known_lsn == 0,
            Record::AttemptStarted { .. } | Record::AttemptFinished { .. } => false,
        };
        changes_state.then_some(TargetMessage {
            accepted_lsn: if is_first { self.next_lsn } else { known_lsn },
            slot,
            first: in_batch.map(|earlier| earlier.first),
        })
    }

    /// Joins the batch to the index, after it has been written to segment `sequence`.
    pub(super) fn apply(
        mut self,
        sequence: u32,
        index: &mut Index,
        all_possible_executions: &mut [PossibleExecutions],
    ) {
        for written in &self.possible_executions {
            let len = written.len;
            let frame = StoredFrame { sequence, len };
            if let Some(possible) = all_possible_executions.get_mut(written.position) {
                possible.frame = Some(frame);
                index.add_live(frame);
            }
        }
        for n in 0..self.records.len() {
            let record = &self.records[n];
            let slot = record.slot.or(self.records[record.first].slot);
            let len = record.len;
            let entry = RecordEntry {
                accepted_lsn: record.accepted_lsn,
                kind: record.kind,
                remember_until_ms: record.remember_until_ms,
                frame: StoredFrame { sequence, len },
            };
            match slot {
                Some(slot) => {
                    index.join_at(slot, entry);
                }
                None => self.records[n].slot = Some(index.join(&record.id, entry).0),
            }
        }
    }
}

/// The stage of a message after a record of this kind.
fn stage_after(kind: RecordKind) -> Stage {
    match kind {
        RecordKind::Completed => Stage::Completed,
        RecordKind::FinalReportDue => Stage::FinalReportDue,
        RecordKind::Accepted
        | RecordKind::AttemptStarted(_)
        | RecordKind::AttemptFinished(_)
        | RecordKind::PossiblyExecuted => Stage::Open,
    }
}

/// The stage of a message in the index.
fn stage_of(state: &EntryState) -> Stage {
    match state {
        EntryState::Open(_) => Stage::Open,
        EntryState::FinalReportDue(_) => Stage::FinalReportDue,
        EntryState::Completed { .. } => Stage::Completed,
    }
}

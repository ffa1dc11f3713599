//! Collects a folder's records as the scan reads them.

use super::live_records::{LiveRecords, RecordOrigin};
use super::possible_executions::{PossibleExecutions, add_recorded};
use crate::format::key::Key;
use crate::format::packed_id::PackedId;
use crate::format::record::JournalRecord;
use crate::index::{Index, Joined, RecordEntry, StoredFrame};
use crate::record_conversion::to_core;
use crate::scan::{DamageCause, DamagedRange, RecordLocation, Scan};

/// Expected records per accepted message, by which memory is reserved.
const EXPECTED_RECORDS_PER_MESSAGE: usize = 2;

/// The record of an accepted message whose body can't be decompressed.
#[derive(Clone, Copy, Debug)]
struct UnreadableMessage {
    accepted_lsn: u64,
    location: RecordLocation,
}

/// The records read so far, joined to an index.
#[derive(Debug)]
pub(super) struct Collector {
    pub(super) index: Index,
    pub(super) live: LiveRecords,
    /// Possible executions recorded by earlier processes.
    pub(super) possible_executions: Vec<PossibleExecutions>,
    unreadable: Vec<UnreadableMessage>,
}

impl Collector {
    /// An empty collector with memory reserved for `messages` accepted messages; `key` seeds the hashes of ids.
    pub(super) fn new(key: &Key, messages: usize) -> Collector {
        let mut index = Index::new(key);
        index.reserve(messages);
        let mut live = LiveRecords::default();
        live.reserve(messages * EXPECTED_RECORDS_PER_MESSAGE);
        Collector {
            index,
            live,
            possible_executions: Vec::new(),
            unreadable: Vec::new(),
        }
    }

    /// Joins a record to the index, and keeps it if it is live.
    pub(super) fn add(&mut self, location: RecordLocation, record: JournalRecord<'_>) {
        let frame = StoredFrame {
            sequence: location.sequence,
            len: location.len,
        };
        if let JournalRecord::PossiblyExecuted {
            accepted_before,
            attempts,
            until_ms,
        } = record
        {
            let recorded = PossibleExecutions {
                accepted_before,
                attempts,
                until_ms,
                frame: Some(frame),
            };
            add_recorded(&mut self.possible_executions, recorded, &mut self.index);
            return;
        }
        let Some(message) = record.message() else {
            return;
        };
        let Some(id) = PackedId::from_bytes(message.id) else {
            return;
        };
        let accepted_lsn = message.accepted_lsn;
        let remember_until_ms = match record {
            JournalRecord::Completed {
                remember_until_ms, ..
            } => remember_until_ms,
            _ => 0,
        };
        let entry = RecordEntry {
            accepted_lsn,
            kind: record.kind(),
            remember_until_ms,
            frame,
        };
        let (slot, joined) = self.index.join(&id, entry);
        if joined == Joined::Dead {
            return;
        }
        match to_core(&id, record) {
            Some(record) => {
                let origin = RecordOrigin::new(&record, slot, accepted_lsn, location);
                self.live.push(record, origin, joined, &self.index);
            }
            None => self.unreadable.push(UnreadableMessage {
                accepted_lsn,
                location,
            }),
        }
    }

    /// A damaged range for each record of an accepted message whose body can't be decompressed.
    pub(super) fn unreadable_messages(&self, scan: &Scan) -> Vec<DamagedRange> {
        let unreadable = self.unreadable.iter();
        unreadable
            .map(|message| DamagedRange {
                file: scan.file_name(message.location.sequence),
                offset: message.location.offset,
                len: u64::from(message.location.len),
                accepted_before: message.accepted_lsn + 1,
                max_attempts: 0,
                max_messages: 1,
                cause: DamageCause::Damaged,
            })
            .collect()
    }
}

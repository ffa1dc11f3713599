//! Appending batches of records.

use std::io;

use cranehill_core::{Persisted, Record};

use super::batch::Batch;
use super::state::Journal;
use crate::error::AppendError;
use crate::record_conversion::max_frame_bytes;
use crate::storage::Storage;

impl<S: Storage> Journal<S> {
    /// Appends a batch of records. `now` is Unix time in milliseconds. Records that recovery has still to write are
    /// appended before them.
    ///
    /// # Errors
    /// If a file operation fails or the disk budget is exhausted. [`AppendError::persisted`] says whether the records
    /// that end a message ([`Record::is_end_record`]) are persisted, or none of the batch.
    pub fn append(&mut self, now: u64, records: &[Record]) -> Result<(), AppendError> {
        let mut all = std::mem::take(&mut self.recovery_records);
        let recovery_count = all.len();
        let result = if recovery_count == 0 {
            self.write(now, records, |_| true)
        } else {
            all.extend_from_slice(records);
            self.write(now, &all, |_| true)
        };
        let Err(source) = result else {
            return Ok(());
        };
        all.truncate(recovery_count);
        self.recovery_records = all;
        self.counters.rejected_batches += 1;
        let has_ends = records.iter().any(Record::is_end_record);
        let persisted = if has_ends && self.write(now, records, Record::is_end_record).is_err() {
            Persisted::Nothing
        } else {
            Persisted::EndsOnly
        };
        Err(AppendError { persisted, source })
    }

    /// Appends those records for which `is_selected` is true: all of them, or none after an error.
    fn write(
        &mut self,
        now_ms: u64,
        records: &[Record],
        is_selected: impl Fn(&Record) -> bool,
    ) -> io::Result<()> {
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        let result = self.write_with(now_ms, records, is_selected, &mut buffer);
        self.buffer = buffer;
        result
    }

    fn write_with(
        &mut self,
        now_ms: u64,
        records: &[Record],
        is_selected: impl Fn(&Record) -> bool,
        buffer: &mut Vec<u8>,
    ) -> io::Result<()> {
        let selected = || records.iter().filter(|record| is_selected(record));
        // Whether a new segment is needed is decided by an upper bound, since frames can be encoded only once their
        // segment, and so their salt, is known.
        let max_bytes: u64 = selected().map(max_frame_bytes).sum();
        if max_bytes == 0 && self.possible_executions_recorded() {
            return Ok(());
        }
        // Without accepted messages the write is attempted whatever the room: the records of ends may fit into the rest
        // of the head's last block.
        let accepts = selected().any(|record| matches!(record, Record::Accepted { .. }));
        if accepts && self.storage.free_bytes() < max_bytes + self.compaction_reserve() {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal's disk budget is exhausted",
            ));
        }
        let salt = self.prepare_head(now_ms, max_bytes)?;
        let mut batch = Batch::new(self.next_lsn, records.len());
        batch.add_possible_executions(salt, &self.possible_executions, buffer);
        for record in selected() {
            batch.add(salt, record, &self.index, buffer);
        }
        if buffer.is_empty() {
            return Ok(());
        }
        let sequence = self.append_to_head(buffer, batch.frames(), batch.accepted)?;
        self.next_lsn = batch.next_lsn;
        self.counters.appended_bytes += buffer.len() as u64;
        batch.apply(sequence, &mut self.index, &mut self.possible_executions);
        if self.possible_executions_recorded() {
            self.missing.clear();
        }
        Ok(())
    }
}

//! Appending batches of records.

use std::io;

use cranehill_core::{Persisted, Record};

use super::batch::Batch;
use super::state::Journal;
use crate::error::AppendError;
use crate::record_conversion::max_frame_bytes;
use crate::storage::Storage;

impl<S: Storage> Journal<S> {
    /// Appends a batch of records at `now` (Unix time in milliseconds).
    ///
    /// # Errors
    /// Either the records of ends ([`Record::is_end`]) are persisted or none of the batch is, as the error says.
    pub fn append(&mut self, now: u64, records: &[Record]) -> Result<(), AppendError> {
        self.promised_bytes = 0;
        let mut all = std::mem::take(&mut self.concluded);
        let concluded = all.len();
        let result = if concluded == 0 {
            self.write(now, records, |_| true)
        } else {
            all.extend_from_slice(records);
            self.write(now, &all, |_| true)
        };
        let Err(source) = result else {
            return Ok(());
        };
        all.truncate(concluded);
        self.concluded = all;
        self.counters.rejected_batches += 1;
        let has_ends = records.iter().any(Record::is_end);
        let persisted = if has_ends && self.write(now, records, Record::is_end).is_err() {
            Persisted::Nothing
        } else {
            Persisted::EndsOnly
        };
        Err(AppendError { persisted, source })
    }

    /// Appends the records that `is_selected`, all or none.
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
        // An upper bound decides whether a new segment is needed: frames are salted by their segment.
        let max_bytes: u64 = selected().map(max_frame_bytes).sum();
        if max_bytes == 0 && self.possible_executions_recorded() {
            return Ok(());
        }
        // Without messages to accept it is tried whatever the room: ends may fit in what is left of the head's last
        // block.
        let accepts = selected().any(|record| matches!(record, Record::Accepted { .. }));
        if accepts && self.storage.room() < max_bytes + self.compaction_reserve() {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal's disk budget is used",
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

//! Migration of the ledger, the single file of releases before 0.2: its records are appended to the journal, and then
//! it is removed.

use cranehill_core::Record;

use super::state::Journal;
use crate::error::OpenError;
use crate::legacy_ledger::{FILE_NAMES, LEGACY_LIFETIME_NANOS, LegacyLedger};
use crate::record_conversion::MAX_FIXED_BYTES;
use crate::recovery::{FolderContents, Recovered, read_folder};
use crate::storage::Storage;
use crate::time::nanos;

/// Records per appended batch.
const RECORDS_PER_BATCH: usize = 256;

impl<S: Storage> Journal<S> {
    /// Appends the ledger's records, removes its files, and updates `recovered` by reading the folder again.
    pub(super) fn migrate(
        &mut self,
        now_ms: u64,
        mut ledger: LegacyLedger,
        recovered: &mut Recovered,
    ) -> Result<(), OpenError> {
        // The ledger does not store until when the id of a completed message is retained. It is retained for the longest
        // lifetime of a message, counted from now.
        let remember_until = nanos(now_ms).saturating_add(LEGACY_LIFETIME_NANOS);
        for record in &mut ledger.records {
            if let Record::Completed {
                remembered_until, ..
            } = record
            {
                *remembered_until = remember_until;
            }
        }
        for batch in ledger.records.chunks(RECORDS_PER_BATCH) {
            if self.append(now_ms, batch).is_err() {
                let size = |record: &Record| MAX_FIXED_BYTES + record.id().len() as u64;
                let needed = ledger.records.iter().map(size).sum();
                return Err(OpenError::NoRoom { needed });
            }
        }
        for name in FILE_NAMES {
            self.storage.remove(name).map_err(OpenError::io(name))?;
        }
        let FolderContents {
            recovered: after_migration,
            ..
        } = read_folder(&mut self.storage, Some(self.key), &self.key)?;
        let before_migration = std::mem::replace(recovered, after_migration);
        recovered.damage = before_migration.damage;
        recovered.damage.extend(ledger.damage);
        recovered
            .lost_messages
            .extend(before_migration.lost_messages);
        recovered.migrated_records = ledger.records.len();
        Ok(())
    }
}

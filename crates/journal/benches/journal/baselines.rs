//! The baselines that the journal is compared with: the ledger of release 0.1, and redb without fsync.

use cranehill_core::Record;
use redb::{Database, Durability, TableDefinition};

use crate::legacy_ledger::LegacyRecord;

pub(crate) const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("records");

pub(crate) fn to_legacy(record: &Record) -> LegacyRecord {
    match record.clone() {
        Record::Accepted {
            id,
            class,
            tenant,
            destination,
            idempotency_key: key,
            deadline,
            body,
            ..
        } => LegacyRecord::Accepted {
            id,
            class,
            tenant,
            destination,
            key,
            deadline,
            body,
        },
        Record::AttemptStarted {
            id,
            attempt,
            endpoint,
            started_at: at,
        } => LegacyRecord::AttemptStarted {
            id,
            attempt,
            endpoint,
            at,
        },
        Record::AttemptFinished {
            id,
            attempt,
            not_executed,
        } => LegacyRecord::AttemptFinished {
            id,
            attempt,
            not_executed,
        },
        Record::FinalReportDue { id, .. } | Record::Completed { id, .. } => {
            LegacyRecord::Completed { id }
        }
    }
}

pub(crate) fn redb_append(db: &Database, next: &mut u64, records: &[Record]) {
    let mut write = db.begin_write().expect("a transaction");
    write.set_durability(Durability::None);
    {
        let mut table = write.open_table(TABLE).expect("a table");
        for record in records {
            table
                .insert(*next, value(record).as_slice())
                .expect("inserted");
            *next += 1;
        }
    }
    write.commit().expect("committed");
}

/// The value stored in redb for a record: about as many bytes as the journal's record without its frame.
fn value(record: &Record) -> Vec<u8> {
    match record {
        Record::Accepted {
            id,
            idempotency_key: key,
            body,
            ..
        } => [
            id.as_bytes(),
            &[0; 12],
            key.as_deref().unwrap_or_default().as_bytes(),
            body,
        ]
        .concat(),
        Record::AttemptStarted { id, endpoint, .. } => {
            [id.as_bytes(), &[1; 8], endpoint.as_bytes()].concat()
        }
        other => [other.id().as_bytes(), &[2; 2]].concat(),
    }
}

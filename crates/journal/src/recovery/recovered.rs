//! The result of recovery.

use cranehill_core::Record;

use super::possible_executions::PossibleExecutions;
use crate::index::{Index, MessageCounts};
use crate::scan::{DamagedRange, Scan, TornWrite};

/// A message whose record of acceptance is lost. It is known only by its attempts, and gets a final report as failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostMessage {
    /// The message's id.
    pub id: String,
    /// Name of the file with the record of one of its attempts.
    pub file: String,
    /// That record's offset in the file, in bytes.
    pub offset: u64,
}

/// The messages that an earlier process left, and the damage found.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The records for the core: completed messages whose ids are retained, then final reports due, then pending
    /// messages in the order of acceptance.
    pub records: Vec<Record>,
    /// Ranges that can't be read or are missing.
    pub damage: Vec<DamagedRange>,
    /// Messages whose record of acceptance is lost.
    pub lost_messages: Vec<LostMessage>,
    /// Number of pending messages that count as possibly executed because of damage.
    pub possibly_executed: usize,
    /// A torn write at the end of the head.
    pub torn_write: Option<TornWrite>,
    /// Names of files that are not segments of this folder, for example signed under another key. They are left
    /// unchanged.
    pub foreign_files: Vec<String>,
    /// The latest Unix time in milliseconds that an earlier process recorded. The new process's clock must not start
    /// earlier.
    pub latest_ms: u64,
    /// Number of messages in each state.
    pub counts: MessageCounts,
    /// Number of records migrated from the ledger of a release before 0.2.
    pub migrated_records: usize,
}

/// The contents of a folder, which was read without changing it.
#[derive(Debug)]
pub struct FolderContents {
    /// The segments and their damage.
    pub scan: Scan,
    /// The recovered messages.
    pub recovered: Recovered,
    pub(crate) index: Index,
    pub(crate) possible_executions: Vec<PossibleExecutions>,
}

impl FolderContents {
    /// Bytes of live frames in the segment with this sequence number.
    pub fn live_bytes(&self, sequence: u32) -> u64 {
        self.index.live_bytes(sequence)
    }
}

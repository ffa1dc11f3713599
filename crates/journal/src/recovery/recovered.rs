//! What recovery returns.

use cranehill_core::Record;

use super::possible_executions::PossibleExecutions;
use crate::index::{Index, MessageCounts};
use crate::scan::{DamagedRange, Scan, TornWrite};

/// A message whose own record is lost: known only by its attempts, and concluded as failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostMessage {
    /// The message's id.
    pub id: String,
    /// The file that has the record of an attempt of it.
    pub file: String,
    /// That record's offset in the file, in bytes.
    pub offset: u64,
}

/// What an earlier process left.
#[derive(Debug, Default)]
pub struct Recovered {
    /// For the core: completed messages that are remembered, final reports due, then pending messages in the order
    /// in which they were accepted.
    pub records: Vec<Record>,
    /// What can't be read or is missing.
    pub damage: Vec<DamagedRange>,
    /// Messages whose own record is lost.
    pub lost: Vec<LostMessage>,
    /// Pending messages that count as possibly executed because of damage.
    pub possibly_executed: usize,
    /// A write that was cut off at the end of the head.
    pub torn: Option<TornWrite>,
    /// Files signed under another key, left alone.
    pub foreign: Vec<String>,
    /// The latest Unix time known to have been reached, in milliseconds. The process's clock must start no earlier.
    pub latest_ms: u64,
    /// Messages by state.
    pub counts: MessageCounts,
    /// Records migrated from the single file of releases before 0.2.
    pub migrated: usize,
}

/// A folder as it was read; nothing in it has been changed.
#[derive(Debug)]
pub struct FolderContents {
    /// The files.
    pub scan: Scan,
    /// The messages.
    pub recovered: Recovered,
    pub(crate) index: Index,
    pub(crate) possible_executions: Vec<PossibleExecutions>,
}

impl FolderContents {
    /// Bytes of live frames in a segment.
    pub fn live_bytes(&self, sequence: u32) -> u64 {
        self.index.live_bytes(sequence)
    }
}

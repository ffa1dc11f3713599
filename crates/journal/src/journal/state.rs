//! The state of an open journal.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use cranehill_core::Record;

use super::segments::{HeadSegment, ObsoleteSegment, Relocation, SealedSegment};
use crate::format::key::Key;
use crate::format::manifest::ManifestEntry;
use crate::index::Index;
use crate::options::Options;
use crate::recovery::PossibleExecutions;
use crate::storage::{BLOCK_BYTES, Storage};

/// Upper bound on the bytes of the largest frame that compaction relocates.
const MAX_FRAME_BYTES: u64 = 72 * 1024;
/// Disk usage of a manifest without its segments' entries, in bytes of whole blocks.
const MANIFEST_FIXED_BYTES: u64 = 2 * BLOCK_BYTES;
/// Upper bound on the bytes of a segment's entry in the manifest.
const MANIFEST_ENTRY_BYTES: u64 = 64;
/// The disk space reserved for compaction is at most this fraction of the disk budget, as a divisor.
const MAX_RESERVE_DIVISOR: u64 = 4;

/// An open journal: the durable log of the messages that a sender has accepted. It has its folder to itself.
#[derive(Debug)]
pub struct Journal<S> {
    pub(super) storage: S,
    pub(super) key: Key,
    /// Bytes that the folder may use.
    pub(super) disk: u64,
    /// Bytes after which a segment is sealed.
    pub(super) segment_bytes: u64,
    /// Epoch of the manifest on disk.
    pub(super) epoch: u64,
    pub(super) next_sequence: u32,
    pub(super) next_lsn: u64,
    /// Sealed segments by sequence number.
    pub(super) sealed: BTreeMap<u32, SealedSegment>,
    /// `None` if no segment could be created since the start.
    pub(super) head: Option<HeadSegment>,
    /// Segments that the manifest lists but whose files are missing. They stay listed until the attempts that they may
    /// have recorded are covered by records of possible executions.
    pub(super) missing: Vec<ManifestEntry>,
    /// Whether a failed attempt to write a manifest may have left its file.
    pub(super) stale_next_manifest: bool,
    pub(super) index: Index,
    pub(super) possible_executions: Vec<PossibleExecutions>,
    /// Records that recovery added, to be written with the next batch.
    pub(super) recovery_records: Vec<Record>,
    pub(super) relocation: Option<Relocation>,
    pub(super) obsolete: Vec<ObsoleteSegment>,
    /// Bytes set aside for messages that are not appended yet: the sum of all `AdmittedRoom`s.
    pub(super) admitted: Arc<AtomicU64>,
    pub(super) counters: Counters,
    /// Encoding buffer, reused by every batch.
    pub(super) buffer: Vec<u8>,
}

/// Totals since the journal was opened.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) appended_bytes: u64,
    pub(super) relocated_bytes: u64,
    pub(super) removed_segments: u64,
    pub(super) rejected_batches: u64,
}

impl<S: Storage> Journal<S> {
    /// A journal without segments.
    pub(super) fn new(storage: S, options: &Options, key: Key, index: Index) -> Journal<S> {
        Journal {
            storage,
            key,
            disk: options.disk_bytes,
            segment_bytes: options.segment_bytes(),
            epoch: 0,
            next_sequence: 1,
            next_lsn: 1,
            sealed: BTreeMap::new(),
            head: None,
            missing: Vec::new(),
            stale_next_manifest: false,
            index,
            possible_executions: Vec::new(),
            recovery_records: Vec::new(),
            relocation: None,
            obsolete: Vec::new(),
            admitted: Arc::default(),
            counters: Counters::default(),
            buffer: Vec::new(),
        }
    }

    /// Name of the head's file, if there is a head.
    pub fn head(&self) -> Option<&str> {
        self.head.as_ref().map(|head| head.name.as_str())
    }

    /// The storage that the journal is on.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// The storage that the journal is on, for tests that inject faults.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Bytes that must stay free for compaction to make progress.
    pub(super) fn compaction_reserve(&self) -> u64 {
        let segments = self.sealed.len() as u64 + 2;
        let manifest = MANIFEST_FIXED_BYTES + MANIFEST_ENTRY_BYTES * segments;
        (self.segment_bytes.max(MAX_FRAME_BYTES) + manifest).min(self.disk / MAX_RESERVE_DIVISOR)
    }

    /// Whether all possible executions are recorded on disk.
    pub(super) fn possible_executions_recorded(&self) -> bool {
        self.possible_executions
            .iter()
            .all(|possible| possible.frame.is_some())
    }
}

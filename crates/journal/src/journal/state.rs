//! The state of an open journal.

use std::collections::BTreeMap;

use cranehill_core::Record;

use super::segments::{HeadSegment, ObsoleteSegment, Relocation, SealedSegment};
use crate::format::key::Key;
use crate::format::manifest::ManifestEntry;
use crate::index::Index;
use crate::options::Options;
use crate::recovery::PossibleExecutions;
use crate::storage::{BLOCK_BYTES, Storage};

/// The largest frame that compaction may have to relocate.
const MAX_FRAME_BYTES: u64 = 72 * 1024;
/// Disk usage of a manifest besides its segments, in whole blocks.
const MANIFEST_FIXED_BYTES: u64 = 2 * BLOCK_BYTES;
/// Bytes of a segment in the manifest, at most.
const MANIFEST_ENTRY_BYTES: u64 = 64;
/// Compaction's reserve is no more than this part of the disk budget.
const DISKS_PER_RESERVE: u64 = 4;

/// The durable log of the messages that a sender has accepted, in a folder of its own.
#[derive(Debug)]
pub struct Journal<S> {
    pub(super) storage: S,
    pub(super) key: Key,
    /// Bytes that the folder may hold.
    pub(super) disk: u64,
    /// Bytes after which a segment is sealed.
    pub(super) segment_bytes: u64,
    /// Of the manifest on disk.
    pub(super) epoch: u64,
    pub(super) next_sequence: u32,
    pub(super) next_lsn: u64,
    /// By sequence number.
    pub(super) sealed: BTreeMap<u32, SealedSegment>,
    /// `None` after a start without room for one.
    pub(super) head: Option<HeadSegment>,
    /// Listed and missing: kept in the manifest until the attempts that they may hide are recorded.
    pub(super) missing: Vec<ManifestEntry>,
    /// A failed attempt to write a manifest has left its file.
    pub(super) stale_next_manifest: bool,
    pub(super) index: Index,
    pub(super) possible_executions: Vec<PossibleExecutions>,
    /// What recovery concluded, to be written with the next batch.
    pub(super) concluded: Vec<Record>,
    pub(super) relocation: Option<Relocation>,
    pub(super) obsolete: Vec<ObsoleteSegment>,
    /// Bytes promised to messages that were admitted since the last batch.
    pub(super) promised_bytes: u64,
    pub(super) counters: Counters,
    /// Reused by each batch.
    pub(super) buffer: Vec<u8>,
}

/// Totals since the start.
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
            disk: options.disk,
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
            concluded: Vec::new(),
            relocation: None,
            obsolete: Vec::new(),
            promised_bytes: 0,
            counters: Counters::default(),
            buffer: Vec::new(),
        }
    }

    /// The file that is written to, if there is one.
    pub fn head(&self) -> Option<&str> {
        self.head.as_ref().map(|head| head.name.as_str())
    }

    /// The files.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// The files, for tests that make operations fail.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Bytes that compaction needs to make any progress.
    pub(super) fn compaction_reserve(&self) -> u64 {
        let segments = self.sealed.len() as u64 + 2;
        let manifest = MANIFEST_FIXED_BYTES + MANIFEST_ENTRY_BYTES * segments;
        (self.segment_bytes.max(MAX_FRAME_BYTES) + manifest).min(self.disk / DISKS_PER_RESERVE)
    }

    /// Whether all attempts that damage may hide are recorded.
    pub(super) fn possible_executions_recorded(&self) -> bool {
        self.possible_executions
            .iter()
            .all(|possible| possible.frame.is_some())
    }
}

//! How a journal is kept.

use crate::format::key::Key;

/// Bounds of a segment's size: small segments make compaction's steps small, large ones the manifest.
const MIN_SEGMENT_BYTES: u64 = 16 * 1024;
const MAX_SEGMENT_BYTES: u64 = 1024 * 1024;
/// A segment has this part of the disk budget, within those bounds.
const SEGMENTS_PER_DISK: u64 = 32;

/// How a journal is kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes that the folder may hold.
    pub disk: u64,
    /// An operator's key; without one the folder has its own.
    pub key: Option<Key>,
    /// Fresh random bytes: the folder's key, if it has none yet.
    pub fresh_key: Key,
    /// Bytes of a segment; derived from `disk` if not given. Tests want small ones, which are sealed often.
    pub segment: Option<u64>,
}

impl Options {
    /// Bytes after which a segment is sealed.
    pub(crate) fn segment_bytes(&self) -> u64 {
        self.segment.unwrap_or_else(|| {
            (self.disk / SEGMENTS_PER_DISK).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
        })
    }
}

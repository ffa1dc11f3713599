//! Options of a journal.

use crate::format::key::Key;

/// Bounds of a segment's size: smaller segments are compacted sooner, larger ones keep the manifest small.
const MIN_SEGMENT_BYTES: u64 = 16 * 1024;
const MAX_SEGMENT_BYTES: u64 = 1024 * 1024;
/// A segment gets one part in this many of the disk budget, within those bounds.
const SEGMENTS_PER_DISK: u64 = 32;

/// Options of a journal.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes that the folder may use.
    pub disk_bytes: u64,
    /// The operator's key; without one, the folder's own key is used.
    pub operator_key: Option<Key>,
    /// Fresh random bytes; they become the folder's own key if it has no key yet.
    pub fresh_key: Key,
    /// Bytes after which a segment is sealed; `None` derives them from `disk_bytes`. Tests set a small size, so that
    /// segments are sealed often.
    pub segment_bytes: Option<u64>,
}

impl Options {
    /// Bytes after which a segment is sealed.
    pub(crate) fn segment_bytes(&self) -> u64 {
        self.segment_bytes.unwrap_or_else(|| {
            (self.disk_bytes / SEGMENTS_PER_DISK).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
        })
    }
}

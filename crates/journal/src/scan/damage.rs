//! Damage to a folder: ranges of files that can't be read or are missing.

use crate::format::record::MIN_ATTEMPT_FRAME_BYTES;

/// Upper bound on the attempts that are assumed for a damaged range: more than any class allows.
const MAX_ATTEMPTS_PER_RANGE: u64 = 32;

/// A range of a file that can't be read, or that is or may be missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRange {
    /// Name of the file.
    pub file: String,
    /// Offset of the range in the file, in bytes.
    pub offset: u64,
    /// Length of the range in bytes; 0 if it is not known.
    pub len: u64,
    /// Messages accepted under this log number or a later one are not affected.
    pub accepted_before: u64,
    /// Upper bound on one message's attempts whose records may have been in the range.
    pub max_attempts: u32,
    /// Upper bound on the records of accepted messages that may have been in the range.
    pub max_messages: u32,
    /// The kind of damage.
    pub cause: DamageCause,
}

/// The kind of damage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamageCause {
    /// The bytes are not a valid frame, or not a valid record.
    Damaged,
    /// The file is shorter than it was when the segment was sealed.
    Short,
    /// The frames are valid but differ from those sealed: the file is an older or altered copy.
    Altered,
    /// The manifest lists the segment, but its file is missing.
    Missing,
    /// The manifest is missing, invalid or older than the segments, so segments may be missing unnoticed.
    Unlisted,
}

/// Upper bound on the records of one message's attempts in this many bytes; at least 1.
pub(super) fn max_attempts_in(bytes: u64) -> u32 {
    bytes
        .div_ceil(MIN_ATTEMPT_FRAME_BYTES as u64)
        .clamp(1, MAX_ATTEMPTS_PER_RANGE) as u32
}

//! What of a folder can't be read, or may be missing.

use crate::format::record::MIN_ATTEMPT_FRAME_BYTES;

/// More attempts than any class allows, so as good as any number.
const MAX_ATTEMPTS_PER_RANGE: u64 = 32;

/// Bytes that can't be read, or that may be missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRange {
    /// The file's name.
    pub file: String,
    /// Where it begins, in bytes.
    pub offset: u64,
    /// Its length in bytes.
    pub len: u64,
    /// Messages accepted under this log number or a later one are not affected.
    pub accepted_before: u64,
    /// Attempts of one message that it may have held, at most.
    pub max_attempts: u32,
    /// Records of accepted messages that it may have held, at most.
    pub max_messages: u32,
    /// How it was recognised.
    pub cause: DamageCause,
}

/// How damage was recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamageCause {
    /// Bytes that are no frame.
    Damaged,
    /// The file is shorter than when it was sealed.
    Short,
    /// Frames are valid, but are not those that were sealed: an older or altered copy.
    Altered,
    /// The manifest lists the file, and it is not there.
    Missing,
    /// The manifest can't be read: it is not known what is missing.
    Unlisted,
}

/// How many attempts of one message fit in this many bytes, at least one.
pub(super) fn max_attempts_in(bytes: u64) -> u32 {
    bytes
        .div_ceil(MIN_ATTEMPT_FRAME_BYTES as u64)
        .clamp(1, MAX_ATTEMPTS_PER_RANGE) as u32
}

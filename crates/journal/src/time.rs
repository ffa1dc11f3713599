//! Conversion between the core's Unix time in nanoseconds and the files' in milliseconds, both counted from 1970.

/// Nanoseconds in a millisecond.
pub(crate) const NANOS_PER_MS: u64 = 1_000_000;

/// Nanoseconds as milliseconds, rounded down.
pub(crate) fn millis(nanos: u64) -> u64 {
    nanos / NANOS_PER_MS
}

/// Milliseconds as nanoseconds, saturating at the largest value.
pub(crate) fn nanos(millis: u64) -> u64 {
    millis.saturating_mul(NANOS_PER_MS)
}

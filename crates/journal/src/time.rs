//! Times: the core counts nanoseconds since 1970, the files on disk milliseconds.

/// Nanoseconds in a millisecond.
pub(crate) const NANOS_PER_MS: u64 = 1_000_000;

/// Nanoseconds as milliseconds, rounded down.
pub(crate) fn millis(nanos: u64) -> u64 {
    nanos / NANOS_PER_MS
}

/// Milliseconds as nanoseconds; the largest value if that overflows.
pub(crate) fn nanos(millis: u64) -> u64 {
    millis.saturating_mul(NANOS_PER_MS)
}

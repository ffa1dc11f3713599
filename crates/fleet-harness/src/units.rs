//! Converts durations to numbers.

use std::time::Duration;

/// A duration in seconds.
pub(crate) fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// A duration in milliseconds.
pub(crate) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// A duration in whole milliseconds.
pub(crate) fn whole_milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

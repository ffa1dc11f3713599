//! Conversion of seconds to durations.

use std::time::Duration;

/// Converts seconds to a duration. Negative values become 0, and values out of range (or NaN) a quarter of
/// [`Duration::MAX`], so that sums do not overflow.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX / 4)
}

//! Conversion of computed times.

use std::time::Duration;

/// A time in seconds: 0 if negative, and a quarter of the longest duration if too long, so that sums do not overflow.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX / 4)
}

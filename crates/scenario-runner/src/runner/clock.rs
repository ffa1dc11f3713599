//! Wall-clock time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch (1970); zero if the clock is set to an earlier time.
pub(super) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

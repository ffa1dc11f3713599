//! The wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time since 1970.
pub(super) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

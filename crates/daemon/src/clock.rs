//! The core's clock: monotonic, and anchored to Unix time so that it outlasts the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cranehill_scheduler::Time;

/// Monotonic from the start of the process; its zero is the start of 1970.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
    unix_at_start: Duration,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let unix_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_at_start,
        }
    }

    /// Continues from `least` since 1970 if it is behind that.
    pub(crate) fn advance_to(&mut self, least: Duration) {
        let least_at_start = least.saturating_sub(self.started.elapsed());
        self.unix_at_start = self.unix_at_start.max(least_at_start);
    }

    pub(crate) fn now(&self) -> Time {
        Time((self.unix_at_start + self.started.elapsed()).as_nanos() as u64)
    }
}

/// Milliseconds since 1970, as the journal counts.
pub(crate) fn unix_millis(time: Time) -> u64 {
    time.0 / 1_000_000
}

/// The span since 1970.
pub(crate) fn since_unix_epoch(time: Time) -> Duration {
    Duration::from_nanos(time.0)
}

//! The core's clock: monotonic, and based on Unix time, so that persisted times stay valid in the next process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cranehill_scheduler::Time;

/// A monotonic clock that counts from the Unix epoch, the start of 1970. Changes of the system's clock while the process runs don't affect it.
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

    /// Advances the clock to `minimum` since the Unix epoch if it is behind that.
    pub(crate) fn advance_to(&mut self, minimum: Duration) {
        let minimum_at_start = minimum.saturating_sub(self.started.elapsed());
        self.unix_at_start = self.unix_at_start.max(minimum_at_start);
    }

    pub(crate) fn now(&self) -> Time {
        Time((self.unix_at_start + self.started.elapsed()).as_nanos() as u64)
    }
}

/// Milliseconds since the Unix epoch, the journal's unit of time.
pub(crate) fn unix_millis(time: Time) -> u64 {
    time.0 / 1_000_000
}

/// The time since the Unix epoch.
pub(crate) fn since_unix_epoch(time: Time) -> Duration {
    Duration::from_nanos(time.0)
}

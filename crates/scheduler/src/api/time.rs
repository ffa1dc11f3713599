//! The scheduler's time type. The caller supplies the current time.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time on the caller's clock: nanoseconds since an arbitrary fixed origin.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, span: Duration) -> Time {
        Time(
            self.0
                .saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Time> for Time {
    type Output = Duration;
    /// The time since `earlier`; zero if `earlier` is later.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Time {
    /// This time minus `span`; the clock's origin if that would be earlier.
    pub(crate) fn saturating_sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_nanos() as u64))
    }
}

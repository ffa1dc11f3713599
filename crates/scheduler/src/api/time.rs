//! Time as the caller passes it in.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A moment on the caller's clock: nanoseconds since any fixed origin.
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
    /// The span since `earlier`; zero if `earlier` is later.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Time {
    /// This moment less a span; the clock's origin if the span is longer.
    pub(crate) fn saturating_sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_nanos() as u64))
    }
}

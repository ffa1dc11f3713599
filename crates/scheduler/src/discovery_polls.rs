//! Schedules polls of the endpoint list, if its changes are not pushed.

use std::time::Duration;

use crate::api::{Settings, Time};

/// Half of the backoff after the first failed poll. The backoff doubles with each further failure.
const BASE_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The backoff is at most the maximum time between polls, [`Rules::max_poll_interval`](crate::api::Rules::max_poll_interval),
/// divided by this, so that a retry is sent within that time.
const MAX_BACKOFF_DIVISOR: u32 = 2;

/// The time of the next poll, and the failed polls since the last success.
#[derive(Debug)]
pub(crate) struct DiscoveryPolls {
    next_poll: Option<Time>,
    consecutive_failures: u32,
}

impl DiscoveryPolls {
    /// Schedules the first poll for `now`.
    pub(crate) fn new(settings: &Settings, now: Time) -> DiscoveryPolls {
        DiscoveryPolls {
            next_poll: settings.poll_endpoint_list.then_some(now),
            consecutive_failures: 0,
        }
    }

    /// When the next poll is due; `None` if none is scheduled.
    pub(crate) fn next_poll(&self) -> Option<Time> {
        self.next_poll
    }

    /// Whether a poll is due. If true, the caller must poll now, and no further poll is scheduled.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        self.next_poll.take_if(|due| *due <= now).is_some()
    }

    /// Records that an endpoint list was received.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed poll and schedules the next one after a backoff, multiplied by `jitter`: an immediate retry would add
    /// to the load that may have caused the failure.
    pub(crate) fn record_failure(&mut self, settings: &Settings, now: Time, jitter: f64) {
        self.consecutive_failures += 1;
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (BASE_BACKOFF * (1 << doublings))
            .min(settings.rules.max_poll_interval / MAX_BACKOFF_DIVISOR)
            .mul_f64(jitter);
        self.next_poll = settings.poll_endpoint_list.then_some(now + backoff);
    }
}

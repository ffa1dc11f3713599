//! When the endpoint list is polled, where changes are not pushed.

use std::time::Duration;

use crate::api::{Settings, Time};

/// Backoff after the first failed poll is twice this, doubling with each further one.
const BASE_BACKOFF: Duration = Duration::from_millis(300);
/// The backoff is doubled this often at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The longest time between polls that the rules allow leaves room for this many backoffs.
const BACKOFFS_PER_POLL_LIMIT: u32 = 2;

/// The next poll and the failures before it.
#[derive(Debug)]
pub(crate) struct DiscoveryPolls {
    next_poll: Option<Time>,
    consecutive_failures: u32,
}

impl DiscoveryPolls {
    /// The first poll is due at once.
    pub(crate) fn new(settings: &Settings, now: Time) -> DiscoveryPolls {
        DiscoveryPolls {
            next_poll: settings.ask_for_list.then_some(now),
            consecutive_failures: 0,
        }
    }

    /// When the next poll is due.
    pub(crate) fn next_poll(&self) -> Option<Time> {
        self.next_poll
    }

    /// Whether a poll is due; it counts as made.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        self.next_poll.take_if(|due| *due <= now).is_some()
    }

    /// Records a list received.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed poll. A poll at once would add to the load that may have caused it.
    pub(crate) fn record_failure(&mut self, settings: &Settings, now: Time, jitter: f64) {
        self.consecutive_failures += 1;
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (BASE_BACKOFF * (1 << doublings))
            .min(settings.rules.must_ask_in / BACKOFFS_PER_POLL_LIMIT)
            .mul_f64(jitter);
        self.next_poll = settings.ask_for_list.then_some(now + backoff);
    }
}

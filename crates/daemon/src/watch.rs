//! The schedule of requests to discovery. No I/O: the time is an input, and the caller sends the requests.

use std::time::Duration;

use cranehill_scheduler::Time;

use crate::discovery_protocol;

/// Limit on the interval between two requests, however the first one fails. A sender counts as notified of a change 6 s after
/// discovery had it and was reachable; the remaining half second is for the connect, the response and scheduling delays.
pub const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(5500);
/// The time that [`MAX_REQUEST_INTERVAL`] leaves for a backoff after a request that timed out. A backoff may always be this long,
/// so that senders which are rejected at the same time spread their retries.
const MIN_ALLOWED_BACKOFF: Duration =
    MAX_REQUEST_INTERVAL.saturating_sub(HOLD.saturating_add(WATCH_RESPONSE_TIMEOUT));
/// How long discovery holds a watch, whether lists are pushed or polled. A watch that has failed silently is detected only
/// afterwards, and this sender counts as notified of changes missed meanwhile within the same 6 s.
const HOLD: Duration = Duration::from_secs(3);
/// How long after the end of [`HOLD`] a watch times out. The request is then repeated half a second before the sender counts as
/// notified of the changes that it missed. It is longer than discovery needs for many simultaneous requests.
const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a request for the full list.
const LIST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean of the first backoff after a request that could not be sent: short enough that the next watch still continues the last
/// one.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Mean interval between the retries of all senders together after a rejection: the time that an overloaded discovery needs for a
/// new watch. Of 100 requests sent at the same time it answered 39 before the rest reached its timeout of 2 s.
const WATCH_COST: Duration = Duration::from_millis(50);
/// Limit on the number of senders for the mean backoff, since the number in the settings may be unrealistic.
const MAX_COUNTED_SENDERS: u32 = 200;
/// Limit of the mean backoff after consecutive failures, as a multiple of the first.
const MAX_BACKOFF_FACTOR: u32 = 4;
/// A backoff is distributed uniformly between half of its mean and this multiple of it.
const MAX_JITTER: f64 = 1.5;

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// No connection was established, or it ended, or no response arrived: discovery spent no time on the request.
    ConnectFailed,
    /// The response was not a list: discovery is overloaded.
    Rejected {
        /// The wait stated by the response's `Retry-After`.
        retry_after: Option<Duration>,
    },
}

/// This sender's watch on the endpoint list.
///
/// The first request is due immediately, however many senders start at the same time: a sender counts as notified of changes
/// whether it has requested them or not, and one that delays its first request decides by an old list. Only after a rejection do
/// the senders spread their requests, so that together they don't send more than discovery can answer.
#[derive(Debug)]
pub struct Watch {
    version: u64,
    /// The next request is for the full list.
    whole: bool,
    due: Option<Time>,
    requested_at: Time,
    senders: u32,
    max_backoff: Duration,
    failures: u32,
    rng: fastrand::Rng,
}

impl Watch {
    /// Creates a watch that continues from this version of the list; its first request is due immediately. `senders` is their number
    /// in the fleet. `max_backoff` is the settings' limit on the time without a request; zero means no limit.
    pub fn new(version: u64, senders: u32, max_backoff: Duration, seed: u64, now: Time) -> Watch {
        let rng = fastrand::Rng::with_seed(seed);
        Watch {
            version,
            whole: false,
            due: Some(now),
            requested_at: now,
            senders,
            max_backoff,
            failures: 0,
            rng,
        }
    }

    /// When the next request is due; `None` while one is in flight.
    pub fn due(&self) -> Option<Time> {
        self.due
    }

    /// Starts the next request and returns its bytes, which the caller sends to `host`.
    pub fn next_request(&mut self, now: Time, host: &str) -> Vec<u8> {
        (self.due, self.requested_at) = (None, now);
        if self.whole {
            discovery_protocol::write_list_request(host)
        } else {
            discovery_protocol::write_watch_request(host, self.version, HOLD)
        }
    }

    /// When the request in flight times out.
    pub fn response_deadline(&self) -> Time {
        self.requested_at
            + if self.whole {
                LIST_RESPONSE_TIMEOUT
            } else {
                HOLD + WATCH_RESPONSE_TIMEOUT
            }
    }

    /// Processes a list of this version. The next request is due immediately, since within 200 ms it continues this watch. After an
    /// unchanged list that came too soon it is delayed: a discovery that does not hold watches would be polled without pause.
    pub fn on_list(&mut self, now: Time, version: u64) {
        let immediately =
            self.whole || self.version != version || now - self.requested_at >= RETRY_INTERVAL;
        self.due = Some(if immediately {
            now
        } else {
            now + RETRY_INTERVAL
        });
        (self.version, self.whole, self.failures) = (version, false, 0);
    }

    /// Processes changes with a lower version than the last list's: they come from a discovery that has started anew at the same address
    /// and does not know what this sender was told before. The full list is requested after a pause, as after a failure.
    pub fn on_earlier_version(&mut self, now: Time, version: u64) {
        self.due = Some(now + RETRY_INTERVAL);
        (self.version, self.whole, self.failures) = (version, true, 0);
    }

    /// The version of the last list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Requests the full list next, because some of the changes were not valid and discovery does not send them again. In the full
    /// list an invalid entry counts as missing, so that nothing is sent to an endpoint that may be draining.
    pub fn on_unreadable_entry(&mut self) {
        self.whole = true;
    }

    /// Schedules the next request after a failure, and returns the backoff. It is no shorter than `Retry-After`, as far as
    /// [`MAX_REQUEST_INTERVAL`] allows. The backoff protects discovery when all senders poll it at the same time, as after a release:
    /// requests that arrive faster than they can be answered time out in its queue, and with short retries no sender would be
    /// notified of any change.
    pub fn on_failure(&mut self, now: Time, failure: WatchFailure) -> Duration {
        let (first_mean, retry_after) = match failure {
            WatchFailure::ConnectFailed => (RETRY_INTERVAL, None),
            WatchFailure::Rejected { retry_after } => (
                (WATCH_COST * self.senders.min(MAX_COUNTED_SENDERS)).max(RETRY_INTERVAL),
                retry_after,
            ),
        };
        let max_wait = MAX_REQUEST_INTERVAL
            .saturating_sub(now - self.requested_at)
            .max(MIN_ALLOWED_BACKOFF);
        let retry_after = retry_after.unwrap_or_default().min(max_wait / 2);
        let mean = first_mean * (1 << self.failures.min(8)).min(MAX_BACKOFF_FACTOR);
        let mean = mean.min((max_wait - retry_after).div_f64(MAX_JITTER));
        self.failures += 1;
        let max_backoff = if self.max_backoff.is_zero() {
            Duration::MAX
        } else {
            self.max_backoff.max(RETRY_INTERVAL)
        };
        let jitter = 0.5 + (MAX_JITTER - 0.5) * self.rng.f64();
        let backoff = mean.mul_f64(jitter).min(max_backoff) + retry_after;
        self.due = Some(now + backoff);
        backoff
    }

    /// Restarts the watch after a change of discovery's address. The full list is requested immediately, since the versions of the new
    /// discovery need not continue the old ones, and the backoff is reset, since it resulted from failures of the old address.
    pub fn on_moved(&mut self, now: Time) {
        (self.whole, self.due, self.failures) = (true, Some(now), 0);
    }
}

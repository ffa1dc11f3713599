//! When requests go to discovery, and which. No I/O: the clock is an input, and the caller sends the requests.

use std::time::Duration;

use cranehill_scheduler::Time;

use crate::discovery_protocol;

/// The max_backoff interval between two requests, however the first one fails: a change counts as notified 6 s after discovery had it
/// and could be reached, and half a second is left for the connection, the response and delays of the machine.
pub const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(5500);
/// What is left for the backoff after a request that timed out. At least this is always allowed, so that senders rejected
/// together spread.
const MIN_ALLOWED_BACKOFF: Duration =
    MAX_REQUEST_INTERVAL.saturating_sub(HOLD.saturating_add(WATCH_RESPONSE_TIMEOUT));
/// How long discovery holds a watch, whether lists are pushed or polled: a silent one is detected only after this, and the changes
/// that it misses count as notified within the same 6 s.
const HOLD: Duration = Duration::from_secs(3);
/// How long a response may take after it is due, before the request is repeated: half a second before the changes that a held
/// watch misses count as notified, and longer than discovery needs for many requests at once.
const WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
const LIST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The first backoff after a request that could not be sent: short enough that the next watch still continues the last one.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time that discovery spends on a new watch when it rejects some, from 39 answered of 100 sent at one moment before the rest ran
/// into its 2 s; the rate at which all senders together retry.
const WATCH_COST: Duration = Duration::from_millis(50);
/// Senders beyond this number do not lengthen the mean backoff: the number in the settings may be absurd.
const MAX_COUNTED_SENDERS: u32 = 200;
/// The max_backoff mean backoff after consecutive failures, as a multiple of the first.
const MAX_BACKOFF_FACTOR: u32 = 4;
/// A backoff is drawn uniformly from between half of its mean and this multiple of it.
const MAX_JITTER: f64 = 1.5;

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// There was no connection, or it ended or stayed silent: discovery spent nothing on the request.
    ConnectFailed,
    /// It was answered with anything but a list: discovery is overloaded.
    Rejected {
        /// The wait that the response states.
        retry_after: Option<Duration>,
    },
}

/// This sender's watch on the endpoint list.
///
/// The first request is due at once, however many senders start at this moment: changes count as notified whether they were
/// requested or not, and a sender that waits before its first request decides by an old list. Only after a rejection the senders
/// spread, so that together they do not request more than discovery can answer.
#[derive(Debug)]
pub struct Watch {
    version: u64,
    /// The next request is for the whole list.
    whole: bool,
    due: Option<Time>,
    requested_at: Time,
    senders: u32,
    max_backoff: Duration,
    failures: u32,
    rng: fastrand::Rng,
}

impl Watch {
    /// A watch from the list of this version on, due at once; `senders` is their number in the fleet. `max_backoff`: how long the
    /// settings let a sender be without a request; zero for no bound.
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

    /// When the next request is due, unless one is in flight.
    pub fn due(&self) -> Option<Time> {
        self.due
    }

    /// The bytes of the next request, which the caller sends to `host`.
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

    /// A list of this version arrived: the next request is due at once, since within 200 ms it continues this one. Not so after an
    /// empty response that came too soon: a discovery that does not hold watches would be polled without pause.
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

    /// Some of the changes could not be read, and they are not sent again: the whole list is requested, in which an unreadable
    /// entry is missing, so that nothing is sent to an endpoint that may be draining.
    pub fn on_unreadable_entry(&mut self) {
        self.whole = true;
    }

    /// A request failed; returns the backoff, no shorter than a `Retry-After` as far as [`MAX_REQUEST_INTERVAL`] allows it. Protects a
    /// discovery that all senders poll at once, as after a release: requests that arrive faster than they can be answered time
    /// out in its queue, and with short retries no sender would be notified of anything.
    pub fn on_failure(&mut self, now: Time, failure: WatchFailure) -> Duration {
        let (first, retry_after) = match failure {
            WatchFailure::ConnectFailed => (RETRY_INTERVAL, None),
            WatchFailure::Rejected { retry_after } => (
                (WATCH_COST * self.senders.min(MAX_COUNTED_SENDERS)).max(RETRY_INTERVAL),
                retry_after,
            ),
        };
        let most = MAX_REQUEST_INTERVAL
            .saturating_sub(now - self.requested_at)
            .max(MIN_ALLOWED_BACKOFF);
        let retry_after = retry_after.unwrap_or_default().min(most / 2);
        let mean = first * (1 << self.failures.min(8)).min(MAX_BACKOFF_FACTOR);
        let mean = mean.min((most - retry_after).div_f64(MAX_JITTER));
        self.failures += 1;
        let max_backoff = if self.max_backoff.is_zero() {
            Duration::MAX
        } else {
            self.max_backoff.max(RETRY_INTERVAL)
        };
        let jitter = 0.5 + (MAX_JITTER - 0.5) * self.rng.f64();
        let pause = mean.mul_f64(jitter).min(max_backoff) + retry_after;
        self.due = Some(now + pause);
        pause
    }

    /// Discovery is at another address from now on: its whole list is requested at once, since its versions need not continue the
    /// old one's, and failures of the old one say nothing about it.
    pub fn on_moved(&mut self, now: Time) {
        (self.whole, self.due, self.failures) = (true, Some(now), 0);
    }
}

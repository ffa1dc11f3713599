//! Health of one route: detects outages, which the window alone cannot distinguish from overload.
//!
//! Consecutive failures start an outage. Probe calls with exponential backoff detect its end, and a slow start follows.

use std::time::Duration;

use crate::api::{Rules, Time};

/// Consecutive failures that indicate an outage: one or two happen by chance.
const OUTAGE_FAILURES: u32 = 3;
/// Consecutive failures that indicate an outage during a slow start, when a new one is likelier.
const SLOW_START_OUTAGE_FAILURES: u32 = 2;
/// Minimum pause before a probe call.
pub(crate) const MIN_PROBE_PAUSE: Duration = Duration::from_millis(400);
/// Maximum pause before a probe call; pauses double up to this.
pub(crate) const MAX_PROBE_PAUSE: Duration = Duration::from_millis(1600);
/// Maximum number of times that a pause is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Minimum of [`longest_limit_span`].
const MIN_LIMIT_SPAN: Duration = Duration::from_secs(2);

/// The longest time for which a rate limit can cause rejections. Rejections and Retry-After waits that last longer indicate an
/// outage.
pub(crate) fn longest_limit_span(rules: &Rules) -> Duration {
    rules.overload_duration.max(MIN_LIMIT_SPAN)
}

/// The pause after a number of consecutive failures. Not bounded by [`MAX_PROBE_PAUSE`].
pub(crate) fn backoff_pause(failures: u32) -> Duration {
    MIN_PROBE_PAUSE * (1 << failures.min(MAX_PAUSE_DOUBLINGS))
}

/// Evidence about a route's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// A call or health check was served.
    Success,
    /// A call or health check failed.
    Failure,
    /// A call or health check was rejected because of overload.
    Overload,
}

/// Whether a route is in an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// In service: only window and token bucket limit the calls.
    #[default]
    Up,
    /// In an outage: one probe call at a time.
    Down {
        /// Earliest time of the next probe call.
        next_probe: Time,
        /// Signals other than a success since the outage began; determines the pause.
        backoff_step: u32,
    },
    /// In the slow start after an outage.
    WarmingUp {
        /// When the outage ended.
        since: Time,
    },
}

/// Health of one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    state: HealthState,
    consecutive_failures: u32,
    overloaded_since: Option<Time>,
}

impl Health {
    /// Whether the route is in an outage, in a slow start or in service.
    pub(crate) fn state(&self) -> HealthState {
        self.state
    }

    /// Whether the route is in an outage.
    pub(crate) fn is_down(&self) -> bool {
        matches!(self.state, HealthState::Down { .. })
    }

    /// Records a signal; true if it ends an outage. `min_pause` is the minimum pause before a probe call; pauses are multiplied
    /// by `jitter`.
    pub(crate) fn record(
        &mut self,
        now: Time,
        signal: HealthSignal,
        rules: &Rules,
        min_pause: Duration,
        jitter: f64,
    ) -> bool {
        match signal {
            HealthSignal::Success => {
                self.consecutive_failures = 0;
                self.overloaded_since = None;
                if self.is_down() {
                    self.state = HealthState::WarmingUp { since: now };
                    return true;
                }
            }
            HealthSignal::Failure => self.consecutive_failures += 1,
            // Rejections indicate overload, unless they continue without a success for longer than a rate limit explains.
            HealthSignal::Overload => {
                let since = *self.overloaded_since.get_or_insert(now);
                if now - since > longest_limit_span(rules) {
                    self.consecutive_failures += 1;
                }
            }
        }
        if let Some(backoff_step) = self.next_backoff_step() {
            let pause = backoff_pause(backoff_step)
                .min(MAX_PROBE_PAUSE)
                .max(min_pause);
            self.state = HealthState::Down {
                next_probe: now + pause.mul_f64(jitter),
                backoff_step,
            };
        }
        false
    }

    /// The backoff step after the latest signal; `None` without an outage.
    fn next_backoff_step(&self) -> Option<u32> {
        match self.state {
            HealthState::Up => (self.consecutive_failures >= OUTAGE_FAILURES).then_some(0),
            HealthState::WarmingUp { .. } => {
                (self.consecutive_failures >= SLOW_START_OUTAGE_FAILURES).then_some(0)
            }
            HealthState::Down { backoff_step, .. } => Some(backoff_step + 1),
        }
    }

    /// When the next probe call may be sent; `None` without an outage.
    pub(crate) fn next_probe(&self) -> Option<Time> {
        match self.state {
            HealthState::Down { next_probe, .. } => Some(next_probe),
            HealthState::Up | HealthState::WarmingUp { .. } => None,
        }
    }

    /// Allows a probe call at `now`, if there is an outage.
    pub(crate) fn allow_probe(&mut self, now: Time) {
        if let HealthState::Down { next_probe, .. } = &mut self.state {
            *next_probe = now;
        }
    }

    /// Starts an outage, with the first probe call at `next_probe`.
    pub(crate) fn mark_down(&mut self, next_probe: Time) {
        self.state = HealthState::Down {
            next_probe,
            backoff_step: 0,
        };
    }

    /// Sets the state to a slow start that began at `since`.
    pub(crate) fn mark_warming_up(&mut self, since: Time) {
        self.state = HealthState::WarmingUp { since };
    }

    /// Ends a slow start that has lasted for `duration` or longer.
    pub(crate) fn end_slow_start(&mut self, now: Time, duration: Duration) {
        if let HealthState::WarmingUp { since } = self.state
            && now - since >= duration
        {
            self.state = HealthState::Up;
        }
    }
}

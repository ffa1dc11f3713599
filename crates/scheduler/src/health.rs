//! Health of one route, apart from its load: detects outages, which the window alone takes for overload.
//!
//! Failures in a row eject the route; probe calls with exponential backoff find its return, and a slow start follows.

use std::time::Duration;

use crate::api::{Rules, Time};

/// Failures in a row, with no success between them, that mean an outage: one or two happen by chance.
const OUTAGE_FAILURES: u32 = 3;
/// The same during a slow start, when a new outage is likelier.
const SLOW_START_OUTAGE_FAILURES: u32 = 2;
/// The first pause before a probe call.
pub(crate) const MIN_PROBE_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause before a probe call; pauses double up to this.
pub(crate) const MAX_PROBE_PAUSE: Duration = Duration::from_millis(1600);
/// Pauses are doubled this often at most.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Rejections and Retry-After waits longer than a limit's span, and at least than this, mean an outage.
const MIN_LIMIT_SPAN: Duration = Duration::from_secs(2);

/// The longest span of a limit: rejections and Retry-After waits beyond it mean an outage.
pub(crate) fn longest_limit_span(rules: &Rules) -> Duration {
    rules.fall.max(MIN_LIMIT_SPAN)
}

/// The pause after this number of failures in a row, not bounded by [`MAX_PROBE_PAUSE`].
pub(crate) fn backoff_pause(failures: u32) -> Duration {
    MIN_PROBE_PAUSE * (1 << failures.min(MAX_PAUSE_DOUBLINGS))
}

/// Evidence about a route's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// A call was served.
    Success,
    /// A call failed.
    Failure,
    /// A call was rejected for overload.
    Overload,
}

/// Whether a route is in an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// In service: the window alone decides.
    #[default]
    Up,
    /// In an outage: one probe call at a time.
    Down {
        /// No probe call before this.
        next_probe: Time,
        /// Number of probe calls that failed.
        backoff_step: u32,
    },
    /// Returned from an outage: a slow start.
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
    /// The present state.
    pub(crate) fn state(&self) -> HealthState {
        self.state
    }

    /// Whether the route is in an outage.
    pub(crate) fn is_down(&self) -> bool {
        matches!(self.state, HealthState::Down { .. })
    }

    /// Records a signal; true if it ends an outage. `min_pause` is the shortest pause before a probe call, and `jitter` a
    /// factor around one.
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
            // Rejections are load, until only they have come for longer than any limit's span: then it is an outage.
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

    /// The step of the backoff that the signals so far ask for; none where there is no outage.
    fn next_backoff_step(&self) -> Option<u32> {
        match self.state {
            HealthState::Up => (self.consecutive_failures >= OUTAGE_FAILURES).then_some(0),
            HealthState::WarmingUp { .. } => {
                (self.consecutive_failures >= SLOW_START_OUTAGE_FAILURES).then_some(0)
            }
            HealthState::Down { backoff_step, .. } => Some(backoff_step + 1),
        }
    }

    /// In an outage, when the next probe call may be sent.
    pub(crate) fn next_probe(&self) -> Option<Time> {
        match self.state {
            HealthState::Down { next_probe, .. } => Some(next_probe),
            HealthState::Up | HealthState::WarmingUp { .. } => None,
        }
    }

    /// In an outage, allows a probe call from `now` on.
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

    /// Continues a slow start that began at `since`.
    pub(crate) fn mark_warming_up(&mut self, since: Time) {
        self.state = HealthState::WarmingUp { since };
    }

    /// Ends a slow start that has lasted for `slow_start`.
    pub(crate) fn end_slow_start(&mut self, now: Time, slow_start: Duration) {
        if let HealthState::WarmingUp { since } = self.state
            && now - since >= slow_start
        {
            self.state = HealthState::Up;
        }
    }
}

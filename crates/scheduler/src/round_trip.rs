//! Round-trip times of one class at one route, and the time-outs derived from them (RFC 6298, section 2).

use std::time::Duration;

use crate::api::{Class, Effect, Time};

/// Gain of the mean deviation (beta of RFC 6298).
const DEVIATION_GAIN: f64 = 0.25;
/// Gain of the mean (alpha of RFC 6298).
const MEAN_GAIN: f64 = 0.125;
/// Deviations above the mean beyond which a call is overdue (K of RFC 6298).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// A route is slow once its mean exceeds its lowest mean by this factor.
const SLOW_FACTOR: f64 = 1.5;
/// Without a sample, the usual time is the latency objective divided by this.
const UNSAMPLED_DIVISOR: f64 = 4.0;
/// A call is not overdue before the latency objective divided by this.
const MIN_OVERDUE_DIVISOR: f64 = 8.0;
/// A time-out as a multiple of the time after which a call is overdue.
const TIMEOUT_MULTIPLE: f64 = 2.0;
/// An unsafe message that times out is lost: its time-out is the usual one, or the latency objective, times this.
const UNSAFE_MULTIPLE: f64 = 2.0;
/// Time-outs are doubled this often at most.
const MAX_DOUBLINGS: u32 = 4;

/// Expected times of a call, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    /// The usual time.
    pub(crate) usual: f64,
    /// The time beyond which a call is overdue.
    pub(crate) overdue: f64,
}

/// Smoothed round-trip time and deviation, in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoundTripEstimator {
    mean: f64,
    deviation: f64,
    /// The lowest mean so far: the time of an unloaded call.
    lowest_mean: f64,
    sampled: bool,
    doublings: u32,
    doubled_at: Option<Time>,
}

impl RoundTripEstimator {
    /// Records the round-trip time of an answered call, in seconds.
    pub(crate) fn record_sample(&mut self, took: f64) {
        if self.sampled {
            self.deviation += DEVIATION_GAIN * ((took - self.mean).abs() - self.deviation);
            self.mean += MEAN_GAIN * (took - self.mean);
        } else {
            self.mean = took;
            self.deviation = took / 2.0;
            self.lowest_mean = took;
            self.sampled = true;
        }
        self.lowest_mean = self.lowest_mean.min(self.mean);
        self.doublings = 0;
    }

    /// Records a time-out. Calls that were in flight together count once: only one sent since the last doubling is
    /// new evidence.
    pub(crate) fn record_timeout(&mut self, sent: Time, now: Time) {
        if self.doubled_at.is_none_or(|doubled_at| sent >= doubled_at) {
            self.doublings += 1;
            self.doubled_at = Some(now);
        }
    }

    /// Whether calls take clearly longer than at the route's best.
    pub(crate) fn is_slow(&self) -> bool {
        self.sampled && self.mean > SLOW_FACTOR * self.lowest_mean
    }

    /// The expected times of a call; before the first sample they follow from the latency objective.
    pub(crate) fn call_times(&self, latency_objective: Duration) -> CallTimes {
        let objective = latency_objective.as_secs_f64();
        if !self.sampled {
            return CallTimes {
                usual: objective / UNSAMPLED_DIVISOR,
                overdue: objective,
            };
        }
        let overdue = self.mean + OVERDUE_DEVIATIONS * self.deviation;
        CallTimes {
            usual: self.mean,
            overdue: overdue.max(objective / MIN_OVERDUE_DIVISOR),
        }
    }

    /// Time-out of an attempt: generous beyond overdue and doubled after each time-out, so that neither a hang nor a
    /// lost answer occupies slots for whole deadlines. That of an unsafe message is far beyond both the times seen so
    /// far and the latency objective, since its time-out cannot be repaired by a retry.
    pub(crate) fn attempt_timeout(&self, class: &Class) -> Duration {
        let doubled = f64::from(1u32 << self.doublings.min(MAX_DOUBLINGS));
        let overdue = self.call_times(class.latency_objective).overdue;
        let usual = TIMEOUT_MULTIPLE * overdue * doubled;
        let timeout = match class.effect {
            Effect::Safe | Effect::Idempotent => usual,
            Effect::Unsafe => {
                let objective = class.latency_objective.as_secs_f64();
                (UNSAFE_MULTIPLE * usual).max(UNSAFE_MULTIPLE * objective)
            }
        };
        Duration::from_secs_f64(timeout)
    }
}

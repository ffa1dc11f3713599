//! Round-trip times of one class at one route, and the time-outs derived from them (RFC 6298, section 2).

use std::time::Duration;

use crate::api::{Class, Effect, Time};

/// Gain of the mean deviation (beta of RFC 6298).
const DEVIATION_GAIN: f64 = 0.25;
/// Gain of the mean (alpha of RFC 6298).
const MEAN_GAIN: f64 = 0.125;
/// A call is overdue when it takes longer than the mean by this many deviations (K of RFC 6298).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// A route is slow while its mean exceeds its lowest mean by this factor.
const SLOW_FACTOR: f64 = 1.5;
/// Without a sample, the usual time is the latency objective divided by this.
const UNSAMPLED_DIVISOR: f64 = 4.0;
/// The overdue time is at least the latency objective divided by this.
const MIN_OVERDUE_DIVISOR: f64 = 8.0;
/// Time-out as a multiple of the overdue time.
const TIMEOUT_MULTIPLE: f64 = 2.0;
/// Time-out of an unsafe message as a multiple of the usual time-out or of the latency objective, whichever is longer. It is
/// longer than for other messages, since an unsafe message cannot be retried after a time-out.
const UNSAFE_MULTIPLE: f64 = 2.0;
/// Maximum number of times that a time-out is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Expected times of a call, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    /// The usual time from sending a call to its answer.
    pub(crate) usual: f64,
    /// The time after which an unanswered call is overdue.
    pub(crate) overdue: f64,
}

/// Smoothed round-trip time and deviation, in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoundTripEstimator {
    mean: f64,
    deviation: f64,
    /// The lowest mean so far, which approximates the time of a call without load.
    lowest_mean: f64,
    /// Whether a round-trip time was recorded.
    sampled: bool,
    /// Time-outs counted since the latest sample.
    doublings: u32,
    doubled_at: Option<Time>,
}

impl RoundTripEstimator {
    /// Records the round-trip time of an answered call, in seconds.
    pub(crate) fn record_sample(&mut self, round_trip: f64) {
        if self.sampled {
            self.deviation += DEVIATION_GAIN * ((round_trip - self.mean).abs() - self.deviation);
            self.mean += MEAN_GAIN * (round_trip - self.mean);
        } else {
            self.mean = round_trip;
            self.deviation = round_trip / 2.0;
            self.lowest_mean = round_trip;
            self.sampled = true;
        }
        self.lowest_mean = self.lowest_mean.min(self.mean);
        self.doublings = 0;
    }

    /// Records a time-out. Time-outs of calls that were in flight together count once: only a call sent after the last doubling
    /// causes another one.
    pub(crate) fn record_timeout(&mut self, sent_at: Time, now: Time) {
        if self
            .doubled_at
            .is_none_or(|doubled_at| sent_at >= doubled_at)
        {
            self.doublings += 1;
            self.doubled_at = Some(now);
        }
    }

    /// Whether the mean round-trip time exceeds the lowest mean by [`SLOW_FACTOR`].
    pub(crate) fn is_slow(&self) -> bool {
        self.sampled && self.mean > SLOW_FACTOR * self.lowest_mean
    }

    /// The expected times of a call. Before the first sample they are derived from the latency objective.
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

    /// Time-out of an attempt: a multiple of the overdue time, doubled after each time-out. It is far shorter than a deadline,
    /// so that a hanging call or a lost answer does not occupy a slot until then. The time-out of an unsafe message is longer
    /// than both the observed times and the latency objective, since it cannot be retried after a time-out.
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

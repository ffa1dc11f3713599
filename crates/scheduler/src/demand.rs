//! Estimates this sender's share of a route's traffic, and stores the route's listed and reported limits.

use std::time::Duration;

use crate::api::{Rules, Time};

/// Time constant of the exponential average, in seconds.
const AVERAGING_SECONDS: f64 = 40.0;
/// Minimum rate for computing a pause, in calls a second, so that the pause stays finite.
const MIN_PAUSE_RATE: f64 = 1e-3;

/// Estimates the rate of messages accepted for one route, as an exponential average. The estimate is unbiased however few
/// messages there are: the sum over all senders is the route's traffic.
#[derive(Clone, Debug)]
pub(crate) struct DemandEstimator {
    /// Exponentially decayed count of messages, as of `updated_at`.
    count: f64,
    counted_since: Time,
    updated_at: Time,
    /// The offered rate when a call was last served; infinite before the first.
    served_rate: f64,
    /// One divided by the number of the destination's listed routes.
    route_share: f64,
    /// The limit in the endpoint list, in calls a second for all senders together; approximate.
    listed_limit: f64,
    /// The most recently reported limit, in calls a second for all senders together.
    reported_limit: Option<f64>,
}

/// Fraction of a count that remains in the average after `elapsed`.
fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / AVERAGING_SECONDS).exp()
}

impl DemandEstimator {
    /// An estimator without messages or limits.
    pub(crate) fn new(now: Time) -> DemandEstimator {
        DemandEstimator {
            count: 0.0,
            counted_since: now,
            updated_at: now,
            served_rate: f64::INFINITY,
            route_share: 1.0,
            listed_limit: f64::INFINITY,
            reported_limit: None,
        }
    }

    /// Records an accepted message. It counts as `route_share` of a message for this route.
    pub(crate) fn record_message(&mut self, now: Time, route_share: f64) {
        self.count = self.count * decay_factor(now - self.updated_at) + route_share;
        self.updated_at = now;
        self.route_share = route_share;
    }

    /// Extends the period over which messages were counted back to `since`.
    pub(crate) fn extend_back_to(&mut self, since: Time) {
        self.counted_since = self.counted_since.min(since);
    }

    /// Records that a call was served: [`DemandEstimator::rate`] is capped by the present offered rate from now on.
    pub(crate) fn record_served(&mut self, now: Time) {
        self.served_rate = self.offered_rate(now);
    }

    /// Messages a second, capped by the offered rate when a call was last served, so that a burst to a failed route does not
    /// raise it.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        self.offered_rate(now).min(self.served_rate)
    }

    /// Messages a second, corrected for a counting period that is short compared with the time constant.
    fn offered_rate(&self, now: Time) -> f64 {
        let observed_share = 1.0 - decay_factor(now - self.counted_since + Duration::from_secs(1));
        self.count * decay_factor(now - self.updated_at) / (AVERAGING_SECONDS * observed_share)
    }

    /// Mean time between calls at this sender's share of the rate that a route accepts when a slow start begins. At most
    /// `rules.warm_up`, divided by this route's share of the destination's messages.
    pub(crate) fn slow_start_gap(&self, now: Time, rules: &Rules) -> Duration {
        let rate = rules.overload_multiple * rules.initial_capacity * self.rate(now);
        let gap = 1.0 / rate.max(MIN_PAUSE_RATE);
        Duration::from_secs_f64(gap.min(rules.warm_up.as_secs_f64() / self.route_share))
    }

    /// The limit in the endpoint list, in calls a second; infinite if there is none.
    pub(crate) fn listed_limit(&self) -> f64 {
        self.listed_limit
    }

    /// Sets the limit in the endpoint list, in calls a second.
    pub(crate) fn set_listed_limit(&mut self, limit: f64) {
        self.listed_limit = limit;
    }

    /// The most recently reported limit, in calls a second: infinite if an answer reported no limit, `None` without a report.
    pub(crate) fn reported_limit(&self) -> Option<f64> {
        self.reported_limit
    }

    /// Records a reported limit, in calls a second; 0 means no limit.
    pub(crate) fn record_reported_limit(&mut self, limit: f64) {
        let limit = if limit > 0.0 { limit } else { f64::INFINITY };
        self.reported_limit = Some(limit);
    }

    /// Restores a limit that was reported to another process, unless one was reported to this process.
    pub(crate) fn restore_reported_limit(&mut self, limit: Option<f64>) {
        if self.reported_limit.is_none() {
            self.reported_limit = limit;
        }
    }
}

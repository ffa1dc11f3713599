//! Estimates this sender's part of a route's traffic, and keeps the limits that the route has stated.

use std::time::Duration;

use crate::api::{Rules, Time};

/// Time constant of the exponential average, in seconds.
const AVERAGING_SECONDS: f64 = 40.0;
/// The lowest rate that a pause is computed from, in calls a second, so that the pause stays finite.
const MIN_PAUSE_RATE: f64 = 1e-3;

/// The rate of messages accepted for one route, as an exponential average. However few they are, the estimate is unbiased:
/// the sum over all senders is the route's traffic.
#[derive(Clone, Debug)]
pub(crate) struct DemandEstimator {
    count: f64,
    counted_since: Time,
    updated_at: Time,
    /// The offered rate when a call was last served.
    served_rate: f64,
    /// One divided by the number of the destination's routes.
    route_share: f64,
    /// The limit stated in the endpoint list, perhaps rough, in calls a second for all senders together.
    listed_limit: f64,
    /// The limit that an answer reported last, in calls a second for all senders together.
    reported_limit: Option<f64>,
}

/// Share of a count that remains in the average after a time.
fn remaining_share(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / AVERAGING_SECONDS).exp()
}

impl DemandEstimator {
    /// An estimator that has seen nothing.
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

    /// Records an accepted message, of which this route counts `route_share`.
    pub(crate) fn record_message(&mut self, now: Time, route_share: f64) {
        self.count = self.count * remaining_share(now - self.updated_at) + route_share;
        self.updated_at = now;
        self.route_share = route_share;
    }

    /// Extends the time over which the messages are counted back to `since`.
    pub(crate) fn extend_back_to(&mut self, since: Time) {
        self.counted_since = self.counted_since.min(since);
    }

    /// Records that a call was served, so that the present demand counts as proven.
    pub(crate) fn record_served(&mut self, now: Time) {
        self.served_rate = self.offered_rate(now);
    }

    /// Messages a second, capped by the rate at the last served call, so that a burst to a failed route does not raise it.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        self.offered_rate(now).min(self.served_rate)
    }

    fn offered_rate(&self, now: Time) -> f64 {
        let known = 1.0 - remaining_share(now - self.counted_since + Duration::from_secs(1));
        self.count * remaining_share(now - self.updated_at) / (AVERAGING_SECONDS * known)
    }

    /// Mean time between calls at this sender's part of what a route accepts at the start of a slow start; at most
    /// `rules.cold` over all routes of the destination.
    pub(crate) fn slow_start_gap(&self, now: Time, rules: &Rules) -> Duration {
        let rate = rules.fall_multiple * rules.cold_from * self.rate(now);
        let gap = 1.0 / rate.max(MIN_PAUSE_RATE);
        Duration::from_secs_f64(gap.min(rules.cold.as_secs_f64() / self.route_share))
    }

    /// The limit stated in the endpoint list; infinite where there is none.
    pub(crate) fn listed_limit(&self) -> f64 {
        self.listed_limit
    }

    /// Sets the limit stated in the endpoint list.
    pub(crate) fn set_listed_limit(&mut self, limit: f64) {
        self.listed_limit = limit;
    }

    /// The limit reported last; infinite where an answer reported that there is none.
    pub(crate) fn reported_limit(&self) -> Option<f64> {
        self.reported_limit
    }

    /// Records a limit that an answer reported; 0 stands for no limit.
    pub(crate) fn record_reported_limit(&mut self, limit: f64) {
        let limit = if limit > 0.0 { limit } else { f64::INFINITY };
        self.reported_limit = Some(limit);
    }

    /// Takes over a limit that another process learned, unless an answer has reported one here.
    pub(crate) fn restore_reported_limit(&mut self, limit: Option<f64>) {
        if self.reported_limit.is_none() {
            self.reported_limit = limit;
        }
    }
}

//! Slow start: limits the rate of calls to a route after an outage, while the destination has only a part of its capacity.

use std::time::Duration;

use crate::api::Rules;

/// Fraction of the load at which a destination fails ([`Rules::overload_multiple`]) that all senders together aim at.
const BUDGET_SHARE: f64 = 0.8;
/// Lower bound of durations that are used as a divisor, in seconds, since they may be zero in the settings.
pub(crate) const MIN_SPAN_SECONDS: f64 = 1e-9;

/// The rate for one sender, in calls a second, `elapsed` after the end of the outage. `quota` is the sender's quota of the
/// destination's full capacity, in calls a second.
pub(crate) fn slow_start_rate(rules: &Rules, elapsed: Duration, quota: f64) -> f64 {
    let progress = elapsed.as_secs_f64() / rules.warm_up.as_secs_f64().max(MIN_SPAN_SECONDS);
    let present_capacity =
        rules.initial_capacity + (1.0 - rules.initial_capacity) * progress.min(1.0);
    BUDGET_SHARE * rules.overload_multiple * present_capacity * quota
}

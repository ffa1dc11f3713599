//! The rate of calls to a route that has returned from an outage and can serve only a part of its capacity yet.

use std::time::Duration;

use crate::api::Rules;

/// Share of the rule's multiple of present capacity that all senders together aim at.
const BUDGET_SHARE: f64 = 0.8;
/// The shortest span that a rate is divided by, in seconds.
pub(crate) const MIN_SPAN_SECONDS: f64 = 1e-9;

/// Calls a second for one sender, `elapsed` after the return, where `quota` is its rate at full capacity.
pub(crate) fn slow_start_rate(rules: &Rules, elapsed: Duration, quota: f64) -> f64 {
    let warmed = elapsed.as_secs_f64() / rules.cold.as_secs_f64().max(MIN_SPAN_SECONDS);
    let present_capacity = rules.cold_from + (1.0 - rules.cold_from) * warmed.min(1.0);
    BUDGET_SHARE * rules.fall_multiple * present_capacity * quota
}

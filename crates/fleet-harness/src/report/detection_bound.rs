//! The bound on the detection of a crash.

use std::time::Duration;

use cranehill_scenario_runner::Plan;

/// Periods from a crash until some member probes the crashed one, but for a chance of e^-7 (7); of the probe (1); and of the
/// gossip (2).
const DETECTION_PERIODS: f64 = 10.0;
/// Rounds of all members within which the others are probed where many crash at once.
const PROBE_ROUNDS: f64 = 2.0;
/// A suspicion lasts this many periods, and more from ten members on.
const SUSPICION_PERIODS: u32 = 4;

/// The longest time from a crash until every member knows of it.
pub(super) fn detection_bound(plan: &Plan) -> Duration {
    let Some(fleet) = &plan.scenario.fleet else {
        return Duration::ZERO;
    };
    let count = plan.scenario.members();
    let most_removed = plan
        .scenario
        .scheduled_actions
        .iter()
        .map(|action| action.senders.len())
        .max()
        .unwrap_or(0)
        .min(count.saturating_sub(1));
    let rounds = PROBE_ROUNDS * count as f64 / (count - most_removed).max(1) as f64;
    let scale = (count as f64).log10().max(1.0);
    let suspicion = fleet
        .suspicion
        .unwrap_or((fleet.period * SUSPICION_PERIODS).mul_f64(scale));
    fleet.period.mul_f64(DETECTION_PERIODS + rounds) + suspicion
}

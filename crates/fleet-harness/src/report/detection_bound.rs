//! The bound on the detection of a crash.

use std::time::Duration;

use cranehill_scenario_runner::Plan;

/// Periods until a crash is suspected and known to all: 7 until some member probes the crashed one, except with a probability
/// of e^-7; 1 for the probe; 2 for the gossip.
const DETECTION_PERIODS: f64 = 10.0;
/// Number of passes of the probes over the member list until all crashed members are probed, if many crash simultaneously.
const PROBE_ROUNDS: f64 = 2.0;
/// Default duration of a suspicion in periods. It grows with the logarithm of the fleet size from ten members on.
const SUSPICION_PERIODS: u32 = 4;

/// The longest time allowed from a crash until every member considers the crashed one down; zero without a fleet.
pub(super) fn detection_bound(plan: &Plan) -> Duration {
    let Some(fleet) = &plan.scenario.fleet else {
        return Duration::ZERO;
    };
    let members = plan.scenario.members();
    let max_killed = plan
        .scenario
        .scheduled_actions
        .iter()
        .map(|action| action.senders.len())
        .max()
        .unwrap_or(0)
        .min(members.saturating_sub(1));
    let rounds = PROBE_ROUNDS * members as f64 / (members - max_killed).max(1) as f64;
    let scale = (members as f64).log10().max(1.0);
    let suspicion = fleet
        .suspicion
        .unwrap_or((fleet.period * SUSPICION_PERIODS).mul_f64(scale));
    fleet.period.mul_f64(DETECTION_PERIODS + rounds) + suspicion
}

//! Plays scenarios with many real senders that are members of one fleet, and a relay on every path between them and to the
//! destinations. Network faults are in the scenario's file (`[[break]]`); their draws depend on the seed.
//!
//! Start at [`play`] and [`Report`]. The simulated servers, the processes and the auditor are `cranehill_scenario_runner`'s.

mod histograms;
mod invalid_settings;
mod network;
mod path_faults;
pub mod relay;
mod report;
mod returns;
mod scenarios;
mod shares;
pub mod simulated;
mod simulated_costs;
pub mod sweep;
mod timeline;
mod units;
mod zones;

use std::time::Duration;

use cranehill_scenario_runner::{Outcome, Plan, RunError, play_through};

use crate::network::HarnessNetwork;

pub use invalid_settings::InvalidSettings;
pub use network::FleetTraffic;
pub use relay::{Passed, Relay};
pub use report::{Part, Report, table, write};
pub use returns::{Peak, Returns};
pub use scenarios::{SCENARIOS, scenario};
pub use simulated_costs::SimulatedFleetCosts;
pub use timeline::{StateChange, Timeline};
pub use zones::Outage;

/// Plays a scenario through relays, with its simulated members. `progress` is called with the time that has passed and the latest
/// end.
///
/// # Errors
/// A sender or a simulated member does not start, or a socket fails.
pub fn play(
    plan: &Plan,
    progress: impl FnMut(Duration, Duration),
) -> Result<(Outcome, FleetTraffic), RunError> {
    let mut network = HarnessNetwork::start(plan)?;
    let outcome = play_through(plan, &mut network, progress)?;
    Ok((outcome, network.end()?))
}

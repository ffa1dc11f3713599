//! Runs scenarios with many real senders that are members of one fleet. A relay on every path between them and to the
//! destinations applies the network faults of the scenario's file (`[[break]]`). Their random draws depend on the seed.
//!
//! Start at [`play`] and [`Report`]. The simulated servers, the processes and the auditor are `cranehill_scenario_runner`'s.

mod histograms;
mod invalid_settings;
mod network;
mod path_faults;
pub mod relay;
mod report;
mod restarts;
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
pub use relay::{Relay, RelayTraffic};
pub use report::{CutSideLoad, Report, table, write};
pub use restarts::{DestinationPeak, Restarts};
pub use scenarios::{SCENARIOS, scenario};
pub use simulated_costs::SimulatedFleetCosts;
pub use timeline::{StateChange, Timeline};
pub use zones::Outage;

/// Runs a scenario through a relay, with its simulated members. `progress` is called with the elapsed time and the latest time
/// at which the run ends.
///
/// # Errors
/// A sender or a simulated member can't be started, or a socket operation fails.
pub fn play(
    plan: &Plan,
    progress: impl FnMut(Duration, Duration),
) -> Result<(Outcome, FleetTraffic), RunError> {
    let mut network = HarnessNetwork::start(plan)?;
    let outcome = play_through(plan, &mut network, progress)?;
    Ok((outcome, network.end()?))
}

//! The rig: a day played by many real senders that know each other, with a relay on every way network them and to the
//! destinations. What breaks is in the day's file (`[[break]]`), drawn by the seed.
//!
//! Start at [`play`] and [`Report`]. The simulated servers, the processes and the auditor are `cranehill_scenario_runner`'s.
#![forbid(unsafe_code)]

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
mod zones;

use std::time::Duration;

use cranehill_scenario_runner::{Outcome, Plan, RunError, play_through};
use hdrhistogram::Histogram;

use crate::network::RigNetwork;

pub use network::FleetTraffic;
pub use relay::{Passed, Relay};
pub use report::{Report, table, write};
pub use returns::{Peak, Returns};
pub use scenarios::{SCENARIOS, scenario};
pub use simulated_costs::SimulatedFleetCosts;
pub use timeline::{StateChange, Timeline};
pub use zones::Outage;

/// Milliseconds, up to an hour, to three digits.
fn histogram() -> Histogram<u64> {
    // These bounds are constants that the library takes.
    Histogram::new_with_bounds(1, 3_600_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

/// Plays a day through relays, with the simulated members that it has beside its senders; `progress` hears of the time that has passed, and of how long the day may last.
pub fn play(
    plan: &Plan,
    progress: impl FnMut(Duration, Duration),
) -> Result<(Outcome, FleetTraffic), RunError> {
    let mut network = RigNetwork::start(plan)?;
    let outcome = play_through(plan, &mut network, progress)?;
    Ok((outcome, network.end()?))
}

//! Simulated members: many in one process, each with the real reducer, real decisions and real membership, and without clients,
//! destinations or a journal. They measure the cost of membership and the agreement of views in fleets that are too large for
//! one real process per member on one machine.
//!
//! Start at [`play`], [`SimulatedFleetPlan`] and [`SimulatedFleetFigures`]. A member is the reducer without I/O. The engine
//! runs members on a network, which is simulated or made of UDP sockets. The observer compares the members' reports with the
//! starts, stops and faults of the run.

mod engine;
mod figures;
mod fleet;
mod member;
mod observer;
mod phases;
mod plan;
mod script;
mod setup;
mod traffic;
mod udp;
pub(crate) mod usage;
mod virtual_time;

pub use figures::{SimulatedFleetFigures, Spread};
pub use fleet::{SimulatedFleet, SimulatedFleetRun};
pub use member::Seen;
pub use observer::{MemberEvent, Observation, Observer};
pub use phases::START_TIMEOUT;
pub use plan::{
    Conditions, Disturbance, MAX_MEMBERS, MIN_MEMBERS, SimulatedFleetError, SimulatedFleetPlan,
    Timing, Transport, ZONES,
};
pub use script::RESTART_DELAY;

/// Runs a fleet that consists of simulated members alone, and returns its figures.
///
/// # Errors
/// The plan is not valid, or a socket operation fails.
pub fn play(plan: &SimulatedFleetPlan) -> Result<SimulatedFleetFigures, SimulatedFleetError> {
    plan.check()?;
    match plan.transport {
        Transport::Udp => udp::play(plan),
        Transport::Virtual => virtual_time::play(plan),
    }
}

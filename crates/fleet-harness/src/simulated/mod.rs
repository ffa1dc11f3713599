//! Simulated members: many in one process, each with the real reducer, real decisions and real membership, and without
//! clients, destinations or a journal. What membership costs a sender, and whether it agrees, is measured with as many
//! members as real processes would not fit on one machine.
//!
//! Start at [`play`], [`SimulatedFleetPlan`] and [`SimulatedFleetFigures`]. A member is the reducer without I/O, the engine runs members
//! on a network, which is simulated or made of UDP sockets, and the observer compares the members' reports with what was done to
//! them.

mod course;
mod engine;
mod figures;
mod fleet;
mod member;
mod observer;
mod plan;
mod script;
mod setup;
mod traffic;
mod udp;
pub(crate) mod usage;
mod virtual_time;

pub use course::START_TIMEOUT;
pub use figures::{SimulatedFleetFigures, Spread};
pub use fleet::{SimulatedFleet, SimulatedFleetPlay};
pub use member::Seen;
pub use observer::{Observation, Observed, Observer};
pub use plan::{
    Conditions, Disturbance, MAX_MEMBERS, MIN_MEMBERS, SimulatedFleetError, SimulatedFleetPlan,
    Timing, Transport, ZONES,
};
pub use script::RESTART_DELAY;

/// Plays a fleet of simulated members alone.
///
/// # Errors
/// The plan is not valid, or a socket fails.
pub fn play(plan: &SimulatedFleetPlan) -> Result<SimulatedFleetFigures, SimulatedFleetError> {
    plan.check()?;
    match plan.transport {
        Transport::Udp => udp::play(plan),
        Transport::Virtual => virtual_time::play(plan),
    }
}

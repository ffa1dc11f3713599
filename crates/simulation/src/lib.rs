//! Models of what a sender meets: destinations, clients, discovery and faults; scenarios that combine them; and the
//! auditor that judges a recorded run against the operators' rules.
//!
//! Nothing here has a clock, socket, thread or file. Time is a [`Duration`](std::time::Duration) since the start of the
//! scenario, so that the same models are driven by sockets (`cranehill-scenario-runner`) and by virtual time
//! (`cranehill-core`'s tests).
//!
//! Start at [`SimulatedDestination`]: it is given a call at an instant and returns the reply and when it is due. [`fault`]
//! says what may go wrong and how overlapping faults combine; [`limit`] is what a destination admits.

pub mod audit;
pub mod clients;
pub mod destination;
pub mod directory;
pub mod fault;
pub mod fleet;
pub mod limit;
pub mod return_guard;
pub mod scenario;
mod time;

pub use destination::{Asked, Connect, Reply, SimulatedDestination, Spec};
pub use fault::{Fault, Kind, State};
pub use limit::{CallLimiter, Limit};

//! Models of a sender's surroundings: destinations, clients, discovery and faults; scenarios that combine them; and the
//! auditor that checks a recorded run against the operators' rules.
//!
//! Nothing here uses a clock, socket, thread or file. Time is a [`Duration`](std::time::Duration) since the start of the
//! scenario, so that the same models run over sockets (`cranehill-scenario-runner`) and in virtual time
//! (`cranehill-core`'s tests).
//!
//! Start at [`SimulatedDestination`]: it takes a call and its time of arrival, and returns the reply with the time at which
//! to send it. [`fault`] defines the kinds of faults and how overlapping ones combine; [`limit`] is the admission limit of a
//! destination.

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

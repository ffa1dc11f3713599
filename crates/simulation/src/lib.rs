//! What a sender meets, as models: no clock, socket, thread or file. Time is the span since the day began.
//!
//! Start at [`SimulatedDestination`]: it is asked at an instant and tells what comes back and when. [`fault`] says what may go wrong
//! and how overlapping faults compose; [`limit`] holds what a destination allows. The same code is driven by sockets (the
//! rehearsal kit) and by virtual time.
#![forbid(unsafe_code)]

pub mod audit;
pub mod clients;
pub mod destination;
pub mod directory;
pub mod fault;
pub mod fleet;
pub mod limit;
pub mod return_guard;
pub mod scenario;

pub use destination::{Asked, Connect, Reply, SimulatedDestination, Spec};
pub use fault::{Fault, Kind, State};
pub use limit::{Allowance, Limit};

//! Simulated destinations: admission limits, service times, faults and replies.

mod endpoint;
mod reply;
mod simulated;
mod spec;

pub use reply::{Asked, Connect, DeliveryOutcome, Fell, Reply, Spoilt};
pub use simulated::SimulatedDestination;
pub use spec::Spec;

//! Simulated destinations: what they admit, how fast they are, and what they reply.

mod endpoint;
mod reply;
mod simulated;
mod spec;

pub use reply::{Asked, Connect, DeliveryOutcome, Fell, Reply, Spoilt};
pub use simulated::SimulatedDestination;
pub use spec::Spec;

//! Plays scenarios on loopback: simulated destinations, directory, platform and clients in one event loop, scheduled faults,
//! real senders as processes, and the auditor's verdicts.
//!
//! [`play`] runs a [`Plan`] and returns its [`Outcome`]. `cranehill_simulation` defines the behaviour of the simulated servers; this
//! crate adds sockets, processes and the clock. All sockets are bound to addresses in 127.0.0.0/8.

mod error;
pub mod figures;
pub mod journal_damage;
pub mod measure;
pub mod mutations;
mod network;
mod outcome;
mod plan;
pub mod report;
pub mod report_files;
pub mod resource_usage;
mod runner;
mod senders;
pub mod timer_queue;
mod wire;

use std::net::SocketAddr;

use serde_json::Value;

pub use error::RunError;
pub use network::{Direct, Network};
pub use outcome::Outcome;
pub use plan::{Against, Limits, Plan};
pub use resource_usage::ResourceUsage;
pub use runner::{play, play_through};

/// The configuration file, as JSON, of a sender that is started by hand and then tested with [`Plan::against`].
///
/// The sender requests its endpoint list from `directory`; the configuration itself contains no endpoints.
pub fn node_config(plan: &Plan, directory: SocketAddr) -> String {
    let config = senders::configuration(&plan.scenario, 0, directory, &Value::Null, plan.limits);
    format!("{config:#}\n")
}

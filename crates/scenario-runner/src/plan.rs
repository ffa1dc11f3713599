//! The input of a run: a scenario, and the senders to test with it.

use std::net::SocketAddr;
use std::path::PathBuf;

use cranehill_simulation::scenario::Scenario;

/// A scenario to play, and the senders to test with it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The simulated servers, the load and the faults.
    pub scenario: Scenario,
    /// Seed of all random draws.
    pub seed: u64,
    /// Path of the sender's executable. Not used with [`against`](Plan::against).
    pub program: PathBuf,
    /// Resource limits of each sender.
    pub limits: Limits,
    /// Name of the mutation to activate; the executable must be a build with mutations.
    pub mutation: Option<String>,
    /// Test this running sender instead of starting processes.
    pub against: Option<Against>,
}

/// A running sender on this machine that the runner neither starts nor stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Against {
    /// Address at which the sender listens for RESP2 clients.
    pub clients: SocketAddr,
    /// Address from which the sender requests its endpoint list, and to which it sends final reports. The runner listens there.
    pub directory: SocketAddr,
}

/// Resource limits in a sender's configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: f64,
    /// Open sockets.
    pub sockets: usize,
    /// Disk space of the journal in MB.
    pub disk_mb: f64,
    /// Largest number of calls in flight; `None` derives it from the scenario's load.
    pub calls_out: Option<usize>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: 64.0,
            sockets: 512,
            disk_mb: 1.0,
            calls_out: None,
        }
    }
}

//! What to play.

use std::net::SocketAddr;
use std::path::PathBuf;

use cranehill_simulation::scenario::Scenario;

/// What to play, and with which senders.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The simulated servers, the load and the faults.
    pub scenario: Scenario,
    /// Seed of all random draws.
    pub seed: u64,
    /// The sender's program.
    pub program: PathBuf,
    /// Resources of each sender.
    pub limits: Limits,
    /// For builds with mutations: the one to play.
    pub mutation: Option<String>,
    /// A sender that runs already, in place of starting any.
    pub against: Option<Against>,
}

/// A sender that was started by somebody else, on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Against {
    /// Where it listens for clients.
    pub clients: SocketAddr,
    /// Where it requests its list of endpoints, and sends its final reports.
    pub directory: SocketAddr,
}

/// Resources that a sender has by its configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: f64,
    /// Open sockets.
    pub sockets: usize,
    /// Disk space of the journal in MB.
    pub disk_mb: f64,
    /// Calls in flight at once; `None` for what the scenario's load needs.
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

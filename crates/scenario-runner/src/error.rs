//! Errors of a run.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cranehill_simulation::scenario::ScenarioError;

/// Why a scenario could not be played. Violated rules are no errors: they are in the [`Outcome`](crate::Outcome).
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The program of a sender could not be started.
    #[error("{program}: {source}: is it built?")]
    Sender {
        /// The program.
        program: PathBuf,
        /// Why the system did not start it.
        source: io::Error,
    },
    /// A sender that was started by somebody else did not request its endpoint list.
    #[error(
        "the sender at {clients} did not request its list from {directory} in {} s: its configuration must name that directory \
         (--write-config writes one that fits the scenario)",
        waited.as_secs()
    )]
    NoListRequest {
        /// Where the sender listens for clients.
        clients: SocketAddr,
        /// Where the directory listens.
        directory: SocketAddr,
        /// How long the runner waited.
        waited: Duration,
    },
    /// A sender's process ended before the sender was ready.
    #[error(
        "sender {sender} did not start: {}",
        last_warning.as_deref().unwrap_or("its process ended without a warning")
    )]
    SenderExited {
        /// The sender.
        sender: usize,
        /// The last warning of its log.
        last_warning: Option<String>,
    },
    /// A sender was not ready in time.
    #[error("sender {sender} did not start: it was not ready within {} s", waited.as_secs())]
    SenderNotReady {
        /// The sender.
        sender: usize,
        /// How long the runner waited.
        waited: Duration,
    },
    /// The scenario of a measurement is not valid.
    #[error("the scenario of the measurement: {0}")]
    Scenario(ScenarioError),
    /// A socket, file or poll failed.
    #[error("sockets: {0}")]
    Io(#[from] io::Error),
}

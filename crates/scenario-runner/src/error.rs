//! Errors that prevent a scenario from being played.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cranehill_simulation::scenario::ScenarioError;

/// Why a scenario could not be played. A violated rule is not an error: the [`Outcome`](crate::Outcome) lists it.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The sender's executable could not be started.
    #[error("cannot start the sender program {program}: {source} (is it built?)")]
    Sender {
        /// Path of the executable.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A running sender ([`Against`](crate::Against)) did not request its endpoint list in time.
    #[error(
        "the sender at {clients} did not request its endpoint list from the directory at {directory} within {} s: its \
         configuration must name that directory (--write-config writes a configuration for the scenario)",
        waited.as_secs()
    )]
    NoListRequest {
        /// Address at which the sender listens for clients.
        clients: SocketAddr,
        /// Address at which the simulated directory listens.
        directory: SocketAddr,
        /// Time for which the runner waited.
        waited: Duration,
    },
    /// A sender's process exited before the sender was ready.
    #[error(
        "sender {sender} did not start: {}",
        last_warning.as_deref().unwrap_or("its process exited without logging a warning")
    )]
    SenderExited {
        /// Index of the sender.
        sender: usize,
        /// The last warning in the senders' logs, if there was one.
        last_warning: Option<String>,
    },
    /// A sender did not open all its listeners in time.
    #[error("sender {sender} did not start: it was not ready within {} s", waited.as_secs())]
    SenderNotReady {
        /// Index of the sender.
        sender: usize,
        /// Time for which the runner waited.
        waited: Duration,
    },
    /// The scenario that was generated for a measurement is not valid.
    #[error("invalid scenario for a measurement: {0}")]
    Scenario(ScenarioError),
    /// An operation on a socket, file or poll failed.
    #[error("I/O error of the scenario runner: {0}")]
    Io(#[from] io::Error),
}

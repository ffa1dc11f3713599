//! Errors of `crash-test`.

use std::io;
use std::path::PathBuf;

use crate::input::InputError;

/// A crash test can't be run.
#[derive(Debug, thiserror::Error)]
pub enum CrashTestError {
    /// The path of this program can't be determined.
    #[error(transparent)]
    Input(#[from] InputError),
    /// A socket or a file can't be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The sender's program can't be started.
    #[error("{program}: {source}")]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// Why it can't be started.
        source: io::Error,
    },
    /// The sender's standard error is not connected to a pipe.
    #[error("the sender's standard error can't be read")]
    NoLog,
    /// The sender's log line on listening has no valid address.
    #[error("log of the sender: expected the address that it listens on, got '{0}'")]
    Address(String),
    /// The sender's process ended before it listened.
    #[error("the sender did not start; last line of its log: {last_line}")]
    NotStarted {
        /// The last line of its log.
        last_line: String,
    },
}

//! Errors of `crash-test`.

use std::io;
use std::path::PathBuf;

use crate::input::InputError;

/// A crash test can't be played.
#[derive(Debug, thiserror::Error)]
pub enum CrashTestError {
    /// This program's path is unknown.
    #[error(transparent)]
    Input(#[from] InputError),
    /// A socket or a file can't be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The sender's program can't be started.
    #[error("{program}: {source}")]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The sender's standard error can't be read.
    #[error("the sender has no log")]
    NoLog,
    /// The sender's log names no address that can be used.
    #[error("not an address: {0}")]
    Address(String),
    /// The sender's process ended before it listened.
    #[error("the sender did not start: {last_line}")]
    NotStarted {
        /// The last line of its log.
        last_line: String,
    },
}

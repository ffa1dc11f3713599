//! Errors that end the adapter: the simulator does not send what it cannot answer for.

use std::io;

use cranehill_scheduler::SettingsError;
use cranehill_scheduler::profile::ProfileError;

/// Why a batch could not be read, carried out or answered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input failed.
    #[error("cannot read a batch: {0}")]
    Read(#[source] io::Error),
    /// A line is not a batch.
    #[error("malformed batch: {0}")]
    MalformedBatch(#[source] serde_json::Error),
    /// A request names a sender that was not configured, or was destroyed.
    #[error("unknown sender {0}")]
    UnknownSender(String),
    /// A request names an endpoint list that was not sent.
    #[error("unknown list {0}")]
    UnknownList(u32),
    /// An endpoint has a condition that is not known.
    #[error("unknown condition {0}")]
    UnknownCondition(u8),
    /// A sender's settings object names something unknown.
    #[error(transparent)]
    Profile(#[from] ProfileError),
    /// A scheduler cannot work with its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A reply could not be written as JSON.
    #[error("cannot encode a reply: {0}")]
    Encode(#[source] serde_json::Error),
    /// Standard output failed.
    #[error("cannot write a reply: {0}")]
    Write(#[source] io::Error),
}

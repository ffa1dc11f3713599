//! Errors that end the adapter. The simulator sends only valid requests, so there is no recovery from an invalid one.

use std::io;

use cranehill_scheduler::SettingsError;
use cranehill_scheduler::profile::ProfileError;

/// A batch could not be read, processed or answered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Reading standard input failed.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// A line of standard input is not a valid batch.
    #[error("malformed batch: {0}")]
    MalformedBatch(#[source] serde_json::Error),
    /// A request is for a sender that was not configured, or that was destroyed.
    #[error("unknown sender {0}: not configured, or destroyed")]
    UnknownSender(String),
    /// A `Sync` request refers to an endpoint list that no `Inventory` request has defined.
    #[error("unknown endpoint list: no Inventory request with rosterId {0}")]
    UnknownList(u32),
    /// An endpoint in an `Inventory` request has an unknown condition.
    #[error("condition: expected 0 (removed), 1 (ready) or 2 (draining), got {0}")]
    UnknownCondition(u8),
    /// The settings object of a sender has an invalid value.
    #[error(transparent)]
    Profile(#[from] ProfileError),
    /// The scheduler rejects the settings of a sender.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Encoding a reply as JSON failed.
    #[error("cannot encode a reply: {0}")]
    Encode(#[source] serde_json::Error),
    /// Writing to standard output failed.
    #[error("cannot write a reply to standard output: {0}")]
    Write(#[source] io::Error),
}

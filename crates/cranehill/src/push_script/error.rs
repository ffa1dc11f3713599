//! Errors on push scripts.

use std::io;

use crate::configuration::DaemonError;

/// A line of a script is wrong.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct ScriptError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    #[source]
    pub kind: ScriptErrorKind,
}

/// What is wrong with a script's line.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ScriptErrorKind {
    /// The line has none of the known forms.
    #[error("'{0}' is not service, push, wait or expect")]
    UnknownLine(String),
    /// A time that is not a number of seconds, or out of range.
    #[error("'{0}' is not a time of 0 to 60 seconds")]
    Time(String),
    /// A push's name has characters that can't be in a path.
    #[error("'{0}' may hold letters, digits, '-' and '_' only")]
    PushName(String),
    /// An unknown option of a push.
    #[error("'{0}' is not ttl=, urgency=, topic= or body=")]
    PushOption(String),
    /// A second push of the same name.
    #[error("'{0}' is pushed twice")]
    DuplicatePush(String),
    /// An expectation on a push that is not before it.
    #[error("'{0}' has not been pushed")]
    NotPushed(String),
    /// An unknown outcome.
    #[error("'{outcome}' is none of {known}")]
    UnknownOutcome {
        /// The outcome as it is written.
        outcome: String,
        /// The known ones.
        known: String,
    },
    /// A number of attempts that is not one.
    #[error("'{0}' is not a count")]
    Count(String),
    /// An unknown option of an expectation.
    #[error("'{0}' is not understood")]
    ExpectOption(String),
    /// The service does none of the known things.
    #[error("the service answers STATUS, is silent, or closes")]
    Service,
    /// A status out of range.
    #[error("a status is a number from 200 to 599")]
    Status,
    /// A `retry-after` where the service sends no response.
    #[error("retry-after needs an answer")]
    RetryAfterWithoutAnswer,
    /// An unknown option of the service.
    #[error("'{0}' is not retry-after= or to=")]
    ServiceOption(String),
}

/// A script can't be played.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The simulated service or a handle of the sender can't be opened.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The sender can't start.
    #[error("{0}")]
    Start(#[source] DaemonError),
    /// The sender has no address for pushes.
    #[error("the sender does not listen")]
    NotListening,
    /// The sender's event loop failed.
    #[error("the sender stopped: {0}")]
    Stopped(#[source] io::Error),
    /// The sender's thread panicked.
    #[error("the sender panicked")]
    Panicked,
}

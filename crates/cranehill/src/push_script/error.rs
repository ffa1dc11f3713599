//! Errors on push scripts.

use std::io;

use crate::configuration::DaemonError;

/// A line of a script is invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct ScriptError {
    /// Line number, from 1.
    pub line: usize,
    /// Why the line is invalid.
    #[source]
    pub kind: ScriptErrorKind,
}

/// Why a line of a script is invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ScriptErrorKind {
    /// The line does not begin with a known command, or has the wrong number of arguments.
    #[error("'{0}': expected service, push, wait or expect")]
    UnknownLine(String),
    /// A time is not a number of seconds, or is out of range.
    #[error("'{0}': expected a time of 0 to 60 seconds")]
    Time(String),
    /// The name of a push has characters that are not allowed in its path.
    #[error("push '{0}': expected a name of letters, digits, '-' and '_'")]
    PushName(String),
    /// An unknown option of a push.
    #[error("'{0}': expected ttl=, urgency=, topic= or body=")]
    PushOption(String),
    /// A second push of the same name.
    #[error("duplicate push '{0}'")]
    DuplicatePush(String),
    /// An expectation for a push that does not precede it.
    #[error("expect '{0}': no push with this name before this line")]
    NotPushed(String),
    /// An unknown outcome in an expectation.
    #[error("'{outcome}': expected one of {known}")]
    UnknownOutcome {
        /// The outcome in the script.
        outcome: String,
        /// The names of all outcomes.
        known: String,
    },
    /// A number of attempts is not a whole number.
    #[error("attempts '{0}': expected a whole number")]
    Count(String),
    /// An unknown option of an expectation.
    #[error("'{0}': expected within SECONDS or attempts COUNT")]
    ExpectOption(String),
    /// An unknown kind of reply of the service.
    #[error("service: expected answers STATUS, silent or closes")]
    Service,
    /// A status is not a number, or is out of range.
    #[error("service answers: expected a status from 200 to 599")]
    Status,
    /// A `retry-after` for a reply that is not a response.
    #[error("retry-after=: expected only after answers STATUS")]
    RetryAfterWithoutAnswer,
    /// An unknown option of the service.
    #[error("'{0}': expected retry-after= or to=")]
    ServiceOption(String),
}

/// A script can't be run.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The simulated service can't listen, or the sender's stop handle can't be created.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The sender can't start.
    #[error("{0}")]
    Start(#[source] DaemonError),
    /// The sender has no address for Web Push.
    #[error("the sender does not listen for Web Push")]
    NotListening,
    /// The sender's event loop failed.
    #[error("the sender stopped: {0}")]
    Stopped(#[source] io::Error),
    /// The sender's thread panicked.
    #[error("the sender panicked")]
    Panicked,
}

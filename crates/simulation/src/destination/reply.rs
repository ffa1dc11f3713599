//! Calls to a simulated destination, and its replies.

use std::time::Duration;

/// What becomes of a connection that is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connect {
    /// Established.
    Up,
    /// Reset at once.
    Refused,
    /// Never established, and never reset.
    Nothing,
}

/// How a reply is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// No HTTP at all.
    Garbage,
    /// A head that promises more bytes than follow, and then the end of the connection.
    CutOff,
    /// A head that never ends.
    Stalls,
    /// Further bytes after a whole reply.
    Trailing,
}

/// The outcome of one message of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// Executed.
    Done,
    /// Failed, and possibly executed.
    Failed,
    /// Rejected, and not executed.
    Busy,
}

/// The reply to a call. Times are since the start of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A proper reply.
    Answer {
        /// When it is sent.
        at: Duration,
        /// The outcome of each message, in the order of the call.
        outcomes: Vec<DeliveryOutcome>,
        /// `Retry-After`.
        wait: Option<Duration>,
        /// Load report: the part of the limit that is left (0 to 1), and the limit in calls a second.
        report: Option<(f64, f64)>,
    },
    /// A malformed reply; the call has been executed.
    Spoilt {
        /// When it is sent.
        at: Duration,
        /// What is wrong with it.
        how: Spoilt,
    },
    /// The connection is reset.
    Reset {
        /// When it is reset.
        at: Duration,
        /// Whether the call was possibly executed.
        executed: bool,
    },
    /// No reply at all; the call is possibly executed all the same.
    Nothing,
}

/// A call that has arrived whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Number of the endpoint at its destination.
    pub endpoint: usize,
    /// Messages in the call.
    pub messages: usize,
}

/// Whether a call has just made a warming destination fail under overload.
pub type Fell = bool;

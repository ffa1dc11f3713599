//! Calls to a simulated destination, and its replies.

use std::time::Duration;

/// The result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connect {
    /// The connection is established.
    Up,
    /// The connection is refused, with a RST.
    Refused,
    /// The attempt to connect is never answered.
    Nothing,
}

/// The defect of a malformed reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// The bytes are not HTTP.
    Garbage,
    /// The connection ends before the whole body announced in the head.
    CutOff,
    /// The head is never completed, and the connection stays open.
    Stalls,
    /// Further bytes follow a complete reply.
    Trailing,
}

/// The outcome of one message of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The message was executed.
    Done,
    /// The attempt failed; the message was possibly executed.
    Failed,
    /// The message was rejected without being executed.
    Busy,
}

/// The reply to a call. Times are since the start of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A well-formed reply.
    Answer {
        /// Time at which it is sent.
        at: Duration,
        /// The outcome of each message, in the order of the call.
        outcomes: Vec<DeliveryOutcome>,
        /// `Retry-After` as a duration (RFC 9110, section 10.2.3); `None` if the reply has none.
        wait: Option<Duration>,
        /// Load report: the unused share of the limit (0 to 1), and the limit in calls per second.
        report: Option<(f64, f64)>,
    },
    /// A malformed reply to a call that was executed.
    Spoilt {
        /// Time at which it is sent.
        at: Duration,
        /// The defect of the reply.
        how: Spoilt,
    },
    /// The connection is reset instead of a reply.
    Reset {
        /// Time of the reset.
        at: Duration,
        /// Whether the call was possibly executed.
        executed: bool,
    },
    /// No reply is ever sent; the call is possibly executed.
    Nothing,
}

/// A call that the destination has received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Index of the endpoint at its destination.
    pub endpoint: usize,
    /// Number of messages in the call.
    pub messages: usize,
}

/// Whether this call made a destination that warms up fail under overload.
pub type Fell = bool;

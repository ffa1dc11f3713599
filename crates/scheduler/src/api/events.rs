//! Events that the scheduler processes.

use std::time::Duration;

use super::endpoint_list::Entry;
use super::identifiers::{DestinationId, EndpointId, MessageId, OrderingKey};

/// Result of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Delivered.
    Served,
    /// The destination answered with an error; the message is possibly executed.
    Error,
    /// The destination's answer is malformed or incomplete; the message is possibly executed. No health signal: the answer was
    /// damaged in transit.
    Malformed,
    /// Rejected because of overload; not executed.
    Overloaded,
    /// No answer before the time-out; possibly executed.
    TimedOut,
    /// The connection could not be opened; not executed.
    NoConnection,
    /// The connection broke before the answer was complete; possibly executed.
    Reset,
    /// A reused connection broke during its next call, without an answer; possibly executed. No health signal, since
    /// connections break unnoticed while idle.
    IdleConnectionBroken,
    /// The attempt was cancelled; possibly executed.
    Cancelled,
    /// Nothing was sent; not executed.
    NotSent,
    /// The recipient no longer exists; not executed, and a retry cannot succeed. No health signal.
    RecipientRemoved,
    /// The destination rejects this message permanently; not executed, and a retry cannot succeed.
    PermanentError,
}

impl Status {
    /// Whether the message is certain not to have been executed.
    pub fn not_executed(self) -> bool {
        use Status::{NoConnection, NotSent, Overloaded, PermanentError, RecipientRemoved};
        matches!(
            self,
            Overloaded | NoConnection | NotSent | RecipientRemoved | PermanentError
        )
    }
}

/// A destination's report on its rate limit. Reports are delayed and noisy.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Fraction of the limit that is unused.
    pub remaining_share: f64,
    /// Calls a second that the destination allows all senders together; 0 for no limit.
    pub limit: f64,
}

/// A message accepted from a client.
#[derive(Clone, Debug)]
pub struct AcceptedMessage {
    /// Id of the message.
    pub id: MessageId,
    /// Position in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Position in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// Ordering key; ignored unless the class has [`Class::in_order`](super::Class::in_order) set.
    pub ordering_key: Option<OrderingKey>,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Destination to deliver to.
    pub destination: DestinationId,
    /// Attempts that an earlier process of this sender made for the message.
    pub prior: PriorAttempts,
}

/// Attempts made for a message before this process accepted it.
#[derive(Clone, Debug, Default)]
pub struct PriorAttempts {
    /// Number of attempts made.
    pub attempts: u32,
    /// Whether an earlier process of this sender accepted the message.
    pub restored: bool,
    /// Time since the first possibly executed attempt was sent, and its endpoint.
    pub possibly_executed: Option<(Duration, EndpointId)>,
}

/// Outcome of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The message that was sent.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Result of the attempt.
    pub status: Status,
    /// Whether the message is completed by it.
    pub completed: bool,
    /// Time since the attempt was sent.
    pub elapsed: Duration,
    /// For [`Status::Overloaded`]: the Retry-After time in the answer, if any.
    pub retry_after: Option<Duration>,
    /// The destination's report on its rate limit, if any.
    pub report: Option<LoadReport>,
}

/// An input to the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointList {
        /// Whether `entries` replace the whole list; else they are changes to it.
        replaces_all: bool,
        /// Entries of the new list, or changed entries.
        entries: Vec<Entry>,
    },
    /// Polling the endpoint list failed, or the subscription broke.
    EndpointListFailed,
    /// A message was accepted. The scheduler gives it exactly one final answer.
    Accept(AcceptedMessage),
    /// An attempt finished.
    Outcome(Outcome),
    /// The client has cancelled the message.
    Cancelled(MessageId),
    /// A health check finished.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// Result of the health check.
        status: Status,
    },
    /// The quota divisor has changed to this number of senders, this one included. It replaces
    /// [`Settings::instances`](super::Settings::instances); 0 counts as 1.
    QuotaDivisor(u32),
    /// The timer started by [`Action::Timer`](super::Action::Timer) has fired.
    TimerFired,
}

//! Events that the scheduler reads.

use std::time::Duration;

use super::endpoint_list::Entry;
use super::identifiers::{DestinationId, EndpointId, MessageId, OrderingKey};

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Delivered.
    Served,
    /// The destination answered with an error; it may have taken effect.
    Error,
    /// The destination's answer cannot be read; the message may have taken effect. No evidence about the
    /// destination's health: the answer was damaged on its way.
    Spoilt,
    /// Rejected because of overload; it was not executed.
    Overloaded,
    /// No answer in time; it may have taken effect.
    TimedOut,
    /// No connection was possible; it was not executed.
    NoConnection,
    /// The connection broke; it may have taken effect.
    Reset,
    /// A reused connection broke under its next call, with no answer; it may have taken effect. No evidence
    /// about the destination: connections break unnoticed while idle.
    Dropped,
    /// Cancelled; it may have taken effect.
    Cancelled,
    /// Never left the sender.
    NotSent,
    /// The recipient no longer exists: the message was not executed and never will be. No evidence about the
    /// destination's health.
    RecipientRemoved,
    /// The destination will never accept this message as it is; it was not executed.
    PermanentError,
}

impl Status {
    /// Whether it is certain that the message had no effect.
    pub fn not_executed(self) -> bool {
        use Status::{NoConnection, NotSent, Overloaded, PermanentError, RecipientRemoved};
        matches!(
            self,
            Overloaded | NoConnection | NotSent | RecipientRemoved | PermanentError
        )
    }
}

/// What a destination reports of its limit: late and noisy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Share of the allowance that is left.
    pub left: f64,
    /// Calls a second that the limit allows; 0 for no limit.
    pub limit: f64,
}

/// A message accepted from a client.
#[derive(Clone, Debug)]
pub struct AcceptedMessage {
    /// Its id.
    pub id: MessageId,
    /// Position in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Position in [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// Its ordering key, for ordered classes.
    pub ordering_key: Option<OrderingKey>,
    /// Time until it expires.
    pub time_left: Duration,
    /// Its destination.
    pub destination: DestinationId,
    /// What an earlier process of this sender did for it, under the same id.
    pub prior: PriorAttempts,
}

/// What was already done for a message when it is accepted.
#[derive(Clone, Debug, Default)]
pub struct PriorAttempts {
    /// Attempts used.
    pub attempts: u32,
    /// An earlier process of this sender accepted it.
    pub restored: bool,
    /// Age and endpoint of the first attempt that may have been executed.
    pub possibly_executed: Option<(Duration, EndpointId)>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub status: Status,
    /// The message is completed.
    pub completed: bool,
    /// Time since it was sent.
    pub took: Duration,
    /// For [`Status::Overloaded`]: the time to wait that the answer stated (Retry-After).
    pub wait: Option<Duration>,
    /// What the destination reported of its limit.
    pub report: Option<Report>,
}

/// What the scheduler is notified of.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed.
    List {
        /// Whether the entries replace the list; else they are changes to it.
        whole: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Polling the endpoint list failed, or the subscription broke.
    ListFailed,
    /// A message was accepted: it must get one final answer.
    Accept(AcceptedMessage),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client has cancelled the message.
    Cancelled(MessageId),
    /// A health check ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        status: Status,
    },
    /// From now on shared limits are divided by this number of senders, this one included; before, by
    /// [`Settings::instances`](super::Settings::instances).
    SenderCount(u32),
    /// The timer has fired.
    Wake,
}

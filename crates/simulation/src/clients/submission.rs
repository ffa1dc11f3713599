//! Submissions, the answers to them, and the outcome of each message.

use std::time::Duration;

/// A submission of a message to a sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Id of the message, new with each submission.
    pub id: String,
    /// Index into [`Clients::origins`](super::Clients::origins).
    pub origin: usize,
    /// Index of the message's class in [`Load::classes`](super::Load::classes).
    pub class: usize,
    /// Index of the message's tenant in [`Load::tenants`](super::Load::tenants).
    pub tenant: usize,
    /// Number of the message's destination.
    pub destination: u64,
    /// Idempotency key, the same with each submission, if the class has one.
    pub key: Option<String>,
    /// Ordering key, if the class is ordered.
    pub ordering_key: Option<String>,
    /// Size of the body in bytes.
    pub body: usize,
    /// Remaining time to live.
    pub time_to_live: Duration,
    /// Submitted again after a rejection or a returned message.
    pub retry: bool,
    /// Submitted again because the sender did not answer.
    pub again: bool,
}

/// The sender's answer to a submission, or its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The sender accepted the message.
    Accepted,
    /// The sender did not accept the message.
    Rejected {
        /// Wait before it may be submitted again, if the answer states one.
        after: Option<Duration>,
    },
    /// The submission was invalid; the client does not repeat it.
    Error,
    /// The connection ended without an answer, or could not be established.
    Nothing,
}

/// A message with its state over all its submissions.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// When it was first submitted, since the start of the scenario.
    pub at: Duration,
    /// Index of the message's class in [`Load::classes`](super::Load::classes).
    pub class: usize,
    /// Index of the message's tenant in [`Load::tenants`](super::Load::tenants).
    pub tenant: usize,
    /// Number of the message's destination.
    pub destination: u64,
    pub(super) key: Option<String>,
    pub(super) ordering_key: Option<String>,
    pub(super) body: usize,
    pub(super) submissions: u32,
    /// The time from which it counts as delivered: a destination wrote a 200, and the sender accepted the message.
    pub delivered: Option<Duration>,
    /// The client does not submit the message again, because it was delivered or has no resubmissions left.
    pub abandoned: bool,
    /// The submission was invalid, or a final report states that the message failed.
    pub failed: bool,
}

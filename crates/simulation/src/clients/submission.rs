//! Messages as they are submitted, and what became of each.

use std::time::Duration;

/// One submission of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The message id, new with each submission.
    pub id: String,
    /// Index into [`Clients::origins`](super::Clients::origins).
    pub origin: usize,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Where it is to be delivered.
    pub destination: u64,
    /// Idempotency key.
    pub key: Option<String>,
    /// Within which it keeps its order.
    pub ordering_key: Option<String>,
    /// Bytes of its body.
    pub body: usize,
    /// What remains of its time to live.
    pub time_to_live: Duration,
    /// Submitted again after a rejection.
    pub retry: bool,
    /// Submitted again after a sender that did not answer.
    pub again: bool,
}

/// The sender's answer to a submission, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The sender has the message.
    Accepted,
    /// The sender did not accept it.
    Rejected {
        /// When it may be submitted again, if the answer says so.
        after: Option<Duration>,
    },
    /// The submission itself was wrong; it is not repeated.
    Error,
    /// The connection ended without an answer, or could not be made.
    Nothing,
}

/// A message as it was drawn, over all its submissions.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// When it was first submitted, since the start of the scenario.
    pub at: Duration,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Where it is to be delivered.
    pub destination: u64,
    pub(super) key: Option<String>,
    pub(super) ordering_key: Option<String>,
    pub(super) body: usize,
    pub(super) submissions: u32,
    /// When its delivery counted: a destination had written a 200, and the client knew that the message was accepted.
    pub delivered: Option<Duration>,
    /// Rejected for the last time.
    pub refused: bool,
    /// Ended by an error or a final report.
    pub failed: bool,
}

//! [`Message`]: a message as submitted by a client, the answers to the client and the final report.

use std::sync::Arc;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::Entry;

/// Data that a client ingress passes with a message, for the delivery; the core does not read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Request path at the destination; empty for the default path.
    pub path: String,
    /// Names and values of headers that are sent unchanged.
    pub headers: Vec<(String, String)>,
    /// When the message expires for its recipient.
    pub expires: Time,
}

/// A message as a client submits it.
#[derive(Clone, Debug)]
pub struct Message {
    /// Id of the message; a second submission with the same id is treated as a repeat of the first.
    pub id: String,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
    /// Id of its destination.
    pub destination: u64,
    /// Idempotency key, by which the destination recognizes a repeated attempt.
    pub idempotency_key: Option<String>,
    /// Messages with the same ordering key are sent one at a time, in the order of submission.
    pub ordering_key: Option<String>,
    /// Body of the message.
    pub body: Arc<[u8]>,
    /// Time from the submission to its deadline.
    pub time_left: Duration,
    /// Attempts made by earlier processes of the sender; they count towards the limit on attempts.
    pub attempts_used: u32,
    /// Data that the client ingress passes with the message.
    pub envelope: Option<Arc<Envelope>>,
    /// Who receives the answer.
    pub origin: Origin,
}

/// Who receives the answer about a message. A client is identified by the number of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client that is answered when the message is accepted. If the message ends undelivered, the platform receives a
    /// final report.
    Client(usize),
    /// A client that is answered when the message ends. The message is never accepted (not written to the journal), and
    /// so not restored after a restart.
    Waiting(usize),
    /// No client: the message was accepted by an earlier process of this sender, which answered the client.
    Restored,
}

/// The answer to the client that submitted a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message is in the journal, or is a repeat of one that was accepted.
    Accepted,
    /// The message was not executed: the client can safely submit it again.
    Rejected {
        /// How long to wait before submitting it again, if known.
        retry_after: Option<Duration>,
    },
    /// The message was not delivered, and either was possibly executed or can't be executed.
    Failed,
    /// The message was delivered.
    Delivered,
    /// The destination has answered that the recipient no longer exists.
    RecipientRemoved,
    /// The deadline of the message has passed without a delivery.
    Expired,
}

/// How an accepted message ended undelivered, as reported to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalReport {
    /// The message was not executed: the platform can safely submit it again.
    Returned {
        /// How long to wait before submitting it again, in milliseconds; 0 if unknown.
        after_ms: u64,
    },
    /// The message was possibly executed, or can't be executed.
    Failed,
}

/// One endpoint as discovery lists it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The entry as passed to the scheduler.
    pub entry: Entry,
    /// Address at which the endpoint is called.
    pub address: String,
}

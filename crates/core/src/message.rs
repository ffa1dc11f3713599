//! [`Message`]: what clients submit, and how it ends.

use std::sync::Arc;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::Entry;

/// What a client ingress passes along with a message; the core does not read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Path at the destination; empty for the usual one.
    pub path: String,
    /// Headers that are sent unchanged.
    pub headers: Vec<(String, String)>,
    /// When it is of no use to its recipient any more.
    pub expires: Time,
}

/// A message as a client submits it.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its id; a second submission with the same id is the same message.
    pub id: String,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: usize,
    /// Where it is sent.
    pub destination: u64,
    /// Idempotency key: what the destination recognises a repeat by.
    pub key: Option<String>,
    /// Messages with the same ordering key are sent one at a time, in the order of submission.
    pub ordering_key: Option<String>,
    /// Its body.
    pub body: Arc<[u8]>,
    /// Time remaining for its delivery.
    pub left: Duration,
    /// Attempts already used of those that it may have.
    pub spent: u32,
    /// What the client ingress passes along with it.
    pub envelope: Option<Arc<Envelope>>,
    /// Who is answered.
    pub from: Origin,
}

/// Who is answered about a message. Clients are known by the number of their connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client that is answered when the message is accepted. The platform gets a final report if it is not delivered.
    Client(usize),
    /// A client that waits for the end of the message. It is never accepted, and so not restored after a restart.
    Waiting(usize),
    /// Nobody: an earlier process of this sender accepted it.
    Restored,
}

/// The answer to the client that submitted a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message is in the journal.
    Accepted,
    /// Not executed: submitting it again does no harm.
    Rejected {
        /// When to submit it again, where that is known.
        after: Option<Duration>,
    },
    /// Not delivered; it may have been executed, or can't be.
    Failed,
    /// Delivered.
    Delivered,
    /// The destination does not know the recipient any more.
    RecipientRemoved,
    /// Its deadline has passed.
    Expired,
}

/// How an accepted message ended without delivery, as reported to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalReport {
    /// Not executed: submitting it again does no harm.
    Returned {
        /// When to submit it again, in milliseconds; 0 where that is not known.
        after_ms: u64,
    },
    /// It may have been executed, or can't be.
    Failed,
}

/// One endpoint as discovery lists it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The endpoint as the scheduler sees it.
    pub entry: Entry,
    /// The address that it is called at.
    pub address: String,
}

//! What is submitted, and how it ends.

use std::sync::Arc;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::Entry;

/// What a front passes along with a message and the core does not look into.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Where at the destination it goes, if not to the usual place.
    pub path: String,
    /// Headers that travel with it unchanged.
    pub headers: Vec<(String, String)>,
    /// When it is worth nothing to its receiver any more.
    pub expires: Time,
}

/// An episode message as a client hands it in.
#[derive(Clone, Debug)]
pub struct Message {
    pub id: String,
    /// Position in the settings' classes.
    pub class: usize,
    /// Position of the tenant in the settings.
    pub tenant: usize,
    /// The destination it is for.
    pub destination: u64,
    /// What the destination recognises a repeat by.
    pub key: Option<String>,
    /// Messages of a class that keeps its order go one at a time within this, in the order submitted.
    pub ordering_key: Option<String>,
    pub body: Arc<[u8]>,
    /// How long it may still be delivered.
    pub left: Duration,
    /// Attempts that it may not use.
    pub spent: u32,
    pub envelope: Option<Arc<Envelope>>,
    pub from: Origin,
}

/// Who waits for an answer about a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client that is told when the message is accepted, and of its end through the platform.
    Client(usize),
    /// A client whose answer is the message's end; nothing is promised before, so nothing outlasts us.
    Waiting(usize),
    /// An earlier process of this sender.
    Restored,
}

/// The answer to who handed a message in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Accepted,
    Rejected {
        after: Option<Duration>,
    },
    Failed,
    Delivered,
    RecipientRemoved,
    /// Its time is out.
    Expired,
}

/// How a message that was accepted ended without delivery, as the platform is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalReport {
    Returned { after_ms: u64 },
    Failed,
}

/// One endpoint as the directory lists it.
#[derive(Clone, Debug)]
pub struct Listing {
    pub entry: Entry,
    pub address: String,
}

//! A log of each message as clients, destinations and the platform observe it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// Names of the message classes. Each class has the effect of the same name.
pub(super) const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
/// The index of the class whose messages have idempotency keys.
pub(super) const KEYED_CLASS: usize = 1;
/// The index of the class whose messages must not be sent again after they may have been executed.
pub(super) const UNSAFE_CLASS: usize = 2;

/// How a destination handles one message of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    /// Executed, and reported as such to the sender.
    Done,
    /// Failed or closed: for the sender, possibly executed.
    Failed,
    /// Rejected: not executed.
    Busy,
}

/// What was observed of one message outside the sender.
#[derive(Debug, Default)]
pub(super) struct DeliveryRecord {
    pub(super) class: usize,
    /// The sender has answered the client with `+OK`.
    pub(super) accepted: bool,
    pub(super) attempts: usize,
    /// Attempts after which the message was possibly executed.
    pub(super) executions: usize,
    pub(super) delivered: bool,
    /// Whether it was sent again after a possibly executed attempt.
    pub(super) repeated: bool,
    /// The distinct states in its final reports.
    pub(super) reports: BTreeSet<String>,
}

impl DeliveryRecord {
    /// Whether it was accepted and is neither delivered nor reported yet.
    pub(super) fn is_outstanding(&self) -> bool {
        self.accepted && !self.has_ended()
    }

    pub(super) fn has_ended(&self) -> bool {
        self.delivered || !self.reports.is_empty()
    }
}

/// All messages by their ids.
#[derive(Default)]
pub(super) struct DeliveryLog {
    pub(super) messages: BTreeMap<String, DeliveryRecord>,
    /// Number of submissions that the sender answered with an error.
    pub(super) rejected: u32,
}

pub(super) type SharedDeliveryLog = Arc<Mutex<DeliveryLog>>;

impl DeliveryLog {
    /// The record of a message, created if there is none.
    pub(super) fn record(&mut self, id: &str) -> &mut DeliveryRecord {
        self.messages.entry(id.to_owned()).or_default()
    }

    pub(super) fn record_attempt(&mut self, id: &str, outcome: AttemptOutcome) {
        let record = self.record(id);
        record.attempts += 1;
        record.repeated |= record.executions > 0;
        record.executions += usize::from(outcome != AttemptOutcome::Busy);
        record.delivered |= outcome == AttemptOutcome::Done;
    }

    pub(super) fn has_outstanding(&self) -> bool {
        self.messages.values().any(DeliveryRecord::is_outstanding)
    }
}

//! What clients, destinations and the platform have seen of each message.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// Classes of messages by their effect, which is also their name.
pub(super) const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
/// The index of the class whose messages have idempotency keys.
pub(super) const KEYED_CLASS: usize = 1;
/// The index of the class whose messages must not be sent again after they may have been executed.
pub(super) const UNSAFE_CLASS: usize = 2;

/// How a destination treats one message of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    Done,
    Failed,
    Busy,
}

/// What was seen of one message from outside the sender.
#[derive(Debug, Default)]
pub(super) struct DeliveryRecord {
    pub(super) class: usize,
    /// The sender has answered `+OK`.
    pub(super) accepted: bool,
    pub(super) attempts: usize,
    /// Attempts after which it may have been executed.
    pub(super) executions: usize,
    pub(super) delivered: bool,
    /// Sent again after an attempt that may have been executed.
    pub(super) repeated: bool,
    /// The states in its final reports.
    pub(super) reports: BTreeSet<String>,
}

impl DeliveryRecord {
    /// Whether the sender still has to deliver or report it.
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
    /// Messages that the sender has not accepted.
    pub(super) rejected: u32,
}

pub(super) type SharedDeliveryLog = Arc<Mutex<DeliveryLog>>;

impl DeliveryLog {
    /// The record of a message, which may be new.
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

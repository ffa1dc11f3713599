//! [`PendingMessages`]: all messages that have not ended, and the order in which they are handed over to the scheduler.

use std::collections::{BTreeMap, BTreeSet};

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{AcceptedMessage, Event, MessageId};

use crate::effect::{Effect, Record};
use crate::message::{Answer, Message, Origin};
use crate::pending_message::{PendingMessage, PossibleExecution};
use crate::submission_order::SubmissionOrder;

/// A message submitted in this tick; ordered by `sequence`.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Unacknowledged {
    sequence: u64,
    id: MessageId,
}

/// The record of an accepted message, and the answer that must not be sent before the journal has the record.
pub(crate) struct Acceptance {
    pub(crate) record: Record,
    pub(crate) answer: Effect,
}

/// All messages that have not ended.
#[derive(Debug, Default)]
pub(crate) struct PendingMessages {
    messages: BTreeMap<MessageId, PendingMessage>,
    submission_order: SubmissionOrder,
    /// Messages submitted in this tick and not answered yet, in the order of submission.
    unacknowledged: BTreeSet<Unacknowledged>,
    last_sequence: u64,
    /// The sum of the sizes of all bodies.
    body_bytes: usize,
}

impl PendingMessages {
    /// Adds a message that a client submitted. It can be accepted at the end of the tick.
    pub(crate) fn submit(&mut self, message: Message, deadline: Time) {
        let id = MessageId(message.id.clone());
        let sequence = self.insert(message, deadline, deadline, None);
        self.unacknowledged.insert(Unacknowledged { sequence, id });
    }

    /// Adds a message that an earlier process accepted. `hand_over_by` is the latest time to hand it over to the
    /// scheduler.
    pub(crate) fn restore(
        &mut self,
        message: Message,
        deadline: Time,
        hand_over_by: Time,
        possibly_executed: Option<PossibleExecution>,
    ) {
        self.insert(message, deadline, hand_over_by, possibly_executed);
    }

    /// Adds a message after all others of its ordering key. Returns its sequence number.
    fn insert(
        &mut self,
        message: Message,
        deadline: Time,
        hand_over_by: Time,
        possibly_executed: Option<PossibleExecution>,
    ) -> u64 {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let id = MessageId(message.id.clone());
        let pending =
            PendingMessage::new(sequence, message, deadline, hand_over_by, possibly_executed);
        if let Some(key) = pending.ordering_key() {
            self.submission_order.add(key, id.clone());
        }
        self.body_bytes += pending.message.body.len();
        if let Some(replaced) = self.messages.insert(id, pending) {
            self.body_bytes -= replaced.message.body.len();
        }
        sequence
    }

    /// The pending message with this id.
    pub(crate) fn get(&self, id: &MessageId) -> Option<&PendingMessage> {
        self.messages.get(id)
    }

    /// The pending message with this id, for a change.
    pub(crate) fn get_mut(&mut self, id: &MessageId) -> Option<&mut PendingMessage> {
        self.messages.get_mut(id)
    }

    /// Removes a message that has ended or is cancelled.
    pub(crate) fn remove(&mut self, id: &MessageId) -> Option<PendingMessage> {
        let pending = self.messages.remove(id)?;
        self.body_bytes -= pending.message.body.len();
        self.unacknowledged.remove(&Unacknowledged {
            sequence: pending.sequence,
            id: id.clone(),
        });
        Some(pending)
    }

    /// Ids of all pending messages.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &MessageId> {
        self.messages.keys()
    }

    /// Ids of the messages whose clients wait for their end.
    pub(crate) fn waiting(&self) -> Vec<MessageId> {
        let messages = self.messages.iter();
        messages
            .filter(|(_, pending)| matches!(pending.message.origin, Origin::Waiting(_)))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Number of pending messages.
    pub(crate) fn len(&self) -> usize {
        self.messages.len()
    }

    /// The sum of the sizes of all bodies, in bytes.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.messages
            .values()
            .filter(|pending| pending.is_in_flight())
            .count()
    }

    /// Whether the message is pending and accepted.
    pub(crate) fn is_accepted(&self, id: &MessageId) -> bool {
        self.messages
            .get(id)
            .is_some_and(|pending| pending.accepted)
    }

    /// Returns a message to be handed over to the scheduler, preceded by all earlier messages of its ordering key that
    /// have not been handed over. Empty if a message with an ordering key has been handed over already.
    pub(crate) fn hand_over(&mut self, now: Time, id: &MessageId) -> Vec<AcceptedMessage> {
        let ordering_key = self.messages.get(id).and_then(PendingMessage::ordering_key);
        let in_order = match ordering_key {
            Some(key) => self.submission_order.pop_through(&key, id),
            None => vec![id.clone()],
        };
        in_order
            .iter()
            .filter_map(|id| self.messages.get(id))
            .map(|pending| pending.to_scheduler(now))
            .collect()
    }

    /// Updates the times of the messages in `events` to `now`. With the times as of the hand-over, a repeat could be
    /// sent after the end of its idempotency window.
    pub(crate) fn refresh(&self, now: Time, events: &mut [Event]) {
        for event in events {
            if let Event::Accept(accepted) = event
                && let Some(pending) = self.messages.get(&accepted.id)
            {
                *accepted = pending.to_scheduler(now);
            }
        }
    }

    /// Accepts the messages that were submitted in this tick and have not ended in it, except those of clients that
    /// wait for the end of the message: these are answered only then.
    pub(crate) fn accept_unacknowledged(&mut self, now: Time) -> Vec<Acceptance> {
        let mut accepted = Vec::new();
        for Unacknowledged { id, .. } in std::mem::take(&mut self.unacknowledged) {
            if let Some(pending) = self.messages.get_mut(&id)
                && let Origin::Client(_) = pending.message.origin
            {
                pending.accepted = true;
                accepted.push(Acceptance {
                    record: pending.accepted_record(now),
                    answer: Effect::Answer {
                        to: pending.message.origin,
                        id: id.0,
                        answer: Answer::Accepted,
                    },
                });
            }
        }
        accepted
    }
}

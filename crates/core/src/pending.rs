//! Messages that are held, and how they are handed to the decisions.

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{
    AcceptedMessage, DestinationId, EndpointId, Event, MessageId, OrderingKey, PriorAttempts,
};

use crate::effect::Record;
use crate::message::{Message, Origin};
use crate::mutation::{self, Mutation};
use crate::reducer::Core;

/// When, where and as which attempt a message first went out that may have been executed.
pub(crate) type FirstRun = (Time, EndpointId, u32);

/// What is known of a message that is held.
#[derive(Debug)]
pub(crate) struct PendingMessage {
    /// Grows with each message that is held.
    pub(crate) sequence: u64,
    pub(crate) message: Message,
    pub(crate) deadline: Time,
    /// When the decisions must have it, for its own sake or for that of one that waits behind it.
    pub(crate) hand_over_by: Time,
    pub(crate) attempts: u32,
    /// The attempt that is out, and where.
    pub(crate) out: Option<(u32, EndpointId)>,
    /// First attempt that may have been executed and still counts as such.
    pub(crate) possibly_executed: Option<FirstRun>,
    pub(crate) accepted: bool,
    pub(crate) recipient_removed: bool,
}

impl PendingMessage {
    pub(crate) fn taken(&self, now: Time) -> Record {
        let n = &self.message;
        Record::Accepted {
            id: n.id.clone(),
            class: n.class,
            tenant: n.tenant,
            destination: n.destination,
            key: n.key.clone(),
            ordering_key: n.ordering_key.clone(),
            deadline: self.deadline.0,
            at: now.0,
            body: n.body.clone(),
        }
    }
}

impl Core {
    /// Gives a message that is held into the hands of the decisions, after those that it keeps its order with.
    pub(crate) fn hand_over(&mut self, id: &str) {
        let in_order = match self.ordering_key_of(id).map(str::to_owned) {
            Some(key) => self.pending_order.take_through(&key, id),
            None => vec![id.to_owned()],
        };
        for id in in_order {
            self.events
                .extend(self.accepted_message(&id).map(Event::Accept));
        }
    }

    /// What a message that is held keeps its order within.
    pub(crate) fn ordering_key_of(&self, id: &str) -> Option<&str> {
        self.pending.get(id)?.message.ordering_key.as_deref()
    }

    /// Adds a message that is held to those that wait for room, unless it has ended meanwhile.
    pub(crate) fn await_room(&mut self, id: String) {
        if let Some(pending) = self.pending.get(&id) {
            self.backlog.add(pending.hand_over_by, pending.sequence, id);
        }
    }

    /// A message of an earlier process has to be with the decisions by then.
    pub(crate) fn set_hand_over_by(&mut self, id: &str, by: Time) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.hand_over_by = by;
        }
    }

    /// A message that is held as the decisions take it, with its ages as of now.
    pub(crate) fn accepted_message(&self, id: &str) -> Option<AcceptedMessage> {
        let PendingMessage {
            message,
            deadline,
            possibly_executed,
            ..
        } = self.pending.get(id)?;
        let prior = PriorAttempts {
            attempts: message.spent,
            restored: message.from == Origin::Restored,
            possibly_executed: possibly_executed
                .as_ref()
                .map(|(at, endpoint, _)| (self.now - *at, endpoint.clone())),
        };
        Some(AcceptedMessage {
            id: MessageId(message.id.clone()),
            class: message.class,
            tenant: message.tenant,
            ordering_key: message
                .ordering_key
                .clone()
                .filter(|_| !mutation::is(Mutation::IgnoresOrder))
                .map(OrderingKey),
            time_left: *deadline - self.now,
            destination: DestinationId(message.destination),
            prior,
        })
    }

    /// The events of this turn. What was handed over since the last one, or before a slow start was done, has grown older: with
    /// its ages of then a repeat would go out after its window.
    pub(crate) fn events_of_this_turn(&mut self) -> Vec<Event> {
        let mut events = std::mem::take(&mut self.events);
        for event in &mut events {
            if let Event::Accept(taken) = event
                && let Some(present) = self.accepted_message(&taken.id.0)
            {
                *taken = present;
            }
        }
        events
    }

    /// Holds a message, behind all others of its key, and tells its place among all that were ever held.
    pub(crate) fn hold(
        &mut self,
        message: Message,
        deadline: Time,
        possibly_executed: Option<FirstRun>,
    ) -> u64 {
        let (attempts, accepted) = (message.spent, message.from == Origin::Restored);
        let id = message.id.clone();
        if let Some(key) = &message.ordering_key {
            self.pending_order.add(key, id.clone());
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let pending = PendingMessage {
            sequence,
            message,
            deadline,
            hand_over_by: deadline,
            attempts,
            out: None,
            possibly_executed,
            accepted,
            recipient_removed: false,
        };
        self.pending.insert(id, pending);
        sequence
    }
}

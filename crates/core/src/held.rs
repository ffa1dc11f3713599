//! Messages that are held, and how they are handed to the decisions.

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{DestinationId, EndpointId, Event, Key, MessageId, Past, Taken};

use crate::breakage::{self, Breakage};
use crate::effect::Record;
use crate::message::{Message, Origin};
use crate::reducer::Core;

/// When, where and as which attempt a message first went out that may have run.
pub(crate) type FirstRun = (Time, EndpointId, u32);

/// What is known of a message that is held.
#[derive(Debug)]
pub(crate) struct Held {
    /// Grows with each message that is held.
    pub(crate) sequence: u64,
    pub(crate) message: Message,
    pub(crate) deadline: Time,
    /// When the decisions must have it, for its own sake or for that of one that waits behind it.
    pub(crate) hand_over_by: Time,
    pub(crate) attempts: u32,
    /// The attempt that is out, and where.
    pub(crate) out: Option<(u32, EndpointId)>,
    /// First attempt that may have run and still counts as such.
    pub(crate) maybe_ran: Option<FirstRun>,
    pub(crate) taken_on: bool,
    pub(crate) gone: bool,
}

impl Held {
    pub(crate) fn taken(&self, now: Time) -> Record {
        let n = &self.message;
        Record::Taken {
            id: n.id.clone(),
            class: n.class,
            tenant: n.tenant,
            destination: n.destination,
            key: n.key.clone(),
            order_key: n.order_key.clone(),
            deadline: self.deadline.0,
            at: now.0,
            body: n.body.clone(),
        }
    }
}

impl Core {
    /// Gives a message that is held into the hands of the decisions, after those that it keeps its order with.
    pub(crate) fn hand_over(&mut self, id: &str) {
        let in_order = match self.order_key_of(id).map(str::to_owned) {
            Some(key) => self.pending_order.take_through(&key, id),
            None => vec![id.to_owned()],
        };
        for id in in_order {
            self.events.extend(self.accepted(&id).map(Event::Accept));
        }
    }

    /// What a message that is held keeps its order within.
    pub(crate) fn order_key_of(&self, id: &str) -> Option<&str> {
        self.held.get(id)?.message.order_key.as_deref()
    }

    /// Adds a message that is held to those that wait for room, unless it has ended meanwhile.
    pub(crate) fn await_room(&mut self, id: String) {
        if let Some(held) = self.held.get(&id) {
            self.backlog.add(held.hand_over_by, held.sequence, id);
        }
    }

    /// A message of an earlier process has to be with the decisions by then.
    pub(crate) fn set_hand_over_by(&mut self, id: &str, by: Time) {
        if let Some(held) = self.held.get_mut(id) {
            held.hand_over_by = by;
        }
    }

    /// A message that is held as the decisions take it, with its ages as of now.
    pub(crate) fn accepted(&self, id: &str) -> Option<Taken> {
        let Held {
            message,
            deadline,
            maybe_ran,
            ..
        } = self.held.get(id)?;
        let past = Past {
            attempts: message.spent,
            earlier_life: message.from == Origin::EarlierLife,
            maybe_ran: maybe_ran
                .as_ref()
                .map(|(at, endpoint, _)| (self.now - *at, endpoint.clone())),
        };
        Some(Taken {
            id: MessageId(message.id.clone()),
            class: message.class,
            tenant: message.tenant,
            key: message
                .order_key
                .clone()
                .filter(|_| !breakage::is(Breakage::IgnoresOrder))
                .map(Key),
            time_left: *deadline - self.now,
            dest: DestinationId(message.destination),
            past,
        })
    }

    /// The events of this turn. What was handed over since the last one, or before a slow start was done, has grown older: with
    /// its ages of then a repeat would go out after its window.
    pub(crate) fn events_of_this_turn(&mut self) -> Vec<Event> {
        let mut events = std::mem::take(&mut self.events);
        for event in &mut events {
            if let Event::Accept(taken) = event
                && let Some(present) = self.accepted(&taken.id.0)
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
        maybe_ran: Option<FirstRun>,
    ) -> u64 {
        let (attempts, taken_on) = (message.spent, message.from == Origin::EarlierLife);
        let id = message.id.clone();
        if let Some(key) = &message.order_key {
            self.pending_order.add(key, id.clone());
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let held = Held {
            sequence,
            message,
            deadline,
            hand_over_by: deadline,
            attempts,
            out: None,
            maybe_ran,
            taken_on,
            gone: false,
        };
        self.held.insert(id, held);
        sequence
    }
}

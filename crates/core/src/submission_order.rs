//! [`SubmissionOrder`]: pending messages with an ordering key that the scheduler does not have yet, in the order of
//! submission.
//!
//! The scheduler sends messages of one ordering key in the order in which it receives them. Messages that a restart
//! recovers are handed over by deadline and as capacity allows ([`crate::backlog`]), so a later message of a key may
//! be due before an earlier one: then all that were submitted before it are handed over first.

use std::collections::{BTreeMap, VecDeque};

use cranehill_scheduler::api::{MessageId, OrderingKey};

/// Messages with an ordering key, by that key.
#[derive(Debug, Default)]
pub(crate) struct SubmissionOrder {
    queues: BTreeMap<OrderingKey, VecDeque<MessageId>>,
}

impl SubmissionOrder {
    /// Adds a message behind all others of its key.
    pub(crate) fn add(&mut self, key: OrderingKey, id: MessageId) {
        self.queues.entry(key).or_default().push_back(id);
    }

    /// Removes and returns a message and those of its key before it, in their order; nothing if it was removed before.
    pub(crate) fn take_through(&mut self, key: &OrderingKey, id: &MessageId) -> Vec<MessageId> {
        let Some(queue) = self.queues.get_mut(key) else {
            return Vec::new();
        };
        let Some(position) = queue.iter().position(|waiting| waiting == id) else {
            return Vec::new();
        };
        let taken = queue.drain(..=position).collect();
        if queue.is_empty() {
            self.queues.remove(key);
        }
        taken
    }
}

//! [`SubmissionOrder`]: pending messages with an ordering key that are not handed over to the scheduler yet, in the
//! order of submission.
//!
//! The scheduler sends messages of one ordering key in the order in which it receives them. Recovered messages are
//! handed over by deadline and as capacity allows ([`crate::backlog`]), so a later message of a key can be due before
//! an earlier one. In that case all messages of the key that were submitted before it are handed over first.

use std::collections::{BTreeMap, VecDeque};

use cranehill_scheduler::api::{MessageId, OrderingKey};

/// Queues of message ids, by ordering key.
#[derive(Debug, Default)]
pub(crate) struct SubmissionOrder {
    queues: BTreeMap<OrderingKey, VecDeque<MessageId>>,
}

impl SubmissionOrder {
    /// Adds a message after all others of its key.
    pub(crate) fn add(&mut self, key: OrderingKey, id: MessageId) {
        self.queues.entry(key).or_default().push_back(id);
    }

    /// Removes a message and the earlier ones of its key, and returns them in order; empty if the message is not
    /// queued.
    pub(crate) fn pop_through(&mut self, key: &OrderingKey, id: &MessageId) -> Vec<MessageId> {
        let Some(queue) = self.queues.get_mut(key) else {
            return Vec::new();
        };
        let Some(position) = queue.iter().position(|queued| queued == id) else {
            return Vec::new();
        };
        let removed = queue.drain(..=position).collect();
        if queue.is_empty() {
            self.queues.remove(key);
        }
        removed
    }
}

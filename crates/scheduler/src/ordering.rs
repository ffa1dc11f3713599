//! Ordering keys: messages with the same key are sent one at a time, in the order accepted.
//!
//! A message waits until it is at the head of its key's queue, until a pause after an attempt that may still be executed ends,
//! and until final reports of earlier messages are acknowledged.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{OrderingKey, Time};
use crate::indices::MessageNumber;

/// The messages with one ordering key.
#[derive(Debug, Default)]
struct OrderedQueue {
    /// Message numbers, in the order accepted.
    numbers: VecDeque<MessageNumber>,
    /// Until then, only the message `paused_by` may be sent.
    paused_until: Time,
    /// The message whose attempt caused the pause, since it may still be executed.
    paused_by: Option<MessageNumber>,
    /// Number of unacknowledged final reports. While there are any, no message is sent.
    pending_reports: u32,
}

/// The queues of all ordering keys.
#[derive(Debug)]
pub(crate) struct OrderedQueues {
    queues: BTreeMap<OrderingKey, OrderedQueue>,
    /// Whether, after a message expires, its key is blocked until its final report is acknowledged.
    confirms_reports: bool,
    /// End of a pause of all keys.
    all_paused_until: Time,
}

impl OrderedQueues {
    /// Creates an empty set of queues.
    pub(crate) fn new(now: Time) -> OrderedQueues {
        OrderedQueues {
            queues: BTreeMap::new(),
            confirms_reports: false,
            all_paused_until: now,
        }
    }

    /// From now on, after a message expires, its key is blocked until its final report is acknowledged.
    pub(crate) fn confirm_reports(&mut self) {
        self.confirms_reports = true;
    }

    /// Records that a final report of a message with this key was started.
    pub(crate) fn await_report(&mut self, key: &OrderingKey) {
        self.queues.entry(key.clone()).or_default().pending_reports += 1;
    }

    /// Records that a final report of a message with this key was acknowledged.
    pub(crate) fn report_answered(&mut self, key: &OrderingKey) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.pending_reports = queue.pending_reports.saturating_sub(1);
        }
    }

    /// Records that a message with this key expires. If final reports are acknowledged, one is now pending.
    pub(crate) fn message_expires(&mut self, key: &OrderingKey) {
        if self.confirms_reports {
            self.await_report(key);
        }
    }

    /// Pauses all keys, including those that get a queue later.
    pub(crate) fn pause_all(&mut self, until: Time) {
        self.all_paused_until = until;
    }

    /// Pauses a key for all messages but `number`.
    pub(crate) fn pause(&mut self, key: &OrderingKey, number: MessageNumber, until: Time) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.paused_until = until;
            queue.paused_by = Some(number);
        }
    }

    /// Number of keys that have a queue.
    pub(crate) fn len(&self) -> usize {
        self.queues.len()
    }

    /// Adds a message at the end of its key's queue.
    pub(crate) fn push(&mut self, key: &OrderingKey, number: MessageNumber) {
        let queue = self.queues.entry(key.clone()).or_default();
        queue.numbers.push_back(number);
    }

    /// Removes a message from its key's queue.
    pub(crate) fn remove(&mut self, key: &OrderingKey, number: MessageNumber) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.numbers.retain(|&queued| queued != number);
        }
    }

    /// Whether a message may be sent as far as its ordering key is concerned: it is the head of its queue, no final report is
    /// pending and no pause applies to it.
    pub(crate) fn is_next(&self, key: &OrderingKey, number: MessageNumber, now: Time) -> bool {
        let Some(queue) = self.queues.get(key) else {
            return true;
        };
        let resumed = now >= queue.paused_until || queue.paused_by == Some(number);
        let resumed = resumed && now >= self.all_paused_until;
        queue.pending_reports == 0 && resumed && queue.numbers.front() == Some(&number)
    }

    /// When the pause of a key ends; `None` if it has no queue.
    pub(crate) fn paused_until(&self, key: &OrderingKey) -> Option<Time> {
        let queue = self.queues.get(key)?;
        Some(queue.paused_until.max(self.all_paused_until))
    }

    /// Removes queues without messages, pause or pending reports.
    pub(crate) fn remove_idle(&mut self, now: Time) {
        self.queues.retain(|_, queue| {
            !queue.numbers.is_empty() || queue.paused_until > now || queue.pending_reports > 0
        });
    }
}

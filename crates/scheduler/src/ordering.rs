//! Messages with one ordering key are sent one at a time, in the order accepted.
//!
//! A queue is held back by its head, by a pause after an attempt that may still be executed, and by final reports that are
//! not acknowledged yet.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{OrderingKey, Time};
use crate::indices::MessageNumber;

/// Messages that share an ordering key.
#[derive(Debug, Default)]
struct OrderedQueue {
    /// Message numbers, in the order accepted.
    numbers: VecDeque<MessageNumber>,
    /// Until then only `paused_by` may be sent: its attempt may still be executed.
    paused_until: Time,
    paused_by: Option<MessageNumber>,
    /// Final reports not acknowledged yet. No message is sent before they are.
    pending_reports: u32,
}

/// The queues of all ordering keys.
#[derive(Debug)]
pub(crate) struct OrderedQueues {
    queues: BTreeMap<OrderingKey, OrderedQueue>,
    /// An expired message holds its key until its final report is acknowledged.
    confirms_reports: bool,
    all_paused_until: Time,
}

impl OrderedQueues {
    /// No queues.
    pub(crate) fn new(now: Time) -> OrderedQueues {
        OrderedQueues {
            queues: BTreeMap::new(),
            confirms_reports: false,
            all_paused_until: now,
        }
    }

    /// From now on an expired message holds its key until its final report is acknowledged.
    pub(crate) fn confirm_reports(&mut self) {
        self.confirms_reports = true;
    }

    /// A final report of a message with this key was started.
    pub(crate) fn await_report(&mut self, key: &OrderingKey) {
        self.queues.entry(key.clone()).or_default().pending_reports += 1;
    }

    /// A final report of a message with this key was acknowledged.
    pub(crate) fn report_answered(&mut self, key: &OrderingKey) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.pending_reports = queue.pending_reports.saturating_sub(1);
        }
    }

    /// A message with this key expires: its final report follows, where reports are confirmed.
    pub(crate) fn message_expires(&mut self, key: &OrderingKey) {
        if self.confirms_reports {
            self.await_report(key);
        }
    }

    /// Pauses all keys.
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

    /// Number of keys with any state.
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

    /// Whether its ordering key lets a message be sent: it is the head of its queue, no report is pending and
    /// no pause holds it back.
    pub(crate) fn is_next(&self, key: &OrderingKey, number: MessageNumber, now: Time) -> bool {
        let Some(queue) = self.queues.get(key) else {
            return true;
        };
        let resumed = now >= queue.paused_until || queue.paused_by == Some(number);
        let resumed = resumed && now >= self.all_paused_until;
        queue.pending_reports == 0 && resumed && queue.numbers.front() == Some(&number)
    }

    /// When the pause of a key ends, if it has a queue.
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

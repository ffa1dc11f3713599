//! [`Backlog`]: recovered messages that wait until the scheduler has capacity for them.
//!
//! The scheduler rejects messages beyond the configured limit on pending messages. A process that recovers more
//! messages than that hands them over to the scheduler gradually, as capacity becomes available. Messages that can be
//! sent for the shortest time come first, and among these the ones that were accepted first.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::MessageId;

/// A message in the backlog. The derived order, by fields from first to last, is the order of release.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BacklogEntry {
    /// Latest time to hand the message over to the scheduler. It is no later than that of any later message with the
    /// same ordering key, as messages of one key are handed over in order.
    pub(crate) hand_over_by: Time,
    /// Position among all accepted messages of this process.
    pub(crate) sequence: u64,
    pub(crate) id: MessageId,
}

/// Recovered messages that wait for scheduler capacity, in the order of release.
#[derive(Debug)]
pub(crate) struct Backlog {
    /// Messages are released this long before `hand_over_by` even without capacity, so that the scheduler can end and
    /// report them before their deadline.
    margin: Duration,
    waiting: BTreeSet<BacklogEntry>,
}

impl Backlog {
    /// Creates an empty backlog.
    pub(crate) fn new(margin: Duration) -> Backlog {
        Backlog {
            margin,
            waiting: BTreeSet::new(),
        }
    }

    /// Adds a message to the backlog.
    pub(crate) fn add(&mut self, entry: BacklogEntry) {
        self.waiting.insert(entry);
    }

    /// Removes and returns up to `capacity` messages, and beyond that all messages whose `hand_over_by` is at most the
    /// margin away.
    pub(crate) fn release(&mut self, now: Time, capacity: usize) -> Vec<MessageId> {
        let mut released = Vec::new();
        while let Some(first) = self.waiting.first() {
            if released.len() >= capacity && first.hand_over_by > now + self.margin {
                break;
            }
            released.extend(self.waiting.pop_first().map(|entry| entry.id));
        }
        released
    }

    /// When the next message is released even without capacity; `None` if the backlog is empty.
    pub(crate) fn due(&self) -> Option<Time> {
        let first = self.waiting.first()?;
        let margin = self.margin.as_nanos() as u64;
        Some(Time(first.hand_over_by.0.saturating_sub(margin)))
    }
}

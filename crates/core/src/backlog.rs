//! [`Backlog`]: messages of an earlier process that wait until the scheduler has capacity for them.
//!
//! The scheduler ends messages beyond the settings' bound on pending ones. A process that recovers more than that hands
//! over what there is capacity for, and the rest as capacity appears: first the messages that can be sent for the
//! shortest time, and among these the ones accepted first.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::MessageId;

/// A message that waits; the order of the fields is the order of release.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BacklogEntry {
    /// When the scheduler must have it, for its own sake or for that of a later one of its ordering key.
    pub(crate) hand_over_by: Time,
    /// Its position among all messages that were accepted.
    pub(crate) sequence: u64,
    pub(crate) id: MessageId,
}

/// Messages that wait for capacity.
#[derive(Debug)]
pub(crate) struct Backlog {
    /// Messages are released this long before they are due, whatever the capacity: their end has to be reported in time.
    margin: Duration,
    waiting: BTreeSet<BacklogEntry>,
}

impl Backlog {
    /// An empty one.
    pub(crate) fn new(margin: Duration) -> Backlog {
        Backlog {
            margin,
            waiting: BTreeSet::new(),
        }
    }

    /// Adds a message.
    pub(crate) fn add(&mut self, entry: BacklogEntry) {
        self.waiting.insert(entry);
    }

    /// Removes and returns as many messages as there is capacity for, and all that are due.
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

    /// When the next message must be released whatever the capacity.
    pub(crate) fn due(&self) -> Option<Time> {
        let first = self.waiting.first()?;
        let margin = self.margin.as_nanos() as u64;
        Some(Time(first.hand_over_by.0.saturating_sub(margin)))
    }
}

//! Submissions that are due at a later time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// One submission of a message that was drawn before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Attempt {
    /// Index of the message.
    pub(super) origin: usize,
    /// After a rejection.
    pub(super) retry: bool,
    /// After a sender that did not answer.
    pub(super) again: bool,
}

/// A scheduled submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Scheduled {
    /// A new message of a clump, for the target of this index.
    New { target: usize },
    /// A message that was drawn before.
    Drawn(Attempt),
}

/// Scheduled submissions by time, those of one time in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub(super) struct Schedule {
    queue: BinaryHeap<Reverse<(Duration, u64, Scheduled)>>,
    added: u64,
}

impl Schedule {
    pub(super) fn add(&mut self, at: Duration, scheduled: Scheduled) {
        self.added += 1;
        self.queue.push(Reverse((at, self.added, scheduled)));
    }

    /// When the next one is due.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the next one, with its time.
    pub(super) fn pop(&mut self) -> Option<(Duration, Scheduled)> {
        let Reverse((at, _, scheduled)) = self.queue.pop()?;
        Some((at, scheduled))
    }
}

//! The queue of submissions that are due later.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A submission of a message that was drawn before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Attempt {
    /// Index of the message in [`Clients::origins`](super::Clients::origins).
    pub(super) origin: usize,
    /// Submitted again after a rejection or a returned message.
    pub(super) retry: bool,
    /// Submitted again because the sender did not answer.
    pub(super) again: bool,
}

/// A scheduled submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Scheduled {
    /// A new message of a clump, for the target with this index.
    New { target: usize },
    /// A message that was drawn before.
    Drawn(Attempt),
}

/// Scheduled submissions by time; submissions at the same time are in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub(super) struct Schedule {
    queue: BinaryHeap<Reverse<(Duration, u64, Scheduled)>>,
    /// Number of submissions added so far, which orders those at the same time.
    added: u64,
}

impl Schedule {
    pub(super) fn add(&mut self, at: Duration, scheduled: Scheduled) {
        self.added += 1;
        self.queue.push(Reverse((at, self.added, scheduled)));
    }

    /// When the next submission is due.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the next submission and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Duration, Scheduled)> {
        let Reverse((at, _, scheduled)) = self.queue.pop()?;
        Some((at, scheduled))
    }
}

//! [`WorkQueue`]: recovered messages in the order in which they are released to the scheduler. For each destination,
//! messages are ordered by the time until which they can be sent: their deadline or the end of their idempotency
//! window.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{DestinationId, MessageId};

/// Limit on the released messages of one destination that are neither sent nor ended: one to send, and the next one.
const MAX_RELEASED: usize = 2;
/// All messages are released within this time from the start, even if the released ones are not sent. Otherwise
/// messages to a destination without enough capacity, for which the scheduler prefers new messages, would stay queued
/// until they expire.
const RELEASE_PERIOD: Duration = Duration::from_secs(5);
/// A message is released at the latest when this fraction (one half) of its time remains. With short deadlines or
/// windows, a fixed time before the deadline would be too late for an attempt, and so would be the end of the release
/// period.
const MIN_REMAINING_DIVISOR: u32 = 2;

/// A message that is not released. The derived order, by fields from first to last, is the order of release.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedMessage {
    sendable_until: Time,
    id: MessageId,
}

/// The messages of one destination.
#[derive(Debug, Default)]
struct DestinationQueue {
    waiting: BTreeSet<QueuedMessage>,
    /// Messages that are released and neither sent nor ended.
    released: BTreeSet<MessageId>,
    /// Messages ever added.
    added_count: usize,
    /// Messages ever released.
    released_count: usize,
}

impl DestinationQueue {
    /// Whether a smaller fraction of the messages is released than of the release period has passed.
    fn is_behind_schedule(&self, passed_fraction: f64) -> bool {
        (self.released_count as f64) < self.added_count as f64 * passed_fraction
    }

    /// Removes and returns the next message; `None` if there is none or it may not be released yet.
    fn release_next(
        &mut self,
        now: Time,
        started_at: Time,
        passed_fraction: f64,
    ) -> Option<MessageId> {
        let first = self.waiting.first()?;
        let may_release = self.released.len() < MAX_RELEASED
            || self.is_behind_schedule(passed_fraction)
            || now >= latest_release(started_at, first.sendable_until);
        if !may_release {
            return None;
        }
        let QueuedMessage { id, .. } = self.waiting.pop_first()?;
        self.released_count += 1;
        self.released.insert(id.clone());
        Some(id)
    }

    fn is_finished(&self) -> bool {
        self.waiting.is_empty() && self.released.is_empty()
    }
}

/// Recovered messages that are not released, or released and neither sent nor ended, by destination.
#[derive(Debug)]
pub struct WorkQueue {
    started_at: Time,
    destinations: BTreeMap<DestinationId, DestinationQueue>,
}

impl WorkQueue {
    /// Creates the empty queue of a sender that started at `started_at`.
    pub fn new(started_at: Time) -> WorkQueue {
        WorkQueue {
            started_at,
            destinations: BTreeMap::new(),
        }
    }

    /// Adds a message that can be sent until `sendable_until`.
    pub fn add(&mut self, destination: DestinationId, sendable_until: Time, id: MessageId) {
        let queue = self.destinations.entry(destination).or_default();
        if queue.waiting.insert(QueuedMessage { sendable_until, id }) {
            queue.added_count += 1;
        }
    }

    /// Handles a message that has been sent or has ended: another one of its destination may be released.
    pub fn on_sent_or_ended(&mut self, destination: DestinationId, id: &MessageId) {
        if let Some(queue) = self.destinations.get_mut(&destination) {
            queue.released.remove(id);
        }
    }

    /// Removes and returns the messages to be released now, in the order of release for each destination.
    pub fn release(&mut self, now: Time) -> Vec<MessageId> {
        let passed = now - self.started_at;
        let passed_fraction = passed.as_secs_f64() / RELEASE_PERIOD.as_secs_f64();
        let mut released = Vec::new();
        for queue in self.destinations.values_mut() {
            while let Some(id) = queue.release_next(now, self.started_at, passed_fraction) {
                released.push(id);
            }
        }
        self.destinations.retain(|_, queue| !queue.is_finished());
        released
    }

    /// Latest time at which the next message is released; `None` if no message waits.
    pub fn next_release(&self) -> Option<Time> {
        self.destinations
            .values()
            .filter_map(|queue| queue.waiting.first())
            .map(|first| latest_release(self.started_at, first.sendable_until))
            .min()
    }

    /// Number of messages that are not released.
    pub fn waiting(&self) -> usize {
        let queues = self.destinations.values();
        queues.map(|queue| queue.waiting.len()).sum()
    }
}

/// Latest time to release a message that can be sent until `sendable_until`, for a sender that started at `started_at`.
fn latest_release(started_at: Time, sendable_until: Time) -> Time {
    let half_of_remaining_time = (sendable_until - started_at) / MIN_REMAINING_DIVISOR;
    started_at + half_of_remaining_time.min(RELEASE_PERIOD)
}

//! [`WorkQueue`]: messages that an earlier process accepted, in the order in which the scheduler gets them: of each
//! destination first those that can be sent for the shortest time, be that to the deadline or to the end of the
//! idempotency window.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{DestinationId, MessageId};

/// Messages of one destination that the scheduler may have without having sent them: one to send, and the next one.
const MAX_RELEASED: usize = 2;
/// All messages are released within this time, sent or not: where a destination is offered more than it serves, the
/// scheduler prefers new messages, and those of the queue would wait here until they expire.
const RELEASE_PERIOD: Duration = Duration::from_secs(5);
/// A message is released when this part of its time (one half) is left at the latest. A fixed time before the deadline
/// would be too late for an attempt where deadlines or windows are short, and so would be the release period.
const MIN_REMAINING_DIVISOR: u32 = 2;

/// A message that waits; the order of the fields is the order of release.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingMessage {
    last_chance: Time,
    id: MessageId,
}

#[derive(Debug, Default)]
struct DestinationQueue {
    waiting: BTreeSet<WaitingMessage>,
    /// Released, and neither sent nor ended.
    released: BTreeSet<MessageId>,
    added_count: usize,
    released_count: usize,
}

impl DestinationQueue {
    /// Whether fewer messages are released than the time that has passed allows for.
    fn is_behind(&self, passed_fraction: f64) -> bool {
        (self.released_count as f64) < self.added_count as f64 * passed_fraction
    }

    /// Removes and returns the next message, if it may be released.
    fn release_next(
        &mut self,
        now: Time,
        started_at: Time,
        passed_fraction: f64,
    ) -> Option<MessageId> {
        let first = self.waiting.first()?;
        let may_release = self.released.len() < MAX_RELEASED
            || self.is_behind(passed_fraction)
            || now >= latest_release(started_at, first.last_chance);
        if !may_release {
            return None;
        }
        let WaitingMessage { id, .. } = self.waiting.pop_first()?;
        self.released_count += 1;
        self.released.insert(id.clone());
        Some(id)
    }

    fn is_finished(&self) -> bool {
        self.waiting.is_empty() && self.released.is_empty()
    }
}

/// Messages that wait to be released, by destination.
#[derive(Debug)]
pub struct WorkQueue {
    started_at: Time,
    destinations: BTreeMap<DestinationId, DestinationQueue>,
}

impl WorkQueue {
    /// The empty queue of a sender that started then.
    pub fn new(started_at: Time) -> WorkQueue {
        WorkQueue {
            started_at,
            destinations: BTreeMap::new(),
        }
    }

    /// Adds a message that can be sent until `last_chance`.
    pub fn add(&mut self, destination: DestinationId, last_chance: Time, id: MessageId) {
        let queue = self.destinations.entry(destination).or_default();
        if queue.waiting.insert(WaitingMessage { last_chance, id }) {
            queue.added_count += 1;
        }
    }

    /// A message has been sent, or has ended: another one of its destination may be released.
    pub fn on_sent_or_ended(&mut self, destination: DestinationId, id: &MessageId) {
        if let Some(queue) = self.destinations.get_mut(&destination) {
            queue.released.remove(id);
        }
    }

    /// Removes and returns the messages that the scheduler gets now, in their order.
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

    /// When the next message must be released at the latest.
    pub fn next_release(&self) -> Option<Time> {
        self.destinations
            .values()
            .filter_map(|queue| queue.waiting.first())
            .map(|first| latest_release(self.started_at, first.last_chance))
            .min()
    }

    /// Messages that are not released.
    pub fn waiting(&self) -> usize {
        let queues = self.destinations.values();
        queues.map(|queue| queue.waiting.len()).sum()
    }
}

/// When a message that can be sent until then is released at the latest, by a sender that started at `started_at`.
fn latest_release(started_at: Time, last_chance: Time) -> Time {
    let half_of_its_time = (last_chance - started_at) / MIN_REMAINING_DIVISOR;
    started_at + half_of_its_time.min(RELEASE_PERIOD)
}

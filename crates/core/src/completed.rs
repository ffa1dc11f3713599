//! [`CompletedIds`]: ids of messages that have ended, kept for the longest message deadline, so that a repeated
//! submission is recognized and not delivered again.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::MessageId;

/// Maximum number of ids, which bounds the memory; beyond it the oldest ids are dropped.
const MAX_COMPLETED_IDS: usize = 8192;

/// An id, and the time at which it is dropped.
#[derive(Debug)]
struct Expiry {
    at: Time,
    id: MessageId,
}

/// Ids of messages that have ended, with their expiry times.
#[derive(Debug)]
pub(crate) struct CompletedIds {
    retention: Duration,
    ids: BTreeSet<MessageId>,
    expiries: VecDeque<Expiry>,
}

impl CompletedIds {
    /// Creates an empty set that keeps each id for `retention`: the longest deadline of any message class.
    pub(crate) fn new(retention: Duration) -> CompletedIds {
        CompletedIds {
            retention,
            ids: BTreeSet::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Whether the message has ended and its id has not expired.
    pub(crate) fn contains(&self, id: &MessageId) -> bool {
        self.ids.contains(id)
    }

    /// Keeps an id for the whole retention. Returns when it expires.
    pub(crate) fn remember(&mut self, now: Time, id: &MessageId) -> Time {
        let until = now + self.retention;
        self.insert(now, id, until);
        until
    }

    /// Restores an id that an earlier process kept until `until`. The id is kept for the retention at most, as the
    /// clock of that process may have been far ahead.
    pub(crate) fn restore(&mut self, now: Time, id: &MessageId, until: Time) {
        self.insert(now, id, until.min(now + self.retention));
    }

    /// Adds an id, and drops the expired ids and those beyond [`MAX_COMPLETED_IDS`].
    fn insert(&mut self, now: Time, id: &MessageId, until: Time) {
        if self.ids.insert(id.clone()) {
            self.expiries.push_back(Expiry {
                at: until,
                id: id.clone(),
            });
        }
        while self.expiries.len() > MAX_COMPLETED_IDS
            || self.expiries.front().is_some_and(|first| first.at <= now)
        {
            let Some(expired) = self.expiries.pop_front() else {
                return;
            };
            self.ids.remove(&expired.id);
        }
    }
}

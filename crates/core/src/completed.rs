//! [`CompletedIds`]: ids of messages that have ended, remembered for as long as a message lasts, so that a repeated
//! submission does not count as a new message.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::MessageId;

/// Ids remembered at most, to bound the memory; the oldest are forgotten first.
const MAX_COMPLETED_IDS: usize = 8192;

#[derive(Debug)]
struct Expiry {
    at: Time,
    id: MessageId,
}

/// Ids of messages that have ended, in the order in which they are forgotten.
#[derive(Debug)]
pub(crate) struct CompletedIds {
    retention: Duration,
    ids: BTreeSet<MessageId>,
    expiries: VecDeque<Expiry>,
}

impl CompletedIds {
    /// Remembers ids for `retention`: the longest time that a message lasts.
    pub(crate) fn new(retention: Duration) -> CompletedIds {
        CompletedIds {
            retention,
            ids: BTreeSet::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Whether the message has ended and its id is still remembered.
    pub(crate) fn contains(&self, id: &MessageId) -> bool {
        self.ids.contains(id)
    }

    /// Remembers an id for the whole retention. Returns when it ends.
    pub(crate) fn remember(&mut self, now: Time, id: &MessageId) -> Time {
        let until = now + self.retention;
        self.insert(now, id, until);
        until
    }

    /// Remembers an id that an earlier process remembered until then, for the retention at most: its clock may have
    /// been far ahead.
    pub(crate) fn restore(&mut self, now: Time, id: &MessageId, until: Time) {
        self.insert(now, id, until.min(now + self.retention));
    }

    /// Remembers an id, and forgets those that are due.
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

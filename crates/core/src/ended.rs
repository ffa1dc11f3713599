//! Ids of messages that have ended, remembered for as long as a message lasts: a repeat of one is no new message.

use std::collections::{BTreeSet, VecDeque};

use cranehill_scheduler::Time;

/// Ids that are remembered, at most; the oldest go first.
const ENDED_MOST: usize = 8192;

/// The remembered ids, in the order in which they are forgotten.
#[derive(Debug, Default)]
pub(crate) struct Ended {
    ids: BTreeSet<String>,
    order: VecDeque<(Time, String)>,
}

impl Ended {
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Remembers `id` until then, and forgets what is due `now`.
    pub(crate) fn note(&mut self, id: &str, until: Time, now: Time) {
        if self.ids.insert(id.to_owned()) {
            self.order.push_back((until, id.to_owned()));
        }
        while self.order.len() > ENDED_MOST
            || self.order.front().is_some_and(|(until, _)| *until <= now)
        {
            let Some((_, id)) = self.order.pop_front() else {
                return;
            };
            self.ids.remove(&id);
        }
    }
}

//! Endpoints that operators have taken out: whatever the directory says of them, they drain until the call back, one however
//! many calls took them out; then they come back as cold ones.

use std::collections::BTreeMap;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, EndpointId, Entry, Event};
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::reducer::Core;

/// Names kept at most: an operator works on a few endpoints, and each name takes room in the folder.
pub const MOST: usize = 64;
/// An id longer than this is nobody's.
const ID_MOST: usize = 128;

/// What the next process over the folder must know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detachments {
    /// Endpoints that are out.
    pub out: Vec<String>,
    /// Attached again and still cold, each with the Unix time in nanoseconds since when.
    pub back: Vec<(String, u64)>,
}

#[derive(Debug, Default)]
pub(crate) struct Detached {
    /// Those that are out, and when each was last listed or asked for.
    out: BTreeMap<EndpointId, Time>,
    /// Attached, and since then on the way back.
    returning: BTreeMap<EndpointId, Time>,
}

impl Detached {
    /// What the decisions are to know of an entry.
    pub(crate) fn over(&mut self, now: Time, mut entry: Entry) -> Entry {
        if let Some(seen) = self.out.get_mut(&entry.endpoint) {
            *seen = now;
            if entry.condition == Condition::Ready {
                entry.condition = Condition::Draining;
            }
        }
        entry
    }

    /// Forgets what is not listed any more, and has not been for long: under that id nobody comes back.
    pub(crate) fn forget(&mut self, now: Time, listed: impl Fn(&EndpointId) -> bool) {
        self.out.retain(|id, seen| {
            if listed(id) {
                *seen = now;
            }
            now - *seen < super::list::FORGOTTEN
        });
        self.returning.retain(|id, _| listed(id));
    }
}

impl Core {
    /// An operator detaches an endpoint, or attaches it again.
    pub(crate) fn on_detach(&mut self, by: usize, endpoint: String, back: bool) -> Vec<Effect> {
        let (now, id) = (self.now, EndpointId(endpoint));
        let listed = self.list.contains(&id);
        let was_out = self.detached.out.contains_key(&id);
        let room = self.detached.out.len() < MOST && id.0.len() <= ID_MOST;
        let known = was_out || listed && (back || room);
        match back {
            true => drop(self.detached.out.remove(&id)),
            false if known => drop(self.detached.out.insert(id.clone(), now)),
            false => {}
        }
        let mut effects = Vec::new();
        if listed && was_out == back && known {
            if !back {
                self.detached.returning.remove(&id);
                effects.push(Effect::CancelUnwritten {
                    endpoints: vec![id.clone()],
                });
            } else {
                self.detached.returning.insert(id.clone(), now);
                self.scheduler.bar_endpoint(&id);
            }
            // What stands connected is of the endpoint as it was: it may be restarted before it is attached.
            effects.push(Effect::CloseIdle(id.clone()));
            self.push_entry_event(&id);
        }
        let detached = &self.detached;
        let now = Detachments {
            out: detached.out.keys().map(|id| id.0.clone()).collect(),
            back: detached
                .returning
                .iter()
                .map(|(id, since)| (id.0.clone(), since.0))
                .collect(),
        };
        effects.push(Effect::Detached { by, known, now });
        effects
    }

    /// What an earlier process of this sender had detached.
    pub fn detached_before(&mut self, before: Detachments) {
        let (now, cold) = (self.now, self.cold());
        for id in before
            .out
            .into_iter()
            .filter(|id| id.len() <= ID_MOST)
            .take(MOST)
            .map(EndpointId)
        {
            self.detached.out.insert(id.clone(), now);
            self.push_entry_event(&id);
        }
        for (id, since) in before.back.into_iter().take(MOST) {
            // A clock that was ahead must not keep it cold for longer than it is.
            let (id, since) = (EndpointId(id), Time(since).min(now));
            if now - since < cold && self.list.contains(&id) {
                self.detached.returning.insert(id, since);
            }
        }
    }

    fn push_entry_event(&mut self, id: &EndpointId) {
        let Some(entry) = self.list.entry(id) else {
            return;
        };
        let entry = self.detached.over(self.now, entry);
        self.events.push(Event::List {
            whole: false,
            entries: vec![entry],
        });
    }

    /// Before the decisions of a turn: lets in what may go to endpoints on their way back.
    pub(crate) fn update_returning(&mut self) {
        let (now, cold) = (self.now, self.cold());
        let detached = &mut self.detached;
        for (id, since) in std::mem::take(&mut detached.returning) {
            if now - since >= cold {
                self.scheduler.unbar_endpoint(&id);
                continue;
            }
            self.scheduler.admit_endpoint(now, &id, since);
            detached.returning.insert(id, since);
        }
    }
}

//! [`DetachedEndpoints`]: endpoints that operators have detached. Whatever discovery says of them, they drain until they
//! are attached again, by one call however many calls detached them; then they start slowly like warming up ones.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_scheduler::api::{Condition, EndpointId, Entry};
use cranehill_scheduler::{Scheduler, Time};

use crate::detachments::Detachments;
use crate::endpoint_list::DESTINATION_RETENTION;

/// Endpoints detached at most: an operator works on a few, and each takes space in the state file.
const MAX_DETACHED: usize = 64;
/// Bytes of an endpoint's id at most: a longer one does not fit into the state file's bound.
const MAX_ID_BYTES: usize = 128;

/// Endpoints that are detached, or attached again and warming up.
#[derive(Debug)]
pub(crate) struct DetachedEndpoints {
    /// How long an attached endpoint warms up.
    warm_up: Duration,
    /// Those detached, and when each was last listed or asked for.
    last_seen: BTreeMap<EndpointId, Time>,
    /// Those warming up, and since when.
    attached_at: BTreeMap<EndpointId, Time>,
}

impl DetachedEndpoints {
    /// None; endpoints that are attached again warm up for `warm_up`.
    pub(crate) fn new(warm_up: Duration) -> DetachedEndpoints {
        DetachedEndpoints {
            warm_up,
            last_seen: BTreeMap::new(),
            attached_at: BTreeMap::new(),
        }
    }

    /// Whether the endpoint is detached.
    pub(crate) fn contains(&self, id: &EndpointId) -> bool {
        self.last_seen.contains_key(id)
    }

    /// Whether the endpoint can be detached within the bounds.
    pub(crate) fn has_capacity_for(&self, id: &EndpointId) -> bool {
        self.last_seen.len() < MAX_DETACHED && id.0.len() <= MAX_ID_BYTES
    }

    /// Detaches an endpoint.
    pub(crate) fn detach(&mut self, now: Time, id: &EndpointId) {
        self.last_seen.insert(id.clone(), now);
    }

    /// Attaches an endpoint. It warms up once [`DetachedEndpoints::start_warm_up`] says so.
    pub(crate) fn attach(&mut self, id: &EndpointId) {
        self.last_seen.remove(id);
    }

    /// An attached endpoint warms up from now on.
    pub(crate) fn start_warm_up(&mut self, now: Time, id: &EndpointId) {
        self.attached_at.insert(id.clone(), now);
    }

    /// An endpoint does not warm up any more.
    pub(crate) fn stop_warm_up(&mut self, id: &EndpointId) {
        self.attached_at.remove(id);
    }

    /// A listed entry as the scheduler sees it: draining where it is detached.
    pub(crate) fn apply_to(&mut self, now: Time, mut entry: Entry) -> Entry {
        if let Some(last_seen) = self.last_seen.get_mut(&entry.endpoint) {
            *last_seen = now;
            if entry.condition == Condition::Ready {
                entry.condition = Condition::Draining;
            }
        }
        entry
    }

    /// Forgets endpoints that have not been listed for long: they won't come back under their ids.
    pub(crate) fn forget_unlisted(&mut self, now: Time, is_listed: impl Fn(&EndpointId) -> bool) {
        self.last_seen.retain(|id, last_seen| {
            if is_listed(id) {
                *last_seen = now;
            }
            now - *last_seen < DESTINATION_RETENTION
        });
        self.attached_at.retain(|id, _| is_listed(id));
    }

    /// All, as the state file keeps them.
    pub(crate) fn snapshot(&self) -> Detachments {
        Detachments {
            out: self.last_seen.keys().map(|id| id.0.clone()).collect(),
            back: self
                .attached_at
                .iter()
                .map(|(id, since)| (id.0.clone(), since.0))
                .collect(),
        }
    }

    /// Detaches what an earlier process had detached, as far as the bounds allow. Returns these endpoints.
    pub(crate) fn restore_detached(&mut self, now: Time, ids: Vec<String>) -> Vec<EndpointId> {
        let valid = ids.into_iter().filter(|id| id.len() <= MAX_ID_BYTES);
        let restored: Vec<EndpointId> = valid.take(MAX_DETACHED).map(EndpointId).collect();
        for id in &restored {
            self.detach(now, id);
        }
        restored
    }

    /// Goes on with warming up what an earlier process had attached, each with the Unix time in nanoseconds of its
    /// attachment.
    pub(crate) fn restore_attached(
        &mut self,
        now: Time,
        attached: Vec<(String, u64)>,
        is_listed: impl Fn(&EndpointId) -> bool,
    ) {
        for (id, since) in attached.into_iter().take(MAX_DETACHED) {
            // A clock that was ahead must not prolong the warm-up.
            let (id, since) = (EndpointId(id), Time(since).min(now));
            if now - since < self.warm_up && is_listed(&id) {
                self.attached_at.insert(id, since);
            }
        }
    }

    /// Before the scheduler decides: admits what endpoints that are warming up can serve now.
    pub(crate) fn admit_warming_up(&mut self, now: Time, scheduler: &mut Scheduler) {
        let warm_up = self.warm_up;
        self.attached_at.retain(|id, since| {
            let is_warming_up = now - *since < warm_up;
            if is_warming_up {
                scheduler.admit_endpoint(now, id, *since);
            } else {
                scheduler.unbar_endpoint(id);
            }
            is_warming_up
        });
    }
}

//! [`DetachedEndpoints`]: endpoints that operators have detached.
//!
//! A detached endpoint is treated as draining even if discovery lists it as ready. Detaching is not counted: a single
//! attach request ends it, after any number of detach requests. The endpoint then warms up with a slow start.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_scheduler::api::{Condition, EndpointId, Entry};
use cranehill_scheduler::{Scheduler, Time};

use crate::detachments::Detachments;
use crate::endpoint_list::DESTINATION_RETENTION;

/// Operators detach only a few endpoints at a time, and each one takes space in the state file.
const MAX_DETACHED_ENDPOINTS: usize = 64;
/// Ids longer than this could exceed the size limit of the state file.
const MAX_ENDPOINT_ID_BYTES: usize = 128;

/// Endpoints that are detached, and endpoints that are attached again and warming up.
#[derive(Debug)]
pub(crate) struct DetachedEndpoints {
    /// How long an endpoint warms up after it is attached.
    warm_up: Duration,
    /// Detached endpoints, and when each was last listed by discovery or detached by a request.
    last_seen: BTreeMap<EndpointId, Time>,
    /// Endpoints that are warming up, and when each was attached.
    attached_at: BTreeMap<EndpointId, Time>,
}

impl DetachedEndpoints {
    /// Creates an empty set; endpoints that are attached again warm up for `warm_up`.
    pub(crate) fn new(warm_up: Duration) -> DetachedEndpoints {
        DetachedEndpoints {
            warm_up,
            last_seen: BTreeMap::new(),
            attached_at: BTreeMap::new(),
        }
    }

    /// Whether an operator has detached the endpoint.
    pub(crate) fn contains(&self, id: &EndpointId) -> bool {
        self.last_seen.contains_key(id)
    }

    /// Whether the limits on the number of detached endpoints and on the length of an id allow detaching this endpoint.
    pub(crate) fn has_capacity_for(&self, id: &EndpointId) -> bool {
        self.last_seen.len() < MAX_DETACHED_ENDPOINTS && id.0.len() <= MAX_ENDPOINT_ID_BYTES
    }

    /// Marks an endpoint as detached as of `now`.
    pub(crate) fn detach(&mut self, now: Time, id: &EndpointId) {
        self.last_seen.insert(id.clone(), now);
    }

    /// Ends the detachment of an endpoint. The warm-up is started separately, by [`DetachedEndpoints::start_warm_up`].
    pub(crate) fn attach(&mut self, id: &EndpointId) {
        self.last_seen.remove(id);
    }

    /// Starts the warm-up of an attached endpoint.
    pub(crate) fn start_warm_up(&mut self, now: Time, id: &EndpointId) {
        self.attached_at.insert(id.clone(), now);
    }

    /// Ends the warm-up of an endpoint early.
    pub(crate) fn stop_warm_up(&mut self, id: &EndpointId) {
        self.attached_at.remove(id);
    }

    /// Returns a discovery entry as passed to the scheduler: a ready endpoint is draining if it is detached.
    pub(crate) fn apply_to(&mut self, now: Time, mut entry: Entry) -> Entry {
        if let Some(last_seen) = self.last_seen.get_mut(&entry.endpoint) {
            *last_seen = now;
            if entry.condition == Condition::Ready {
                entry.condition = Condition::Draining;
            }
        }
        entry
    }

    /// Drops endpoints that have not been listed for [`DESTINATION_RETENTION`]: their ids are not expected to be
    /// reused.
    pub(crate) fn forget_unlisted(&mut self, now: Time, is_listed: impl Fn(&EndpointId) -> bool) {
        self.last_seen.retain(|id, last_seen| {
            if is_listed(id) {
                *last_seen = now;
            }
            now - *last_seen < DESTINATION_RETENTION
        });
        self.attached_at.retain(|id, _| is_listed(id));
    }

    /// Returns all detachments in the form that is written to the state file.
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

    /// Restores the endpoints that an earlier process had detached, within the limits. Returns the restored endpoints.
    pub(crate) fn restore_detached(&mut self, now: Time, ids: Vec<String>) -> Vec<EndpointId> {
        let valid = ids
            .into_iter()
            .filter(|id| id.len() <= MAX_ENDPOINT_ID_BYTES);
        let restored: Vec<EndpointId> =
            valid.take(MAX_DETACHED_ENDPOINTS).map(EndpointId).collect();
        for id in &restored {
            self.detach(now, id);
        }
        restored
    }

    /// Resumes the warm-up of endpoints that were attached in an earlier process, each given with the Unix time in
    /// nanoseconds of its attachment.
    pub(crate) fn restore_attached(
        &mut self,
        now: Time,
        attached: Vec<(String, u64)>,
        is_listed: impl Fn(&EndpointId) -> bool,
    ) {
        for (id, since) in attached.into_iter().take(MAX_DETACHED_ENDPOINTS) {
            // An attachment time in the future, by a clock that was ahead, must not prolong the warm-up.
            let (id, since) = (EndpointId(id), Time(since).min(now));
            if now - since < self.warm_up && is_listed(&id) {
                self.attached_at.insert(id, since);
            }
        }
    }

    /// Called before the scheduler decides in a tick: sets the rate that each endpoint admits at its stage of the
    /// warm-up, and ends the warm-ups that are complete.
    pub(crate) fn admit_warming_up(&mut self, now: Time, scheduler: &mut Scheduler) {
        let warm_up = self.warm_up;
        self.attached_at.retain(|id, since| {
            let is_warming_up = now - *since < warm_up;
            if is_warming_up {
                scheduler.refill_endpoint_gate(now, id, *since);
            } else {
                scheduler.open_endpoint_gate(id);
            }
            is_warming_up
        });
    }
}

//! [`Endpoints`]: the endpoint list of discovery, combined with the detachments by operators.

use std::time::Duration;

use cranehill_scheduler::api::{DestinationId, EndpointId, Entry};
use cranehill_scheduler::{Scheduler, Time};

use crate::detached_endpoints::DetachedEndpoints;
use crate::detachments::Detachments;
use crate::effect::Effect;
use crate::endpoint_list::EndpointList;
use crate::message::Listing;

/// An operator's request to detach an endpoint, or to attach it again.
pub(crate) struct DetachRequest {
    /// Number of the operator's connection, to which the answer is sent.
    pub(crate) connection: usize,
    pub(crate) endpoint: EndpointId,
    /// True to attach the endpoint, false to detach it.
    pub(crate) attach: bool,
}

/// The result of a [`DetachRequest`].
pub(crate) struct DetachResult {
    pub(crate) effects: Vec<Effect>,
    /// The endpoint's entry for the scheduler, if it has changed.
    pub(crate) entry: Option<Entry>,
}

/// The result of an update of the endpoint list.
pub(crate) struct EndpointsUpdate {
    /// The update as passed to the scheduler, with detached endpoints as draining.
    pub(crate) entries: Vec<Entry>,
    pub(crate) effects: Vec<Effect>,
}

/// The endpoint list of discovery, and the detached endpoints.
#[derive(Debug)]
pub(crate) struct Endpoints {
    list: EndpointList,
    detached: DetachedEndpoints,
}

impl Endpoints {
    /// Creates an empty list; endpoints that are attached again warm up for `warm_up`.
    pub(crate) fn new(warm_up: Duration) -> Endpoints {
        Endpoints {
            list: EndpointList::default(),
            detached: DetachedEndpoints::new(warm_up),
        }
    }

    /// The endpoint list as discovery sent it, regardless of detachments.
    pub(crate) fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Replaces the list if `whole` is true; otherwise applies `listings` as changes.
    pub(crate) fn update(
        &mut self,
        now: Time,
        whole: bool,
        listings: Vec<Listing>,
    ) -> EndpointsUpdate {
        let entries = listings
            .iter()
            .map(|listing| self.detached.apply_to(now, listing.entry.clone()))
            .collect();
        let update = self.list.update(now, whole, listings);
        log::debug!(visited = update.visited; "endpoint list: {} entries visited", update.visited);
        self.detached
            .forget_unlisted(now, |id| self.list.contains(id));
        // The address of a closed endpoint may be reassigned: an idle connection must not be reused for the new owner, and no call be
        // written there any more.
        let close_idle = update.closed.iter().cloned().map(Effect::CloseIdle);
        let mut effects: Vec<Effect> = close_idle.collect();
        effects.push(Effect::CancelUnwritten {
            endpoints: update.closed,
        });
        EndpointsUpdate { entries, effects }
    }

    /// The effect that sends a health check to the endpoint; `None` if it is not listed.
    pub(crate) fn check_health(&self, endpoint: EndpointId) -> Option<Effect> {
        let address = self.list.address(&endpoint)?.to_owned();
        Some(Effect::CheckHealth { endpoint, address })
    }

    /// The effect that cancels the calls to a destination of which no byte has been written yet.
    pub(crate) fn cancel_unwritten(&self, destination: DestinationId) -> Effect {
        let endpoints = self.list.of_destination(destination);
        Effect::CancelUnwritten {
            endpoints: endpoints.cloned().collect(),
        }
    }

    /// Handles an operator's request to detach an endpoint or to attach it again.
    pub(crate) fn detach(
        &mut self,
        now: Time,
        request: DetachRequest,
        scheduler: &mut Scheduler,
    ) -> DetachResult {
        let DetachRequest {
            connection,
            endpoint: id,
            attach,
        } = request;
        let listed = self.list.contains(&id);
        let was_detached = self.detached.contains(&id);
        let is_within_limits = attach || self.detached.has_capacity_for(&id);
        let known = was_detached || listed && is_within_limits;
        if attach {
            self.detached.attach(&id);
        } else if known {
            self.detached.detach(now, &id);
        }
        let mut effects = Vec::new();
        let mut entry = None;
        // A request for the state that the endpoint is already in has no effect.
        if known && listed && was_detached == attach {
            if attach {
                self.detached.start_warm_up(now, &id);
                scheduler.close_endpoint_gate(&id);
            } else {
                self.detached.stop_warm_up(&id);
                effects.push(Effect::CancelUnwritten {
                    endpoints: vec![id.clone()],
                });
            }
            // The endpoint may be restarted while it is detached, which would invalidate the idle connections.
            effects.push(Effect::CloseIdle(id.clone()));
            entry = self.entry(now, &id);
        }
        effects.push(Effect::Detached {
            connection,
            known,
            detachments: self.detached.snapshot(),
        });
        DetachResult { effects, entry }
    }

    /// Restores the detachments of an earlier process. Returns the changed entries, for the scheduler.
    pub(crate) fn restore_detachments(&mut self, now: Time, before: Detachments) -> Vec<Entry> {
        let detached = self.detached.restore_detached(now, before.out);
        let entries = detached
            .iter()
            .filter_map(|id| self.entry(now, id))
            .collect();
        self.detached
            .restore_attached(now, before.back, |id| self.list.contains(id));
        entries
    }

    /// Called before the scheduler decides in a tick: sets the rate that each endpoint admits at its stage of the
    /// warm-up.
    pub(crate) fn admit_warming_up(&mut self, now: Time, scheduler: &mut Scheduler) {
        self.detached.admit_warming_up(now, scheduler);
    }

    /// The entry of a listed endpoint as passed to the scheduler: draining if it is detached.
    fn entry(&mut self, now: Time, id: &EndpointId) -> Option<Entry> {
        let entry = self.list.entry(id)?;
        Some(self.detached.apply_to(now, entry))
    }
}

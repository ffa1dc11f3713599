//! [`Endpoints`]: what discovery lists, combined with what operators have detached.

use std::time::Duration;

use cranehill_scheduler::api::{DestinationId, EndpointId, Entry};
use cranehill_scheduler::{Scheduler, Time};

use crate::detached_endpoints::DetachedEndpoints;
use crate::detachments::Detachments;
use crate::effect::Effect;
use crate::endpoint_list::EndpointList;
use crate::message::Listing;

/// What an operator asks for: to detach an endpoint, or to attach it again.
pub(crate) struct DetachRequest {
    /// Number of the operator's connection, for the answer.
    pub(crate) by: usize,
    pub(crate) endpoint: EndpointId,
    pub(crate) attach: bool,
}

/// What a request changes.
pub(crate) struct DetachResult {
    pub(crate) effects: Vec<Effect>,
    /// The endpoint's changed entry, for the scheduler.
    pub(crate) entry: Option<Entry>,
}

/// What an update of the list changes.
pub(crate) struct EndpointsUpdate {
    /// The update as the scheduler sees it.
    pub(crate) entries: Vec<Entry>,
    pub(crate) effects: Vec<Effect>,
}

/// The endpoints as discovery lists them, and those of them that are detached.
#[derive(Debug)]
pub(crate) struct Endpoints {
    list: EndpointList,
    detached: DetachedEndpoints,
}

impl Endpoints {
    /// None; endpoints that are attached again warm up for `warm_up`.
    pub(crate) fn new(warm_up: Duration) -> Endpoints {
        Endpoints {
            list: EndpointList::default(),
            detached: DetachedEndpoints::new(warm_up),
        }
    }

    /// The endpoints as they are listed.
    pub(crate) fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Updates the list by a whole one, or by changes to it.
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
        // Idle connections to closed endpoints must not reach whoever gets their addresses next.
        let close_idle = update.closed.iter().cloned().map(Effect::CloseIdle);
        let mut effects: Vec<Effect> = close_idle.collect();
        effects.push(Effect::CancelUnwritten {
            endpoints: update.closed,
        });
        EndpointsUpdate { entries, effects }
    }

    /// The effect that sends a health check, where the endpoint is listed.
    pub(crate) fn check_health(&self, endpoint: EndpointId) -> Option<Effect> {
        let address = self.list.address(&endpoint)?.to_owned();
        Some(Effect::CheckHealth { endpoint, address })
    }

    /// The effect that cancels calls to a destination of which nothing is written yet.
    pub(crate) fn cancel_unwritten(&self, destination: DestinationId) -> Effect {
        let endpoints = self.list.of_destination(destination);
        Effect::CancelUnwritten {
            endpoints: endpoints.cloned().collect(),
        }
    }

    /// Detaches an endpoint or attaches it again, as an operator asks.
    pub(crate) fn detach(
        &mut self,
        now: Time,
        request: DetachRequest,
        scheduler: &mut Scheduler,
    ) -> DetachResult {
        let DetachRequest {
            by,
            endpoint: id,
            attach,
        } = request;
        let listed = self.list.contains(&id);
        let was_detached = self.detached.contains(&id);
        let may_change = attach || self.detached.has_capacity_for(&id);
        let known = was_detached || listed && may_change;
        if attach {
            self.detached.attach(&id);
        } else if known {
            self.detached.detach(now, &id);
        }
        let mut effects = Vec::new();
        let mut entry = None;
        if known && listed && was_detached == attach {
            if attach {
                self.detached.start_warm_up(now, &id);
                scheduler.bar_endpoint(&id);
            } else {
                self.detached.stop_warm_up(&id);
                effects.push(Effect::CancelUnwritten {
                    endpoints: vec![id.clone()],
                });
            }
            // Idle connections are of the endpoint as it was: it may be restarted before it is attached.
            effects.push(Effect::CloseIdle(id.clone()));
            entry = self.entry(now, &id);
        }
        effects.push(Effect::Detached {
            by,
            known,
            now: self.detached.snapshot(),
        });
        DetachResult { effects, entry }
    }

    /// Restores what an earlier process had detached. Returns the changed entries, for the scheduler.
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

    /// Before the scheduler decides: admits what endpoints that are warming up can serve now.
    pub(crate) fn admit_warming_up(&mut self, now: Time, scheduler: &mut Scheduler) {
        self.detached.admit_warming_up(now, scheduler);
    }

    /// An endpoint's entry as the scheduler sees it.
    fn entry(&mut self, now: Time, id: &EndpointId) -> Option<Entry> {
        let entry = self.list.entry(id)?;
        Some(self.detached.apply_to(now, entry))
    }
}

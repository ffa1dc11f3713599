//! [`EndpointList`]: the endpoints that discovery lists, indexed by id, destination and zone.
//!
//! The cost of a change is proportional to the entries in it, and that of a whole list is one merge pass. A destination
//! whose last endpoint is removed stays known for ten minutes, as all of its endpoints may be in the middle of being
//! replaced.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry};

use crate::message::Listing;

/// How long a destination without endpoints stays known.
pub(crate) const DESTINATION_RETENTION: Duration = Duration::from_secs(600);

/// An endpoint as it was listed last. Its id is the key in [`EndpointList`].
#[derive(Debug)]
struct ListedEndpoint {
    destination: DestinationId,
    condition: Condition,
    zone: u32,
    kind: usize,
    rate: f64,
    address: String,
}

/// What an update of the list did.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListUpdate {
    /// Endpoints that take no new work from now on: those that a whole list no longer names, in the order of their ids,
    /// then those that the update names as draining or removed.
    pub closed: Vec<EndpointId>,
    /// Entries examined, of the update and of the list: a measure of its cost.
    pub visited: usize,
}

/// The endpoints that discovery lists.
#[derive(Debug, Default)]
pub struct EndpointList {
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    by_destination: BTreeSet<(DestinationId, EndpointId)>,
    zones: BTreeMap<u32, usize>,
    /// Destinations without an endpoint, and since when.
    unlisted: BTreeMap<DestinationId, Time>,
    /// The same in the order of these times.
    unlisted_order: BTreeSet<(Time, DestinationId)>,
}

impl EndpointList {
    /// Replaces the list by a `whole` one, or applies changes to it. Of several entries for one endpoint the last counts.
    pub fn update(&mut self, now: Time, whole: bool, list: Vec<Listing>) -> ListUpdate {
        let mut update = ListUpdate {
            closed: Vec::new(),
            visited: list.len(),
        };
        let not_ready = list
            .iter()
            .filter(|l| l.entry.condition != Condition::Ready);
        let not_ready: Vec<EndpointId> = not_ready.map(|l| l.entry.endpoint.clone()).collect();
        let named: BTreeMap<EndpointId, Listing> = list
            .into_iter()
            .map(|l| (l.entry.endpoint.clone(), l))
            .collect();
        if whole {
            update.visited += self.endpoints.len();
            update.closed = self.not_named(&named);
            for id in &update.closed {
                self.remove(now, id);
            }
        }
        update.closed.extend(not_ready);
        for (id, Listing { entry, address }) in named {
            match entry.condition {
                Condition::Removed => self.remove(now, &id),
                Condition::Ready | Condition::Draining => self.insert(now, id, entry, address),
            }
        }
        update.visited += self.forget(now);
        update
    }

    /// Whether the destination has a listed endpoint, or had one in the last ten minutes.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.has_endpoints(destination) || self.unlisted.contains_key(&destination)
    }

    /// The endpoints of a destination, in the order of their ids.
    pub fn of_destination(&self, destination: DestinationId) -> impl Iterator<Item = &EndpointId> {
        let first = (destination, EndpointId(String::new()));
        let endpoints = self.by_destination.range(first..);
        endpoints
            .take_while(move |(of, _)| *of == destination)
            .map(|(_, id)| id)
    }

    /// How many endpoints are listed in each zone that has any.
    pub fn zones(&self) -> &BTreeMap<u32, usize> {
        &self.zones
    }

    /// The zone of an endpoint.
    pub fn zone(&self, id: &EndpointId) -> Option<u32> {
        self.endpoints.get(id).map(|listed| listed.zone)
    }

    /// The address of an endpoint.
    pub fn address(&self, id: &EndpointId) -> Option<&str> {
        self.endpoints.get(id).map(|listed| listed.address.as_str())
    }

    /// An endpoint as it was listed last.
    pub fn entry(&self, id: &EndpointId) -> Option<Entry> {
        let listed = self.endpoints.get(id)?;
        Some(Entry {
            endpoint: id.clone(),
            destination: listed.destination,
            condition: listed.condition,
            zone: listed.zone,
            kind: listed.kind,
            rate: listed.rate,
        })
    }

    /// Whether the endpoint is listed.
    pub fn contains(&self, id: &EndpointId) -> bool {
        self.endpoints.contains_key(id)
    }

    /// Endpoints listed.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Endpoints that this whole list does not name: both are in the order of their ids, and compared in one pass.
    fn not_named(&self, named: &BTreeMap<EndpointId, Listing>) -> Vec<EndpointId> {
        let mut named = named.keys().peekable();
        let mut missing = Vec::new();
        for id in self.endpoints.keys() {
            while named.next_if(|name| *name < id).is_some() {}
            if named.peek() != Some(&id) {
                missing.push(id.clone());
            }
        }
        missing
    }

    fn insert(&mut self, now: Time, id: EndpointId, entry: Entry, address: String) {
        let Entry {
            destination,
            condition,
            zone,
            kind,
            rate,
            ..
        } = entry;
        let listed = ListedEndpoint {
            destination,
            condition,
            zone,
            kind,
            rate,
            address,
        };
        match self.endpoints.get_mut(&id) {
            Some(known) if known.destination == destination && known.zone == zone => {
                *known = listed;
                return;
            }
            Some(_) => self.remove(now, &id),
            None => {}
        }
        if let Some(since) = self.unlisted.remove(&destination) {
            self.unlisted_order.remove(&(since, destination));
        }
        *self.zones.entry(zone).or_default() += 1;
        self.by_destination.insert((destination, id.clone()));
        self.endpoints.insert(id, listed);
    }

    fn remove(&mut self, now: Time, id: &EndpointId) {
        let Some(listed) = self.endpoints.remove(id) else {
            return;
        };
        if let Some(count) = self.zones.get_mut(&listed.zone) {
            *count -= 1;
            if *count == 0 {
                self.zones.remove(&listed.zone);
            }
        }
        let destination = listed.destination;
        self.by_destination.remove(&(destination, id.clone()));
        if !self.has_endpoints(destination) {
            self.unlisted.insert(destination, now);
            self.unlisted_order.insert((now, destination));
        }
    }

    fn has_endpoints(&self, destination: DestinationId) -> bool {
        self.of_destination(destination).next().is_some()
    }

    /// Forgets destinations that have been without an endpoint for too long, the oldest first. Returns how many.
    fn forget(&mut self, now: Time) -> usize {
        let mut forgotten = 0;
        while let Some(&(since, destination)) = self.unlisted_order.first()
            && now - since >= DESTINATION_RETENTION
        {
            self.unlisted_order.pop_first();
            self.unlisted.remove(&destination);
            forgotten += 1;
        }
        forgotten
    }
}

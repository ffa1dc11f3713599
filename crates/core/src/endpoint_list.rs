//! [`EndpointList`]: the endpoints that discovery lists, indexed by id, destination and zone.
//!
//! The cost of an incremental update is proportional to the number of entries in it; a full list is merged in one pass.
//! A destination whose last endpoint is removed stays known for ten minutes, as all of its endpoints may be being
//! replaced.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry};

use crate::message::Listing;

/// How long a destination without endpoints stays known.
pub(crate) const DESTINATION_RETENTION: Duration = Duration::from_secs(600);

/// The latest entry of an endpoint. Its id is the key in [`EndpointList::endpoints`].
#[derive(Debug)]
struct ListedEndpoint {
    destination: DestinationId,
    condition: Condition,
    zone: u32,
    kind: usize,
    rate: f64,
    address: String,
}

/// The result of an update of the list.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListUpdate {
    /// Endpoints that receive no new calls from now on: first those missing from a full list, in the order of their
    /// ids, then those that the update lists as draining or removed.
    pub closed: Vec<EndpointId>,
    /// Number of entries examined, in the update and in the list: a measure of the cost of the update.
    pub visited: usize,
}

/// The endpoints that discovery lists.
#[derive(Debug, Default)]
pub struct EndpointList {
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    by_destination: BTreeSet<(DestinationId, EndpointId)>,
    /// Number of endpoints by zone; zones without endpoints are left out.
    zones: BTreeMap<u32, usize>,
    /// Destinations that have lost their last endpoint, and when.
    unlisted: BTreeMap<DestinationId, Time>,
    /// The destinations of `unlisted`, ordered by time.
    unlisted_order: BTreeSet<(Time, DestinationId)>,
}

impl EndpointList {
    /// Replaces the list if `whole` is true; otherwise applies `list` as changes. If an endpoint has several entries,
    /// the last one applies.
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
            update.closed = self.missing_from(&named);
            for id in &update.closed {
                self.remove(now, id);
            }
        }
        update.closed.extend(not_ready);
        for (id, Listing { entry, address }) in named {
            match entry.condition {
                Condition::Removed => self.remove(now, &id),
                Condition::Ready | Condition::Draining => {
                    if self.is_elsewhere(&id, &entry, &address) {
                        update.closed.push(id.clone());
                    }
                    self.insert(now, id, entry, address);
                }
            }
        }
        update.visited += self.forget_expired(now);
        update
    }

    /// Whether the destination has an endpoint, or lost its last one less than ten minutes ago.
    pub fn is_known_destination(&self, destination: DestinationId) -> bool {
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

    /// Number of listed endpoints by zone; zones without endpoints are left out.
    pub fn zones(&self) -> &BTreeMap<u32, usize> {
        &self.zones
    }

    /// Zone of a listed endpoint.
    pub fn zone(&self, id: &EndpointId) -> Option<u32> {
        self.endpoints.get(id).map(|listed| listed.zone)
    }

    /// Address of a listed endpoint.
    pub fn address(&self, id: &EndpointId) -> Option<&str> {
        self.endpoints.get(id).map(|listed| listed.address.as_str())
    }

    /// The latest entry of a listed endpoint.
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

    /// Whether the list has an endpoint with this id.
    pub fn contains(&self, id: &EndpointId) -> bool {
        self.endpoints.contains_key(id)
    }

    /// Number of listed endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether the list has no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Listed endpoints that are missing from a full list: both are ordered by id and compared in one pass.
    fn missing_from(&self, named: &BTreeMap<EndpointId, Listing>) -> Vec<EndpointId> {
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

    /// Whether the endpoint is listed with another address or destination.
    fn is_elsewhere(&self, id: &EndpointId, entry: &Entry, address: &str) -> bool {
        self.endpoints.get(id).is_some_and(|listed| {
            listed.address != address || listed.destination != entry.destination
        })
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
            Some(current) if current.destination == destination && current.zone == zone => {
                *current = listed;
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

    /// Drops destinations that have been without an endpoint for [`DESTINATION_RETENTION`]. Returns their number.
    fn forget_expired(&mut self, now: Time) -> usize {
        let mut forgotten_count = 0;
        while let Some(&(since, destination)) = self.unlisted_order.first()
            && now - since >= DESTINATION_RETENTION
        {
            self.unlisted_order.pop_first();
            self.unlisted.remove(&destination);
            forgotten_count += 1;
        }
        forgotten_count
    }
}

//! Applies changes of the endpoint list and deletes removed endpoints.

use std::collections::BTreeSet;

use crate::api::{Condition, DestinationKind, Entry};
use crate::demand::DemandEstimator;
use crate::endpoints::Endpoint;
use crate::indices::{EndpointIndex, RouteIndex};
use crate::routes::Route;
use crate::state::SchedulerState;

/// Used for an endpoint whose kind is not in the settings.
const UNKNOWN_KIND: DestinationKind = DestinationKind {
    max_messages_per_call: 1,
    separate_routes: false,
};

impl SchedulerState {
    /// Applies a new endpoint list if `replaces_all` is set, else changes to the present one.
    pub(crate) fn on_endpoint_list(&mut self, replaces_all: bool, entries: Vec<Entry>) {
        self.discovery_polls.record_success();
        if replaces_all {
            self.endpoints.mark_all_removed();
        }
        for entry in entries {
            let known = self.endpoints.update(&entry);
            if !known && entry.condition != Condition::Removed {
                self.add_endpoint(entry);
            }
        }
        self.delete_removed();
    }

    fn add_endpoint(&mut self, entry: Entry) {
        let route_index = self.route_for(&entry);
        let route = &mut self.routes[route_index];
        // An outage was detected at other endpoints: a new one need not wait for the next scheduled probe call.
        route.health.allow_probe(self.now);
        if self.settings.rates_listed && entry.rate > 0.0 {
            route.demand.set_listed_limit(entry.rate);
        }
        let endpoint = Endpoint::new(entry, route_index, self.now, self.seed);
        route.endpoints.push(self.endpoints.insert(endpoint));
    }

    /// The route of a new endpoint: the destination's present route, or a new one if there is none or endpoints are separate
    /// routes.
    fn route_for(&mut self, entry: &Entry) -> RouteIndex {
        let kinds = &self.settings.kinds;
        let kind = kinds.get(entry.kind).copied().unwrap_or(UNKNOWN_KIND);
        let sibling = self.routes.of_destination(entry.destination).first();
        let demand = match sibling {
            Some(&sibling) if !kind.separate_routes => return sibling,
            Some(&sibling) => self.routes[sibling].demand.clone(),
            None => DemandEstimator::new(self.now),
        };
        let route = Route::new(entry.destination, kind, demand, self.now, &self.settings);
        self.routes.insert(route)
    }

    /// Deletes removed endpoints that no call or message refers to. Otherwise memory would grow with each endpoint that is
    /// replaced by one with a new id.
    fn delete_removed(&mut self) {
        let referenced: BTreeSet<EndpointIndex> = self
            .messages
            .values()
            .filter_map(|message| message.possibly_executed?.endpoint)
            .collect();
        for endpoint in self.endpoints.delete_removed(&referenced) {
            let route = self.endpoints[endpoint].route;
            self.routes.remove_endpoint(route, endpoint);
        }
    }
}

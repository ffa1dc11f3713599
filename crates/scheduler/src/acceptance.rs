//! Accepts messages: classifies them by quota and ordering key, and counts them as demand.

use std::time::Duration;

use crate::api::{AcceptedMessage, Condition, DestinationId, PriorAttempts, Time};
use crate::health::MAX_PROBE_PAUSE;
use crate::indices::{EndpointIndex, RouteIndex};
use crate::messages::{Message, PossibleExecution};
use crate::state::SchedulerState;
use crate::window::MIN_WINDOW;

impl SchedulerState {
    /// Adds an accepted message. A message with an unknown class, or with the id of one that is not completed, is ignored.
    pub(crate) fn on_accept(&mut self, accepted: AcceptedMessage) {
        let class_index = accepted.class;
        if class_index >= self.settings.classes.len()
            || self.messages.number_of(&accepted.id).is_some()
        {
            return;
        }
        let over_quota = self.tenant_quotas.count_message(accepted.tenant);
        let number = self.next_message_number();
        let class = &self.settings.classes[class_index];
        let age = class.deadline.saturating_sub(accepted.time_left);
        let ordering_key = accepted.ordering_key.filter(|_| class.in_order);
        if let Some(key) = &ordering_key {
            self.ordering.push(key, number);
        }
        let message = Message {
            id: accepted.id,
            class: class_index,
            ordering_key,
            destination: accepted.destination,
            over_quota,
            latency_objective_at: self.now + class.latency_objective.saturating_sub(age),
            deadline: self.now + accepted.time_left,
            not_before: self.now,
            attempts: accepted.prior.attempts,
            in_flight: None,
            possibly_executed: self.prior_execution(&accepted.prior),
            permanent_result: None,
            completed: false,
        };
        self.messages.insert(number, message);
        // Restored messages were accepted over time, before the restart. Counted as new demand, they would look like a burst.
        let accepted_at = accepted
            .prior
            .restored
            .then(|| self.now.saturating_sub(age));
        self.count_demand(accepted.destination, accepted_at);
    }

    /// The possible execution by an earlier process. It keeps its age, so that no repeat is sent after the deduplication window.
    fn prior_execution(&self, prior: &PriorAttempts) -> Option<PossibleExecution> {
        let (age, endpoint) = prior.possibly_executed.as_ref()?;
        Some(PossibleExecution {
            sent_at: self.now.saturating_sub(*age),
            endpoint: self.endpoints.index_of(endpoint),
        })
    }

    /// Counts a message as demand on each listed route of its destination. `accepted_at` is set if an earlier process accepted
    /// the message.
    fn count_demand(&mut self, destination: DestinationId, accepted_at: Option<Time>) {
        // Each separate route counts only its share; counting the whole message at each would multiply the traffic.
        let routes = self.listed_routes(destination);
        let route_share = 1.0 / routes.len().max(1) as f64;
        for route_index in routes {
            let route = &mut self.routes[route_index];
            route.next_draw_at = self.now;
            route.demand.record_message(self.now, route_share);
            if let Some(accepted_at) = accepted_at {
                route.demand.extend_back_to(accepted_at);
            }
            self.draw_immediate_call(route_index, route_share);
        }
    }

    /// Allows an immediate call for a random part of the messages to a route with little demand, during an outage too. At a window
    /// of [`MIN_WINDOW`], the paper (see [`crate::window`]) sends that share of the arriving calls. All senders together then
    /// send less than the newly accepted traffic.
    fn draw_immediate_call(&mut self, route_index: RouteIndex, route_share: f64) {
        let route = &mut self.routes[route_index];
        let open = self.now >= route.blocked_until;
        let infrequent = is_infrequent(route.demand.rate(self.now), MAX_PROBE_PAUSE);
        if !open || !infrequent || self.rng.f64() >= MIN_WINDOW * route_share {
            return;
        }
        if route.demand.reported_limit().is_none_or(f64::is_infinite) {
            route.token_bucket.ensure_token();
        }
        route.health.allow_probe(self.now);
    }

    /// The routes of a destination that have an endpoint in the list.
    fn listed_routes(&self, destination: DestinationId) -> Vec<RouteIndex> {
        let is_listed =
            |&index: &EndpointIndex| self.endpoints[index].condition != Condition::Removed;
        self.routes
            .of_destination(destination)
            .iter()
            .copied()
            .filter(|&route| self.routes[route].endpoints.iter().any(is_listed))
            .collect()
    }
}

/// Whether a rate, in messages a second, is below one message per `span`.
fn is_infrequent(rate: f64, span: Duration) -> bool {
    rate * span.as_secs_f64() < 1.0
}

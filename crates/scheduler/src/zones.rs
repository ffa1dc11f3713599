//! Gates in front of the endpoints of an evacuated zone, or of an endpoint that operators detached and attach again.
//!
//! Whether to evacuate a zone is decided for the whole fleet elsewhere; here it is applied to this sender's calls. A gate is
//! a number of tokens at each endpoint: it admits a call for each whole one.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::api::{Condition, EndpointId, Time};
use crate::endpoints::{Endpoint, EndpointTable};
use crate::indices::{EndpointIndex, RouteIndex};
use crate::routes::Route;
use crate::slow_start::{MIN_SPAN_SECONDS, slow_start_rate};
use crate::state::SchedulerState;

/// Tokens that a gate can save up.
const GATE_DEPTH: f64 = 1.0;
/// A destination in its slow start only fails at this many calls, and more, above what the rule allows in one span.
const TOLERATED_CALLS: f64 = 3.0;

impl EndpointTable {
    fn in_zone(&mut self, zone: u32) -> impl Iterator<Item = &mut Endpoint> {
        self.iter_mut()
            .filter(move |endpoint| endpoint.zone == zone)
    }

    /// Closes the gates of a zone; a probe call that was admitted is not any more.
    pub(crate) fn close_zone(&mut self, zone: u32) {
        for endpoint in self.in_zone(zone) {
            endpoint.gate_tokens = Some(0.0);
        }
    }

    /// Closes gates at the endpoints of a zone that have none: those listed since it was evacuated.
    pub(crate) fn close_new_in_zone(&mut self, zone: u32) {
        for endpoint in self.in_zone(zone) {
            endpoint.gate_tokens.get_or_insert(0.0);
        }
    }

    /// Removes the gates of a zone.
    pub(crate) fn open_zone(&mut self, zone: u32) {
        for endpoint in self.in_zone(zone) {
            endpoint.gate_tokens = None;
        }
    }

    /// Closes gates at all endpoints.
    pub(crate) fn close_all(&mut self) {
        for endpoint in self.iter_mut() {
            endpoint.gate_tokens = Some(0.0);
        }
    }

    /// Removes all gates.
    pub(crate) fn open_all(&mut self) {
        for endpoint in self.iter_mut() {
            endpoint.gate_tokens = None;
        }
    }

    /// Removes the gate of an endpoint.
    pub(crate) fn open_endpoint(&mut self, id: &EndpointId) {
        if let Some(index) = self.index_of(id) {
            self[index].gate_tokens = None;
        }
    }
}

impl SchedulerState {
    /// Starts the return to a zone: all of its endpoints, or only those without a gate (`only_new`), begin with a random part
    /// of a token. Senders that all saved up from zero at one rate would send a call at one moment.
    pub(crate) fn begin_return(&mut self, zone: u32, only_new: bool) {
        for endpoint in self.endpoints.iter_mut() {
            let affected = !only_new || endpoint.gate_tokens.is_none();
            if endpoint.zone == zone && affected {
                endpoint.gate_tokens = Some(self.rng.f64());
            }
        }
    }

    /// Admits one probe call to one endpoint of a zone: one for which a message waits, if there is any. `pick` chooses among
    /// several.
    pub(crate) fn admit_probe(&mut self, now: Time, zone: u32, pick: u64) {
        self.endpoints.close_zone(zone);
        let candidates = self.probe_candidates(zone);
        let position = pick % candidates.len().max(1) as u64;
        let Some(&index) = candidates.get(position as usize) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.gate_tokens = Some(1.0);
        self.routes[endpoint.route].health.allow_probe(now);
    }

    fn probe_candidates(&self, zone: u32) -> Vec<EndpointIndex> {
        let wanted_routes: BTreeSet<RouteIndex> = self
            .messages
            .waiting()
            .flat_map(|(_, message)| self.routes.of_destination(message.destination))
            .copied()
            .collect();
        let is_ready = |index: &EndpointIndex| {
            let endpoint = &self.endpoints[*index];
            endpoint.zone == zone && endpoint.condition == Condition::Ready
        };
        let ready: Vec<EndpointIndex> = self.endpoints.indices().filter(is_ready).collect();
        let wanted: Vec<EndpointIndex> = ready
            .iter()
            .copied()
            .filter(|&index| wanted_routes.contains(&self.endpoints[index].route))
            .collect();
        if wanted.is_empty() { ready } else { wanted }
    }

    /// Adds, for the time since the last tick, this sender's quota of what a zone's endpoints may be sent on their return,
    /// which began at `since`.
    pub(crate) fn refill_zone(&mut self, now: Time, zone: u32, since: Time) {
        let in_zone: Vec<EndpointIndex> = self
            .endpoints
            .indices()
            .filter(|&index| self.endpoints[index].zone == zone)
            .collect();
        for index in in_zone {
            self.refill_gate(now, index, since);
        }
    }

    /// As [`SchedulerState::refill_zone`], for an endpoint that is attached again.
    pub(crate) fn refill_endpoint(&mut self, now: Time, id: &EndpointId, since: Time) {
        if let Some(index) = self.endpoints.index_of(id) {
            self.endpoints[index].gate_tokens.get_or_insert(0.0);
            self.refill_gate(now, index, since);
        }
    }

    fn refill_gate(&mut self, now: Time, endpoint_index: EndpointIndex, since: Time) {
        let route = &self.routes[self.endpoints[endpoint_index].route];
        let route_rate = self.return_rate(route, now, now - since);
        let endpoint_rate = route_rate / route.endpoints.len().max(1) as f64;
        let passed = (now - self.now).as_secs_f64();
        let initial_tokens = self.rng.f64();
        let endpoint = &mut self.endpoints[endpoint_index];
        let Some(tokens) = &mut endpoint.gate_tokens else {
            return;
        };
        // Endpoints that return together must not have a whole token together.
        if *tokens <= 0.0 && endpoint.consecutive_failures > 0 {
            *tokens = initial_tokens;
            endpoint.consecutive_failures = 0;
        }
        *tokens = (*tokens + endpoint_rate * passed).min(GATE_DEPTH);
    }

    /// Calls a second that this sender may send to a returning route.
    fn return_rate(&self, route: &Route, now: Time, elapsed: Duration) -> f64 {
        let rules = &self.settings.rules;
        let instances = f64::from(self.settings.instances);
        let limit = route
            .demand
            .reported_limit()
            .filter(|limit| limit.is_finite())
            .unwrap_or(route.demand.listed_limit());
        // Without any limit, the demand that this sender sees is its quota.
        let quota = Some(limit / instances)
            .filter(|quota| quota.is_finite())
            .unwrap_or_else(|| route.demand.rate(now));
        // However small the capacity, the calls that the rule tolerates may be sent in each of its spans.
        let tolerated =
            TOLERATED_CALLS / rules.fall.as_secs_f64().max(MIN_SPAN_SECONDS) / instances;
        slow_start_rate(rules, elapsed, quota) + tolerated
    }

    /// Closes the gate of an endpoint that operators attach again. They know that it is there, so the first calls of all
    /// senders together are those that the rule on returns tolerates, and need not be saved up.
    pub(crate) fn close_endpoint(&mut self, id: &EndpointId) {
        let Some(index) = self.endpoints.index_of(id) else {
            return;
        };
        let at_once = self.rng.f64() < TOLERATED_CALLS / f64::from(self.settings.instances);
        // A random part, so that senders that save up at one rate do not have a whole token at one moment.
        let tokens = if at_once { GATE_DEPTH } else { self.rng.f64() };
        self.endpoints[index].gate_tokens = Some(tokens);
    }
}

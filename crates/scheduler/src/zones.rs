//! Gates: token buckets in front of the endpoints of an evacuated zone, or of an endpoint that operators reattach after
//! detaching it.
//!
//! The crate `cranehill-zone-failover` decides when the fleet evacuates a zone; this module applies the decision to this
//! sender's calls. A gate admits a call for each whole token. A closed gate has less than one token; an endpoint without a gate
//! is not limited.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::api::{Condition, EndpointId, Time};
use crate::endpoints::{Endpoint, EndpointTable};
use crate::indices::{EndpointIndex, RouteIndex};
use crate::routes::Route;
use crate::slow_start::{MIN_SPAN_SECONDS, slow_start_rate};
use crate::state::SchedulerState;

/// Depth of a gate, in tokens.
const GATE_DEPTH: f64 = 1.0;
/// Calls in excess of the allowed load that a destination in its slow start tolerates within
/// [`Rules::overload_duration`](crate::api::Rules::overload_duration), over all senders.
const TOLERATED_CALLS: f64 = 3.0;

impl EndpointTable {
    fn in_zone(&mut self, zone: u32) -> impl Iterator<Item = &mut Endpoint> {
        self.iter_mut()
            .filter(move |endpoint| endpoint.zone == zone)
    }

    /// Closes the gates of a zone. Revokes a probe call that was admitted but not sent.
    pub(crate) fn close_zone(&mut self, zone: u32) {
        for endpoint in self.in_zone(zone) {
            endpoint.gate_tokens = Some(0.0);
        }
    }

    /// Closes the gates of a zone's endpoints that have no gate yet, because they were listed after the evacuation.
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

    /// Closes the gates of all endpoints.
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
    /// Starts the recovery ramp of a zone: the gates of all of its endpoints, or only of those without a gate (`only_new`), get
    /// a random fraction of a token. If all senders started from zero at the same rate, they would call at the same moment.
    pub(crate) fn start_recovery_ramp(&mut self, zone: u32, only_new: bool) {
        for endpoint in self.endpoints.iter_mut() {
            let affected = !only_new || endpoint.gate_tokens.is_none();
            if endpoint.zone == zone && affected {
                endpoint.gate_tokens = Some(self.rng.f64());
            }
        }
    }

    /// Admits one probe call to one endpoint of a zone: see
    /// [`Scheduler::admit_probe_call`](crate::Scheduler::admit_probe_call).
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

    /// The ready endpoints of a zone that pending messages can be sent to; all of its ready endpoints if there are none.
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

    /// Refills the gates of a zone during its recovery ramp, which began at `since`: adds this sender's quota for the time
    /// since the last tick.
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

    /// As [`SchedulerState::refill_zone`], for one endpoint that operators reattached at `since`.
    pub(crate) fn refill_endpoint(&mut self, now: Time, id: &EndpointId, since: Time) {
        if let Some(index) = self.endpoints.index_of(id) {
            self.endpoints[index].gate_tokens.get_or_insert(0.0);
            self.refill_gate(now, index, since);
        }
    }

    /// Refills the gate of one endpoint, if it has one.
    fn refill_gate(&mut self, now: Time, endpoint_index: EndpointIndex, since: Time) {
        let route = &self.routes[self.endpoints[endpoint_index].route];
        let route_rate = self.recovery_rate(route, now, now - since);
        let endpoint_rate = route_rate / route.endpoints.len().max(1) as f64;
        let passed = (now - self.now).as_secs_f64();
        let initial_tokens = self.rng.f64();
        let endpoint = &mut self.endpoints[endpoint_index];
        let Some(tokens) = &mut endpoint.gate_tokens else {
            return;
        };
        // A gate emptied by calls that failed restarts from a random fraction, so that endpoints that recover together do not
        // get a whole token at the same moment.
        if *tokens <= 0.0 && endpoint.consecutive_failures > 0 {
            *tokens = initial_tokens;
            endpoint.consecutive_failures = 0;
        }
        *tokens = (*tokens + endpoint_rate * passed).min(GATE_DEPTH);
    }

    /// Rate at which this sender may call a route `elapsed` after the start of its recovery ramp, in calls a second.
    fn recovery_rate(&self, route: &Route, now: Time, elapsed: Duration) -> f64 {
        let rules = &self.settings.rules;
        let instances = f64::from(self.settings.instances);
        let limit = route
            .demand
            .reported_limit()
            .filter(|limit| limit.is_finite())
            .unwrap_or(route.demand.listed_limit());
        // Without any limit, this sender's own demand is taken as its quota.
        let quota = Some(limit / instances)
            .filter(|quota| quota.is_finite())
            .unwrap_or_else(|| route.demand.rate(now));
        // In addition to the capacity, all senders together may send the tolerated calls in each period of `Rules::overload_duration`.
        let tolerated = TOLERATED_CALLS
            / rules.overload_duration.as_secs_f64().max(MIN_SPAN_SECONDS)
            / instances;
        slow_start_rate(rules, elapsed, quota) + tolerated
    }

    /// Closes the gate of an endpoint that operators reattach. Operators know that it is reachable, so a random part of the
    /// senders, on average as many as there are tolerated calls, may send one call immediately.
    pub(crate) fn close_endpoint(&mut self, id: &EndpointId) {
        let Some(index) = self.endpoints.index_of(id) else {
            return;
        };
        let may_call_now = self.rng.f64() < TOLERATED_CALLS / f64::from(self.settings.instances);
        // A random fraction, so that senders that refill at the same rate do not call at the same moment.
        let tokens = if may_call_now {
            GATE_DEPTH
        } else {
            self.rng.f64()
        };
        self.endpoints[index].gate_tokens = Some(tokens);
    }
}

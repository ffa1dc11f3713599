//! Admission control: checks all rules on sending a message. Every send passes [`SchedulerState::may_send`].

use std::time::Duration;

use crate::api::{DedupScope, Effect};
use crate::endpoints::Endpoint;
use crate::health::HealthState;
use crate::indices::{EndpointIndex, MessageNumber};
use crate::messages::Message;
use crate::routes::Route;
use crate::state::SchedulerState;

/// A slow route may have fewer calls in flight than this many times the free slots.
const SLOW_ROUTE_SLOT_MULTIPLE: usize = 2;
/// An endpoint with an overdue call gets a further call after this many times the overdue time.
const SUSPECT_RETRY_MULTIPLE: u32 = 4;

impl SchedulerState {
    /// Whether a message may be sent to an endpoint now, in a new call or (`joins_call`) in a call that was opened earlier in
    /// this batch.
    pub(crate) fn may_send(
        &self,
        number: MessageNumber,
        message: &Message,
        endpoint_index: EndpointIndex,
        joins_call: bool,
    ) -> bool {
        let endpoint = &self.endpoints[endpoint_index];
        let route = &self.routes[endpoint.route];
        self.may_attempt(message)
            && self.is_deduplicated_at(message, endpoint_index)
            && endpoint.accepts_calls()
            && self.now >= route.blocked_until
            && self.is_next_of_ordering_key(number, message)
            && (joins_call || self.may_open_call(message, endpoint_index))
    }

    /// Whether the message's own state allows an attempt: not completed, no attempt in flight, deadline and backoff respected,
    /// repeats allowed and attempts left.
    fn may_attempt(&self, message: &Message) -> bool {
        !message.completed
            && message.in_flight.is_none()
            && message.deadline > self.now
            && self.now >= message.not_before
            && message.may_repeat(&self.settings, self.now)
    }

    /// Whether sending the message to this endpoint cannot execute it twice: the message was not executed, or the endpoint's deduplication covers it.
    fn is_deduplicated_at(&self, message: &Message, endpoint_index: EndpointIndex) -> bool {
        let class = message.class(&self.settings);
        let Some(first) = message.possibly_executed else {
            return true;
        };
        if class.effect != Effect::Idempotent {
            return true;
        }
        match class.dedup {
            DedupScope::All => true,
            DedupScope::Zone => first.endpoint.is_some_and(|first| {
                self.endpoints[first].zone == self.endpoints[endpoint_index].zone
            }),
            DedupScope::Endpoint => first.endpoint == Some(endpoint_index),
        }
    }

    fn is_next_of_ordering_key(&self, number: MessageNumber, message: &Message) -> bool {
        message
            .ordering_key
            .as_ref()
            .is_none_or(|key| self.ordering.is_next(key, number, self.now))
    }

    /// Whether a new call to the endpoint may be opened.
    fn may_open_call(&self, message: &Message, endpoint_index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[endpoint_index];
        let route = &self.routes[endpoint.route];
        let repeatable = message.class(&self.settings).effect != Effect::Unsafe;
        self.has_slot_for(route, endpoint)
            && self.route_admits_call(route)
            && !self.is_suspect(endpoint_index, repeatable)
    }

    /// Whether a slot is free and the route may occupy it.
    fn has_slot_for(&self, route: &Route, endpoint: &Endpoint) -> bool {
        let free_slots = (self.settings.slots as usize).saturating_sub(self.calls.len());
        // As in Nagle's algorithm (RFC 896): with a call in flight, a partly filled one is sent only while slots are plentiful.
        let fills_call = route.backlog >= route.kind.max_messages_per_call as usize;
        let worth_slot = fills_call || endpoint.in_flight == 0 || free_slots > self.calls.len();
        // A slow destination would occupy all slots and starve the others. The limit on its calls decreases with the free
        // slots (dynamic threshold, as for shared buffers in switches).
        let below_threshold =
            !route.is_slow() || (route.in_flight as usize) < SLOW_ROUTE_SLOT_MULTIPLE * free_slots;
        free_slots > 0 && worth_slot && below_threshold
    }

    /// Whether the route's health, window and token bucket admit a call. In an outage, one probe call is in flight at a time.
    fn route_admits_call(&self, route: &Route) -> bool {
        match route.health.state() {
            HealthState::Down { next_probe, .. } => self.now >= next_probe && route.in_flight == 0,
            HealthState::Up | HealthState::WarmingUp { .. } => {
                route.window.has_room(route.in_flight)
                    && (route.call_drawn || route.window.call_probability().is_none())
                    && route.token_bucket.has_token()
            }
        }
    }

    /// Whether a call to the endpoint is overdue and nothing was answered since it was sent, which indicates a hanging or
    /// unreachable endpoint before a time-out does. Such an endpoint gets no further call, except a repeatable one after
    /// [`SUSPECT_RETRY_MULTIPLE`] times the overdue time, since a single lost answer is weak evidence.
    fn is_suspect(&self, endpoint_index: EndpointIndex, repeatable: bool) -> bool {
        let endpoint = &self.endpoints[endpoint_index];
        let route = &self.routes[endpoint.route];
        self.calls
            .values()
            .filter(|call| {
                call.endpoint == endpoint_index && endpoint.last_answer_at <= call.sent_at
            })
            .any(|call| {
                let times = route.call_times(call.class, &self.settings);
                let overdue = Duration::from_secs_f64(times.overdue);
                let may_retry = repeatable
                    && endpoint.last_call_at.is_none_or(|last_call_at| {
                        self.now - last_call_at > SUSPECT_RETRY_MULTIPLE * overdue
                    });
                self.now - call.sent_at > overdue && !may_retry
            })
    }
}

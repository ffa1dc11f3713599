//! Dispatch: sends the messages that may be sent, most urgent first. No other module sends messages.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::api::Action;
use crate::calls::{Call, CallWait};
use crate::indices::{CallNumber, EndpointIndex, MessageNumber};
use crate::messages::{Attempt, Message, RankedMessage, sort_highest_first};
use crate::routes::Route;
use crate::state::SchedulerState;

/// Minimum rate for computing the waiting time in a backlog, in messages a second.
const MIN_SERVICE_RATE: f64 = 0.5;
/// Minimum expected waiting time in a backlog, in seconds.
const MIN_BACKLOG_WAIT: f64 = 0.5;
/// Maximum expected waiting time in a backlog, in seconds.
const MAX_BACKLOG_WAIT: f64 = 10.0;
/// Fraction of the priority weight that is added to the loss by waiting, so that messages that lose nothing are still ordered
/// by weight.
const BASE_URGENCY: f64 = 0.01;
/// Minimum usual time of a call by which urgency is divided, in seconds.
const MIN_USUAL_SECONDS: f64 = 1e-3;

/// Sort key for the choice of an endpoint: the smallest is preferred. Fields are compared in order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EndpointPreference {
    /// False if the message can share a call to the endpoint that was opened earlier in this batch.
    needs_new_call: bool,
    /// Consecutive failures of an ejected endpoint, else zero. If all are ejected, the one with the fewest failures is
    /// preferred, since an outage may not affect all endpoints.
    recent_failures: u32,
    /// See [`Endpoint::distance`](crate::endpoints::Endpoint::distance).
    distance: u8,
    /// Calls in flight to the endpoint.
    in_flight: u32,
    /// Position in this sender's random order of endpoints.
    rank: u64,
    index: EndpointIndex,
}

/// The calls opened in this batch, by endpoint.
type OpenCalls = BTreeMap<EndpointIndex, CallNumber>;

impl SchedulerState {
    /// Sends all messages that may be sent.
    pub(crate) fn dispatch(&mut self) {
        self.count_backlogs();
        for route in self.routes.active_mut() {
            route.update(self.now, &self.settings, &mut self.rng);
        }
        self.routes.settle(self.now);
        let mut open_calls = OpenCalls::new();
        for message in self.ready_by_urgency() {
            if let Some(endpoint_index) = self.choose_endpoint(message.number, &open_calls) {
                self.send(message.number, endpoint_index, &mut open_calls);
            }
        }
    }

    fn count_backlogs(&mut self) {
        for route in self.routes.active_mut() {
            route.backlog = 0;
        }
        for (_, message) in self.messages.waiting() {
            self.routes.add_backlog(message.destination);
        }
    }

    /// The pending messages whose own backoff has passed, most urgent first.
    fn ready_by_urgency(&self) -> Vec<RankedMessage> {
        let mut ready: Vec<RankedMessage> = self
            .messages
            .waiting()
            .filter(|(_, message)| self.now >= message.not_before)
            .map(|(number, message)| RankedMessage {
                value: self.urgency(message),
                number,
            })
            .collect();
        sort_highest_first(&mut ready);
        ready
    }

    /// Urgency of a message: the priority weight that is lost if it waits until the route's present backlog is served, per
    /// second of slot time that sending it now takes.
    fn urgency(&self, message: &Message) -> f64 {
        // Of several separate routes, the one with the shortest usual time counts.
        let fastest = self
            .routes
            .of_destination(message.destination)
            .iter()
            .map(|&index| &self.routes[index])
            .min_by(|left, right| {
                let usual = |route: &Route| route.call_times(message.class, &self.settings).usual;
                usual(left).total_cmp(&usual(right))
            });
        let Some(route) = fastest else {
            return 0.0;
        };
        let usual = route.call_times(message.class, &self.settings).usual;
        // Messages that share a call also share its slot time.
        let messages_per_call = route
            .backlog
            .clamp(1, route.kind.max_messages_per_call.max(1) as usize);
        let service_rate = route.demand.rate(self.now).max(MIN_SERVICE_RATE);
        let wait = (route.backlog as f64 / service_rate).clamp(MIN_BACKLOG_WAIT, MAX_BACKLOG_WAIT);
        let answered_now = self.now + Duration::from_secs_f64(usual);
        let answered_later = answered_now + Duration::from_secs_f64(wait);
        let weight_now = message.priority_weight(&self.settings, answered_now);
        let weight_later = message.priority_weight(&self.settings, answered_later);
        (weight_now - weight_later + BASE_URGENCY * weight_now) * messages_per_call as f64
            / usual.max(MIN_USUAL_SECONDS)
    }

    /// The preferred endpoint among those to which the message may be sent.
    fn choose_endpoint(
        &self,
        number: MessageNumber,
        open_calls: &OpenCalls,
    ) -> Option<EndpointIndex> {
        let message = self.messages.get(number)?;
        self.routes
            .of_destination(message.destination)
            .iter()
            .flat_map(|&route| self.routes[route].endpoints.iter().copied())
            .filter(|&index| {
                let joins_call = self.joins_call(message, index, open_calls);
                self.may_send(number, message, index, joins_call)
            })
            .min_by_key(|&index| self.preference(message, index, open_calls))
    }

    /// Sort key of an endpoint for a message.
    fn preference(
        &self,
        message: &Message,
        index: EndpointIndex,
        open_calls: &OpenCalls,
    ) -> EndpointPreference {
        let endpoint = &self.endpoints[index];
        let recent_failures = if endpoint.is_ejected(self.now) {
            endpoint.consecutive_failures
        } else {
            0
        };
        EndpointPreference {
            needs_new_call: !self.joins_call(message, index, open_calls),
            recent_failures,
            distance: endpoint.distance(self.settings.zone),
            in_flight: endpoint.in_flight,
            rank: endpoint.rank,
            index,
        }
    }

    /// Whether a message may share a call to the endpoint that was opened earlier in this batch.
    fn joins_call(
        &self,
        message: &Message,
        endpoint_index: EndpointIndex,
        open_calls: &OpenCalls,
    ) -> bool {
        let open_call = open_calls.get(&endpoint_index);
        let Some(call) = open_call.and_then(|number| self.calls.get(number)) else {
            return false;
        };
        let route = &self.routes[self.endpoints[endpoint_index].route];
        let wait = CallWait::new(message, route, &self.settings, self.now);
        call.can_add(route, &wait)
    }

    fn send(
        &mut self,
        number: MessageNumber,
        endpoint_index: EndpointIndex,
        open_calls: &mut OpenCalls,
    ) {
        let new_call = self.next_call_number();
        let Some(message) = self.messages.get(number) else {
            return;
        };
        let class = message.class;
        let route = &self.routes[self.endpoints[endpoint_index].route];
        let wait = CallWait::new(message, route, &self.settings, self.now);
        let write_timeout = message
            .repeatable_until(&self.settings)
            .map(|until| until - self.now);
        let shared_call = open_calls
            .get(&endpoint_index)
            .copied()
            .filter(|_| self.joins_call(message, endpoint_index, open_calls));
        let call_number = shared_call.unwrap_or(new_call);
        if let Some(call) = self.calls.get_mut(&call_number) {
            call.add(&wait);
        } else {
            let call = Call::new(endpoint_index, class, self.now, &wait);
            self.calls.insert(call_number, call);
            open_calls.insert(endpoint_index, call_number);
            self.record_call(endpoint_index);
        }
        let Some(message) = self.messages.get_mut(number) else {
            return;
        };
        message.in_flight = Some(Attempt {
            number: message.attempts,
            endpoint: endpoint_index,
            call: call_number,
            sent_at: self.now,
        });
        message.attempts += 1;
        self.actions.push(Action::Send {
            id: message.id.clone(),
            endpoint: self.endpoints[endpoint_index].id.clone(),
            timeout: wait.timeout,
            call: call_number.0,
            write_timeout,
        });
    }

    /// Records a new call at its endpoint and route, and closes idle connections that are too old to reuse.
    fn record_call(&mut self, endpoint_index: EndpointIndex) {
        let endpoint = &mut self.endpoints[endpoint_index];
        let route = &mut self.routes[endpoint.route];
        endpoint.idle_before_call = endpoint.idle_time(self.now);
        let idle_too_long = self
            .idle_connections
            .is_idle_too_long(endpoint.idle_before_call);
        if endpoint.in_flight == 0 && idle_too_long {
            self.actions.push(Action::CloseIdle(endpoint.id.clone()));
            endpoint.idle_before_call = Duration::ZERO;
        }
        endpoint.record_call(self.now);
        route.in_flight += 1;
        route.call_drawn = false;
        route.was_called = true;
        route.token_bucket.take();
    }
}

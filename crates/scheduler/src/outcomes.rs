//! Processes the outcomes of attempts and health checks: updates endpoint, route and connection statistics, and completes or
//! retries the message.

use std::time::Duration;

use crate::api::{Action, Outcome, Status};
use crate::health::{HealthSignal, HealthState, MAX_PROBE_PAUSE, longest_limit_span};
use crate::indices::{EndpointIndex, MessageNumber, RouteIndex};
use crate::messages::Attempt;
use crate::state::SchedulerState;

/// Half of the backoff before the first retry, in seconds. The backoff doubles with each further retry.
const BASE_RETRY_SECONDS: f64 = 0.05;
/// Maximum number of times that the backoff before a retry is doubled.
const MAX_RETRY_DOUBLINGS: u32 = 5;

impl SchedulerState {
    /// Processes the outcome of an attempt. Ignored unless that attempt is in flight.
    pub(crate) fn on_outcome(&mut self, outcome: &Outcome) {
        let Some(number) = self.messages.number_of(&outcome.id) else {
            return;
        };
        let jitter = self.jitter();
        let Some(message) = self.messages.get_mut(number) else {
            return;
        };
        let class = message.class;
        let attempt = message
            .in_flight
            .take_if(|attempt| attempt.number == outcome.attempt);
        let Some(attempt) = attempt else {
            return;
        };
        let route = self.endpoints[attempt.endpoint].route;
        self.detect_connection_shortage(&attempt, outcome.status);
        let first_of_call = self.end_call(&attempt);
        self.record_stated_limits(route, outcome);
        // A time-out before the call was overdue is caused by a near deadline, and is no health signal.
        let overdue = self.routes[route].call_times(class, &self.settings).overdue;
        let limited_by_deadline =
            outcome.status == Status::TimedOut && outcome.elapsed.as_secs_f64() < overdue;
        if first_of_call && !limited_by_deadline {
            self.record_call_outcome(&attempt, class, outcome);
            self.record_idle_loss(attempt.endpoint, outcome.status);
            self.record_health_signal(attempt.endpoint, outcome.status);
        }
        self.detect_outage_by_wait(route, outcome, jitter);
        self.apply_to_message(number, &attempt, outcome, jitter);
    }

    /// Detects a connection shortage: a route on which a connection failed serves a call soon after. An outage would last
    /// longer.
    fn detect_connection_shortage(&mut self, attempt: &Attempt, status: Status) {
        let endpoint = &self.endpoints[attempt.endpoint];
        let failed_at = self.routes[endpoint.route]
            .connect_failed_at
            .take_if(|_| status == Status::Served);
        if failed_at.is_some_and(|failed_at| self.now - failed_at < MAX_PROBE_PAUSE) {
            self.idle_connections
                .record_shortage(endpoint.kind, self.now);
        }
    }

    /// Removes a message from its call, and the call with its last message. True for the first message removed, whose outcome
    /// counts as that of the call.
    fn end_call(&mut self, attempt: &Attempt) -> bool {
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return false;
        };
        call.unanswered -= 1;
        let first_of_call = !std::mem::replace(&mut call.outcome_recorded, true);
        if call.unanswered > 0 {
            return first_of_call;
        }
        let endpoint = &mut self.endpoints[call.endpoint];
        endpoint.in_flight -= 1;
        self.routes[endpoint.route].in_flight -= 1;
        if endpoint.in_flight == 0
            && !self
                .idle_connections
                .is_worth_keeping(endpoint, &self.settings, self.now)
        {
            self.actions.push(Action::CloseIdle(endpoint.id.clone()));
        }
        self.calls.remove(&attempt.call);
        first_of_call
    }

    /// Records the Retry-After time and the reported limit in an answer, if any.
    fn record_stated_limits(&mut self, route: RouteIndex, outcome: &Outcome) {
        if let Some(wait) = outcome.retry_after {
            let until = self.now + wait + self.settings.tick;
            self.routes[route].block_until(until);
        }
        if let Some(report) = outcome.report
            && report.limit >= 0.0
            && report.remaining_share.is_finite()
        {
            self.routes[route]
                .demand
                .record_reported_limit(report.limit);
        }
    }

    /// Updates round-trip times, time-outs and the token bucket with a call's outcome.
    fn record_call_outcome(&mut self, attempt: &Attempt, class: usize, outcome: &Outcome) {
        let endpoint = &mut self.endpoints[attempt.endpoint];
        match outcome.status {
            Status::Served
            | Status::Error
            | Status::Malformed
            | Status::RecipientRemoved
            | Status::PermanentError => {
                self.routes[endpoint.route].round_trips[class]
                    .record_sample(outcome.elapsed.as_secs_f64());
                endpoint.last_answer_at = self.now;
            }
            Status::NoConnection => {
                self.routes[endpoint.route].connect_failed_at = Some(self.now);
            }
            Status::TimedOut => {
                self.routes[endpoint.route].round_trips[class]
                    .record_timeout(attempt.sent_at, self.now);
            }
            Status::Overloaded => {
                endpoint.last_answer_at = self.now;
                // Senders that are rejected together, or whose Retry-After waits end together, must not resume together.
                let route = &mut self.routes[endpoint.route];
                route.consecutive_overloads += 1;
                let resume_at = route.blocked_until.max(self.now);
                route.token_bucket.pause(resume_at, self.rng.f64());
            }
            Status::Reset | Status::IdleConnectionBroken | Status::Cancelled | Status::NotSent => {}
        }
    }

    /// Records whether a call after an idle time was lost, and closes idle connections if those break unnoticed.
    fn record_idle_loss(&mut self, endpoint_index: EndpointIndex, status: Status) {
        let endpoint = &self.endpoints[endpoint_index];
        if self.idle_connections.record_call(endpoint, status) {
            self.actions.push(Action::CloseIdle(endpoint.id.clone()));
        }
    }

    /// Updates the window (load) and the health (outages) of a route with the outcome of a call or health check.
    pub(crate) fn record_health_signal(&mut self, endpoint_index: EndpointIndex, status: Status) {
        let jitter = self.jitter();
        let (now, rules) = (self.now, &self.settings.rules);
        let endpoint = &mut self.endpoints[endpoint_index];
        let route = &mut self.routes[endpoint.route];
        // No call is sent in a Retry-After wait. A call served during one was sent before, and does not end the outage.
        let sent_before_wait = now < route.blocked_until && route.health.is_down();
        let signal = match status {
            Status::Served if sent_before_wait => return route.window.record_answer(),
            Status::Served => HealthSignal::Success,
            Status::Overloaded => HealthSignal::Overload,
            Status::Error | Status::TimedOut | Status::NoConnection | Status::Reset => {
                HealthSignal::Failure
            }
            // Answers that concern one message only, or were damaged in transit, are no health signal.
            Status::RecipientRemoved | Status::PermanentError | Status::Malformed => {
                return route.window.record_answer();
            }
            Status::Cancelled | Status::IdleConnectionBroken | Status::NotSent => return,
        };
        if matches!(status, Status::Served | Status::Error) {
            route.window.record_answer();
        } else {
            route.window.record_overload();
            route.window_reduced_at = now;
        }
        match signal {
            HealthSignal::Success => endpoint.consecutive_failures = 0,
            HealthSignal::Failure => endpoint.consecutive_failures += 1,
            HealthSignal::Overload => {}
        }
        let min_pause = route.demand.slow_start_gap(now, rules);
        let outage_ended = route.health.record(now, signal, rules, min_pause, jitter);
        if signal != HealthSignal::Success {
            return;
        }
        route.consecutive_overloads = 0;
        route.demand.record_served(now);
        if outage_ended {
            // Restore the window from before the outage, since growth by small steps would delay the backlog. During the slow
            // start the token bucket limits the calls.
            route.window = route.proven_window.clone();
            route.token_bucket.clear();
        } else if route.health.state() == HealthState::Up {
            route.proven_window = route.window.clone();
        }
    }

    /// Treats a Retry-After wait as an outage if it is longer than a rate limit explains.
    fn detect_outage_by_wait(&mut self, route: RouteIndex, outcome: &Outcome, jitter: f64) {
        let rules = &self.settings.rules;
        if outcome
            .retry_after
            .is_some_and(|wait| wait > longest_limit_span(rules))
        {
            let route = &mut self.routes[route];
            let gap = route.demand.slow_start_gap(self.now, rules);
            let next_probe = route.blocked_until + gap.mul_f64(jitter);
            route.health.mark_down(next_probe);
        }
    }

    /// Completes the message, or schedules a retry after a backoff.
    fn apply_to_message(
        &mut self,
        number: MessageNumber,
        attempt: &Attempt,
        outcome: &Outcome,
        jitter: f64,
    ) {
        let status = outcome.status;
        let Some(message) = self.messages.get_mut(number) else {
            return;
        };
        if !status.not_executed() {
            message.record_possible_execution(attempt);
        }
        let may_still_run = matches!(
            status,
            Status::TimedOut | Status::Reset | Status::IdleConnectionBroken | Status::Cancelled
        );
        if may_still_run && let Some(key) = &message.ordering_key {
            let until = self.now + self.settings.rules.ordering_pause;
            self.ordering.pause(key, number, until);
        }
        if outcome.completed || message.completed || status == Status::Served {
            return self.complete_message(number);
        }
        if matches!(status, Status::RecipientRemoved | Status::PermanentError) {
            message.permanent_result = Some(status);
        }
        let backoff = match status {
            Status::Error | Status::Malformed | Status::Reset | Status::NotSent => {
                let doublings = message.attempts.min(MAX_RETRY_DOUBLINGS);
                BASE_RETRY_SECONDS * f64::from(1u32 << doublings)
            }
            _ => 0.0,
        };
        message.not_before = self.now + Duration::from_secs_f64(backoff * jitter);
    }
}

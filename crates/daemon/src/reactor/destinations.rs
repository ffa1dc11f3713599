//! Calls to destinations, and their results.

use cranehill_core::{Attempt, Input};
use cranehill_scheduler::api::{EndpointId, Status};

use super::Reactor;
use crate::connection::InFlightCall;
use crate::destination_protocol;
use crate::finished_call::FinishedCall;
use crate::upstream::{Interruption, UpstreamEvent, UpstreamPool};

impl Reactor {
    pub(super) fn call(&mut self, endpoint: &EndpointId, address: &str, attempts: Vec<Attempt>) {
        let now = self.clock.now();
        let bytes = match (&mut self.web_push, attempts.first()) {
            (Some(gateway), Some(first)) if first.envelope.is_some() => {
                gateway.write_call(address, first, now)
            }
            _ => destination_protocol::write_call(address, &attempts, now),
        };
        let call = InFlightCall::new(attempts, now);
        let target = (endpoint, address);
        let started = self
            .upstream
            .start_call(&mut self.connections, target, call, bytes, now);
        match started {
            Ok(id) => self.process_connection(id),
            Err(finished) => self.finish_call(*finished),
        }
    }

    pub(super) fn check_health(&mut self, endpoint: EndpointId, address: &str) {
        let now = self.clock.now();
        let started =
            self.upstream
                .start_health_check(&mut self.connections, &endpoint, address, now);
        if started.is_err() {
            self.step(Input::HealthChecked {
                endpoint,
                status: Status::NoConnection,
            });
        }
    }

    pub(super) fn on_destination(&mut self, id: usize, write_failed: bool) {
        let now = self.clock.now();
        let event = self
            .upstream
            .on_received(&mut self.connections, id, write_failed, now);
        match event {
            UpstreamEvent::Nothing => {}
            UpstreamEvent::HealthChecked { endpoint, status } => {
                self.step(Input::HealthChecked { endpoint, status });
            }
            UpstreamEvent::CallFinished(finished) => self.finish_call(finished),
        }
    }

    /// Cancels calls to these endpoints that are not written completely. They would arrive before the end of a Retry-After wait, or
    /// at an endpoint that is draining or removed.
    pub(super) fn cancel_unwritten_calls(&mut self, endpoints: &[EndpointId]) {
        for id in UpstreamPool::unwritten_calls(&self.connections, endpoints) {
            self.cancel_unwritten_call(id);
        }
    }

    pub(super) fn cancel_unwritten_call(&mut self, id: usize) {
        if let Some(finished) = UpstreamPool::cancel_unwritten(&mut self.connections, id) {
            self.finish_call(finished);
        }
    }

    pub(super) fn interrupt_call(&mut self, id: usize, interruption: Interruption) {
        let now = self.clock.now();
        let finished = self
            .upstream
            .interrupt(&mut self.connections, id, interruption, now);
        if let Some(finished) = finished {
            self.finish_call(finished);
        }
    }

    pub(super) fn finish_call(&mut self, finished: FinishedCall) {
        let outcomes = finished.into_outcomes(self.clock.now());
        self.step(Input::AttemptsFinished(outcomes));
    }
}

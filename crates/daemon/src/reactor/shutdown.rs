//! Shutdown of the process in phases.

use std::time::Duration;

use cranehill_core::{Answer, Input};

use super::Reactor;
use crate::client_ingress;
use crate::connection::{Connection, ConnectionKind, InFlightCall};
use crate::shutdown::ShutdownPhase;
use crate::tokens::{CLIENTS, WEB_PUSH};
use crate::webpush;

/// The Retry-After for clients that still wait for the result of a push when the process ends.
const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_secs(5);

impl Reactor {
    /// Carries out the phases of the shutdown; true once the process may end.
    pub(super) fn continue_shutdown(&mut self) -> bool {
        let phase = self.shutdown.phase(self.clock.now());
        if phase < ShutdownPhase::Closing {
            return false;
        }
        if self.listeners.is_open() {
            self.close_ingress();
        }
        if self.shutdown.stop_sending(phase) {
            self.step(Input::Stopping);
        }
        let time_is_up = phase >= ShutdownPhase::Ended;
        if time_is_up {
            // A post ends with its answer; the journal knows which accepted messages have an attempt in flight.
            self.interrupt_calls(InFlightCall::is_web_push);
            self.answer_submitted();
        }
        if phase >= ShutdownPhase::NotSending || self.is_finished() {
            self.close_remaining_clients();
        }
        if !time_is_up && !self.is_finished() {
            return false;
        }
        self.answer_waiting_clients();
        true
    }

    /// Accepts waiting connections, closes the listeners, and closes client connections between requests. Requests that have
    /// arrived are answered first.
    fn close_ingress(&mut self) {
        self.accept_clients(CLIENTS);
        self.accept_clients(WEB_PUSH);
        self.listeners.close(self.connections.registry());
        for id in self.connections.ids(|_| true) {
            self.close_between_requests(id);
        }
    }

    /// Closes the connections on which clients go on sending requests. Each request that has arrived is answered first.
    fn close_remaining_clients(&mut self) {
        for id in self.connections.ids(Connection::is_client) {
            self.reject_and_close(id);
        }
    }

    /// Answers the messages that were submitted since the last tick.
    fn answer_submitted(&mut self) {
        self.step_without_tick(Input::TickEnded);
    }

    /// Whether no work is left that can still be done before the end of the process.
    fn is_finished(&self) -> bool {
        let (pending, reports) = self.core.pending_and_report_counts();
        let nothing_pending =
            pending == 0 || self.shutdown.is_sending_stopped() && self.core.in_flight_count() == 0;
        let mut connections = self.connections.values();
        nothing_pending && reports == 0 && !connections.any(Connection::delays_shutdown)
    }

    /// Answers Web Push clients that still wait: for the result of a message as the core decides, for a request that was not
    /// processed with an error and a `Retry-After`.
    pub(super) fn answer_waiting_clients(&mut self) {
        self.step_without_tick(Input::Ending {
            retry_after: RETRY_AFTER_SHUTDOWN,
        });
        let is_web_push = |connection: &Connection| {
            matches!(connection.kind, ConnectionKind::WebPushClient { .. })
        };
        let answer = Answer::Rejected {
            retry_after: Some(RETRY_AFTER_SHUTDOWN),
        };
        let response = webpush::write_answer(answer, "");
        let now = self.clock.now();
        for id in self.connections.ids(is_web_push) {
            let unanswered = client_ingress::take_unanswered_pushes(&mut self.connections, id);
            for _ in 0..unanswered {
                self.connections.send(id, &response, now);
            }
        }
    }

    /// Logs clients whose requests this process has read and does not answer before it ends.
    pub(super) fn log_unanswered_clients(&self) {
        let connections = self.connections.values();
        let clients = connections.filter(|c| c.has_unanswered_request()).count();
        if clients > 0 {
            log::warn!(event = "clients-unanswered", clients;
                "stopped: {clients} client connections end with requests that were read and not answered");
        }
    }
}

//! Shutdown of the process in phases.

use std::time::Duration;

use cranehill_core::{Answer, Input};

use super::Reactor;
use crate::connection::{Connection, ConnectionKind};
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
        if !self.is_finished() && phase < ShutdownPhase::Ended {
            return false;
        }
        self.reject_waiting_clients();
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

    /// Whether no work is left that can still be done before the end of the process.
    fn is_finished(&self) -> bool {
        let (pending, reports) = self.core.pending_and_report_counts();
        let nothing_pending =
            pending == 0 || self.shutdown.is_sending_stopped() && self.core.in_flight_count() == 0;
        let mut connections = self.connections.values();
        nothing_pending && reports == 0 && !connections.any(Connection::delays_shutdown)
    }

    /// Answers Web Push clients that still wait for a message's result with an error and a `Retry-After`. Their messages have not been
    /// accepted.
    pub(super) fn reject_waiting_clients(&mut self) {
        let waits = |connection: &Connection| {
            matches!(
                connection.kind,
                ConnectionKind::WebPushClient {
                    pending: Some(_),
                    ..
                }
            )
        };
        let answer = Answer::Rejected {
            retry_after: Some(RETRY_AFTER_SHUTDOWN),
        };
        let response = webpush::write_answer(answer, "");
        let now = self.clock.now();
        for id in self.connections.ids(waits) {
            self.connections.send(id, &response, now);
        }
    }
}

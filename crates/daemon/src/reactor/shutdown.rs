//! The end of the process.

use std::time::Duration;

use cranehill_core::{Answer, Input};

use super::Reactor;
use crate::connection::{Connection, ConnectionKind};
use crate::shutdown::ShutdownPhase;
use crate::tokens::{CLIENTS, WEB_PUSH};
use crate::webpush;

/// When a client that waited for a push's end at the end of the process may retry.
const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_secs(5);

impl Reactor {
    /// Carries out the phases from SIGTERM to the end of the process; true at the end.
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
        if !self.is_finished() && phase < ShutdownPhase::Over {
            return false;
        }
        self.reject_waiting_clients();
        true
    }

    /// Accepts the last connections, and closes clients' connections between requests only: what has arrived is answered first.
    fn close_ingress(&mut self) {
        self.accept_clients(CLIENTS);
        self.accept_clients(WEB_PUSH);
        self.listeners.close(self.connections.registry());
        for id in self.connections.ids(|_| true) {
            self.close_between_requests(id);
        }
    }

    /// Whether nothing is left to do that could be done before the end.
    fn is_finished(&self) -> bool {
        let (pending, reports) = self.core.outstanding();
        let nothing_pending =
            pending == 0 || self.shutdown.is_sending_stopped() && self.core.attempts_out() == 0;
        let mut connections = self.connections.values();
        nothing_pending && reports == 0 && !connections.any(Connection::delays_shutdown)
    }

    /// Clients that still wait for a message's end are asked to retry; nothing was promised to them.
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
            after: Some(RETRY_AFTER_SHUTDOWN),
        };
        let response = webpush::write_answer(answer, "");
        let now = self.clock.now();
        for id in self.connections.ids(waits) {
            self.connections.send(id, &response, now);
        }
    }
}

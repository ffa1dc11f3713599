//! Hand-over to a new version of this process.

use std::io;

use cranehill_core::Input;
use cranehill_scheduler::api::Status;

use super::Reactor;
use crate::connection::{Connection, ConnectionKind};
use crate::finished_call::FinishedCall;
use crate::handover_endpoint::HandoverStep;

impl Reactor {
    /// Carries out the next step of a hand-over in progress, during which no attempts are started; true once everything is handed over
    /// and this process may end.
    pub(super) fn continue_handover(&mut self) -> bool {
        let now = self.clock.now();
        let Some(handover) = &mut self.handover else {
            return false;
        };
        match handover.next_step(now, self.core.in_flight_count()) {
            HandoverStep::None => {}
            HandoverStep::Quiesce => {
                let (pending, out) = (
                    self.core.pending_and_report_counts().0,
                    self.core.in_flight_count(),
                );
                log::info!(event = "handover-requested", pending, out; "hand-over: requested, {pending} messages pending, {out} attempts in flight");
                self.step(Input::Quiesced(true));
            }
            HandoverStep::Cancel => self.cancel_handover("the requesting process disconnected"),
            HandoverStep::HandOver => match self.hand_over() {
                Ok(()) => return true,
                Err(e) => self.cancel_handover(&e.to_string()),
            },
        }
        false
    }

    fn cancel_handover(&mut self, reason: &str) {
        log::warn!("hand-over: cancelled, {reason}; this process continues");
        if let Some(handover) = &mut self.handover {
            handover.cancel();
        }
        self.step(Input::Quiesced(false));
    }

    fn hand_over(&mut self) -> io::Result<()> {
        self.interrupt_all_calls();
        // Requests that have arrived are read, persisted and answered by this process.
        let clients = self.connections.ids(Connection::is_client);
        for &id in &clients {
            self.process_connection(id);
        }
        // Persists the records of these requests. No attempts may be started, so no tick is needed.
        self.step_without_tick(Input::TickEnded);
        let Some(handover) = &mut self.handover else {
            return Ok(());
        };
        let learned_state = self.core.learned_state();
        let handed_over = handover.hand_over(
            learned_state,
            &self.listeners,
            &mut self.connections,
            clients,
        )?;
        let (pending, reports) = self.core.pending_and_report_counts();
        log::info!(event = "handover-complete", clients = handed_over, pending, reports;
            "hand-over: completed, {handed_over} client connections handed over; {pending} messages and {reports} final reports remain in the journal");
        self.reject_waiting_clients();
        Ok(())
    }

    /// Closes the connections with calls in flight. The journal records their messages as possibly executed, except those of calls
    /// whose connection was not yet established: these are not executed.
    fn interrupt_all_calls(&mut self) {
        for id in self
            .connections
            .ids(|connection| connection.call().is_some())
        {
            let Some(connection) = self.connections.close(id) else {
                continue;
            };
            let status = if connection.established {
                Status::TimedOut
            } else {
                Status::NoConnection
            };
            if let ConnectionKind::Destination {
                call: Some(call), ..
            } = connection.kind
            {
                self.finish_call(FinishedCall::without_response(call, status));
            }
        }
    }
}

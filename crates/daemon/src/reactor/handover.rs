//! Hand-over to a new version of this process.

use std::io;

use cranehill_core::Input;
use cranehill_scheduler::api::Status;

use super::Reactor;
use crate::connection::{Connection, ConnectionKind};
use crate::finished_call::FinishedCall;
use crate::handover_endpoint::HandoverStep;

impl Reactor {
    /// Holds back attempts while a hand-over is requested; true once everything is handed over and this process may end.
    pub(super) fn continue_handover(&mut self) -> bool {
        let now = self.clock.now();
        let Some(handover) = &mut self.handover else {
            return false;
        };
        match handover.next_step(now, self.core.attempts_out()) {
            HandoverStep::None => {}
            HandoverStep::Quiesce => {
                let (pending, out) = (self.core.outstanding().0, self.core.attempts_out());
                log::info!(event = "handover-requested", pending, out; "hand-over: requested; {pending} messages pending, {out} attempts in flight");
                self.step(Input::Quiesced(true));
            }
            HandoverStep::Abandon => self.abort_handover("the requesting process disconnected"),
            HandoverStep::HandOver => match self.hand_over() {
                Ok(()) => return true,
                Err(e) => self.abort_handover(&e.to_string()),
            },
        }
        false
    }

    fn abort_handover(&mut self, why: &str) {
        log::warn!("hand-over: {why}; this process goes on");
        if let Some(handover) = &mut self.handover {
            handover.abort();
        }
        self.step(Input::Quiesced(false));
    }

    fn hand_over(&mut self) -> io::Result<()> {
        self.interrupt_all_calls();
        // Everything that clients have sent is read, persisted and answered first.
        let clients = self.connections.ids(Connection::is_client);
        for &id in &clients {
            self.pump(id);
        }
        self.step_without_tick(Input::TickEnded);
        let Some(handover) = &mut self.handover else {
            return Ok(());
        };
        let learned_state = self.core.learned_state();
        let passed = handover.hand_over(
            learned_state,
            &self.listeners,
            &mut self.connections,
            clients,
        )?;
        let (pending, reports) = self.core.outstanding();
        log::info!(event = "handover-complete", clients = passed, pending, reports;
            "hand-over: complete, with {passed} client connections; {pending} messages and {reports} final reports are in the journal");
        self.reject_waiting_clients();
        Ok(())
    }

    /// Ends the calls in flight, as at an end by signal: their messages may have been executed, and the journal says so.
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

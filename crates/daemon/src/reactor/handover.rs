//! Hand-over to a new version of this process.

use std::io;

use cranehill_core::Input;
use cranehill_scheduler::api::Status;

use super::Reactor;
use crate::connection::{Connection, ConnectionKind};
use crate::finished_call::FinishedCall;
use crate::handover_endpoint::HandoverStep;

impl Reactor {
    /// Holds back attempts while a hand-over is in progress; true once everything is handed over and this process may end.
    pub(super) fn continue_handover(&mut self) -> bool {
        let now = self.clock.now();
        let Some(handover) = &mut self.handover else {
            return false;
        };
        match handover.next_step(now, self.core.attempts_out()) {
            HandoverStep::None => {}
            HandoverStep::Quiesce => {
                let (pending, out) = (self.core.outstanding().0, self.core.attempts_out());
                log::info!(event = "handover-requested", pending, out; "hand-over: requested, {pending} messages pending, {out} attempts in flight");
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
        log::warn!("hand-over: cancelled, {why}; this process continues");
        if let Some(handover) = &mut self.handover {
            handover.abort();
        }
        self.step(Input::Quiesced(false));
    }

    fn hand_over(&mut self) -> io::Result<()> {
        self.interrupt_all_calls();
        // Everything that clients have sent is read, persisted and answered before the hand-over.
        let clients = self.connections.ids(Connection::is_client);
        for &id in &clients {
            self.pump(id);
        }
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
        let (pending, reports) = self.core.outstanding();
        log::info!(event = "handover-complete", clients = handed_over, pending, reports;
            "hand-over: completed, {handed_over} client connections handed over; {pending} messages and {reports} final reports remain in the journal");
        self.reject_waiting_clients();
        Ok(())
    }

    /// Ends the calls in flight, as at a shutdown. Their messages are possibly executed, and the journal records them as such.
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

//! Hand-over to a new version of this process.

use std::io;

use cranehill_core::Input;

use super::Reactor;
use crate::connection::{Connection, InFlightCall};
use crate::handover_endpoint::HandoverStep;
use crate::upstream::Interruption;

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
        self.interrupt_calls(|_| true);
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
        self.answer_waiting_clients();
        Ok(())
    }

    /// Ends the matching calls in flight. One that was written completely may have been executed, unless its response has arrived; any
    /// other was not executed.
    pub(super) fn interrupt_calls(&mut self, matches: impl Fn(&InFlightCall) -> bool) {
        let is_matching = |connection: &Connection| connection.call().is_some_and(&matches);
        for id in self.connections.ids(is_matching) {
            let is_unwritten = Connection::has_unwritten_call;
            if self.connections.get(id).is_some_and(is_unwritten) {
                self.cancel_unwritten_call(id);
                continue;
            }
            self.process_connection(id);
            if self.connections.get(id).is_some_and(is_matching) {
                self.interrupt_call(id, Interruption::OutOfTime);
            }
        }
    }
}

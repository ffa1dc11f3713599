//! Timers: when the event loop must wake up without an event, and what it does then.

use cranehill_core::Input;
use cranehill_membership as membership;
use cranehill_scheduler::Time;

use super::Reactor;
use crate::connection::{Connection, ConnectionKind};
use crate::fleet_endpoint::FleetEndpoint;
use crate::tokens::{CLIENTS, WEB_PUSH};
use crate::upstream::Interruption;
use crate::{client_ingress, operator_connections};

const NO_RESPONSE: &str = "no response before the timeout";

impl Reactor {
    pub(super) fn next_wakeup(&self, now: Time) -> Option<Time> {
        let tick = self.platform_settings.settings.tick;
        let fleet_has_more = self.fleet.as_ref().is_some_and(FleetEndpoint::has_more);
        let at_once = self.connections.has_resumed() || fleet_has_more;
        let handover = self.handover.as_ref();
        let timers = [
            self.dirty.then(|| self.last_tick + tick),
            at_once.then_some(now),
            self.fleet.as_ref().and_then(FleetEndpoint::due),
            self.journal.compaction_due(now),
            self.wakeups.first().copied(),
            self.discovery.due(),
            self.listeners.accept_due(),
            self.reload.due(),
            self.final_reports.due(),
            handover.and_then(|handover| handover.next_check(now, tick)),
            self.drain.next_check(&self.connections, now),
            self.shutdown.next_check(now),
        ];
        let connections = self.connections.values();
        let deadlines = connections.filter_map(|connection| self.deadline(connection));
        let next = timers.into_iter().flatten().chain(deadlines).min();
        next.map(|at| at.max(now))
    }

    pub(super) fn run_timers(&mut self) {
        let now = self.clock.now();
        if self.listeners.take_accept_due(now) {
            self.accept_clients(CLIENTS);
            self.accept_clients(WEB_PUSH);
        }
        self.run_fleet_timer(now);
        while self.wakeups.first().is_some_and(|&at| at <= now) {
            self.wakeups.pop_first();
            self.step(Input::TimerFired);
        }
        if self.reload.due().is_some_and(|due| due <= now) {
            self.read_config();
        }
        if self.discovery.due().is_some_and(|due| due <= now) {
            self.poll_discovery(None);
        }
        let is_due = |connection: &Connection| self.is_due(connection, now);
        for id in self.connections.ids(is_due) {
            self.on_deadline(id, now);
        }
    }

    fn run_fleet_timer(&mut self, now: Time) {
        let Some(fleet) = &mut self.fleet else { return };
        let (has_more, due) = (fleet.has_more(), fleet.take_due(now));
        // Packets are processed before the timer, so that a response which has already arrived is not counted as missing.
        if has_more || due {
            self.receive_from_fleet();
        }
        if due {
            self.step_fleet(membership::Input::TimerFired);
        }
    }

    /// When a connection times out.
    fn deadline(&self, connection: &Connection) -> Option<Time> {
        match &connection.kind {
            ConnectionKind::Destination { .. } => self.upstream.deadline(connection),
            ConnectionKind::Discovery { .. } => Some(self.discovery.deadline(connection)),
            ConnectionKind::FinalReports => self.final_reports.deadline(connection),
            ConnectionKind::Client { .. } | ConnectionKind::WebPushClient { .. } => {
                client_ingress::deadline(connection)
            }
            ConnectionKind::Closing { deadline } => Some(*deadline),
            ConnectionKind::Operator { .. } => Some(operator_connections::deadline(connection)),
        }
    }

    fn is_due(&self, connection: &Connection, now: Time) -> bool {
        self.deadline(connection).is_some_and(|at| at <= now)
    }

    fn on_deadline(&mut self, id: usize, now: Time) {
        // The response may have arrived while the event loop was busy.
        self.process_connection(id);
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        if !self.is_due(connection, now) {
            return;
        }
        let sent = connection.established && connection.is_written();
        match &connection.kind {
            // The call is ended for all its messages, so that their next attempts don't overlap this one.
            ConnectionKind::Destination { call: Some(_), .. } if sent => {
                self.interrupt_call(id, Interruption::OutOfTime);
            }
            ConnectionKind::Destination { call: Some(_), .. }
            | ConnectionKind::Destination { check: Some(_), .. }
            | ConnectionKind::Discovery { .. }
            | ConnectionKind::FinalReports => self.on_connection_failed(id, NO_RESPONSE),
            ConnectionKind::Client { .. } | ConnectionKind::WebPushClient { .. } => {
                self.time_out_client(id);
            }
            ConnectionKind::Destination { .. }
            | ConnectionKind::Operator { .. }
            | ConnectionKind::Closing { .. } => {
                self.connections.close(id);
            }
        }
    }
}

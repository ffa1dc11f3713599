//! What is due when: the next time at which the loop must wake up, and what it does then.

use super::*;

/// How long before a destination closes an idle connection we stop trusting it.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);

impl Reactor {
    pub(super) fn next_due(&self, now: Time) -> Option<Time> {
        let mut next: Option<Time> = None;
        let mut consider = |t: Time| next = Some(next.map_or(t, |n| n.min(t)));
        if self.dirty {
            consider(self.last_turn + self.platform_settings.settings.tick);
        }
        if !self.resume.is_empty() || self.fleet.as_ref().is_some_and(|f| f.more) {
            consider(now);
        }
        self.fleet
            .iter()
            .filter_map(|f| f.due)
            .for_each(&mut consider);
        if self.wants_compaction(now) {
            consider(self.upkeep_at);
        }
        self.wakes
            .first()
            .copied()
            .into_iter()
            .for_each(&mut consider);
        self.watch_due()
            .into_iter()
            .chain(self.accept_again)
            .for_each(&mut consider);
        self.reload.iter().for_each(|&(at, _)| consider(at));
        if self.reports.is_ready() {
            consider(self.report_at);
        }
        for connection in self.connections.values() {
            self.connection_due(connection)
                .into_iter()
                .for_each(&mut consider);
        }
        self.handover_due(now).into_iter().for_each(&mut consider);
        self.empty_due(now).into_iter().for_each(&mut consider);
        if let Some(since) = self.stopping {
            consider((now + Duration::from_millis(20)).max(since));
        }
        next.map(|t| t.max(now))
    }

    pub(super) fn timers(&mut self) {
        let now = self.clock.now();
        if self.accept_again.take_if(|t| *t <= now).is_some() {
            self.accept(CLIENTS);
            self.accept(PUSHES);
        }
        if let Some(end) = &mut self.fleet {
            let (more, due) = (end.more, end.due.take_if(|t| *t <= now).is_some());
            // What has come first: an answer that waits here must not be missed by the timer that asks for it.
            if more || due {
                self.hear_fleet();
            }
            if due {
                self.step_fleet(cranehill_membership::Input::TimerFired);
            }
        }
        while self.wakes.first().is_some_and(|&t| t <= now) {
            self.wakes.pop_first();
            self.step(Input::TimerFired);
        }
        if self.reload.is_some_and(|(at, _)| at <= now) {
            self.read_again();
        }
        if self.watch_due().is_some_and(|t| t <= now) {
            self.watch(None);
        }
        let due: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, l)| self.connection_due(l).is_some_and(|t| t <= now))
            .map(|(&i, _)| i)
            .collect();
        for id in due {
            self.on_due(id, now);
        }
    }

    pub(super) fn idle_limit(&self) -> Duration {
        let limit = self.platform_settings.settings.conn_idle;
        limit.saturating_sub(IDLE_MARGIN).max(limit / 2)
    }

    /// When a connection needs attention though nothing happens on it.
    fn connection_due(&self, connection: &Connection) -> Option<Time> {
        let set = &self.platform_settings.settings;
        match &connection.kind {
            ConnectionKind::Destination {
                call: Some(call), ..
            } => {
                let first = call.until();
                let connect = (!connection.up).then(|| call.started + set.connect_timeout);
                first
                    .into_iter()
                    .chain(connect)
                    .chain(upstream::stall(connection))
                    .chain(upstream::write_by(connection))
                    .min()
            }
            ConnectionKind::Destination {
                check: Some(at), ..
            } => Some(*at + set.connect_timeout),
            ConnectionKind::Destination { .. } => Some(connection.used + self.idle_limit()),
            ConnectionKind::Directory { .. } if !connection.up => Some(
                self.watch
                    .overdue()
                    .min(connection.used + set.connect_timeout),
            ),
            ConnectionKind::Directory { .. } => Some(self.watch.overdue()),
            ConnectionKind::FinalReports if !self.reports.is_idle() => {
                Some(connection.used + final_report_protocol::RESPONSE_TIMEOUT)
            }
            ConnectionKind::Client { busy: false } | ConnectionKind::Pusher { busy: None, .. } => {
                Some(connection.since + client_ingress::patience(connection))
            }
            ConnectionKind::Ending { until } => Some(*until),
            ConnectionKind::Operator { .. } => Some(connection.since + operator::PATIENCE),
            ConnectionKind::Client { .. }
            | ConnectionKind::Pusher { .. }
            | ConnectionKind::FinalReports => None,
        }
    }

    fn on_due(&mut self, id: usize, now: Time) {
        // The answer may have come while we were busy.
        self.pump(id);
        let still = self
            .connections
            .get(&id)
            .is_some_and(|l| self.connection_due(l).is_some_and(|t| t <= now));
        let Some(connection) = self.connections.get_mut(&id).filter(|_| still) else {
            return;
        };
        let sent = connection.up && connection.written_out();
        match &connection.kind {
            // A further attempt must not have this one beside it: the call is broken off, with all that it carries.
            ConnectionKind::Destination { call: Some(_), .. } if sent => {
                self.break_off(id, upstream::Cut::OutOfTime)
            }
            ConnectionKind::Destination { call: Some(_), .. }
            | ConnectionKind::Destination { check: Some(_), .. } => {
                self.broken(id, "no answer in time");
            }
            ConnectionKind::Directory { .. } | ConnectionKind::FinalReports => {
                self.broken(id, "no answer in time")
            }
            ConnectionKind::Client { .. } | ConnectionKind::Pusher { .. } => {
                self.out_of_patience(id)
            }
            ConnectionKind::Destination { .. }
            | ConnectionKind::Operator { .. }
            | ConnectionKind::Ending { .. } => {
                self.drop_connection(id);
            }
        }
    }
}

//! What is due when: the next time at which the loop must wake up, and what it does then.

use super::*;

/// How long before a destination closes an idle connection we stop trusting it.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);

impl Reactor {
    pub(super) fn next_due(&self, now: Time) -> Option<Time> {
        let mut next: Option<Time> = None;
        let mut consider = |t: Time| next = Some(next.map_or(t, |n| n.min(t)));
        if self.dirty {
            consider(self.last_turn + self.site.settings.tick);
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
        if self.reports.ready() {
            consider(self.report_at);
        }
        for link in self.links.values() {
            self.link_due(link).into_iter().for_each(&mut consider);
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
            .links
            .iter()
            .filter(|(_, l)| self.link_due(l).is_some_and(|t| t <= now))
            .map(|(&i, _)| i)
            .collect();
        for id in due {
            self.on_due(id, now);
        }
    }

    pub(super) fn idle_limit(&self) -> Duration {
        let limit = self.site.settings.conn_idle;
        limit.saturating_sub(IDLE_MARGIN).max(limit / 2)
    }

    /// When a connection needs attention though nothing happens on it.
    fn link_due(&self, link: &Link) -> Option<Time> {
        let set = &self.site.settings;
        match &link.role {
            Role::Destination {
                call: Some(call), ..
            } => {
                let first = call.until();
                let connect = (!link.up).then(|| call.started + set.connect_timeout);
                first
                    .into_iter()
                    .chain(connect)
                    .chain(calls::stall(link))
                    .chain(calls::write_by(link))
                    .min()
            }
            Role::Destination {
                check: Some(at), ..
            } => Some(*at + set.connect_timeout),
            Role::Destination { .. } => Some(link.used + self.idle_limit()),
            Role::Directory { .. } if !link.up => {
                Some(self.watch.overdue().min(link.used + set.connect_timeout))
            }
            Role::Directory { .. } => Some(self.watch.overdue()),
            Role::FinalReports if !self.reports.idle() => Some(link.used + final_report::OVERDUE),
            Role::Client { busy: false } | Role::Pusher { busy: None, .. } => {
                Some(link.since + client_ingress::patience(link))
            }
            Role::Ending { until } => Some(*until),
            Role::Operator { .. } => Some(link.since + operator::PATIENCE),
            Role::Client { .. } | Role::Pusher { .. } | Role::FinalReports => None,
        }
    }

    fn on_due(&mut self, id: usize, now: Time) {
        // The answer may have come while we were busy.
        self.pump(id);
        let still = self
            .links
            .get(&id)
            .is_some_and(|l| self.link_due(l).is_some_and(|t| t <= now));
        let Some(link) = self.links.get_mut(&id).filter(|_| still) else {
            return;
        };
        let sent = link.up && link.written_out();
        match &link.role {
            // A further attempt must not have this one beside it: the call is broken off, with all that it carries.
            Role::Destination { call: Some(_), .. } if sent => {
                self.break_off(id, calls::Cut::OutOfTime)
            }
            Role::Destination { call: Some(_), .. } | Role::Destination { check: Some(_), .. } => {
                self.broken(id, "no answer in time");
            }
            Role::Directory { .. } | Role::FinalReports => self.broken(id, "no answer in time"),
            Role::Client { .. } | Role::Pusher { .. } => self.out_of_patience(id),
            Role::Destination { .. } | Role::Operator { .. } | Role::Ending { .. } => {
                self.drop_link(id);
            }
        }
    }
}

//! Checks how fast crashes are detected, and that no running member is considered down without a cause.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_scenario_runner::{Outcome, Plan};
use cranehill_simulation::fleet::{NetworkFault, PathFault};

use super::summary::Report;
use crate::histograms::record;
use crate::timeline::StateChange;
use crate::units::{seconds, whole_milliseconds};

/// Times at which a viewer began to consider a member down, by viewer and member.
type DownTimes = BTreeMap<(usize, usize), Vec<Duration>>;

/// A member that was killed.
#[derive(Clone, Copy)]
struct Kill {
    member: usize,
    at: Duration,
    /// When the member ran again, or the end of the run.
    until: Duration,
}

impl Report {
    /// Records how long after each kill the others considered the member down. Fails if the longest time exceeds the bound, or if
    /// a member did not detect a crash.
    pub(super) fn evaluate_detection(&mut self, plan: &Plan, outcome: &Outcome) {
        let down_times = self.down_times();
        for kill in self.kills(outcome) {
            for viewer in (0..plan.scenario.members()).filter(|&viewer| viewer != kill.member) {
                let times = down_times.get(&(viewer, kill.member));
                self.evaluate_kill(plan, kill, viewer, times.map_or(&[], Vec::as_slice));
            }
        }
        let latest = self.detection.max();
        if latest > whole_milliseconds(self.bound) {
            let bound = self.bound;
            self.failed.push(format!(
                "crash detection took up to {latest} ms; expected at most {bound:?}"
            ));
        }
        if self.undetected > 0 {
            self.failed.push(format!(
                "{} crashes were never detected, counted once for each viewer",
                self.undetected
            ));
        }
    }

    fn down_times(&self) -> DownTimes {
        let mut times = DownTimes::new();
        for change in self.downs() {
            let viewer_and_member = (change.by, change.of);
            times.entry(viewer_and_member).or_default().push(change.at);
        }
        times
    }

    fn downs(&self) -> impl Iterator<Item = &StateChange> {
        self.timeline
            .state_changes
            .iter()
            .filter(|change| change.state == "down")
    }

    fn kills(&self, outcome: &Outcome) -> Vec<Kill> {
        let kill = |&(member, at): &(usize, Duration)| {
            let absences = self.timeline.absences.get(&member);
            let restarted =
                absences.and_then(|absences| absences.iter().find(|span| span.0 >= at)?.1);
            Kill {
                member,
                at,
                until: restarted.unwrap_or(outcome.lasted).min(outcome.lasted),
            }
        };
        self.timeline.killed.iter().map(kill).collect()
    }

    fn evaluate_kill(&mut self, plan: &Plan, kill: Kill, viewer: usize, down_times: &[Duration]) {
        let Kill { member, at, until } = kill;
        let deadline = at + self.bound;
        if !self
            .timeline
            .ran_throughout(viewer, at, until.min(deadline))
            || has_fault_between(&plan.scenario.network_faults, viewer, member, at)
        {
            return;
        }
        match down_times.iter().find(|time| (at..=until).contains(time)) {
            Some(time) => record(&mut self.detection, *time - at),
            // The member ran again, or the run ended, before the crash had to be detected.
            None if until < deadline => {}
            None => self.undetected += 1,
        }
    }

    /// Counts how often a running member was considered down, with and without a fault that explains it.
    pub(super) fn evaluate_false_downs(&mut self, plan: &Plan) {
        let downs: Vec<StateChange> = self.downs().cloned().collect();
        for StateChange { at, by, of, .. } in downs {
            let since = at.saturating_sub(self.bound);
            if !self.timeline.ran_throughout(of, since, at) {
                continue;
            }
            let explains = |fault: &NetworkFault| {
                matches!(fault.path_fault, PathFault::Cut | PathFault::Stall)
                    && fault.among_senders()
                    && fault.at <= at
                    && fault.until >= since
            };
            if plan.scenario.network_faults.iter().any(explains) {
                self.explained += 1;
                continue;
            }
            self.false_downs += 1;
            let at = seconds(at);
            self.failed.push(format!(
                "{at:.3} s: member {by} considered running member {of} down without a network fault"
            ));
        }
    }
}

/// Whether a network fault was active between two members at that time, in either direction.
fn has_fault_between(
    network_faults: &[NetworkFault],
    one: usize,
    other: usize,
    at: Duration,
) -> bool {
    network_faults
        .iter()
        .filter(|fault| fault.at <= at && at <= fault.until)
        .any(|fault| fault.between(one, other) || fault.between(other, one))
}

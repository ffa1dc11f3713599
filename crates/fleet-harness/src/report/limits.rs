//! Checks shared limits: the sum of all members' shares, and the call rate of each side of a cut between members.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use cranehill_scenario_runner::{Outcome, Plan};
use cranehill_simulation::audit::{AuditEvent, AuditRecord};
use cranehill_simulation::fleet::{NetworkFault, PathFault, Side};
use cranehill_simulation::limit::Limit;

use super::cut_side::CutSideLoad;
use super::summary::Report;
use crate::shares::largest_share;
use crate::timeline::Timeline;
use crate::units::seconds;

/// If one side of a cut has evicted the other, both sides together use at most this share of a limit (docs/membership.md).
const MAX_SHARE_AFTER_EVICTION: f64 = 1.5;
/// Number of calls that a full token bucket admits without a wait: `PACE_DEPTH` of the scheduler.
const TOKEN_BUCKET_DEPTH: f64 = 2.0;

impl Report {
    /// Checks that all members together allowed themselves at most the whole of a shared limit, or
    /// [`MAX_SHARE_AFTER_EVICTION`] if a member was down or cut off for at least the eviction delay.
    pub(super) fn evaluate_shares(&mut self, plan: &Plan) {
        let Some(fleet) = &plan.scenario.fleet else {
            return;
        };
        self.largest_share = largest_share(&self.timeline, plan.scenario.members());
        let max_share = if longest_unreachable(plan, &self.timeline) < fleet.hold {
            1.0
        } else {
            MAX_SHARE_AFTER_EVICTION
        };
        if self.largest_share > max_share {
            let share = self.largest_share;
            self.failed.push(format!(
                "all members together allowed themselves {share:.3} of a shared limit; expected at most {max_share:.3}"
            ));
        }
    }

    /// Checks for each cut that neither side called a destination more often than its senders' share of the limit allows.
    pub(super) fn evaluate_cut_limits(&mut self, plan: &Plan, outcome: &Outcome) {
        for fault in &plan.scenario.network_faults {
            if fault.path_fault != PathFault::Cut || fault.one_way {
                continue;
            }
            let Side::Senders(others) = &fault.to else {
                continue;
            };
            for destination in 0..plan.scenario.destinations.len() {
                for side in [&fault.from, others] {
                    self.evaluate_side(plan, &outcome.lines, fault, destination, side);
                }
            }
        }
    }

    fn evaluate_side(
        &mut self,
        plan: &Plan,
        lines: &[AuditRecord],
        cut: &NetworkFault,
        destination: usize,
        side: &BTreeSet<usize>,
    ) {
        let scenario = &plan.scenario;
        let destination_spec = &scenario.destinations[destination];
        let Limit::Rate { per_second, .. } = destination_spec.spec.limit else {
            return;
        };
        // Simulated members have a share of the limit as well, and send nothing.
        let senders = side.iter().filter(|&&s| s < scenario.senders).count();
        if senders == 0 {
            return;
        }
        let duration = cut.until - cut.at;
        let before = cut.at.saturating_sub(duration)..cut.at;
        let during = cut.at..cut.until;
        let load = CutSideLoad {
            destination: destination_spec.name.clone(),
            senders,
            before: calls_per_second(lines, destination, side, &before),
            during: calls_per_second(lines, destination, side, &during),
            allowed: per_second * senders as f64 / scenario.members() as f64,
        };
        // Token buckets may be full when the cut begins.
        let max_rate = load.allowed + TOKEN_BUCKET_DEPTH * senders as f64 / seconds(duration);
        if load.during > max_rate {
            let (name, during, allowed) = (&load.destination, load.during, load.allowed);
            self.failed.push(format!(
                "{senders} senders sent {during:.2} calls/s to {name} while cut off; their share of the limit is {allowed:.2} calls/s"
            ));
        }
        self.cut_sides.push(load);
    }
}

/// The longest time for which a member was down or cut off; `Duration::MAX` if one did not run again.
fn longest_unreachable(plan: &Plan, timeline: &Timeline) -> Duration {
    let is_cut = |fault: &&NetworkFault| {
        matches!(fault.path_fault, PathFault::Cut | PathFault::Stall) && fault.among_senders()
    };
    let cuts = plan.scenario.network_faults.iter().filter(is_cut);
    let longest_cut = cuts.map(|fault| fault.until - fault.at).max();
    let absences = timeline.absences.values().flatten();
    let longest_absence = absences
        .map(|(stopped, restarted)| match restarted {
            Some(restarted) => restarted.saturating_sub(*stopped),
            None => Duration::MAX,
        })
        .max();
    longest_cut.max(longest_absence).unwrap_or_default()
}

/// Average calls per second of these senders to a destination within a span.
fn calls_per_second(
    lines: &[AuditRecord],
    destination: usize,
    senders: &BTreeSet<usize>,
    span: &Range<Duration>,
) -> f64 {
    let is_call = |event: &AuditEvent| matches!(event, AuditEvent::Called { destination: called, .. } if *called == destination as u64);
    let calls = lines
        .iter()
        .filter(|line| span.contains(&line.at))
        .filter(|line| line.sender.is_some_and(|sender| senders.contains(&sender)))
        .filter(|line| is_call(&line.event))
        .count();
    calls as f64 / seconds(span.end - span.start).max(1e-9)
}

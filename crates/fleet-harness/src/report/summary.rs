//! The figures of a scenario and what is checked of them.

use std::time::Duration;

use cranehill_scenario_runner::{Outcome, Plan, ResourceUsage};
use cranehill_simulation::audit::{Rule, Verdict, Violation};
use hdrhistogram::Histogram;

use super::detection_bound::detection_bound;
use super::part::Part;
use crate::histograms::histogram;
use crate::network::FleetTraffic;
use crate::returns::Returns;
use crate::simulated_costs::SimulatedFleetCosts;
use crate::timeline::Timeline;
use crate::units::{milliseconds, seconds};
use crate::zones::{Outage, outages};

/// Results of a scenario.
#[derive(Debug)]
pub struct Report {
    /// A crash must be known to all members within this.
    pub bound: Duration,
    /// Milliseconds from a kill until each other member held the killed one to be down.
    pub detection: Histogram<u64>,
    /// Members that did not hold a killed one to be down in time, counted by kill.
    pub undetected: u64,
    /// Times that a member was held to be down, and was neither away nor cut off.
    pub false_downs: u64,
    /// Times that a member was held to be down because of a cut.
    pub explained: u64,
    /// Hours that the members ran, together.
    pub member_hours: f64,
    /// By event: how long after it all views agreed again; `None` if they did not.
    pub agreed: Vec<(String, Option<Duration>)>,
    /// At the end all views agree.
    pub views_agree: bool,
    /// Times that a member rejoined with a new incarnation while its process ran on.
    pub rejoined: usize,
    /// Calls of each side of a cut.
    pub parts: Vec<Part>,
    /// Restarts of senders.
    pub returns: Returns,
    /// Outages of zones.
    pub outages: Vec<Outage>,
    /// Bytes of membership that a member sent in a second, on average.
    pub bytes_a_second: f64,
    /// Packets of membership that a member sent in a second, on average.
    pub packets_a_second: f64,
    /// Packets that were lost by network faults.
    pub lost: u64,
    /// The cost of simulated members, in a scenario with some.
    pub simulated: Option<SimulatedFleetCosts>,
    /// The largest share of a shared limit that all running members allowed themselves together; 1.0 is the limit.
    pub largest_share: f64,
    /// Milliseconds of processor time in a second, on average of the senders that ran throughout.
    pub cpu_ms: f64,
    /// Resident memory of these senders in kB: median and largest.
    pub memory_kb: (u64, u64),
    /// Expectations that were not met.
    pub failed: Vec<String>,
    pub(super) timeline: Timeline,
}

impl Report {
    /// Evaluates a run.
    pub fn of(plan: &Plan, outcome: &Outcome, passed: &FleetTraffic) -> Report {
        let mut timeline = Timeline::read(&outcome.logs, &outcome.lines, outcome.began);
        if let Some(simulated) = &passed.simulated {
            timeline.add_simulated(simulated);
        }
        let mut report = Report::new(plan, outcome, passed, timeline);
        report.evaluate_costs(outcome);
        if plan.scenario.fleet.is_some() {
            report.evaluate_detection(plan, outcome);
            report.evaluate_false_downs(plan);
            report.evaluate_agreement(plan, outcome);
            report.evaluate_last_views(plan, outcome);
            report.evaluate_cut_limits(plan, outcome);
            report.evaluate_shares(plan);
        }
        report.add_run_failures(outcome);
        report
    }

    fn new(plan: &Plan, outcome: &Outcome, passed: &FleetTraffic, timeline: Timeline) -> Report {
        let scenario = &plan.scenario;
        let members = scenario.members() as f64;
        let lasted = seconds(outcome.lasted);
        let sent = SentTotals::of(scenario.senders, passed);
        let simulated = passed.simulated.as_ref();
        Report {
            bound: detection_bound(plan),
            detection: histogram(),
            undetected: 0,
            false_downs: 0,
            explained: 0,
            member_hours: lasted * members / 3600.0,
            agreed: Vec::new(),
            views_agree: false,
            rejoined: timeline.rejoined.len(),
            parts: Vec::new(),
            returns: Returns::of(scenario, &outcome.lines, &timeline, outcome.lasted),
            outages: outages(scenario, &outcome.lines, &timeline),
            bytes_a_second: sent.bytes as f64 / lasted / members,
            packets_a_second: sent.packets as f64 / lasted / members,
            simulated: simulated.map(|play| SimulatedFleetCosts::of(play, outcome.lasted)),
            largest_share: 0.0,
            lost: passed.lost + simulated.map_or(0, |play| play.lost),
            cpu_ms: 0.0,
            memory_kb: (0, 0),
            failed: Vec::new(),
            timeline,
        }
    }

    /// All expectations were met.
    pub fn holds(&self) -> bool {
        self.failed.is_empty()
    }

    /// Violated rules, crashes, and reasons why the run can't be judged.
    fn add_run_failures(&mut self, outcome: &Outcome) {
        for (rule, verdict) in &outcome.verdicts {
            if let Verdict::Broken(violations) = verdict {
                self.failed.push(violated(*rule, violations));
            }
        }
        let crashed = outcome.crashed.iter();
        self.failed
            .extend(crashed.map(|sender| format!("sender {sender} ended without a signal")));
        let void = outcome.void.iter();
        self.failed
            .extend(void.map(|reason| format!("void: {reason}")));
    }

    /// Processor time and memory of the senders that ran throughout.
    fn evaluate_costs(&mut self, outcome: &Outcome) {
        let ran = |sender: usize| self.timeline.there(sender, Duration::ZERO, outcome.lasted);
        let usages: Vec<&ResourceUsage> = outcome
            .senders
            .iter()
            .enumerate()
            .filter(|(sender, usage)| ran(*sender) && usage.memory_kb > 0)
            .map(|(_, usage)| usage)
            .collect();
        if usages.is_empty() {
            return;
        }
        let cpu_ms: f64 = usages.iter().map(|usage| milliseconds(usage.cpu)).sum();
        self.cpu_ms = cpu_ms / seconds(outcome.lasted) / usages.len() as f64;
        let mut memory: Vec<u64> = usages.iter().map(|usage| usage.memory_kb).collect();
        memory.sort_unstable();
        self.memory_kb = (memory[memory.len() / 2], memory[memory.len() - 1]);
    }
}

fn violated(rule: Rule, violations: &[Violation]) -> String {
    let first = violations
        .first()
        .map(ToString::to_string)
        .unwrap_or_default();
    format!(
        "broken {} times: {}; {first}",
        violations.len(),
        rule.description()
    )
}

/// What all members sent.
struct SentTotals {
    bytes: u64,
    packets: u64,
}

impl SentTotals {
    /// Simulated members count at their own sockets, as the relay sees only a part of their packets.
    fn of(senders: usize, passed: &FleetTraffic) -> SentTotals {
        let of_senders = |counts: &[u64]| counts.iter().take(senders).sum::<u64>();
        let simulated = passed.simulated.as_ref();
        SentTotals {
            bytes: of_senders(&passed.bytes) + simulated.map_or(0, |play| play.bytes_sent),
            packets: of_senders(&passed.packets) + simulated.map_or(0, |play| play.packets_sent),
        }
    }
}

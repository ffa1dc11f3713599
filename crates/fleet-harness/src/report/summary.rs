//! The figures of a scenario and the checks on them.

use std::time::Duration;

use cranehill_scenario_runner::{Outcome, Plan, ResourceUsage};
use cranehill_simulation::audit::{Rule, Verdict, Violation};
use hdrhistogram::Histogram;

use super::cut_side::CutSideLoad;
use super::detection_bound::detection_bound;
use crate::histograms::histogram;
use crate::network::FleetTraffic;
use crate::restarts::Restarts;
use crate::simulated_costs::SimulatedFleetCosts;
use crate::timeline::Timeline;
use crate::units::{milliseconds, seconds};
use crate::zones::{Outage, outages};

/// The figures of a scenario's run, and the expectations that were not met.
#[derive(Debug)]
pub struct Report {
    /// The longest time allowed from a crash until all members consider the crashed one down.
    pub bound: Duration,
    /// Milliseconds from a kill until another member considered the killed one down, one value for each kill and viewer.
    pub detection: Histogram<u64>,
    /// Number of pairs of a kill and a viewer where the viewer did not consider the killed member down.
    pub undetected: u64,
    /// Number of times that another member considered a member down although it ran and was not cut off.
    pub false_downs: u64,
    /// Number of times that another member considered a running member down because of a cut or stall.
    pub explained: u64,
    /// Duration of the run in hours, multiplied by the number of members.
    pub member_hours: f64,
    /// Events, each with the time after which all views agreed again; `None` if they did not.
    pub agreed: Vec<(String, Option<Duration>)>,
    /// Whether all views agreed with the running members at the end.
    pub views_agree: bool,
    /// Number of times that a member rejoined with a new incarnation while its process kept running.
    pub rejoined: usize,
    /// Rates of calls from each side of each cut.
    pub cut_sides: Vec<CutSideLoad>,
    /// Durations of the senders' recoveries, and the load during restarts.
    pub restarts: Restarts,
    /// Outages of zones, and how the senders reacted.
    pub outages: Vec<Outage>,
    /// Average bytes of membership traffic that a member sent per second.
    pub bytes_per_second: f64,
    /// Average packets of membership traffic that a member sent per second.
    pub packets_per_second: f64,
    /// Packets that were dropped because of network faults.
    pub lost: u64,
    /// The cost of simulated members; `None` in a scenario without any.
    pub simulated: Option<SimulatedFleetCosts>,
    /// Largest sum, at any time, of the running members' shares of a shared limit; 1.0 is the whole limit.
    pub largest_share: f64,
    /// Average processor time of the senders that ran throughout, in milliseconds per second.
    pub cpu_ms: f64,
    /// Resident memory of the senders that ran throughout, in kB: median and maximum.
    pub memory_kb: (u64, u64),
    /// The expectations that were not met, one text for each.
    pub failed: Vec<String>,
    pub(super) timeline: Timeline,
}

impl Report {
    /// Evaluates a run: computes all figures and checks the expectations.
    pub fn of(plan: &Plan, outcome: &Outcome, traffic: &FleetTraffic) -> Report {
        let mut timeline = Timeline::read(&outcome.logs, &outcome.lines, outcome.began);
        if let Some(simulated) = &traffic.simulated {
            timeline.add_simulated(simulated);
        }
        let mut report = Report::new(plan, outcome, traffic, timeline);
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

    fn new(plan: &Plan, outcome: &Outcome, traffic: &FleetTraffic, timeline: Timeline) -> Report {
        let scenario = &plan.scenario;
        let members = scenario.members() as f64;
        let lasted = seconds(outcome.lasted);
        let sent = SentTotals::of(scenario.senders, traffic);
        let simulated = traffic.simulated.as_ref();
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
            cut_sides: Vec::new(),
            restarts: Restarts::of(scenario, &outcome.lines, &timeline, outcome.lasted),
            outages: outages(scenario, &outcome.lines, &timeline),
            bytes_per_second: sent.bytes as f64 / lasted / members,
            packets_per_second: sent.packets as f64 / lasted / members,
            simulated: simulated.map(|run| SimulatedFleetCosts::of(run, outcome.lasted)),
            largest_share: 0.0,
            lost: traffic.lost + simulated.map_or(0, |run| run.lost),
            cpu_ms: 0.0,
            memory_kb: (0, 0),
            failed: Vec::new(),
            timeline,
        }
    }

    /// Whether the run met all expectations: [`Report::failed`] is empty.
    pub fn holds(&self) -> bool {
        self.failed.is_empty()
    }

    /// Adds violated rules, crashed senders, and reasons why the run is not valid.
    fn add_run_failures(&mut self, outcome: &Outcome) {
        for (rule, verdict) in &outcome.verdicts {
            if let Verdict::Broken(violations) = verdict {
                self.failed.push(violated(*rule, violations));
            }
        }
        let crashed = outcome.crashed.iter();
        self.failed.extend(
            crashed.map(|sender| format!("sender {sender}: process ended without a signal")),
        );
        let void = outcome.void.iter();
        self.failed
            .extend(void.map(|reason| format!("void: {reason}")));
    }

    /// Computes processor time and memory of the senders that ran throughout.
    fn evaluate_costs(&mut self, outcome: &Outcome) {
        let ran = |sender: usize| {
            self.timeline
                .ran_throughout(sender, Duration::ZERO, outcome.lasted)
        };
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
        "{} violations of the rule: {}; first: {first}",
        violations.len(),
        rule.description()
    )
}

/// Membership traffic that all members sent.
struct SentTotals {
    bytes: u64,
    packets: u64,
}

impl SentTotals {
    /// Adds up the traffic. Simulated members are counted at their own sockets, since only some of their packets pass through the relay.
    fn of(senders: usize, traffic: &FleetTraffic) -> SentTotals {
        let of_senders = |counts: &[u64]| counts.iter().take(senders).sum::<u64>();
        let simulated = traffic.simulated.as_ref();
        SentTotals {
            bytes: of_senders(&traffic.bytes) + simulated.map_or(0, |run| run.bytes_sent),
            packets: of_senders(&traffic.packets) + simulated.map_or(0, |run| run.packets_sent),
        }
    }
}

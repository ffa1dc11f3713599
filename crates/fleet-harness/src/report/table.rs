//! The report as lines of text.

use cranehill_scenario_runner::{Outcome, Plan, report as run_report};

use super::summary::Report;
use crate::simulated_costs::SimulatedFleetCosts;
use crate::units::seconds;
use crate::zones::Outage;

/// The figures of the fleet as lines of text, followed by the scenario runner's table of the run.
pub fn table(plan: &Plan, outcome: &Outcome, report: &Report) -> Vec<String> {
    let mut lines = membership_lines(plan, report);
    lines.extend(report.simulated.as_ref().map(SimulatedFleetCosts::line));
    for (event, took) in &report.agreed {
        let took = took.map_or("never".into(), |took| format!("{:.2} s", seconds(took)));
        lines.push(format!("  views agreed after {event}: {took}"));
    }
    for side in &report.cut_sides {
        lines.push(format!(
            "  {} senders cut off, to {}: {:.2} calls/s before, {:.2} during; their share of the limit {:.2}",
            side.senders, side.destination, side.before, side.during, side.allowed
        ));
    }
    if !report.timeline.killed.is_empty() {
        lines.extend(report.restarts.lines());
    }
    lines.extend(report.outages.iter().map(Outage::line));
    lines.extend(
        run_report::table(&plan.scenario.name, plan.seed, outcome)
            .into_iter()
            .skip(1),
    );
    lines.extend(
        report
            .failed
            .iter()
            .map(|failure| format!("  FAILED: {failure}")),
    );
    lines
}

fn membership_lines(plan: &Plan, report: &Report) -> Vec<String> {
    let detection = &report.detection;
    vec![
        format!(
            "{} ({}, seed {})",
            plan.scenario.name,
            fleet_size(plan),
            plan.seed
        ),
        format!(
            "  crash to down in a view: {} times, p50 {} ms, p99 {} ms, at most {} ms (bound {} ms); {} not detected",
            detection.len(),
            detection.value_at_quantile(0.5),
            detection.value_at_quantile(0.99),
            detection.max(),
            report.bound.as_millis(),
            report.undetected
        ),
        format!(
            "  false downs: {} in {:.2} member-hours; {} because of cuts; {} rejoined with a new incarnation",
            report.false_downs, report.member_hours, report.explained, report.rejoined
        ),
        format!(
            "  each member per second: {:.0} bytes in {:.1} packets, {:.1} ms of CPU; memory {} kB (median), {} kB at most",
            report.bytes_per_second,
            report.packets_per_second,
            report.cpu_ms,
            report.memory_kb.0,
            report.memory_kb.1
        ),
    ]
}

fn fleet_size(plan: &Plan) -> String {
    let senders = plan.scenario.senders;
    match plan.scenario.simulated {
        0 => format!("{senders} senders"),
        simulated => format!("{senders} senders, {simulated} simulated members"),
    }
}

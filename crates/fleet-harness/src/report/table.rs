//! The results as text.

use cranehill_scenario_runner::{Outcome, Plan, report as run_report};

use super::summary::Report;
use crate::simulated_costs::SimulatedFleetCosts;
use crate::units::seconds;
use crate::zones::Outage;

/// The figures as lines of text, then the table of the run itself.
pub fn table(plan: &Plan, outcome: &Outcome, report: &Report) -> Vec<String> {
    let mut lines = membership_lines(plan, report);
    lines.extend(report.simulated.as_ref().map(SimulatedFleetCosts::line));
    for (event, took) in &report.agreed {
        let took = took.map_or("never".into(), |t| format!("{:.2} s", seconds(t)));
        lines.push(format!("  views agreed after {event}: {took}"));
    }
    for part in &report.parts {
        lines.push(format!(
            "  {} senders cut off, to {}: {:.2} calls/s before, {:.2} during; their part {:.2}",
            part.senders, part.destination, part.before, part.during, part.allowed
        ));
    }
    if !report.timeline.killed.is_empty() {
        lines.extend(report.returns.lines());
    }
    lines.extend(report.outages.iter().map(Outage::line));
    lines.extend(
        run_report::table(&plan.scenario.name, plan.seed, outcome)
            .into_iter()
            .skip(1),
    );
    lines.extend(report.failed.iter().map(|f| format!("  FAILED: {f}")));
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
            "  crash to down in a view: {} times, p50 {} ms, p99 {} ms, at most {} ms (bound {} ms); {} never",
            detection.len(),
            detection.value_at_quantile(0.5),
            detection.value_at_quantile(0.99),
            detection.max(),
            report.bound.as_millis(),
            report.undetected
        ),
        format!(
            "  false downs: {} in {:.2} member-hours; {} by cuts; {} came back under another life",
            report.false_downs, report.member_hours, report.explained, report.rejoined
        ),
        format!(
            "  a member a second: {:.0} bytes in {:.1} packets, {:.1} ms of CPU; memory {} kB, {} at most",
            report.bytes_a_second,
            report.packets_a_second,
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

//! Writes the report to files.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use cranehill_scenario_runner::{Outcome, Plan};
use serde_json::Value;

use super::plot::members_plot;
use super::summary::Report;
use super::table::table;

/// Returns the summary as JSON. With a folder, also writes `summary.json`, `report.txt`, `members.svg` and each sender's log
/// (`n0.jsonl` and so on) there, and creates the folder if it is missing.
///
/// # Errors
/// The folder or a file can't be written, or the plot can't be drawn.
pub fn write(
    dir: Option<&Path>,
    plan: &Plan,
    outcome: &Outcome,
    report: &Report,
) -> io::Result<Value> {
    let summary = report.json(plan, outcome);
    let Some(dir) = dir else { return Ok(summary) };
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join("summary.json"), format!("{summary:#}\n"))?;
    let text = table(plan, outcome, report).join("\n") + "\n";
    std::fs::write(dir.join("report.txt"), text)?;
    std::fs::write(
        dir.join("members.svg"),
        members_plot(plan, outcome, report)?,
    )?;
    for (sender, log) in logs_by_sender(outcome) {
        std::fs::write(dir.join(format!("n{sender}.jsonl")), log)?;
    }
    Ok(summary)
}

fn logs_by_sender(outcome: &Outcome) -> BTreeMap<usize, String> {
    let mut logs: BTreeMap<usize, String> = BTreeMap::new();
    for (sender, line) in &outcome.logs {
        let log = logs.entry(*sender).or_default();
        log.push_str(line);
        log.push('\n');
    }
    logs
}

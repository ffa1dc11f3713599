//! `cranehill rig`: scenarios of many senders.

use std::path::PathBuf;

use cranehill_fleet_harness::{Report, SCENARIOS, play, scenario, table, write};
use cranehill_scenario_runner::{Limits, Plan};
use cranehill_simulation::scenario;

use crate::rehearse::bar;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct FleetTestArgs {
    pub scenario: Option<String>,
    pub nodes: Option<usize>,
    /// Simulated members beside the real senders.
    pub simulated: usize,
    pub seed: u64,
    pub out: Option<PathBuf>,
    pub json: bool,
    pub alone: bool,
}

/// Plays a scenario and prints what came of it; false if anything that was expected did not come.
pub fn run(order: &FleetTestArgs) -> Result<bool, String> {
    let Some(name) = &order.scenario else {
        SCENARIOS.iter().for_each(|(name, _)| println!("{name}"));
        return Ok(true);
    };
    let text = match scenario(name) {
        Some(text) => text.to_owned(),
        None => std::fs::read_to_string(name).map_err(|e| {
            let names: Vec<&str> = SCENARIOS.iter().map(|s| s.0).collect();
            format!(
                "{name}: neither a scenario ({}) nor a file: {e}",
                names.join(", ")
            )
        })?,
    };
    let mut scenario =
        scenario::parse_with_simulated(&text, order.seed, order.nodes, order.simulated)
            .map_err(|e| format!("{name}: {e}"))?;
    if order.alone && order.simulated > 0 {
        return Err(
            "--simulated: senders that do not know each other have no other members".into(),
        );
    }
    if order.alone {
        scenario.fleet = None;
    }
    let program = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
    let plan = Plan {
        scenario,
        seed: order.seed,
        program,
        limits: Limits::default(),
        mutation: None,
        against: None,
    };
    let progress = bar(name);
    let played = play(&plan, |now, end| {
        progress.set_length(end.as_millis() as u64);
        progress.set_position(now.as_millis() as u64);
    });
    progress.finish_and_clear();
    let (outcome, passed) = played.map_err(|e| e.to_string())?;
    let report = Report::of(&plan, &outcome, &passed);
    let summary =
        write(order.out.as_deref(), &plan, &outcome, &report).map_err(|e| format!("--out: {e}"))?;
    if order.json {
        println!("{summary}");
    } else {
        table(&plan, &outcome, &report)
            .iter()
            .for_each(|l| println!("{l}"));
    }
    Ok(report.holds())
}

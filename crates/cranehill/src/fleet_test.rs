//! `cranehill fleet-test`: scenarios of many senders.

use std::io;
use std::path::PathBuf;

use cranehill_fleet_harness::{Report, SCENARIOS, play, scenario as built_in, table, write};
use cranehill_scenario_runner::{Limits, Plan, RunError};
use cranehill_simulation::scenario::{self, ScenarioError};

use crate::input::{InputError, current_program};
use crate::progress::named_bar;
use crate::simulated::{self, SimulatedError, SimulatedMembersArgs};
use crate::verdict::Verdict;

/// The arguments of `fleet-test`.
#[derive(Clone, Debug, clap::Args)]
pub struct FleetTestArgs {
    /// A scenario's name, or a day's file. Without it, the names.
    #[arg(value_name = "SCENARIO")]
    scenario: Option<String>,
    /// So many senders, whatever the scenario says.
    #[arg(long)]
    nodes: Option<usize>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the summary, the table, a plot and every sender's log there.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Print the summary as JSON in place of the table.
    #[arg(long)]
    json: bool,
    /// Play the same day with senders that do not know each other.
    #[arg(long)]
    alone: bool,
    #[command(flatten)]
    members: SimulatedMembersArgs,
}

/// A scenario can't be played.
#[derive(Debug, thiserror::Error)]
pub enum FleetTestError {
    /// This program's path is unknown.
    #[error(transparent)]
    Input(#[from] InputError),
    /// There is neither a scenario nor a file of this name.
    #[error("{name}: neither a scenario ({}) nor a file: {source}", scenario_names().join(", "))]
    UnknownScenario {
        /// The name.
        name: String,
        /// Why it can't be read as a file.
        source: io::Error,
    },
    /// The scenario is wrong.
    #[error("{name}: {cause}")]
    Scenario {
        /// Its name or file.
        name: String,
        /// The cause, with its line.
        cause: ScenarioError,
    },
    /// Simulated members are asked for beside senders without a fleet.
    #[error("--simulated: senders that do not know each other have no other members")]
    SimulatedWithoutFleet,
    /// The scenario can't be run.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The report can't be written.
    #[error("--out: {0}")]
    Write(#[source] io::Error),
    /// A fleet of simulated members alone can't be run.
    #[error(transparent)]
    Simulated(#[from] SimulatedError),
}

/// Plays a scenario and prints its report; `Failed` if an expectation is missed. Without a scenario it prints their names.
pub fn run(args: &FleetTestArgs) -> Result<Verdict, FleetTestError> {
    if args.members.members_only {
        return Ok(simulated::run(&args.members, args.seed, args.json)?);
    }
    let Some(name) = &args.scenario else {
        scenario_names().iter().for_each(|name| println!("{name}"));
        return Ok(Verdict::Passed);
    };
    let plan = plan(name, args)?;
    let progress = named_bar(name);
    let played = play(&plan, |now, end| {
        progress.set_length(end.as_millis() as u64);
        progress.set_position(now.as_millis() as u64);
    });
    progress.finish_and_clear();
    let (outcome, traffic) = played?;
    let report = Report::of(&plan, &outcome, &traffic);
    let summary =
        write(args.out.as_deref(), &plan, &outcome, &report).map_err(FleetTestError::Write)?;
    if args.json {
        println!("{summary}");
    } else {
        table(&plan, &outcome, &report)
            .iter()
            .for_each(|line| println!("{line}"));
    }
    Ok(Verdict::passed_if(report.holds()))
}

fn scenario_names() -> Vec<&'static str> {
    SCENARIOS.iter().map(|(name, _)| *name).collect()
}

fn plan(name: &str, args: &FleetTestArgs) -> Result<Plan, FleetTestError> {
    let text = match built_in(name) {
        Some(text) => text.to_owned(),
        None => {
            std::fs::read_to_string(name).map_err(|source| FleetTestError::UnknownScenario {
                name: name.to_owned(),
                source,
            })?
        }
    };
    let simulated = args.members.simulated;
    let mut scenario = scenario::parse_with_simulated(&text, args.seed, args.nodes, simulated)
        .map_err(|cause| FleetTestError::Scenario {
            name: name.to_owned(),
            cause,
        })?;
    if args.alone {
        if simulated > 0 {
            return Err(FleetTestError::SimulatedWithoutFleet);
        }
        scenario.fleet = None;
    }
    Ok(Plan {
        scenario,
        seed: args.seed,
        program: current_program()?,
        limits: Limits::default(),
        mutation: None,
        against: None,
    })
}

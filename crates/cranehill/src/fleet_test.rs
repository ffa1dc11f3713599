//! `cranehill fleet-test`: runs a scenario with many senders.

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
    /// Name of a built-in scenario, or a scenario file. Without it, the built-in names are listed.
    #[arg(value_name = "SCENARIO")]
    scenario: Option<String>,
    /// Number of senders, instead of the scenario's.
    #[arg(long)]
    nodes: Option<usize>,
    /// Seed of the scenario's random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the summary, the table, a plot and every sender's log to this folder.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Print the summary as JSON instead of the table.
    #[arg(long)]
    json: bool,
    /// Run the scenario with senders that do not form a fleet.
    #[arg(long)]
    alone: bool,
    #[command(flatten)]
    members: SimulatedMembersArgs,
}

/// A scenario can't be run.
#[derive(Debug, thiserror::Error)]
pub enum FleetTestError {
    /// The path of this program can't be determined.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The argument is neither the name of a built-in scenario nor a file that can be read.
    #[error("{name}: neither a built-in scenario ({}) nor a readable file: {source}", scenario_names().join(", "))]
    UnknownScenario {
        /// The argument.
        name: String,
        /// Why it can't be read as a file.
        source: io::Error,
    },
    /// The scenario is invalid.
    #[error("{name}: {cause}")]
    Scenario {
        /// Its built-in name or its file.
        name: String,
        /// The cause, with its line.
        cause: ScenarioError,
    },
    /// `--simulated` is combined with `--alone`: without a fleet there are no members to add.
    #[error("--simulated: not possible with --alone, which runs senders without a fleet")]
    SimulatedWithoutFleet,
    /// The senders or the simulated servers can't be started or used.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The report can't be written.
    #[error("--out: {0}")]
    Write(#[source] io::Error),
    /// A fleet of simulated members alone can't be run.
    #[error(transparent)]
    Simulated(#[from] SimulatedError),
}

/// Runs a scenario and prints its report; `Failed` if an expectation is missed. Without a scenario, prints the built-in names.
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

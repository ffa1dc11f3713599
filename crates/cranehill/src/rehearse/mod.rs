//! `cranehill rehearse`: runs scenarios, one after the other or several in parallel, and push scripts.

mod arguments;
mod error;
mod mutations;
mod plans;
mod queue;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use cranehill_scenario_runner::{Outcome, Plan, node_config, report_files};

use crate::push_script::{self, Script};
use crate::verdict::Verdict;
pub use arguments::RehearseArgs;
pub use error::{PlanError, RehearseError};
use plans::Workload;
use queue::{play_all, print_table};

/// Runs the scenarios and scripts of a command line; `Failed` if a rule is violated or an expectation is missed.
///
/// # Errors
/// If a file is invalid or can't be run, or the machine was too busy to check every rule.
pub fn run(args: &RehearseArgs) -> Result<Verdict, RehearseError> {
    if let Some(program) = &args.mutations {
        return mutations::run(program, args);
    }
    // All files are parsed before any is run.
    let workload = Workload::load(args)?;
    if let (Some(path), Some(directory)) = (&args.write_config, args.directory) {
        return write_config(path, directory, &workload.plans);
    }
    let scripts_pass = play_scripts(&workload.scripts)?;
    let scenarios_pass = play_scenarios(&workload.plans, args)?;
    Ok(Verdict::passed_if(scripts_pass && scenarios_pass))
}

/// Writes the configuration that a sender needs for the scenario, with discovery at `directory`.
fn write_config(
    path: &Path,
    directory: SocketAddr,
    plans: &[Plan],
) -> Result<Verdict, RehearseError> {
    let [plan] = plans else {
        return Err(RehearseError::ConfigForSeveral);
    };
    let config = node_config(plan, directory);
    std::fs::write(path, config).map_err(|source| RehearseError::Io {
        path: path.to_owned(),
        source,
    })?;
    println!(
        "{}: configuration of a sender with discovery at {directory}",
        path.display()
    );
    Ok(Verdict::Passed)
}

fn play_scripts(scripts: &[Script]) -> Result<bool, RehearseError> {
    let mut passed = true;
    for script in scripts {
        let report = push_script::play(script)?;
        report.lines.iter().for_each(|line| println!("{line}"));
        passed &= report.missed == 0;
    }
    Ok(passed)
}

fn play_scenarios(plans: &[Plan], args: &RehearseArgs) -> Result<bool, RehearseError> {
    let count = plans.len();
    let mut holds = true;
    let mut unclear = 0;
    play_all(plans, args.jobs.into(), |index, outcome| {
        let plan = &plans[index];
        print_table(plan, &outcome);
        write_report(args, index, count, plan, &outcome)?;
        holds &= outcome.holds();
        unclear += usize::from(outcome.holds() && outcome.unclear());
        Ok(())
    })?;
    if count > 1 {
        println!(
            "{count} scenarios run; in {unclear} the machine was too busy to check every rule"
        );
    }
    if holds && unclear > 0 {
        return Err(RehearseError::Unclear { unclear, count });
    }
    Ok(holds)
}

/// Writes the report of a scenario: to the folder of `--out`, or if several scenarios are run, to a subfolder of it.
fn write_report(
    args: &RehearseArgs,
    index: usize,
    count: usize,
    plan: &Plan,
    outcome: &Outcome,
) -> Result<(), RehearseError> {
    let Some(out) = &args.out else {
        return Ok(());
    };
    let folder: PathBuf = if count == 1 {
        out.clone()
    } else {
        out.join(format!("{index:02}-seed{}", plan.seed))
    };
    report_files::write(&folder, plan, outcome).map_err(|source| RehearseError::Report {
        path: folder,
        source,
    })
}

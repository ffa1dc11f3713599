//! `cranehill rehearse`: scenarios and push scripts, played one after the other or several at once.

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

/// Plays everything that is asked for; `Failed` if a rule is broken or an expectation missed.
///
/// # Errors
/// If a file can't be played, or the machine was too busy to judge.
pub fn run(args: &RehearseArgs) -> Result<Verdict, RehearseError> {
    if let Some(program) = &args.mutations {
        return mutations::run(program, args);
    }
    // All files are checked before any is played.
    let workload = Workload::load(args)?;
    if let (Some(path), Some(directory)) = (&args.write_config, args.directory) {
        return write_config(path, directory, &workload.plans);
    }
    let scripts_pass = play_scripts(&workload.scripts)?;
    let scenarios_pass = play_scenarios(&workload.plans, args)?;
    Ok(Verdict::passed_if(scripts_pass && scenarios_pass))
}

/// Writes the configuration of a sender that fits a scenario and polls `directory`.
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
        "{}: for a sender that asks the directory at {directory}",
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
        println!("{count} days played; in {unclear} the machine was too busy to judge every rule");
    }
    if holds && unclear > 0 {
        return Err(RehearseError::Unclear { unclear, count });
    }
    Ok(holds)
}

/// Writes the report of one scenario to the folder of `--out`, or of several to a folder of its own in it.
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

//! Reads and checks the scenarios and scripts that `rehearse` is to run.

use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use cranehill_scenario_runner::{Against, Limits, Plan};
use cranehill_simulation::scenario::{self, Scenario};

use super::arguments::RehearseArgs;
use super::error::{PlanError, RehearseError};
use crate::input::{current_program, read_text};
use crate::push_script::{self, Script};

/// The scenario that is run if no file is given.
const DEFAULT_SCENARIO: &str = include_str!("../../../../rehearsals/days/calm.toml");

/// The scenarios and scripts of a command line.
#[derive(Default)]
pub(super) struct Workload {
    pub(super) plans: Vec<Plan>,
    pub(super) scripts: Vec<Script>,
}

impl Workload {
    /// Reads all files; each scenario has one plan per seed.
    pub(super) fn load(args: &RehearseArgs) -> Result<Workload, RehearseError> {
        let mut workload = Workload::default();
        let seeds = args.seed..args.seed.saturating_add(args.repeat);
        for path in files(&args.files)? {
            let text = read_text(&path)?;
            if is_scenario(&path) {
                for seed in seeds.clone() {
                    workload
                        .plans
                        .push(plan(&text, seed, args).map_err(|source| {
                            RehearseError::Scenario {
                                path: path.clone(),
                                source,
                            }
                        })?);
                }
            } else {
                let script = push_script::parse(&text)
                    .map_err(|source| RehearseError::Script { path, source })?;
                workload.scripts.push(script);
            }
        }
        if args.files.is_empty() {
            for seed in seeds {
                workload
                    .plans
                    .push(built_in_plan(DEFAULT_SCENARIO, seed, args)?);
            }
        }
        Ok(workload)
    }
}

fn is_scenario(path: &Path) -> bool {
    path.extension() == Some(OsStr::new("toml"))
}

/// The files of the command line. A folder is replaced by its scenarios, sorted by name.
fn files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, RehearseError> {
    let mut all = Vec::new();
    for path in paths {
        if path.is_dir() {
            all.extend(scenarios_in(path)?);
        } else {
            all.push(path.clone());
        }
    }
    Ok(all)
}

fn scenarios_in(folder: &Path) -> Result<Vec<PathBuf>, RehearseError> {
    let entries = std::fs::read_dir(folder).map_err(|source| RehearseError::Io {
        path: folder.to_owned(),
        source,
    })?;
    let mut scenarios: Vec<PathBuf> = entries
        .map_while(Result::ok)
        .map(|entry| entry.path())
        .filter(|path| is_scenario(path))
        .collect();
    if scenarios.is_empty() {
        return Err(RehearseError::EmptyFolder {
            path: folder.to_owned(),
        });
    }
    scenarios.sort_unstable();
    Ok(scenarios)
}

/// The plan of a scenario that is compiled into this program.
pub(super) fn built_in_plan(
    text: &str,
    seed: u64,
    args: &RehearseArgs,
) -> Result<Plan, RehearseError> {
    plan(text, seed, args).map_err(RehearseError::BuiltInScenario)
}

fn plan(text: &str, seed: u64, args: &RehearseArgs) -> Result<Plan, PlanError> {
    let mut scenario =
        scenario::parse_for(text, seed, args.senders).map_err(PlanError::Scenario)?;
    if scenario.fleet.is_some() || !scenario.network_faults.is_empty() {
        return Err(PlanError::NeedsFleet);
    }
    let mut against = None;
    if let (Some(clients), Some(directory)) = (args.against, args.directory) {
        check_running_sender(&scenario, clients, directory)?;
        scenario.senders = 1;
        against = Some(Against { clients, directory });
    }
    Ok(Plan {
        scenario,
        seed,
        program: current_program()?,
        limits: Limits::default(),
        mutation: None,
        against,
    })
}

/// Checks that the running sender is on this machine, and that the scenario neither acts on its process nor needs push
/// services in its configuration.
fn check_running_sender(
    scenario: &Scenario,
    clients: SocketAddr,
    directory: SocketAddr,
) -> Result<(), PlanError> {
    for (option, address) in [("--against", clients), ("--directory", directory)] {
        if !address.ip().is_loopback() {
            return Err(PlanError::NotLoopback { option, address });
        }
    }
    if !scenario.signals.is_empty() || !scenario.scheduled_actions.is_empty() {
        return Err(PlanError::EndsSenders);
    }
    if scenario.load.push.is_some() {
        return Err(PlanError::NeedsPushServices);
    }
    Ok(())
}

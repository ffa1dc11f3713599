//! Errors of `rehearse`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use cranehill_scenario_runner::RunError;
use cranehill_scenario_runner::report_files::ReportError;
use cranehill_simulation::scenario::ScenarioError;

use crate::input::InputError;
use crate::push_script::{PlayError, ScriptError};

/// A scenario can't be run, or not with the options given.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The scenario is invalid.
    #[error("{0}")]
    Scenario(ScenarioError),
    /// The path of this program can't be determined.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The scenario has a fleet or network faults, which only `fleet-test` runs.
    #[error(
        "the scenario has a [fleet] table or a network fault in [[break]]: run it with `cranehill fleet-test`"
    )]
    NeedsFleet,
    /// An address is not on the loopback interface.
    #[error("{option} {address}: expected a loopback address (127.0.0.0/8)")]
    NotLoopback {
        /// `--against` or `--directory`.
        option: &'static str,
        /// The address given.
        address: SocketAddr,
    },
    /// The scenario acts on senders' processes, which is not done to the sender of `--against`.
    #[error(
        "the scenario signals, kills or restarts senders, which --against does not allow: remove its [[signal]] and [[break]] tables"
    )]
    EndsSenders,
    /// The scenario has push services, which the sender of `--against` does not know.
    #[error(
        "the scenario has push services (push = true), which can't be configured for a sender that already runs"
    )]
    NeedsPushServices,
}

/// Scenarios or push scripts can't be run, or their outcome is unclear.
#[derive(Debug, thiserror::Error)]
pub enum RehearseError {
    /// A file can't be read.
    #[error(transparent)]
    Input(#[from] InputError),
    /// A folder can't be read, or a file can't be written.
    #[error("{path}: {source}")]
    Io {
        /// The folder or file.
        path: PathBuf,
        /// Why it can't be read or written.
        source: io::Error,
    },
    /// A scenario's report can't be written.
    #[error("{path}: {source}")]
    Report {
        /// The folder of the report.
        path: PathBuf,
        /// Why it can't be written.
        source: ReportError,
    },
    /// A folder contains no scenarios.
    #[error("{path}: expected at least one scenario (.toml) in this folder")]
    EmptyFolder {
        /// The folder.
        path: PathBuf,
    },
    /// The scenario of a file can't be run.
    #[error("{path}: {source}")]
    Scenario {
        /// The scenario's file.
        path: PathBuf,
        /// The cause, with its line for an invalid scenario.
        source: PlanError,
    },
    /// A built-in scenario can't be run.
    #[error(transparent)]
    BuiltInScenario(PlanError),
    /// A push script is invalid.
    #[error("{path}: {source}")]
    Script {
        /// The script's file.
        path: PathBuf,
        /// The cause, with its line.
        source: ScriptError,
    },
    /// A push script can't be run.
    #[error(transparent)]
    Play(#[from] PlayError),
    /// The senders or the simulated servers of a scenario can't be started or used.
    #[error(transparent)]
    Run(#[from] RunError),
    /// `--write-config` is given with no scenario or with several.
    #[error("--write-config: expected exactly one scenario")]
    ConfigForSeveral,
    /// No rule is violated, but not every rule could be checked.
    #[error("in {unclear} of {count} scenarios the machine was too busy to check every rule")]
    Unclear {
        /// Scenarios in which a rule could not be checked.
        unclear: usize,
        /// All scenarios that were run.
        count: usize,
    },
}

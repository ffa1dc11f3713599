//! Errors of `rehearse`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use cranehill_scenario_runner::RunError;
use cranehill_scenario_runner::report_files::ReportError;
use cranehill_simulation::scenario::ScenarioError;

use crate::input::InputError;
use crate::push_script::{PlayError, ScriptError};

/// A scenario can't be played.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The scenario is wrong.
    #[error("{0}")]
    Scenario(ScenarioError),
    /// This program's path is unknown.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The scenario needs a fleet.
    #[error("the day breaks ways between senders: play it with `cranehill rig`")]
    NeedsFleet,
    /// An address is not on this machine.
    #[error("{option} {address}: only on this machine (127.0.0.0/8)")]
    NotLoopback {
        /// The option.
        option: &'static str,
        /// The address.
        address: SocketAddr,
    },
    /// A sender that runs already is not stopped.
    #[error("the day ends or kills senders, which --against does not: drop its [[signal]]")]
    EndsSenders,
    /// A sender that runs already does not learn of push services.
    #[error("the scenario has push services, which a running sender can't be given")]
    NeedsPushServices,
}

/// A rehearsal can't be played or judged.
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
        /// The cause.
        source: io::Error,
    },
    /// A scenario's report can't be written.
    #[error("{path}: {source}")]
    Report {
        /// The report's folder.
        path: PathBuf,
        /// Why it can't be written.
        source: ReportError,
    },
    /// A folder holds no scenarios.
    #[error("{path}: there is no day in it")]
    EmptyFolder {
        /// The folder.
        path: PathBuf,
    },
    /// A scenario's file can't be played.
    #[error("{path}: {source}")]
    Scenario {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: PlanError,
    },
    /// A built-in scenario can't be played.
    #[error(transparent)]
    BuiltInScenario(PlanError),
    /// A push script is wrong.
    #[error("{path}: {source}")]
    Script {
        /// The file.
        path: PathBuf,
        /// The cause, with its line.
        source: ScriptError,
    },
    /// A push script can't be played.
    #[error(transparent)]
    Play(#[from] PlayError),
    /// A scenario can't be run.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A configuration is written for a single scenario.
    #[error("--write-config is for one day")]
    ConfigForSeveral,
    /// No rule is broken, but not every one could be judged.
    #[error("in {unclear} of {count} days the machine was too busy to judge every rule")]
    Unclear {
        /// Scenarios that were not judged in full.
        unclear: usize,
        /// All that were played.
        count: usize,
    },
}

//! Scenario files (TOML): the load, destinations and faults of a test run. A file is checked completely before the run
//! starts, and an error names its line.
//!
//! [`parse`] reads a [`Scenario`] from the text of a file. The submodules each read one part of it.

mod bounds;
mod classes;
mod destinations;
mod error;
mod faults;
mod file;
mod fleet_tables;
mod load;
mod network_faults;
mod process_actions;
mod schedule;
mod source;
mod types;
mod units;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::directory;
use bounds::{MAX_DURATION, MAX_MEMBERS, MAX_SENDERS};
use file::{DirectoryFile, File};
use source::Source;

pub use error::{ScenarioError, ScenarioProblem};
pub use types::{Effect, ListChange, Member, MessageClass, Scenario, ScheduledSignal, Signal, To};

/// Number of changes that simulated discovery keeps for incremental answers. It exceeds the changes within one watch, and is
/// below the total of a long scenario, so that whole lists are sent as well.
const DISCOVERY_HISTORY: usize = 64;

/// Reads a scenario from the text of a file. Random choices, such as the endpoints that a fault affects, depend on the seed
/// alone.
///
/// # Errors
/// Returns the first problem in the file, with its line.
pub fn parse(text: &str, seed: u64) -> Result<Scenario, ScenarioError> {
    parse_for(text, seed, None)
}

/// Like [`parse`], but with this number of senders instead of the file's if it is given.
///
/// # Errors
/// Fails like [`parse`], or if the number of senders is not from 1 to 250.
pub fn parse_for(text: &str, seed: u64, senders: Option<usize>) -> Result<Scenario, ScenarioError> {
    parse_with_simulated(text, seed, senders, 0)
}

/// Like [`parse_for`], with a number of simulated members besides the senders. Faults may affect all of them.
///
/// # Errors
/// Fails like [`parse_for`], or if senders and simulated members exceed 2000 together, or if there are simulated members but
/// no `[fleet]` table.
pub fn parse_with_simulated(
    text: &str,
    seed: u64,
    senders: Option<usize>,
    simulated: usize,
) -> Result<Scenario, ScenarioError> {
    let source = Source { text };
    let file = File::read(&source)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let duration = duration(&source, &file)?;
    let senders = sender_count(&source, &file, senders)?;
    check_simulated(&source, &file, senders, simulated)?;
    let tenants = destinations::tenants(&file);
    let mut classes = classes::read(&source, &file)?;
    let zones = destinations::zones(&file);
    let mut destinations = destinations::read(&source, &file, &tenants, &zones)?;
    let has_push = destinations.iter().any(|m| m.push);
    let push = has_push.then(|| classes.add_push_classes());
    destinations::check_total(&destinations)?;
    faults::read(&source, &file, &mut destinations, &zones, &mut rng)?;
    let load = load::read(&source, &file, &destinations, &tenants, classes.load, push)?;
    let changes = schedule::changes(&source, &file, &destinations)?;
    let signals = schedule::signals(&source, &file, senders)?;
    let members = senders + simulated;
    let tables = &file.network_faults;
    let fleet_faults = network_faults::read(&source, tables, members, &zones, &mut rng)?;
    Ok(Scenario {
        name: file.name,
        duration,
        senders,
        simulated,
        tenants: tenants.into_iter().map(|t| t.name).collect(),
        classes: classes.effects,
        kinds: destinations::kinds(&destinations),
        destinations,
        zones,
        load,
        directory: discovery(&file.directory),
        changes,
        signals,
        fleet: file.fleet.as_ref().map(fleet_tables::FleetFile::fleet),
        network_faults: fleet_faults.network_faults,
        scheduled_actions: fleet_faults.scheduled_actions,
    })
}

fn duration(source: &Source<'_>, file: &File) -> Result<Duration, ScenarioError> {
    let duration = file.duration.get_ref().0;
    if duration.is_zero() || duration > MAX_DURATION {
        return Err(source.error(&file.duration, ScenarioProblem::Duration));
    }
    Ok(duration)
}

fn sender_count(
    source: &Source<'_>,
    file: &File,
    requested: Option<usize>,
) -> Result<usize, ScenarioError> {
    let senders = requested.unwrap_or(*file.senders.get_ref());
    if !(1..=MAX_SENDERS).contains(&senders) {
        return Err(source.error(&file.senders, ScenarioProblem::SenderCount { senders }));
    }
    Ok(senders)
}

fn check_simulated(
    source: &Source<'_>,
    file: &File,
    senders: usize,
    simulated: usize,
) -> Result<(), ScenarioError> {
    if simulated > 0 && file.fleet.is_none() {
        return Err(ScenarioError::in_file(ScenarioProblem::FleetMissing));
    }
    let max = MAX_MEMBERS - senders;
    if simulated > max {
        let problem = ScenarioProblem::SimulatedCount {
            simulated,
            senders,
            max,
        };
        return Err(source.error(&file.senders, problem));
    }
    Ok(())
}

fn discovery(file: &DirectoryFile) -> directory::Spec {
    directory::Spec {
        delays: file.delays.iter().map(|delay| delay.0).collect(),
        outages: file
            .outage
            .iter()
            .map(|outage| (outage.at.0, outage.at.0 + outage.duration.0))
            .collect(),
        history: DISCOVERY_HISTORY,
    }
}

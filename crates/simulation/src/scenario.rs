//! Days as files: what a rehearsal or an experiment plays. Checked whole before anything starts; an error names its line.
//!
//! Start at [`parse`], which makes a [`Scenario`] of a file's text. Each part of the file is read by a module of its own.

mod classes;
mod destinations;
mod faults;
mod file;
mod fleet;
mod load;
mod schedule;
mod source;
mod types;
mod units;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::directory;
use file::{DirectoryFile, File};
use source::Source;

pub use source::ScenarioError;
pub use types::{Effect, ListChange, Member, MessageClass, Scenario, ScheduledSignal, Signal, To};
pub use units::{LimitText, Rate, Span};

/// Longer days are for the emulator's own files.
const LONGEST: Duration = Duration::from_secs(3600);
/// Each sender has an address of its own for each of those that it meets, in 127.0.0.0/8.
const SENDERS_MOST: usize = 250;
/// Members of a fleet, at most: senders and simulated members.
const MEMBERS_MOST: usize = 2_000;
/// Changes of the list that the directory keeps to be told one by one.
const DIRECTORY_HISTORY: usize = 64;

/// Reads a day and draws what it leaves open from the seed.
pub fn parse(text: &str, seed: u64) -> Result<Scenario, ScenarioError> {
    parse_for(text, seed, None)
}

/// As [`parse`], with so many senders, whatever the day says.
pub fn parse_for(text: &str, seed: u64, senders: Option<usize>) -> Result<Scenario, ScenarioError> {
    parse_with_simulated(text, seed, senders, 0)
}

/// As [`parse_for`], with so many simulated members beside the senders: what breaks, breaks for all of them.
pub fn parse_with_simulated(
    text: &str,
    seed: u64,
    senders: Option<usize>,
    simulated: usize,
) -> Result<Scenario, ScenarioError> {
    let source = Source { text };
    let file = File::read(&source)?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let duration = length(&source, &file)?;
    let senders = sender_count(&source, &file, senders)?;
    check_simulated(&source, &file, senders, simulated)?;
    let tenants = destinations::tenants(&file);
    let mut classes = classes::read(&source, &file)?;
    let zones = destinations::zones(&file);
    let mut destinations = destinations::read(&source, &file, &tenants, &zones)?;
    let push = destinations
        .iter()
        .any(|m| m.push)
        .then(|| classes.add_push_classes());
    destinations::check_total(&destinations)?;
    faults::read(&source, &file, &mut destinations, &zones, &mut rng)?;
    let mut load = load::read(
        &source,
        &file,
        &destinations,
        &tenants,
        classes.load,
        duration,
    )?;
    load.push = push;
    let changes = schedule::changes(&source, &file, &destinations)?;
    let signals = schedule::signals(&source, &file, senders)?;
    let broken = fleet::read(
        &source,
        &file.network_faults,
        senders + simulated,
        &zones,
        &mut rng,
    )?;
    Ok(Scenario {
        name: file.name,
        duration,
        senders,
        simulated,
        tenants: tenants.into_iter().map(|s| s.name).collect(),
        classes: classes.effects,
        kinds: destinations::kinds(&destinations),
        destinations,
        zones,
        load,
        directory: directory_spec(&file.directory),
        changes,
        signals,
        fleet: file.fleet.as_ref().map(fleet::FleetFile::fleet),
        network_faults: broken.network_faults,
        scheduled_actions: broken.scheduled_actions,
    })
}

fn length(source: &Source<'_>, file: &File) -> Result<Duration, ScenarioError> {
    let duration = file.duration.get_ref().0;
    if duration.is_zero() || duration > LONGEST {
        return Err(source.error(&file.duration, "a day lasts from 1 ms to 60 min"));
    }
    Ok(duration)
}

fn sender_count(
    source: &Source<'_>,
    file: &File,
    wanted: Option<usize>,
) -> Result<usize, ScenarioError> {
    let senders = wanted.unwrap_or(*file.senders.get_ref());
    if !(1..=SENDERS_MOST).contains(&senders) {
        let why = format!("a day has 1 to {SENDERS_MOST} senders, not {senders}");
        return Err(source.error(&file.senders, why));
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
        return Err(ScenarioError {
            line: 1,
            why: "simulated members need a [fleet]".into(),
        });
    }
    let max_simulated = MEMBERS_MOST - senders;
    if simulated > max_simulated {
        let why = format!(
            "{simulated} simulated members beside {senders} senders: {max_simulated} at most"
        );
        return Err(source.error(&file.senders, why));
    }
    Ok(())
}

fn directory_spec(file: &DirectoryFile) -> directory::Spec {
    directory::Spec {
        delays: file.delays.iter().map(|d| d.0).collect(),
        outages: file
            .outage
            .iter()
            .map(|o| (o.at.0, o.at.0 + o.duration.0))
            .collect(),
        history: DIRECTORY_HISTORY,
    }
}

//! Destinations listed: memory, time to ready, and what a change and a whole list cost.

use std::path::Path;
use std::time::{Duration, Instant};

use cranehill_capacity::{Axis, Figure, Sample};

use super::args::SweepArgs;
use super::directory::{self, Directory, FIRST_VERSION, Reception};
use super::error::{MeasurementError, SweepError};
use super::gathered::{Gathered, limit_figure};
use super::reducer::SteppedReducer;
use super::sender::{Sender, SenderOptions};
use crate::units::{milliseconds, seconds};

const SWEEP: &str = "destinations";
/// A sender must be ready, and idle again after changes, within this.
const READY_TIMEOUT: Duration = Duration::from_secs(120);
/// A sender must apply a change within this.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// A sender must accept or reject a whole list within this.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Changes one after the other, over which the cost of one is averaged.
const CHANGES: u64 = 10;
/// Time between two changes: longer than a turn, so that each is applied in a turn of its own.
const CHANGE_INTERVAL: Duration = Duration::from_millis(12);
/// Changes at once.
const CHANGES_AT_ONCE: u64 = 10;
/// Events that a sender may hold.
const MAX_HELD_EVENTS: u64 = 1000;

/// Plays the sweep; `progress` is called with a text for each size.
pub(super) fn play(
    args: &SweepArgs,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Figure>, SweepError> {
    let mut gathered = Gathered::new(args.quick);
    for &size in &args.sizes.destinations {
        progress(&format!("{size} destinations"));
        measure(args, size, &mut gathered)?;
    }
    let mut figures = gathered.figures()?;
    progress("largest whole list taken");
    figures.push(largest_list(&args.program)?);
    Ok(figures)
}

fn failed(size: u64, error: impl Into<MeasurementError>) -> SweepError {
    error.into().at(SWEEP, size)
}

fn start(
    program: &Path,
    folder: &Path,
    directory: &Directory,
    destinations: u64,
) -> Result<Sender, SweepError> {
    let known = directory::whole(FIRST_VERSION, destinations);
    let options = SenderOptions {
        directory: directory.address,
        known,
        max_held: MAX_HELD_EVENTS,
    };
    let sender = Sender::start(program, folder, &options, READY_TIMEOUT)
        .map_err(|e| failed(destinations, e))?;
    if !directory.all_watch(1, READY_TIMEOUT) {
        return Err(failed(destinations, MeasurementError::NotWatching));
    }
    Ok(sender)
}

fn measure(args: &SweepArgs, size: u64, gathered: &mut Gathered) -> Result<(), SweepError> {
    let folder = tempfile::tempdir()?;
    let directory = Directory::new()?;
    let sender = start(&args.program, folder.path(), &directory, size)?;
    gathered.note("destinations.ready", size, seconds(sender.ready))?;
    let idle = sender.settled(READY_TIMEOUT);
    gathered.note(
        "destinations.resident",
        size,
        idle.resident_kb as f64 * 1024.0,
    )?;

    let before = directory.change_bytes();
    directory.change(vec![directory::row(0, "up")]);
    if !directory.all_watch(1, CHANGE_TIMEOUT) {
        return Err(failed(size, MeasurementError::ChangeNotApplied));
    }
    gathered.note(
        "destinations.change-bytes",
        size,
        (directory.change_bytes() - before) as f64,
    )?;
    if !args.quick {
        changes(&sender, &directory, size, gathered)?;
        let mut reducer =
            SteppedReducer::new(MAX_HELD_EVENTS, size).map_err(|e| failed(size, e))?;
        gathered.note("destinations.list-step", size, seconds(reducer.list(size)))?;
    }
    let body = directory::whole(FIRST_VERSION, size);
    gathered.note(
        "destinations.list-bytes",
        size,
        directory::response(&body).len() as f64,
    )
}

/// The cost of one change, and the time until ten at once are in force.
fn changes(
    sender: &Sender,
    directory: &Directory,
    size: u64,
    gathered: &mut Gathered,
) -> Result<(), SweepError> {
    let before = sender.settled(READY_TIMEOUT);
    for number in 0..CHANGES {
        let state = if number % 2 == 0 { "draining" } else { "up" };
        directory.change(vec![directory::row(number / 2 % size, state)]);
        if !directory.all_watch(1, CHANGE_TIMEOUT) {
            return Err(failed(size, MeasurementError::ChangeNotApplied));
        }
        std::thread::sleep(CHANGE_INTERVAL);
    }
    let after = sender.settled(READY_TIMEOUT);
    let each = (after.cpu - before.cpu) / CHANGES as u32;
    gathered.note("destinations.change-processor", size, milliseconds(each))?;
    let started = Instant::now();
    for number in 0..CHANGES_AT_ONCE {
        directory.change(vec![directory::row(number % size, "up")]);
    }
    if !directory.all_watch(1, CHANGE_TIMEOUT) {
        let error = MeasurementError::ChangesNotApplied {
            changes: CHANGES_AT_ONCE,
        };
        return Err(failed(size, error));
    }
    gathered.note(
        "destinations.change-in-force",
        size,
        seconds(started.elapsed()),
    )
}

/// The largest whole list that a running sender accepts, up to the planned size.
fn largest_list(program: &Path) -> Result<Figure, SweepError> {
    let folder = tempfile::tempdir()?;
    let directory = Directory::new()?;
    let planned = Axis::Destinations.planned() as u64;
    let _sender = start(program, folder.path(), &directory, 1)?;
    let mut tried: Vec<Sample> = Vec::new();
    let mut accepts = |size: u64| -> Result<bool, SweepError> {
        let reception = directory.send_whole(size, LIST_TIMEOUT);
        if reception == Reception::Unknown {
            return Err(failed(size, MeasurementError::ListUnanswered));
        }
        let accepted = reception == Reception::Accepted;
        tried.push(Sample {
            size: size as f64,
            value: f64::from(u8::from(accepted)),
        });
        // The sender must watch again before the next list.
        if !directory.all_watch(1, LIST_TIMEOUT) {
            return Err(failed(size, MeasurementError::NotWatching));
        }
        Ok(accepted)
    };
    let (mut holds, mut fails) = (1, planned);
    if accepts(planned)? {
        holds = planned;
    }
    while holds < planned && fails - holds > 1 {
        let middle = holds + (fails - holds) / 2;
        if accepts(middle)? {
            holds = middle;
        } else {
            fails = middle;
        }
    }
    let reported = |s: &Sample| [holds as f64, fails as f64, planned as f64].contains(&s.size);
    tried.retain(reported);
    let fails = (holds < planned).then_some(fails);
    limit_figure("destinations.list-taken", tried, holds, fails)
}

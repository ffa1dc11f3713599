//! Sweeps the number of destinations in the endpoint list: memory, time until the sender is ready, and the cost of a change and of
//! a full list.

use std::path::Path;
use std::time::{Duration, Instant};

use cranehill_capacity::{Axis, Figure, Sample};

use super::args::SweepArgs;
use super::directory::{self, Directory, FIRST_VERSION, ListOutcome};
use super::error::{MeasurementError, SweepError};
use super::reducer::SteppedReducer;
use super::samples::{SweepSamples, limit_figure};
use super::sender::{Sender, SenderOptions};
use crate::units::{milliseconds, seconds};

const SWEEP: &str = "destinations";
/// A sender must be ready within this time; it is also the longest wait until it is idle again after changes.
const READY_TIMEOUT: Duration = Duration::from_secs(120);
/// A sender must apply a change within this time.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// A sender must accept or reject a full list within this time.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of successive changes over which the cost of one is averaged.
const CHANGES: u64 = 10;
/// Time between two changes. It is longer than a turn, so that each change is applied in a separate turn.
const CHANGE_INTERVAL: Duration = Duration::from_millis(12);
/// Number of changes that are made at once.
const CHANGES_AT_ONCE: u64 = 10;
/// Largest number of events that the sender may hold.
const MAX_HELD_EVENTS: u64 = 1000;

/// Runs the sweep; `progress` is called with a short text before each measurement.
pub(super) fn play(
    args: &SweepArgs,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Figure>, SweepError> {
    let mut samples = SweepSamples::new(args.quick);
    for &size in &args.sizes.destinations {
        progress(&format!("{size} destinations"));
        measure(args, size, &mut samples)?;
    }
    let mut figures = samples.figures()?;
    progress("largest full endpoint list that a sender accepts");
    figures.push(largest_list(&args.program)?);
    Ok(figures)
}

fn failed(size: u64, error: impl Into<MeasurementError>) -> SweepError {
    error.into().at(SWEEP, size)
}

/// Starts a sender with a list of this many destinations, and waits until it watches the directory.
fn start(
    program: &Path,
    folder: &Path,
    directory: &Directory,
    destinations: u64,
) -> Result<Sender, SweepError> {
    let endpoint_list = directory::full_list(FIRST_VERSION, destinations);
    let options = SenderOptions {
        directory: directory.address,
        endpoint_list,
        max_held: MAX_HELD_EVENTS,
    };
    let sender = Sender::start(program, folder, &options, READY_TIMEOUT)
        .map_err(|e| failed(destinations, e))?;
    if !directory.all_watch(1, READY_TIMEOUT) {
        return Err(failed(destinations, MeasurementError::NotWatching));
    }
    Ok(sender)
}

fn measure(args: &SweepArgs, size: u64, samples: &mut SweepSamples) -> Result<(), SweepError> {
    let folder = tempfile::tempdir()?;
    let directory = Directory::new()?;
    let sender = start(&args.program, folder.path(), &directory, size)?;
    samples.add("destinations.ready", size, seconds(sender.ready))?;
    let idle = sender.wait_until_idle(READY_TIMEOUT);
    samples.add(
        "destinations.resident",
        size,
        idle.resident_kb as f64 * 1024.0,
    )?;

    let before = directory.change_bytes();
    directory.change(vec![directory::row(0, "up")]);
    if !directory.all_watch(1, CHANGE_TIMEOUT) {
        return Err(failed(size, MeasurementError::ChangeNotApplied));
    }
    samples.add(
        "destinations.change-bytes",
        size,
        (directory.change_bytes() - before) as f64,
    )?;
    if !args.quick {
        measure_changes(&sender, &directory, size, samples)?;
        let mut reducer =
            SteppedReducer::new(MAX_HELD_EVENTS, size).map_err(|e| failed(size, e))?;
        samples.add("destinations.list-step", size, seconds(reducer.list(size)))?;
    }
    let body = directory::full_list(FIRST_VERSION, size);
    samples.add(
        "destinations.list-bytes",
        size,
        directory::response(&body).len() as f64,
    )
}

/// Measures the processor time of one change, and the time until ten simultaneous changes are applied.
fn measure_changes(
    sender: &Sender,
    directory: &Directory,
    size: u64,
    samples: &mut SweepSamples,
) -> Result<(), SweepError> {
    let before = sender.wait_until_idle(READY_TIMEOUT);
    for number in 0..CHANGES {
        let state = if number % 2 == 0 { "draining" } else { "up" };
        directory.change(vec![directory::row(number / 2 % size, state)]);
        if !directory.all_watch(1, CHANGE_TIMEOUT) {
            return Err(failed(size, MeasurementError::ChangeNotApplied));
        }
        std::thread::sleep(CHANGE_INTERVAL);
    }
    let after = sender.wait_until_idle(READY_TIMEOUT);
    let each = (after.cpu - before.cpu) / CHANGES as u32;
    samples.add("destinations.change-processor", size, milliseconds(each))?;
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
    samples.add(
        "destinations.change-in-force",
        size,
        seconds(started.elapsed()),
    )
}

/// Searches the largest full list that a running sender accepts, up to the planned size.
fn largest_list(program: &Path) -> Result<Figure, SweepError> {
    let folder = tempfile::tempdir()?;
    let directory = Directory::new()?;
    let planned = Axis::Destinations.planned() as u64;
    let _sender = start(program, folder.path(), &directory, 1)?;
    let mut measured: Vec<Sample> = Vec::new();
    let mut accepts = |size: u64| -> Result<bool, SweepError> {
        let outcome = directory.send_full_list(size, LIST_TIMEOUT);
        if outcome == ListOutcome::Unknown {
            return Err(failed(size, MeasurementError::NoListOutcome));
        }
        let accepted = outcome == ListOutcome::Accepted;
        measured.push(Sample {
            size: size as f64,
            value: f64::from(u8::from(accepted)),
        });
        // The next list must not be sent before the sender watches again.
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
    measured.retain(reported);
    let fails = (holds < planned).then_some(fails);
    limit_figure("destinations.list-taken", measured, holds, fails)
}

//! Measures, for several numbers of destinations in the endpoint list, a sender's memory, the time until it is ready, and the bytes
//! and processor time of a change and of a full list. Also searches the largest full list that a sender accepts.

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
/// Longest time from the start of a sender until it is ready, then until it watches the directory, and then until it is idle.
const READY_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time from a change of the endpoint list until the sender has applied it.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time from a full endpoint list until the sender has accepted or rejected it.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of successive changes over which the processor time of one change is averaged.
const SUCCESSIVE_CHANGES: u64 = 10;
/// Time between two successive changes. It is longer than the sender's tick of 5 ms, so that no two are applied in the same tick.
const CHANGE_INTERVAL: Duration = Duration::from_millis(12);
/// Number of changes that the directory makes without waiting in between.
const CHANGES_AT_ONCE: u64 = 10;
/// Configured limit of the sender's pending events.
const MAX_PENDING_EVENTS: u64 = 1000;

/// Runs the sweep and returns its figures. `progress` is called with a short text before each measurement.
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

/// The error of the sweep at this size.
fn failed(size: u64, error: impl Into<MeasurementError>) -> SweepError {
    error.into().at(SWEEP, size)
}

/// Starts a sender whose configuration contains an endpoint list of this many destinations, and waits until it watches the
/// directory.
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
        max_pending: MAX_PENDING_EVENTS,
    };
    let sender = Sender::start(program, folder, &options, READY_TIMEOUT)
        .map_err(|error| failed(destinations, error))?;
    if !directory.wait_for_watchers(1, READY_TIMEOUT) {
        return Err(failed(destinations, MeasurementError::NotWatching));
    }
    Ok(sender)
}

/// Measures a sender with an endpoint list of `size` destinations. A quick run measures only memory and bytes.
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

    let bytes_before = directory.change_bytes();
    directory.change(vec![directory::row(0, "up")]);
    // The sender requests the next change only after it has applied this one.
    if !directory.wait_for_watchers(1, CHANGE_TIMEOUT) {
        return Err(failed(size, MeasurementError::ChangeNotApplied));
    }
    samples.add(
        "destinations.change-bytes",
        size,
        (directory.change_bytes() - bytes_before) as f64,
    )?;
    if !args.quick {
        measure_changes(&sender, &directory, size, samples)?;
        let mut reducer =
            SteppedReducer::new(MAX_PENDING_EVENTS, size).map_err(|error| failed(size, error))?;
        samples.add("destinations.list-step", size, seconds(reducer.list(size)))?;
    }
    let body = directory::full_list(FIRST_VERSION, size);
    samples.add(
        "destinations.list-bytes",
        size,
        directory::response(&body).len() as f64,
    )
}

/// Measures the processor time of one change, and the time until [`CHANGES_AT_ONCE`] simultaneous changes are applied.
fn measure_changes(
    sender: &Sender,
    directory: &Directory,
    size: u64,
    samples: &mut SweepSamples,
) -> Result<(), SweepError> {
    let usage_before = sender.wait_until_idle(READY_TIMEOUT);
    // Each pair of changes sets one destination to draining and back to up.
    for number in 0..SUCCESSIVE_CHANGES {
        let state = if number % 2 == 0 { "draining" } else { "up" };
        directory.change(vec![directory::row(number / 2 % size, state)]);
        if !directory.wait_for_watchers(1, CHANGE_TIMEOUT) {
            return Err(failed(size, MeasurementError::ChangeNotApplied));
        }
        std::thread::sleep(CHANGE_INTERVAL);
    }
    let usage_after = sender.wait_until_idle(READY_TIMEOUT);
    let cpu_per_change = (usage_after.cpu - usage_before.cpu) / SUCCESSIVE_CHANGES as u32;
    samples.add(
        "destinations.change-processor",
        size,
        milliseconds(cpu_per_change),
    )?;
    let started = Instant::now();
    for number in 0..CHANGES_AT_ONCE {
        directory.change(vec![directory::row(number % size, "up")]);
    }
    if !directory.wait_for_watchers(1, CHANGE_TIMEOUT) {
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

/// Finds, by binary search up to the planned size, the largest full endpoint list that a running sender accepts. The value of a
/// sample is 1 for an accepted list and 0 for a rejected one.
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
        // The next list must not be sent before the sender watches again: its request from the earlier version would be taken for a
        // rejection of that list.
        if !directory.wait_for_watchers(1, LIST_TIMEOUT) {
            return Err(failed(size, MeasurementError::NotWatching));
        }
        Ok(accepted)
    };
    let (mut largest_accepted, mut smallest_rejected) = (1, planned);
    if accepts(planned)? {
        largest_accepted = planned;
    }
    while largest_accepted < planned && smallest_rejected - largest_accepted > 1 {
        let middle = largest_accepted + (smallest_rejected - largest_accepted) / 2;
        if accepts(middle)? {
            largest_accepted = middle;
        } else {
            smallest_rejected = middle;
        }
    }
    // The figure shows only the samples that bound the result, and the planned size.
    let reported = |sample: &Sample| {
        [
            largest_accepted as f64,
            smallest_rejected as f64,
            planned as f64,
        ]
        .contains(&sample.size)
    };
    measured.retain(reported);
    let smallest_rejected = (largest_accepted < planned).then_some(smallest_rejected);
    limit_figure(
        "destinations.list-taken",
        measured,
        largest_accepted,
        smallest_rejected,
    )
}

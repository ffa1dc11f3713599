//! Measures, for several numbers of real senders that watch one directory, the time until all have applied a change of the endpoint
//! list, and the bytes that the directory exchanges for it.

use std::time::{Duration, Instant};

use cranehill_capacity::Figure;

use super::args::SweepArgs;
use super::directory::{self, Directory, FIRST_VERSION};
use super::error::{MeasurementError, SweepError};
use super::samples::SweepSamples;
use super::sender::{Sender, SenderOptions};
use crate::units::seconds;

const SWEEP: &str = "changes";
/// Number of destinations in the endpoint list.
const DESTINATIONS: u64 = 100;
/// Configured limit of a sender's pending events.
const MAX_PENDING_EVENTS: u64 = 1000;
/// Longest time until a sender is ready, and then until all senders watch the directory.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time from a change of the endpoint list until all senders have applied it.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of changes that the directory makes without waiting in between.
const CHANGES_AT_ONCE: u64 = 10;

/// Runs the sweep; `progress` is called with a short text before each measurement.
pub(super) fn play(
    args: &SweepArgs,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Figure>, SweepError> {
    let mut samples = SweepSamples::new(args.quick);
    for &size in &args.sizes.changes {
        progress(&format!("{size} senders that watch"));
        measure(args, size, &mut samples)?;
    }
    samples.figures()
}

fn measure(args: &SweepArgs, size: u64, samples: &mut SweepSamples) -> Result<(), SweepError> {
    let failed = |error: MeasurementError| error.at(SWEEP, size);
    let directory = Directory::new()?;
    let endpoint_list = directory::full_list(FIRST_VERSION, DESTINATIONS);
    let options = SenderOptions {
        directory: directory.address,
        endpoint_list,
        max_pending: MAX_PENDING_EVENTS,
    };
    let mut senders = Vec::new();
    for _ in 0..size {
        let folder = tempfile::tempdir()?;
        let started = Sender::start(&args.program, folder.path(), &options, READY_TIMEOUT);
        senders.push((started.map_err(|e| failed(e.into()))?, folder));
    }
    if !directory.wait_for_watchers(senders.len(), READY_TIMEOUT) {
        return Err(failed(MeasurementError::NotAllWatching));
    }
    let time_to_apply = |rows: Vec<String>| -> Result<Duration, SweepError> {
        let started = Instant::now();
        rows.into_iter().for_each(|row| directory.change(vec![row]));
        if !directory.wait_for_watchers(senders.len(), CHANGE_TIMEOUT) {
            return Err(failed(MeasurementError::ChangeNotApplied));
        }
        Ok(started.elapsed())
    };
    let before = directory.change_bytes();
    let took = time_to_apply(vec![directory::row(0, "up")])?;
    samples.add(
        "changes.discovery-bytes",
        size,
        (directory.change_bytes() - before) as f64,
    )?;
    samples.add("changes.one-in-force", size, seconds(took))?;
    let ten = (0..CHANGES_AT_ONCE)
        .map(|n| directory::row(n % DESTINATIONS, "up"))
        .collect();
    samples.add("changes.ten-in-force", size, seconds(time_to_apply(ten)?))
}

//! Measures, for several backlogs of one sender: memory, disk, time until it is ready after a restart, processor time of the
//! reducer's steps, and the order of its work queue after a restart.

use std::collections::BTreeSet;
use std::error::Error;
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cranehill_capacity::{Axis, Figure, Sample};
use cranehill_core::Record;
use cranehill_journal::{Folder, Journal, Options};

use super::args::SweepArgs;
use super::directory::{Directory, FIRST_VERSION};
use super::error::{MeasurementError, SweepError};
use super::reducer::{SteppedReducer, event, mixed};
use super::samples::{SweepSamples, limit_figure};
use super::sender::{Sender, SenderOptions, StartError};
use crate::units::{milliseconds, seconds};

const SWEEP: &str = "backlog";
/// Number of destinations of the backlog's events.
const DESTINATIONS: u64 = 100;
/// Bytes of an event's body. The operators' table does not give this size, so it is an assumption.
const BODY_BYTES: usize = 256;
/// Number of records in one append to the journal.
const RECORDS_PER_APPEND: u64 = 1_000;
/// Disk limit of the journal in bytes: far more than any sweep writes.
const DISK_BYTES: u64 = 20_000_000_000;
/// Sizes at which a sender is expected to need more bytes of memory are not measured and have only fitted values.
const MAX_RESIDENT_BYTES: f64 = 2e9;
/// Longest time until a sender is ready. If one takes longer, its size and larger ones are not measured and have only fitted
/// values.
const READY_TIMEOUT: Duration = Duration::from_secs(90);
/// Longest wait until a sender is idle, before its processor time is measured.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Duration over which the processor time of an idle sender is measured.
const IDLE_SPAN: Duration = Duration::from_secs(2);
/// Number of turns after the first one over which the processor time of a turn is averaged.
const TURNS: u32 = 5;
/// Number of events, sent first, whose order is compared with that of their deadlines.
const FIRST_SENT: usize = 1_000;
/// The order of larger backlogs is not measured, as that takes too long.
const MAX_ORDER_EVENTS: u64 = 100_000;
/// Turns within which the first [`FIRST_SENT`] events must be sent.
const ORDER_TURNS: u32 = 5_000;
/// The largest limit of pending events in the settings of scenarios.
const MAX_PENDING_EVENTS: u64 = 20_000;

/// Runs the sweep; `progress` is called with a short text before each measurement.
pub(super) fn play(
    args: &SweepArgs,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Figure>, SweepError> {
    let mut samples = SweepSamples::new(args.quick);
    let mut previous: Option<(u64, f64)> = None;
    for &size in &args.sizes.backlog {
        let expected_resident = previous.map_or(0.0, |(previous_size, resident)| {
            resident / previous_size as f64 * size as f64
        });
        if expected_resident > MAX_RESIDENT_BYTES {
            samples.remark(
                SWEEP,
                format!("from {size} on by the fit: resident memory would pass 2 GB"),
            );
            break;
        }
        progress(&format!("backlog of {size} events, sender process"));
        match measure_process(args, size, &mut samples)? {
            Some(resident) => previous = Some((size, resident)),
            None => {
                samples.remark(
                    SWEEP,
                    format!(
                        "{size} was not ready within {READY_TIMEOUT:?}; from there on by the fit"
                    ),
                );
                break;
            }
        }
        progress(&format!("backlog of {size} events, reducer alone"));
        measure_reducer(args, size, &mut samples)?;
    }
    let mut figures = samples.figures()?;
    progress("largest backlog restored under the bound on held events");
    figures.push(largest_backlog()?);
    Ok(figures)
}

/// A body that does not compress, so that the measured journal size is an upper bound for events of this length.
fn body(number: u64) -> Arc<[u8]> {
    let blocks = 0..(BODY_BYTES / size_of::<u64>()) as u64;
    blocks
        .flat_map(|block| mixed(number ^ block << 40).to_le_bytes())
        .collect()
}

fn new_reducer(max_pending: u64, size: u64) -> Result<SteppedReducer, SweepError> {
    SteppedReducer::new(max_pending, DESTINATIONS)
        .map_err(|e| MeasurementError::from(e).at(SWEEP, size))
}

fn journal_error(size: u64, source: impl Error + Send + Sync + 'static) -> SweepError {
    MeasurementError::Journal(Box::new(source)).at(SWEEP, size)
}

/// A limit of pending events well above the backlog, so that it does not affect the measurement.
fn max_pending_above(size: u64) -> u64 {
    size + size / 4 + 1_000
}

/// Writes the state folder of a sender that was killed with this backlog, and returns the bytes of its files.
fn write_folder(dir: &Path, size: u64) -> Result<u64, SweepError> {
    let folder = Folder::new(dir, DISK_BYTES)?;
    let options = Options {
        disk_bytes: DISK_BYTES,
        operator_key: None,
        fresh_key: [7; 32],
        segment_bytes: None,
    };
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let (nanos, millis) = (now.as_nanos() as u64, now.as_millis() as u64);
    let opened = Journal::open(folder, &options, millis);
    let mut journal = opened.map_err(|e| journal_error(size, e))?.0;
    for first in (0..size).step_by(RECORDS_PER_APPEND as usize) {
        let last = (first + RECORDS_PER_APPEND).min(size);
        let records: Vec<_> = (first..last)
            .map(|n| event(n, DESTINATIONS, nanos, &body(n)))
            .collect();
        journal
            .append(millis, &records)
            .map_err(|e| journal_error(size, e))?;
    }
    drop(journal);
    let files = std::fs::read_dir(dir)?;
    let sizes = files.map(|file| Ok(file?.metadata()?.len()));
    sizes
        .sum::<std::io::Result<u64>>()
        .map_err(SweepError::from)
}

/// Measures a process that starts with such a folder. Returns its resident memory in bytes, or `None` if it was not ready in time.
fn measure_process(
    args: &SweepArgs,
    size: u64,
    samples: &mut SweepSamples,
) -> Result<Option<f64>, SweepError> {
    let folder = tempfile::tempdir()?;
    let disk = write_folder(&folder.path().join("state"), size)?;
    // The operating system accepts connections to this listener and no process answers them, so the backlog stays pending.
    let unanswered = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let directory = Directory::new()?;
    let endpoint_list = list_at(&unanswered)?;
    let options = SenderOptions {
        directory: directory.address,
        endpoint_list,
        max_pending: max_pending_above(size),
    };
    let sender = match Sender::start(&args.program, folder.path(), &options, READY_TIMEOUT) {
        Ok(sender) => sender,
        Err(StartError::NotReady { .. }) => return Ok(None),
        Err(other) => return Err(MeasurementError::from(other).at(SWEEP, size)),
    };
    samples.add("backlog.disk", size, disk as f64)?;
    samples.add("backlog.ready", size, seconds(sender.ready))?;
    sender.wait_until_idle(IDLE_TIMEOUT);
    let before = sender.used();
    let started = Instant::now();
    std::thread::sleep(IDLE_SPAN);
    let after = sender.used();
    let busy = milliseconds(after.cpu - before.cpu) / seconds(started.elapsed());
    samples.add("backlog.waiting-processor", size, busy)?;
    let resident = after.memory_kb as f64 * 1024.0;
    samples.add("backlog.resident", size, resident)?;
    Ok(Some(resident))
}

/// The endpoint list of all destinations, at one address.
fn list_at(listener: &TcpListener) -> std::io::Result<String> {
    let address = listener.local_addr()?;
    let row = |n: u64| {
        format!(
            r#"{{"id":"s-{n:08x}","addr":"{address}","zone":"zone-0","kind":"station","cell":{n},"state":"up","weight":40.0,"started_ms":0}}"#
        )
    };
    let rows: Vec<String> = (0..DESTINATIONS).map(row).collect();
    Ok(format!(
        r#"{{"version":{FIRST_VERSION},"full":true,"servers":[{}]}}"#,
        rows.join(",")
    ))
}

/// Measures the reducer alone: processor time of its steps, and the order of its work queue.
fn measure_reducer(
    args: &SweepArgs,
    size: u64,
    samples: &mut SweepSamples,
) -> Result<(), SweepError> {
    if !args.quick {
        let mut reducer = new_reducer(max_pending_above(size), size)?;
        let step = reducer.recover(size, DESTINATIONS, &body(0));
        samples.add("backlog.recover-step", size, seconds(step))?;
        samples.add("backlog.first-turn", size, seconds(reducer.turn().took))?;
        let later: Duration = (0..TURNS).map(|_| reducer.turn().took).sum();
        samples.add("backlog.turn", size, seconds(later / TURNS))?;
    }
    if size <= MAX_ORDER_EVENTS && size >= FIRST_SENT as u64 {
        samples.add("backlog.out-of-order", size, out_of_order(size)?)?;
    }
    Ok(())
}

/// The share of the first [`FIRST_SENT`] events sent that are not among as many events with the earliest deadlines.
fn out_of_order(size: u64) -> Result<f64, SweepError> {
    let mut reducer = new_reducer(max_pending_above(size), size)?;
    reducer.recover(size, DESTINATIONS, &body(0));
    let mut sent: Vec<String> = Vec::new();
    for _ in 0..ORDER_TURNS {
        let turn = reducer.turn();
        sent.extend(turn.calls.iter().map(|call| call.0.clone()));
        reducer.serve(turn.calls);
        if sent.len() >= FIRST_SENT {
            break;
        }
    }
    if sent.len() < FIRST_SENT {
        let error = MeasurementError::TooFewSent {
            sent: sent.len(),
            turns: ORDER_TURNS,
        };
        return Err(error.at(SWEEP, size));
    }
    sent.truncate(FIRST_SENT);
    let body = body(0);
    let mut events: Vec<(u64, String)> = (0..size)
        .map(|n| event(n, DESTINATIONS, 0, &body))
        .filter_map(|record| match record {
            Record::Accepted { id, deadline, .. } => Some((deadline, id)),
            _ => None,
        })
        .collect();
    events.sort();
    let earliest: BTreeSet<&String> = events
        .iter()
        .take(FIRST_SENT)
        .map(|event| &event.1)
        .collect();
    let out_of_order = sent.iter().filter(|id| !earliest.contains(id)).count();
    Ok(out_of_order as f64 / FIRST_SENT as f64)
}

/// Finds the largest backlog of which at most half expires without an attempt after a restart, with at most
/// [`MAX_PENDING_EVENTS`] pending events.
fn largest_backlog() -> Result<Figure, SweepError> {
    let planned = Axis::Backlog.planned() as u64;
    let mut measured: Vec<Sample> = Vec::new();
    let (mut holds, mut fails) = (MAX_PENDING_EVENTS / 2, planned);
    let mut size = MAX_PENDING_EVENTS;
    while fails - holds > 1 {
        let share = expired_share(size)?;
        measured.push(Sample {
            size: size as f64,
            value: share,
        });
        if share <= 0.5 {
            holds = size;
        } else {
            fails = size;
        }
        size = if fails == planned {
            (holds * 2).min(planned)
        } else {
            holds + (fails - holds) / 2
        };
        if holds == planned {
            break;
        }
    }
    let reported = [
        MAX_PENDING_EVENTS,
        MAX_PENDING_EVENTS * 2,
        MAX_PENDING_EVENTS * 4,
        holds,
        fails,
    ]
    .map(|s| s as f64);
    measured.retain(|s| reported.contains(&s.size));
    let fails = (holds < planned).then_some(fails);
    limit_figure("backlog.taken-up", measured, holds, fails)
}

/// The share of a backlog that expires without an attempt within [`TURNS`] turns after a restart.
fn expired_share(size: u64) -> Result<f64, SweepError> {
    let mut reducer = new_reducer(MAX_PENDING_EVENTS, size)?;
    reducer.recover(size, DESTINATIONS, &body(0));
    let expired: u64 = (0..TURNS).map(|_| reducer.turn().expired).sum();
    Ok(expired as f64 / size as f64)
}

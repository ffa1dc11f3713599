//! Destinations listed: memory, time to ready, and what a change and a whole list cost.

use std::path::Path;
use std::time::{Duration, Instant};

use cranehill_capacity::{Axis, Figure, Sample, Samples, catalog};

use crate::sweep::directory::{self, Directory, FIRST_VERSION, Reception};
use crate::sweep::reducer::Played;
use crate::sweep::sender::{Sender, Setting};
use crate::sweep::{Gathered, SweepArgs, SweepError, milliseconds, seconds};

const SWEEP: &str = "destinations";
/// A sender must be ready, and take a change, by then.
const READY_MOST: Duration = Duration::from_secs(120);
const CHANGE_MOST: Duration = Duration::from_secs(60);
const LIST_MOST: Duration = Duration::from_secs(30);
/// Changes pushed one after the other, over which the cost of one is taken.
const CHANGES: u64 = 10;
/// Between two changes: longer than a turn, so that each has one of its own.
const APART: Duration = Duration::from_millis(12);
/// Changes pushed at once.
const AT_ONCE: u64 = 10;
const MOST_HELD: u64 = 1000;

pub fn play(order: &SweepArgs, progress: &mut impl FnMut(&str)) -> Result<Vec<Figure>, SweepError> {
    let mut gathered = Gathered::new(order.quick);
    for &size in &order.sizes.destinations {
        progress(&format!("{size} destinations"));
        one(order, size, &mut gathered)?;
    }
    let mut figures = gathered.figures()?;
    progress("largest whole list taken");
    figures.push(largest_list(&order.program)?);
    Ok(figures)
}

fn failed(size: u64, why: impl ToString) -> SweepError {
    SweepError::Failed {
        sweep: SWEEP,
        size,
        why: why.to_string(),
    }
}

fn start(
    program: &Path,
    folder: &Path,
    directory: &Directory,
    destinations: u64,
) -> Result<Sender, SweepError> {
    let known = directory::whole(FIRST_VERSION, destinations);
    let setting = Setting {
        directory: directory.address,
        known,
        most_held: MOST_HELD,
    };
    let sender = Sender::start(program, folder, &setting, READY_MOST)
        .map_err(|e| failed(destinations, e))?;
    if !directory.all_watch(1, READY_MOST) {
        return Err(failed(destinations, "the sender did not ask the directory"));
    }
    Ok(sender)
}

fn one(order: &SweepArgs, size: u64, gathered: &mut Gathered) -> Result<(), SweepError> {
    let folder = tempfile::tempdir()?;
    let directory = Directory::new()?;
    let sender = start(&order.program, folder.path(), &directory, size)?;
    gathered.note("destinations.ready", size, seconds(sender.ready))?;
    let idle = sender.settled(READY_MOST);
    gathered.note(
        "destinations.resident",
        size,
        idle.resident_kb as f64 * 1024.0,
    )?;

    let before = directory.news_bytes();
    directory.change(vec![directory::row(0, "up")]);
    if !directory.all_watch(1, CHANGE_MOST) {
        return Err(failed(size, "a pushed change was not taken"));
    }
    gathered.note(
        "destinations.change-bytes",
        size,
        (directory.news_bytes() - before) as f64,
    )?;
    if !order.quick {
        changes(&sender, &directory, size, gathered)?;
        let mut played = Played::new(MOST_HELD, size).map_err(|e| failed(size, e))?;
        gathered.note("destinations.list-step", size, seconds(played.list(size)))?;
    }
    let body = directory::whole(FIRST_VERSION, size);
    gathered.note(
        "destinations.list-bytes",
        size,
        directory::response(&body).len() as f64,
    )
}

/// What one change takes, and how soon ten at once are told.
fn changes(
    sender: &Sender,
    directory: &Directory,
    size: u64,
    gathered: &mut Gathered,
) -> Result<(), SweepError> {
    let before = sender.settled(READY_MOST);
    for number in 0..CHANGES {
        let state = if number % 2 == 0 { "draining" } else { "up" };
        directory.change(vec![directory::row(number / 2 % size, state)]);
        if !directory.all_watch(1, CHANGE_MOST) {
            return Err(failed(size, "a pushed change was not taken"));
        }
        std::thread::sleep(APART);
    }
    let after = sender.settled(READY_MOST);
    let each = (after.cpu - before.cpu) / CHANGES as u32;
    gathered.note("destinations.change-processor", size, milliseconds(each))?;
    let begun = Instant::now();
    for number in 0..AT_ONCE {
        directory.change(vec![directory::row(number % size, "up")]);
    }
    if !directory.all_watch(1, CHANGE_MOST) {
        return Err(failed(size, "ten changes at once were not taken"));
    }
    gathered.note(
        "destinations.change-in-force",
        size,
        seconds(begun.elapsed()),
    )
}

/// The most destinations of a whole list that a running sender takes, up to the planned size.
fn largest_list(program: &Path) -> Result<Figure, SweepError> {
    let folder = tempfile::tempdir()?;
    let directory = Directory::new()?;
    let planned = Axis::Destinations.planned() as u64;
    let _sender = start(program, folder.path(), &directory, 1)?;
    let mut tried: Vec<Sample> = Vec::new();
    let mut taken = |size: u64| -> Result<bool, SweepError> {
        let reception = directory.give_whole(size, LIST_MOST);
        if reception == Reception::Unknown {
            return Err(failed(size, "a whole list was neither taken nor refused"));
        }
        let value = if reception == Reception::Taken {
            1.0
        } else {
            0.0
        };
        tried.push(Sample {
            size: size as f64,
            value,
        });
        // The sender must watch again before the next try.
        match directory.all_watch(1, LIST_MOST) {
            true => Ok(reception == Reception::Taken),
            false => Err(failed(size, "the sender does not watch any more")),
        }
    };
    let (mut holds, mut fails) = (1, planned);
    if taken(planned)? {
        holds = planned;
    }
    while holds < planned && fails - holds > 1 {
        let middle = holds + (fails - holds) / 2;
        if taken(middle)? {
            holds = middle
        } else {
            fails = middle
        }
    }
    let reported = |s: &Sample| [holds as f64, fails as f64, planned as f64].contains(&s.size);
    tried.retain(reported);
    tried.sort_by(|a, b| a.size.total_cmp(&b.size));
    let id = "destinations.list-taken";
    let quantity = catalog::quantity(id).ok_or(SweepError::Unknown(id))?;
    let samples = Samples::new(tried).map_err(|source| SweepError::Fit { id, source })?;
    let fails = (holds < planned).then_some(fails as f64);
    Ok(Figure::limit(quantity, samples, holds as f64, fails))
}
